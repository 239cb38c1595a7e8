"""Allocation of free ports below the ephemeral port range."""

import random
import socket

_FIRST_PORT = 18000
_END_PORT = 32000
_HOST = "127.0.0.1"


class Ports:
    """Allocates free ports, each to a single process of the machine.

    A port is reserved until the allocating process ends, because a program
    binds its port later than the allocation and again after each restart.

    Args:
        first: First port of the range.
        end: One past the last port of the range.
    """

    def __init__(self, first: int = _FIRST_PORT, end: int = _END_PORT) -> None:
        self._first = first
        self._end = end
        self._random = random.SystemRandom()
        self._reservations: list[socket.socket] = []

    def take(self) -> int:
        """Reserves and returns a free port."""
        while True:
            port = self._random.randrange(self._first, self._end)
            reservation = _reserve(port)
            if reservation is None:
                continue
            self._reservations.append(reservation)
            if _is_free(port):
                return port


def _reserve(port: int) -> socket.socket | None:
    """Reserves a port among all processes that use this module.

    Args:
        port: The port to reserve.

    Returns:
        A socket that holds the reservation while it is open; None if another
        process holds it.
    """
    reservation = socket.socket(socket.AF_UNIX)
    try:
        # An abstract socket name needs no file and disappears with the
        # process.
        reservation.bind(f"\0caroblug-port-{port}")
    except OSError:
        reservation.close()
        return None
    return reservation


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((_HOST, port))
        except OSError:
            return False
    return True
