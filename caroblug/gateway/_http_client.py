"""One HTTP request over one new connection.

A connection is never used twice. A kept one may be dropped by the other side
unseen, or hold the late second answer of an earlier request; each would need a
guard of its own, and a request that may not be repeated could not be tried
again. What a new connection costs is a round trip inside the data centre.
"""

import collections
import socket as stdlib_socket

import gevent
import httptools
from gevent import socket

from caroblug.gateway._exchange_results import (
    EndOfBody,
    ExchangeFailure,
    FailureKind,
    HttpResponse,
    ReadTimeout,
    ResponseHead,
)

Address = tuple[str, int]

_RECEIVE_BYTES = 65536
_MOST_WAITS = 12
_DEAD_PEER_MS = 4000
"""Unacknowledged bytes and unanswered probes end a connection after this.

Guards against a peer without power or behind a cut: it answers nothing, not
even a reset, and a write would wait for the kernel's own quarter of an hour.
"""


class Exchange:
    """A request and its answer, read piece by piece.

    Args:
        address: Host and port.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._socket: socket.socket | None = None
        self._sent = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[str, str]] = []
        self._pieces: collections.deque[bytes] = collections.deque()
        self._head_done = False
        self._done = False
        self._framed = False
        self._bodiless = False

    @property
    def sent(self) -> bool:
        """Whether a byte of the request may have left."""
        return self._sent

    def connect(self, timeout_s: float) -> ExchangeFailure | None:
        """Opens the connection; returns what went wrong, if anything."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket = sock
        set_socket_options(sock)
        sock.settimeout(max(0.001, timeout_s))
        try:
            sock.connect(self._address)
        except ConnectionRefusedError:
            return self._broken(FailureKind.REFUSED)
        except OSError:
            return self._broken(FailureKind.CONNECT)
        return None

    def send(
        self, data: bytes, timeout_s: float, bodiless: bool = False
    ) -> ExchangeFailure | None:
        """Sends the whole request.

        Args:
            data: ResponseHead and body.
            timeout_s: Bound on the sending.
            bodiless: Whether the answer has no body whatever its head says,
                as for HEAD.
        """
        self._bodiless = bodiless
        self._sent = True
        self._socket.settimeout(max(0.001, timeout_s))
        try:
            self._socket.sendall(data)
        except OSError:
            # The other side may have answered before it read the body and
            # closed; what it said is then still to be read.
            return (
                None if self._has_bytes() else self._broken(FailureKind.RESET)
            )
        return None

    def read_head(
        self, timeout_s: float
    ) -> ResponseHead | ReadTimeout | ExchangeFailure:
        """Waits for the head of the answer."""
        while not self._head_done:
            problem = self._receive(timeout_s)
            if problem is not None:
                return problem
        status = self._parser.get_status_code()
        return ResponseHead(status, tuple(self._headers))

    def read_chunk(
        self, timeout_s: float
    ) -> bytes | EndOfBody | ReadTimeout | ExchangeFailure:
        """Waits for more of the body."""
        while not self._pieces:
            if self._done:
                return EndOfBody()
            problem = self._receive(timeout_s)
            if problem is not None:
                return problem
        return self._pieces.popleft()

    def read_body(
        self, timeout_s: float
    ) -> bytes | ReadTimeout | ExchangeFailure:
        """Reads the body to its end, with `timeout_s` for each piece."""
        pieces = []
        while True:
            piece = self.read_chunk(timeout_s)
            if isinstance(piece, EndOfBody):
                return b"".join(pieces)
            if not isinstance(piece, bytes):
                return piece
            pieces.append(piece)

    def is_open(self, wait_s: float) -> bool:
        """Waits on an idle connection; returns whether it is still open.

        Bytes that nobody asked for are no answer to anything: they end it.
        """
        self._socket.settimeout(max(0.001, wait_s))
        try:
            self._socket.recv(1)
        except TimeoutError:
            return True
        except OSError:
            # A reset says what the return value says.
            return False
        return False

    def close(self) -> None:
        """Ends the connection; the other side drops what it still does."""
        if self._socket is not None:
            self._socket.close()

    # Callbacks of the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes one header."""
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Notes how the body's end will be known."""
        if self._parser.get_status_code() < 200:
            return
        for name, _ in self._headers:
            if name.lower() in ("content-length", "transfer-encoding"):
                self._framed = True
        self._head_done = True
        if self._bodiless:
            self._done = True

    def on_body(self, data: bytes) -> None:
        """Takes a piece of the body."""
        if not self._done:
            self._pieces.append(bytes(data))

    def on_message_complete(self) -> None:
        """Notes the end; whatever follows belongs to no request."""
        if self._parser.get_status_code() < 200:
            self._headers.clear()
            return
        self._done = True

    def _receive(
        self, timeout_s: float
    ) -> ReadTimeout | ExchangeFailure | None:
        self._socket.settimeout(max(0.001, timeout_s))
        try:
            data = self._socket.recv(_RECEIVE_BYTES)
        except TimeoutError:
            return ReadTimeout()
        except OSError:
            return self._broken(FailureKind.RESET)
        if not data:
            return self._on_closed()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._done:
                return self._broken(FailureKind.NOT_HTTP)
        return None

    def _on_closed(self) -> ExchangeFailure | None:
        """Handles the other side's orderly end of the connection."""
        if self._head_done and not self._framed:
            self._done = True
            return None
        return self._broken(
            FailureKind.CUT_SHORT if self._head_done else FailureKind.RESET
        )

    def _has_bytes(self) -> bool:
        self._socket.settimeout(0.0)
        try:
            return bool(self._socket.recv(1, stdlib_socket.MSG_PEEK))
        except OSError:
            return False

    def _broken(self, failure: FailureKind) -> ExchangeFailure:
        self.close()
        return ExchangeFailure(failure, self._sent)


def set_socket_options(sock) -> None:
    """Lets small writes go at once and dead peers be found."""
    sock.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)
    sock.setsockopt(
        stdlib_socket.IPPROTO_TCP,
        stdlib_socket.TCP_USER_TIMEOUT,
        _DEAD_PEER_MS,
    )


def fetch(
    address: Address,
    request: bytes,
    timeout_s: float,
    connect_s: float | None = None,
) -> HttpResponse | ExchangeFailure:
    """Sends a request and reads the whole answer.

    Args:
        address: Host and port.
        request: ResponseHead and body.
        timeout_s: Bound on each wait; all of them together are bounded by
            `_MOST_WAITS` times that, so that an answer whose bytes come one
            by one has an end.
        connect_s: Bound on the connecting, if another one.
    """
    exchange = Exchange(address)
    try:
        with gevent.Timeout(timeout_s * _MOST_WAITS, False):
            return _fetch(exchange, request, timeout_s, connect_s or timeout_s)
        return ExchangeFailure(FailureKind.SILENT, exchange.sent)
    finally:
        exchange.close()


def _fetch(
    exchange: Exchange, request: bytes, timeout_s: float, connect_s: float
) -> HttpResponse | ExchangeFailure:
    problem = exchange.connect(connect_s)
    if problem is None:
        problem = exchange.send(request, timeout_s)
    if problem is not None:
        return problem
    head = exchange.read_head(timeout_s)
    if isinstance(head, ReadTimeout):
        return ExchangeFailure(FailureKind.SILENT, sent=True)
    if isinstance(head, ExchangeFailure):
        return head
    body = exchange.read_body(timeout_s)
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
    """Returns the bytes of a request that ends its connection."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if body or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + body
