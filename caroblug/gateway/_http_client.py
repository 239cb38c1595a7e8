"""HTTP client that opens a new connection for each request.

Requests of callers and orders never reuse a connection. The peer may have
closed an idle connection unnoticed, and a request that isn't idempotent can't
be sent again, because a failure before the first byte of the response doesn't
show whether it ran. A new connection costs one round trip inside the data
centre. `KeptConnections` reuses connections for idempotent requests of the
gateway itself.
"""

import collections
import socket as stdlib_socket
from collections.abc import Callable

import gevent
import httptools
from gevent import socket

from caroblug import listening
from caroblug.connection_state import has_peer_received_all
from caroblug.core.responses import MalformedResponse, ResponseFilter
from caroblug.gateway._exchange_results import (
    EndOfBody,
    ExchangeFailure,
    FailureKind,
    HttpResponse,
    ReadTimeout,
    ResponseHead,
)
from caroblug.utils import MonotonicClock

Address = tuple[str, int]

MAX_HEAD_BYTES = 65_536
"""Limit on the head of a response, interim responses included."""

MAX_BODY_BYTES = 4 << 20
"""Limit on a body that is read as a whole. The largest sound one is a page of
the store with 1 MB of records, in base64."""

_SMALL_BODY_BYTES = 65_536
"""Size up to which a body is read without a reservation of memory."""

_MAX_FRAMING_RATIO = 16
"""Limit on the bytes of chunk sizes and trailers beyond `MAX_HEAD_BYTES`, for
each byte of the body. A chunk of one byte has five of them."""

_RECEIVES_PER_TURN = 8
"""Reads after which other greenlets get their turn. A read from a peer that
sends all the time never waits."""

_MIN_TIMEOUT_S = 0.001
_MS_PER_S = 1000
_CLOCK = MonotonicClock()

_RECEIVE_BYTES = 65536
MAX_WAITS = 12
"""Bound on a whole exchange, as a multiple of the timeout of each wait."""

_TCP_USER_TIMEOUT_MS = 4000
"""Time without acknowledgement after which the kernel ends a connection.

A peer that lost power or is cut off sends nothing, not even a reset, and a
write would wait for the kernel's default timeout of a quarter of an hour.
"""


class Exchange:
    """A request and its response, which is read incrementally.

    Args:
        address: Host and port.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._socket: socket.socket | None = None
        self.begin_next()

    def begin_next(self) -> None:
        """Prepares for the next request, on the same connection if any."""
        self._sent = False
        self._sent_in_full = True
        self._keep_alive = False
        self._receives = 0
        self._filter = ResponseFilter()
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[str, str]] = []
        self._head: ResponseHead | None = None
        self._chunks: collections.deque[bytes] = collections.deque()
        self._done = False
        self._ended_by_close = False
        self._without_body = False

    @property
    def sent(self) -> bool:
        """Whether any byte of the request may have been sent."""
        return self._sent

    @property
    def received(self) -> bool:
        """Whether any byte of a response has arrived."""
        return self._filter.received > 0

    @property
    def is_exact(self) -> bool:
        """Whether exactly one complete response has arrived, and no more."""
        return self._done and self._filter.is_exact

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another request.

        The peer must not have announced that it closes the connection.
        """
        return self.is_exact and self._keep_alive

    @property
    def ended_by_close(self) -> bool:
        """Whether the peer's close ended the body (`EndOfBody.by_close`)."""
        return self._ended_by_close

    def connect(self, timeout_s: float) -> ExchangeFailure | None:
        """Opens the connection.

        Args:
            timeout_s: Connect timeout.

        Returns:
            The failure, or None if the connection is open.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket = sock
        set_socket_options(sock)
        sock.setsockopt(
            stdlib_socket.SOL_SOCKET,
            stdlib_socket.SO_RCVBUF,
            listening.RECEIVE_BUFFER_BYTES,
        )
        sock.settimeout(max(_MIN_TIMEOUT_S, timeout_s))
        try:
            sock.connect(self._address)
        except ConnectionRefusedError:
            return self._fail(FailureKind.REFUSED)
        except (OSError, OverflowError, ValueError):
            # The last two are raised for a port or host that can't exist.
            return self._fail(FailureKind.CONNECT)
        return None

    def send(
        self,
        parts: tuple[bytes, ...],
        timeout_s: float,
        bodiless: bool = False,
    ) -> ExchangeFailure | None:
        """Sends the complete request.

        Args:
            parts: Head and body.
            timeout_s: Timeout for sending all of them.
            bodiless: Whether the response has no body regardless of its
                headers, as for HEAD.

        Returns:
            The failure, or None if the response can be read.
        """
        self._without_body = bodiless
        self._filter = ResponseFilter(bodiless)
        until_ms = _deadline_ms(timeout_s)
        self._socket.settimeout(max(_MIN_TIMEOUT_S, timeout_s))
        try:
            # If the first call fails, no byte has left. That shows that the
            # peer can't have run the request.
            count = self._socket.send(parts[0])
            self._sent = True
            self._socket.sendall(memoryview(parts[0])[count:])
            for part in parts[1:]:
                left_s = (until_ms - _CLOCK.now_ms()) / _MS_PER_S
                self._socket.settimeout(max(_MIN_TIMEOUT_S, left_s))
                self._socket.sendall(part)
        except OSError:
            # The peer may have responded and closed the connection before it
            # read the whole body. That response can still be read.
            self._sent_in_full = False
            return None if self._has_bytes() else self._fail(FailureKind.RESET)
        return None

    def read_head(
        self, timeout_s: float
    ) -> ResponseHead | ReadTimeout | ExchangeFailure:
        """Waits for the head of the response, for `timeout_s` in all."""
        until_ms = _deadline_ms(timeout_s)
        while self._head is None:
            problem = self._receive(until_ms)
            if problem is not None:
                return problem
        return self._head

    def read_chunk(
        self, timeout_s: float
    ) -> bytes | EndOfBody | ReadTimeout | ExchangeFailure:
        """Waits for the next chunk of the body, for `timeout_s` in all."""
        until_ms = _deadline_ms(timeout_s)
        while not self._chunks:
            if self._done:
                return EndOfBody(self._ended_by_close)
            problem = self._receive(until_ms)
            if problem is not None:
                return problem
        return self._chunks.popleft()

    def read_body(
        self,
        timeout_s: float,
        chunk_s: float | None = None,
        take_room: Callable[[], bool] = lambda: True,
    ) -> bytes | ReadTimeout | ExchangeFailure:
        """Reads the complete body, of `MAX_BODY_BYTES` at most.

        Args:
            timeout_s: Timeout of the whole body, in s.
            chunk_s: Timeout of the wait for each chunk, in s; `timeout_s` if
                it is None.
            take_room: Reserves memory for a large body, and returns whether
                it could; called once, before the body gets large.
        """
        has_room = False
        until_ms = _deadline_ms(timeout_s)
        chunks = []
        size = 0
        while True:
            left_s = (until_ms - _CLOCK.now_ms()) / _MS_PER_S
            if left_s < 0 and not self._chunks and not self._done:
                return ReadTimeout()
            wait_s = left_s if chunk_s is None else min(chunk_s, left_s)
            chunk = self.read_chunk(wait_s)
            if isinstance(chunk, EndOfBody):
                return b"".join(chunks)
            if not isinstance(chunk, bytes):
                return chunk
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_BODY_BYTES:
                return self._fail(FailureKind.TOO_LONG)
            if size > _SMALL_BODY_BYTES and not has_room:
                has_room = take_room()
                if not has_room:
                    return ReadTimeout()

    def is_open(self, wait_s: float) -> bool:
        """Waits on an idle connection and returns whether it is still open.

        Unsolicited bytes belong to no request, so that a connection that
        receives them counts as closed.
        """
        self._socket.settimeout(max(0.001, wait_s))
        try:
            self._socket.recv(1)
        except TimeoutError:
            return True
        except OSError:
            # The peer reset the connection.
            return False
        return False

    def is_quiet(self) -> bool:
        """Returns whether an idle connection is open and has no bytes."""
        self._socket.settimeout(0.0)
        try:
            self._socket.recv(1, stdlib_socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Closes the connection, which makes the peer abort the request."""
        if self._socket is not None:
            self._socket.close()
        # The parser refers to this object, which would keep a large body until
        # the next collection of cycles.
        self._parser = None
        self._chunks.clear()

    # Callbacks of httptools.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds one header."""
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Completes the head."""
        status = self._parser.get_status_code()
        self._head = ResponseHead(status, tuple(self._headers))
        if self._without_body:
            self._done = True

    def on_body(self, data: bytes) -> None:
        """Adds a chunk of the body."""
        self._chunks.append(bytes(data))

    def on_message_complete(self) -> None:
        """Records the end of the response."""
        self._done = True
        self._keep_alive = self._parser.should_keep_alive()

    def _receive(self, until_ms: float) -> ReadTimeout | ExchangeFailure | None:
        left_ms = until_ms - _CLOCK.now_ms()
        if left_ms < 0:
            return ReadTimeout()
        self._socket.settimeout(max(_MIN_TIMEOUT_S, left_ms / _MS_PER_S))
        try:
            data = self._socket.recv(_RECEIVE_BYTES)
        except TimeoutError:
            return ReadTimeout()
        except OSError:
            return self._fail(FailureKind.RESET)
        if not data:
            return self._on_closed()
        self._receives += 1
        if self._receives % _RECEIVES_PER_TURN == 0:
            gevent.sleep(0)
        return self._parse(data)

    def _parse(self, data: bytes) -> ExchangeFailure | None:
        passed = self._filter.feed(data)
        if isinstance(passed, MalformedResponse):
            return self._fail(FailureKind.NOT_HTTP)
        try:
            self._parser.feed_data(passed)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return self._fail(FailureKind.NOT_HTTP)
        return self._fail(FailureKind.TOO_LONG) if self._is_too_long() else None

    def _is_too_long(self) -> bool:
        """Returns whether head or framing exceed their limits."""
        if self._done:
            return False
        return (
            self._filter.framing_bytes
            > MAX_HEAD_BYTES + self._filter.body_bytes * _MAX_FRAMING_RATIO
        )

    def _on_closed(self) -> ExchangeFailure | None:
        """Handles an orderly close by the peer.

        It ends a body that has neither a length nor chunked encoding, if the
        peer has received the whole request. A reset looks like a close once a
        write has failed with it, and bytes before it may be lost.
        """
        if (
            self._sent_in_full
            and self._filter.close() is None
            and has_peer_received_all(self._socket)
        ):
            self._done = True
            self._ended_by_close = True
            return None
        return self._fail(
            FailureKind.RESET if self._head is None else FailureKind.CUT_SHORT
        )

    def _has_bytes(self) -> bool:
        self._socket.settimeout(0.0)
        try:
            return bool(self._socket.recv(1, stdlib_socket.MSG_PEEK))
        except OSError:
            return False

    def _fail(self, failure: FailureKind) -> ExchangeFailure:
        self.close()
        return ExchangeFailure(failure, self._sent)


def _deadline_ms(timeout_s: float) -> float:
    return _CLOCK.now_ms() + max(_MIN_TIMEOUT_S, timeout_s) * _MS_PER_S


def set_socket_options(sock) -> None:
    """Disables Nagle's algorithm and bounds the wait for a dead peer."""
    sock.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)
    sock.setsockopt(
        stdlib_socket.IPPROTO_TCP,
        stdlib_socket.TCP_USER_TIMEOUT,
        _TCP_USER_TIMEOUT_MS,
    )


def fetch(
    address: Address,
    request: bytes,
    timeout_s: float,
    connect_s: float | None = None,
) -> HttpResponse | ExchangeFailure:
    """Sends a request and reads the complete response.

    Args:
        address: Host and port.
        request: Head and body.
        timeout_s: Timeout for the head and for each wait for a part of the
            body. The whole exchange is bounded by
            `MAX_WAITS` times this value, so that a response that trickles in
            byte by byte can't last forever.
        connect_s: Connect timeout; `timeout_s` if it is None.

    Returns:
        The response, or why there is none.
    """
    exchange = Exchange(address)
    try:
        with gevent.Timeout(timeout_s * MAX_WAITS, False):
            return _fetch(exchange, request, timeout_s, connect_s or timeout_s)
        return ExchangeFailure(FailureKind.SILENT, exchange.sent)
    finally:
        exchange.close()


def _fetch(
    exchange: Exchange, request: bytes, timeout_s: float, connect_s: float
) -> HttpResponse | ExchangeFailure:
    problem = exchange.connect(connect_s)
    if problem is not None:
        return problem
    return send_and_read(exchange, request, timeout_s, timeout_s)


def send_and_read(
    exchange: Exchange, request: bytes, head_s: float, chunk_s: float
) -> HttpResponse | ExchangeFailure:
    """Sends a request on an open connection and reads the whole response.

    Args:
        exchange: Owner of the connection.
        request: Head and body.
        head_s: Timeout of the head, in s.
        chunk_s: Timeout of each wait for a chunk of the body, in s.

    Returns:
        The response, or why there is none.
    """
    problem = exchange.send((request,), head_s)
    if problem is not None:
        return problem
    head = exchange.read_head(head_s)
    if isinstance(head, ReadTimeout):
        return ExchangeFailure(FailureKind.SILENT, sent=True)
    if isinstance(head, ExchangeFailure):
        return head
    body = exchange.read_body(chunk_s * MAX_WAITS, chunk_s)
    if isinstance(body, ReadTimeout):
        return ExchangeFailure(FailureKind.SILENT, sent=True)
    if isinstance(body, ExchangeFailure):
        return body
    return HttpResponse(head, body)


def format_request(
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
) -> bytes:
    """Returns the bytes of a request.

    Args:
        method: HTTP method.
        target: Path and query.
        headers: Pairs of name and value.
        body: Body; a Content-Length header is added if it is needed.
    """
    return b"".join(format_parts(method, target, headers, (body,)))


def format_parts(
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    pieces: tuple[bytes, ...],
) -> tuple[bytes, ...]:
    """Returns a request in parts, of which the first one holds the head.

    Args:
        method: HTTP method.
        target: Path and query.
        headers: Pairs of name and value.
        pieces: Body; a Content-Length header is added if it is needed.
    """
    body_bytes = sum(map(len, pieces))
    lines = [f"{method} {target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if body_bytes or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {body_bytes}")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    return (head + pieces[0], *pieces[1:])
