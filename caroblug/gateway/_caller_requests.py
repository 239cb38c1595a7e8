"""Incremental parsing of callers' HTTP requests."""

from collections.abc import Callable

import attrs
import httptools

from caroblug.core.access import RequestLimits


@attrs.define
class RawRequest:
    """A complete HTTP request.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: Pairs of name and value, in the order and case received.
        body: Body without its transfer framing.
        keep_alive: Whether the connection may carry another request.
        began_ms: Time at which the first byte was read.
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
    caller can't know of smaller ones that come into force meanwhile.

    Args:
        limits: Function that returns the limits in force.
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
        complete, self._complete = self._complete, []
        return complete

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Starts a new request."""
        self._begin()

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds one header."""
        self._head_bytes_parsed += len(name) + len(value) + 4
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
        self._body += data
        if len(self._body) > self._body_bytes():
            self._problem = BadRequest(413, "body is too long")

    def on_message_complete(self) -> None:
        """Adds the completed request to those that `feed` returns."""
        self._complete.append(
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
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()
        self.wants_continue = False
