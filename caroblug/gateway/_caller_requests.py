"""Incremental parsing of callers' HTTP requests."""

from collections.abc import Callable

import attrs
import httptools

from caroblug.core.access import RequestLimits

_REQUEST_BYTES = 512
"""Memory of a request without headers and body."""

_HEADER_LINE_BYTES = 256
"""Memory of a header line beside its characters: a pair of strings."""

_BODY_PIECE_BYTES = 8192
_PIECE_OVERHEAD_BYTES = 64
"""Size from which a part of a body is a piece of its own, and the memory that
each piece takes beside it."""

_MIN_HEADER_LINE_BYTES = 3
"""Characters of a header line beside name and value: colon, CR and LF."""

_MAX_FRAMING_RATIO = 16
"""Limit on the bytes of chunk sizes and trailers, for each byte of the body,
beyond the limit on headers. A chunk of one byte has five of them."""


def _as_pieces(body: bytes | tuple[bytes, ...]) -> tuple[bytes, ...]:
    return (body,) if isinstance(body, bytes) else body


@attrs.define
class RawRequest:
    """A complete HTTP request.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: Pairs of name and value, in the order and case received.
        pieces: Body without its transfer framing. A large one is never put
            together, which would take twice its memory.
        keep_alive: Whether the connection may carry another request.
        began_ms: Time at which the first byte was read.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    pieces: tuple[bytes, ...] = attrs.field(converter=_as_pieces)
    keep_alive: bool
    began_ms: int

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    @property
    def body(self) -> bytes:
        """The whole body."""
        return b"".join(self.pieces)

    @property
    def body_bytes(self) -> int:
        """Size of the body."""
        return sum(map(len, self.pieces))

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes until it has been answered."""
        head_bytes = sum(
            len(name) + len(value) + _HEADER_LINE_BYTES
            for name, value in self.headers
        )
        return _REQUEST_BYTES + len(self.target) + head_bytes + self.body_bytes

    def get(self, name: str) -> str | None:
        """Returns the first value of a header.

        Args:
            name: Header name in lower case.

        Returns:
            The value, or None if the header is absent.
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class _BodyBuffer:
    """A body that grows.

    It is kept in pieces of similar size. Blocks that grow to megabytes beside
    each other would leave gaps between them that nothing fits into.
    """

    def __init__(self) -> None:
        self._pieces: list[bytes] = []
        self._tail = bytearray()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def held_bytes(self) -> int:
        """Memory that the buffer takes."""
        return self._size + _PIECE_OVERHEAD_BYTES * len(self._pieces)

    def append(self, data: bytes) -> None:
        """Adds received data."""
        self._size += len(data)
        self._tail += data
        if len(self._tail) >= _BODY_PIECE_BYTES:
            self._pieces.append(bytes(self._tail))
            self._tail.clear()

    def pieces(self) -> tuple[bytes, ...]:
        """Returns the whole body, in one piece if it is small."""
        return (*self._pieces, bytes(self._tail))


@attrs.frozen
class BadRequest:
    """A request that can't be parsed or exceeds a limit.

    Attributes:
        status: HTTP status of the response.
        message: Description of the problem.
    """

    status: int
    message: str


class RequestReader:
    """Parses the byte stream of a connection into requests.

    A request may be as large as the limits allow when it begins or later. Its
    caller can't know of smaller ones that come into force meanwhile. Trailers
    are discarded.

    Args:
        limits: Function that returns the limits in force.

    Attributes:
        wants_continue: Whether the caller waits for an interim response before
            it sends the body.
        screened: Whether the caller of this class has looked at the head of
            the incomplete request.
    """

    def __init__(self, limits: Callable[[], RequestLimits]) -> None:
        self._limits = limits
        self._initial_limits = limits()
        self._parser = httptools.HttpRequestParser(self)
        self._complete: list[RawRequest] = []
        self._problem: BadRequest | None = None
        self._now_ms = 0
        self._head_bytes_received = 0
        self._in_head = False
        self.wants_continue = False
        self.screened = False
        self._reset()

    @property
    def partial(self) -> bool:
        """Whether a request has begun and is incomplete."""
        return self._begun

    @property
    def in_head(self) -> bool:
        """Whether the head of a request has begun and is incomplete."""
        return self._begun and self._in_head

    @property
    def began_ms(self) -> int:
        """Time at which the incomplete request began."""
        return self._began_ms

    @property
    def held_bytes(self) -> int:
        """Memory that the incomplete request takes."""
        if not self._begun:
            return 0
        lines_bytes = _HEADER_LINE_BYTES * len(self._headers)
        head_bytes = self._head_bytes_received + lines_bytes
        return head_bytes + self._body.held_bytes

    @property
    def head(self) -> RawRequest:
        """The incomplete request as far as its head is known."""
        return RawRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=self._target.decode("latin-1"),
            headers=list(self._headers),
            pieces=b"",
            keep_alive=False,
            began_ms=self._began_ms,
        )

    def feed(self, data: bytes, now_ms: int) -> list[RawRequest] | BadRequest:
        """Parses more bytes of the connection.

        Args:
            data: Bytes read.
            now_ms: Time now.

        Returns:
            The requests completed by these bytes, or why the connection
            can't go on.
        """
        self._now_ms = now_ms
        if not self._begun:
            self._begin()
        if self._in_head:
            self._head_bytes_received += len(data)
        else:
            self._bytes_after_head += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return BadRequest(400, "protocol upgrades are not served")
        except httptools.HttpParserError:
            if self._problem is None:
                return BadRequest(400, "not an HTTP request")
        if self._problem is not None:
            return self._problem
        if self.in_head and self._head_bytes_received > self._header_bytes():
            return BadRequest(431, "headers are too long")
        if self._begun and self._framing_bytes() > self._max_framing_bytes():
            return BadRequest(431, "chunk sizes or trailers are too long")
        complete, self._complete = self._complete, []
        return complete

    def close(self) -> None:
        """Releases the parser, which refers to this object, and all input."""
        self._reset()
        self._complete = []
        self._parser = None

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Starts a new request."""
        self._begin()

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds one header, unless it is a trailer."""
        if not self._in_head:
            return
        self._head_bytes_parsed += (
            len(name) + len(value) + _MIN_HEADER_LINE_BYTES
        )
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Checks the limits that are known once the head is complete."""
        self._in_head = False
        head_bytes = self._head_bytes_parsed + len(self._target)
        if head_bytes > self._header_bytes():
            self._problem = BadRequest(431, "headers are too long")
        for name, value in self._headers:
            lower_name = name.lower()
            if lower_name == "content-length" and value.strip().isdigit():
                if int(value) > self._body_bytes():
                    self._problem = BadRequest(413, "body is too long")
            elif lower_name == "expect":
                self.wants_continue = value.lower() == "100-continue"

    def on_body(self, data: bytes) -> None:
        """Appends a part of the body and checks its size."""
        self._body.append(data)
        if len(self._body) > self._body_bytes():
            self._problem = BadRequest(413, "body is too long")

    def on_message_complete(self) -> None:
        """Adds the completed request to those that `feed` returns."""
        self._complete.append(
            RawRequest(
                method=self._parser.get_method().decode("latin-1"),
                target=self._target.decode("latin-1"),
                headers=self._headers,
                pieces=self._body.pieces(),
                keep_alive=self._parser.should_keep_alive(),
                began_ms=self._began_ms,
            )
        )
        self._reset()

    def _framing_bytes(self) -> int:
        """Returns the bytes behind the head that are no part of the body."""
        return self._bytes_after_head - len(self._body)

    def _max_framing_bytes(self) -> int:
        return self._header_bytes() + _MAX_FRAMING_RATIO * len(self._body)

    def _header_bytes(self) -> int:
        return max(
            self._initial_limits.header_bytes, self._limits().header_bytes
        )

    def _body_bytes(self) -> int:
        return max(self._initial_limits.body_bytes, self._limits().body_bytes)

    def _begin(self) -> None:
        if not self._begun:
            self._reset()
            self._initial_limits = self._limits()
            self._begun = True
            self._in_head = True
            self._began_ms = self._now_ms

    def _reset(self) -> None:
        self._begun = False
        self._in_head = False
        self._began_ms = 0
        self._head_bytes_received = 0
        self._head_bytes_parsed = 0
        self._bytes_after_head = 0
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        self._body = _BodyBuffer()
        self.wants_continue = False
        self.screened = False
