"""Check that received bytes are exactly one response.

The parser accepts bytes after the end of a response without an error if they
are line ends or begin another response. A connection that received them would
deliver them as the response to its next request.
"""

from collections.abc import Iterable

_HEAD_END = b"\r\n\r\n"
_LAST_CHUNK = b"\r\n0\r\n\r\n"


class ResponseExtent:
    """The extent of the bytes that were received for one request."""

    def __init__(self) -> None:
        self._received = 0
        self._head = bytearray()
        self._head_bytes = 0
        self._tail = b""

    @property
    def received(self) -> int:
        """Number of bytes received."""
        return self._received

    def add(self, data: bytes) -> None:
        """Adds received bytes."""
        if not self._head_bytes:
            searched = max(0, len(self._head) - len(_HEAD_END) + 1)
            self._head += data
            end = self._head.find(_HEAD_END, searched)
            if end >= 0:
                self._head_bytes = end + len(_HEAD_END)
                self._head.clear()
        self._received += len(data)
        self._tail = (self._tail + data)[-len(_LAST_CHUNK) :]

    def is_one_response(self, headers: Iterable[tuple[str, str]]) -> bool:
        """Returns whether the bytes end where the response ends.

        A response without a length and without chunks ends with its
        connection, and one with trailers or several lengths is left out, since
        its end isn't certain.

        Args:
            headers: Headers of the response, whose body is complete.
        """
        framing = [
            (name.lower(), value.strip().lower())
            for name, value in headers
            if name.lower() in ("content-length", "transfer-encoding")
        ]
        if len(framing) != 1:
            return False
        name, value = framing[0]
        if name == "transfer-encoding":
            return value == "chunked" and self._tail == _LAST_CHUNK
        return value.isdecimal() and self._received == self._head_bytes + int(
            value
        )
