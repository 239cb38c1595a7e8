"""Listening before the rest of the program is loaded.

Loading takes some 0.2 s of processor time. Guards against callers that come in
that time after all gateways were killed at once: a port without a listener
refuses them, and a caller that was refused twice gives up. The kernel accepts
for a socket that listens, and the request is answered once the program runs.
"""

import socket

BACKLOG = 1024
"""Connections that may wait to be accepted."""

_listeners: dict[tuple[str, int], socket.socket] = {}


def open_listener(address: tuple[str, int]) -> None:
    """Begins to listen at an address, for `take_listener` to go on with.

    Args:
        address: Host and port.

    Raises:
        OSError: If nobody may listen there.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    _listeners[address] = listener


def take_listener(address: tuple[str, int]) -> socket.socket | None:
    """Returns the socket that listens at an address, if one is held."""
    return _listeners.pop(address, None)
