"""Free ports below the range from which connections take theirs."""

import random
import socket

_FIRST = 18000
_END = 32000
_HOST = "127.0.0.1"


class Ports:
    """Hands out ports that were free a moment ago, each once."""

    def __init__(self) -> None:
        self._given: set[int] = set()
        self._random = random.SystemRandom()

    def take(self) -> int:
        """Returns a free port."""
        while True:
            port = self._random.randrange(_FIRST, _END)
            if port not in self._given and _is_free(port):
                self._given.add(port)
                return port


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((_HOST, port))
        except OSError:
            return False
    return True
