"""Requests of callers, as read off a connection."""

import attrs
import httptools


@attrs.define
class RawRequest:
    """One request, whole.

    Attributes:
        method: Method.
        target: Path and query as sent.
        headers: Names as sent and values, in order.
        body: Body, without its framing.
        keep_alive: Whether the connection may carry another request.
        began_ms: When its first byte was read.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    keep_alive: bool
    began_ms: int

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    def get(self, name: str) -> str | None:
        """Returns the first value of a header, named in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


@attrs.frozen
class BadRequest:
    """What a caller sent can't be served.

    Attributes:
        status: Status to answer with.
        message: What is wrong with it.
    """

    status: int
    message: str


class RequestReader:
    """Cuts the bytes of a connection into requests.

    Args:
        header_bytes: Most bytes of request line and headers.
        body_bytes: Most bytes of a body.
    """

    def __init__(self, header_bytes: int, body_bytes: int) -> None:
        self._header_bytes = header_bytes
        self._body_bytes = body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._ready: list[RawRequest] = []
        self._problem: BadRequest | None = None
        self._now_ms = 0
        self._seen = 0
        self._in_head = False
        self.wants_continue = False
        self._reset()

    @property
    def partial(self) -> bool:
        """Whether a request has begun and isn't whole yet."""
        return self._begun

    @property
    def in_head(self) -> bool:
        """Whether the head of a request has begun and isn't whole yet."""
        return self._begun and self._in_head

    @property
    def began_ms(self) -> int:
        """When the request that isn't whole yet began."""
        return self._began_ms

    def feed(self, data: bytes, now_ms: int) -> list[RawRequest] | BadRequest:
        """Takes bytes; returns requests that became whole, or a problem."""
        self._now_ms = now_ms
        if not self._begun:
            self._begin()
        if self._in_head:
            self._seen += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return BadRequest(400, "protocol upgrades are not served")
        except httptools.HttpParserError:
            if self._problem is None:
                return BadRequest(400, "not an HTTP request")
        if self._problem is not None:
            return self._problem
        if self.in_head and self._seen > self._header_bytes:
            return BadRequest(431, "headers are too long")
        ready, self._ready = self._ready, []
        return ready

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._begin()

    def on_url(self, url: bytes) -> None:
        """Takes a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes one header."""
        self._head_bytes += len(name) + len(value) + 4
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Checks the head."""
        self._in_head = False
        if self._head_bytes + len(self._target) > self._header_bytes:
            self._problem = BadRequest(431, "headers are too long")
        for name, value in self._headers:
            low = name.lower()
            if low == "content-length" and value.strip().isdigit():
                if int(value) > self._body_bytes:
                    self._problem = BadRequest(413, "body is too long")
            elif low == "expect":
                self.wants_continue = value.lower() == "100-continue"

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""
        self._body += data
        if len(self._body) > self._body_bytes:
            self._problem = BadRequest(413, "body is too long")

    def on_message_complete(self) -> None:
        """Finishes a request."""
        self._ready.append(
            RawRequest(
                method=self._parser.get_method().decode("latin-1"),
                target=self._target.decode("latin-1"),
                headers=self._headers,
                body=bytes(self._body),
                keep_alive=self._parser.should_keep_alive(),
                began_ms=self._began_ms,
            )
        )
        self._reset()

    def _begin(self) -> None:
        if not self._begun:
            self._reset()
            self._begun = True
            self._in_head = True
            self._began_ms = self._now_ms

    def _reset(self) -> None:
        self._begun = False
        self._in_head = False
        self._began_ms = 0
        self._seen = 0
        self._head_bytes = 0
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()
        self.wants_continue = False
