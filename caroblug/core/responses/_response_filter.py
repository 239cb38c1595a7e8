"""Passes on the bytes of one sound response to the parser of a library.

The parser gets only the final response, without extensions of chunks and
trailers, which few parsers read alike. What it takes for the response thus
can't differ from what was checked.
"""

from collections.abc import Callable

from caroblug.core.responses._grammar import (
    CHUNK_START_BYTES,
    HEAD_START_BYTES,
    PLAIN_CHUNK_LINE,
    Head,
    MalformedResponse,
    find_chunk_line_error,
    find_head_error,
    find_trailer_error,
    parse_chunk_line,
    parse_head,
)

_HEAD_END = b"\r\n\r\n"
_LINE_END = b"\r\n"
_VERSION = b"HTTP/1.1"
_MAX_PARSED_MINOR = 1
"""Minor version that parsers know; a higher one means the same to them."""


class ResponseFilter:
    """Checks the bytes of the response to one request as they arrive.

    Args:
        bodiless: Whether the response has no body, as that to HEAD.
    """

    def __init__(self, bodiless: bool = False) -> None:
        self._bodiless = bodiless
        self._received = 0
        self._body_bytes = 0
        self._surplus_bytes = 0
        self._left_bytes = 0
        self._pending = bytearray()
        self._passed: list[bytes] = []
        self._problem: MalformedResponse | None = None
        self._ended = False
        self._has_trailers = False
        self._read: Callable[[bytes, int], int] = self._read_head

    @property
    def received(self) -> int:
        """Number of bytes received."""
        return self._received

    @property
    def body_bytes(self) -> int:
        """Number of bytes of the body so far."""
        return self._body_bytes

    @property
    def announced_bytes(self) -> int:
        """Number of bytes of the body so far, and of those known to follow."""
        return self._body_bytes + self._left_bytes

    @property
    def framing_bytes(self) -> int:
        """Number of bytes that are no part of the body."""
        return self._received - self._body_bytes

    @property
    def ended(self) -> bool:
        """Whether the response is complete."""
        return self._ended

    @property
    def ends_by_close(self) -> bool:
        """Whether the end of the connection ends the body."""
        return self._read == self._read_until_close

    @property
    def is_exact(self) -> bool:
        """Whether the response is complete and nothing follows it.

        One that ends with its connection or with trailers is left out.
        """
        return (
            self._ended
            and not self._surplus_bytes
            and not self._has_trailers
            and not self.ends_by_close
        )

    def feed(self, data: bytes) -> bytes | MalformedResponse:
        """Checks received bytes.

        Args:
            data: Bytes as received, at least one.

        Returns:
            The bytes for the parser, or what is wrong. Bytes behind a complete
            response are dropped.
        """
        self._received += len(data)
        at = 0
        while at < len(data) and not self._ended and self._problem is None:
            at = self._read(data, at)
        self._surplus_bytes += len(data) - at
        passed, self._passed = self._passed, []
        if self._problem is not None:
            return self._problem
        return passed[0] if len(passed) == 1 else b"".join(passed)

    def close(self) -> MalformedResponse | None:
        """Ends the response where the peer has closed the connection in order.

        Returns:
            Why it is incomplete, if so.
        """
        if self._ended:
            return None
        if self.ends_by_close and self._problem is None:
            self._ended = True
            return None
        return self._problem or MalformedResponse(
            f"connection closed after {self._received} bytes"
        )

    def _read_head(self, data: bytes, at: int) -> int:
        checked = max(0, len(self._pending) - 1)
        context = max(0, checked - 1)
        at, lines = self._take_through(data, at, _HEAD_END)
        if lines is None:
            self._problem = find_head_error(
                bytes(self._pending[:HEAD_START_BYTES]),
                bytes(self._pending[context:]),
                checked - context,
            )
            return at
        head = parse_head(lines, self._bodiless)
        if isinstance(head, MalformedResponse):
            self._problem = head
        elif not head.interim:
            self._begin_body(head, lines)
        return at

    def _begin_body(self, head: Head, lines: bytes) -> None:
        """Passes on the head of the final response."""
        if head.minor > _MAX_PARSED_MINOR:
            lines = _VERSION + lines[len(_VERSION) :]
        self._passed.append(lines)
        if head.chunked:
            self._read = self._read_chunk_line
        elif head.length is None:
            self._read = self._read_until_close
        else:
            self._read = self._read_length
            self._left_bytes = head.length
            self._ended = not head.length

    def _read_length(self, data: bytes, at: int) -> int:
        at = self._pass_body(data, at)
        self._ended = not self._left_bytes
        return at

    def _read_until_close(self, data: bytes, at: int) -> int:
        self._left_bytes = len(data) - at
        return self._pass_body(data, at)

    def _read_chunk_line(self, data: bytes, at: int) -> int:
        if not self._pending:
            plain_end = self._pass_plain_chunks(data, at)
            if plain_end > at:
                return plain_end
        at, line = self._take_through(data, at, _LINE_END)
        if line is None:
            self._problem = find_chunk_line_error(
                bytes(self._pending[:CHUNK_START_BYTES])
            )
            return at
        size = parse_chunk_line(line)
        if isinstance(size, MalformedResponse):
            self._problem = size
        elif size:
            self._passed.append(b"%x\r\n" % size)
            self._left_bytes = size
            self._read = self._read_chunk
        else:
            # An empty line ends the trailers, as it does the line before it.
            self._pending += _LINE_END
            self._read = self._read_trailers
        return at

    def _pass_plain_chunks(self, data: bytes, at: int) -> int:
        """Passes on whole chunks as they are; returns where data goes on."""
        end = at
        match = PLAIN_CHUNK_LINE.match(data, end)
        while match is not None:
            size = int(match[1], 16)
            begin = match.end()
            if data[begin + size : begin + size + len(_LINE_END)] != _LINE_END:
                break
            self._body_bytes += size
            end = begin + size + len(_LINE_END)
            match = PLAIN_CHUNK_LINE.match(data, end)
        if end > at:
            whole = not at and end == len(data)
            self._passed.append(data if whole else data[at:end])
        return end

    def _read_chunk(self, data: bytes, at: int) -> int:
        at = self._pass_body(data, at)
        if not self._left_bytes:
            self._read = self._read_chunk_end
        return at

    def _read_chunk_end(self, data: bytes, at: int) -> int:
        wanted = len(_LINE_END) - len(self._pending)
        self._pending += data[at : at + wanted]
        if not _LINE_END.startswith(self._pending):
            self._problem = MalformedResponse(
                f"{bytes(self._pending)!r} after a chunk"
            )
        elif len(self._pending) == len(_LINE_END):
            self._pending.clear()
            self._passed.append(_LINE_END)
            self._read = self._read_chunk_line
        return min(len(data), at + wanted)

    def _read_trailers(self, data: bytes, at: int) -> int:
        at, lines = self._take_through(data, at, _HEAD_END)
        if lines is None:
            return at
        trailers = lines[len(_LINE_END) :]
        self._problem = find_trailer_error(trailers)
        if self._problem is None:
            self._has_trailers = trailers != _LINE_END
            self._passed.append(b"0\r\n\r\n")
            self._ended = True
        return at

    def _pass_body(self, data: bytes, at: int) -> int:
        """Passes on what there is of the body; returns where data goes on."""
        end = min(len(data), at + self._left_bytes)
        self._passed.append(data[at:end] if at or end < len(data) else data)
        self._left_bytes -= end - at
        self._body_bytes += end - at
        return end

    def _take_through(
        self, data: bytes, at: int, mark: bytes
    ) -> tuple[int, bytes | None]:
        """Takes what comes up to and with a mark.

        Args:
            data: Bytes received.
            at: Where to begin in them.
            mark: Bytes that end what is taken. They may have begun earlier.

        Returns:
            Where data goes on, and what was taken; None if the mark has not
            arrived yet, and then the bytes wait for it.
        """
        kept = self._pending[-len(mark) + 1 :]
        seam = kept + data[at : at + len(mark) - 1]
        found = seam.find(mark)
        if found >= 0:
            end = at + found + len(mark) - len(kept)
        else:
            found = data.find(mark, at)
            end = found + len(mark) if found >= 0 else len(data)
        self._pending += data[at:end]
        if found < 0:
            return end, None
        taken = bytes(self._pending)
        self._pending.clear()
        return end, taken
