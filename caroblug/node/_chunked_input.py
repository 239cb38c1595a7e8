"""Chunked request bodies whose framing is limited."""

import io
from collections.abc import Callable

from gevent import pywsgi

_MAX_FRAMING_BYTES = 65_536
"""Limit on trailers, beside what each byte of the body allows."""

_FRAMING_BYTES_PER_BYTE = 16
"""Framing that each byte of the body allows: small chunks with extensions."""

_PIECE_BYTES = 4096
"""Largest piece that is read at once, as the framing of a piece is counted
when it is complete. It also bounds the objects that tiny chunks become."""


class FramingTooLongError(OSError):
    """Raised for a body whose chunk sizes, extensions and trailers are long."""


class ChunkedInput(pywsgi.Input):
    """Body of a request in chunks.

    Args:
        reader: Reader of the connection.
        sock: Socket to ask the caller for the body on; None if it doesn't wait.
    """

    __slots__ = ("_read_bytes",)

    def __init__(self, reader: io.BufferedReader, sock) -> None:
        super().__init__(reader, None, socket=sock, chunked_input=True)
        self._read_bytes = 0

    @property
    def complete(self) -> bool:
        """Whether the body has been read to its end."""
        return self.chunk_length == 0 and not self._chunked_input_error

    def read(self, length: int | None = None) -> bytes:
        """Reads a piece of the body, which may be shorter than asked for.

        Raises:
            OSError: If the body has no valid framing, or ends early.
        """
        if length is None or length < 0 or length > _PIECE_BYTES:
            length = _PIECE_BYTES
        try:
            piece = super().read(length)
        except ValueError as error:
            self._chunked_input_error = True
            raise OSError(f"chunk without a size: {error}") from error
        self._read_bytes += len(piece)
        return piece

    def check_framing(self, received_bytes: int) -> None:
        """Checks the size of the framing.

        Args:
            received_bytes: Bytes that were received for this body so far.

        Raises:
            FramingTooLongError: If the framing exceeds its limit.
        """
        body_bytes = self._read_bytes + _PIECE_BYTES
        allowed = _MAX_FRAMING_BYTES + io.DEFAULT_BUFFER_SIZE
        allowed += (1 + _FRAMING_BYTES_PER_BYTE) * body_bytes
        if received_bytes > allowed:
            self._chunked_input_error = True
            raise FramingTooLongError(
                f"{received_bytes} bytes received for {self._read_bytes}"
                " bytes of the body"
            )


def read_to_limit(read: Callable[[int], bytes], limit: int) -> bytes:
    """Returns a body, or its beginning if it is over a limit.

    Args:
        read: Reads up to a number of bytes; returns none at the end.
        limit: Largest size in bytes. A longer body is read up to one byte more.
    """
    pieces = []
    left = limit + 1
    while left:
        piece = read(left)
        if not piece:
            break
        pieces.append(piece)
        left -= len(piece)
    return b"".join(pieces)
