"""Opens listening sockets before the rest of the program is imported.

Imports take about 0.2 s of processor time. After all gateways were killed at
once, a port without a listener would refuse connections during that time, and
a caller that is refused twice gives up. The kernel completes connections to a
listening socket, and the program answers their requests once it runs.
"""

import contextlib
import socket

BACKLOG = 1024
"""Maximum number of connections that wait to be accepted."""

RECEIVE_BUFFER_BYTES = 128 * 1024
"""Kernel buffer for what a caller has sent and the program has not read. It
counts towards the memory of the machine."""

_listeners: dict[tuple[str, int], socket.socket] = {}


def make_listener(address: tuple[str, int]) -> socket.socket:
    """Returns a listening socket whose connections buffer a bounded amount.

    Args:
        address: Host and port.

    Raises:
        OSError: If the address cannot be bound.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit the size of the buffer.
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


def open_listener(address: tuple[str, int]) -> None:
    """Opens a listening socket and stores it for `take_listener`.

    Args:
        address: Host and port.

    Raises:
        OSError: If the address cannot be bound.
    """
    _listeners[address] = make_listener(address)


def take_listener(address: tuple[str, int]) -> socket.socket | None:
    """Removes and returns the stored listening socket of an address, if any."""
    return _listeners.pop(address, None)


def accept_waiting(server) -> None:
    """Accepts the connections that wait for a server, before it stops.

    They would be reset with its listening socket, also where they have sent a
    request. The rest is reset where the process has no descriptors left.

    Args:
        server: Server of gevent that has been started.
    """
    with contextlib.suppress(OSError):
        accepted = server.do_read()
        while accepted is not None:
            server.do_handle(*accepted)
            accepted = server.do_read()
