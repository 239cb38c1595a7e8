"""Tests of servers that send bytes without end, or a byte at a time.

They guard against a gateway that stops, runs out of memory or leaves callers
without an answer because of one server.
"""

import itertools

import gevent
import pytest
from gevent import server

from caroblug.core.responses import ResponseFilter
from caroblug.gateway import (
    ExchangeFailure,
    KeptConnections,
    fetch,
    format_request,
)
from caroblug.gateway import _http_client as http_client
from caroblug.gateway._events import (
    MAX_EVENT_BYTES,
    EventSequence,
    OversizedEvent,
)
from caroblug.gateway._exchange_results import FailureKind, ReadTimeout
from caroblug.gateway._http_client import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    Exchange,
)
from caroblug.gateway.tests.test_fleet import make_engine
from caroblug.gateway.tests.test_stream_rejections import (
    LAYERS,
    EngineExchange,
    Gateway,
)
from caroblug.utils import ManualClock

PIECE_BYTES = 4096
MAX_READS = 10_000
TIMEOUT_S = 2.0
REQUEST = format_request("GET", "/", [("Host", "h")])
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
HEADS = {
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "header name": (OK, b"x"),
    "header value": (OK + b"X: ", b"x"),
    "header lines": (OK, b"X-Pad: 1\r\n"),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
}
FRAMINGS = {
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"1;", b"x"),
    "extensions of small chunks": (
        CHUNKED,
        b"1;" + b"x" * 500 + b"\r\nb\r\n",
    ),
    "trailers": (CHUNKED + b"1\r\nb\r\n0\r\n", b"X-Pad: 1\r\n"),
}
BODIES = {
    "chunks": (CHUNKED, b"400\r\n" + b"b" * 1024 + b"\r\n"),
    "no length": (OK + b"\r\n", b"b"),
    "long length": (OK + b"Content-Length: 99999999999\r\n\r\n", b"b"),
}
ALL = HEADS | FRAMINGS | BODIES


def pieces(form, size):
    """Yields the beginning of an answer, and then its repeated part."""
    begin, repeated = ALL[form]
    if begin:
        yield begin
    block = repeated * max(1, size // len(repeated))
    for at in itertools.cycle(range(0, len(block), size)):
        yield block[at : at + size]


class EndlessSocket:
    """A socket on which bytes arrive without end.

    Attributes:
        received: Number of bytes that were read.
        closed: Whether it has been closed.
    """

    def __init__(self, form, size, clock=None, interval_ms=0) -> None:
        self._pieces = pieces(form, size)
        self._clock = clock
        self._interval_ms = interval_ms
        self.received = 0
        self.closed = False

    def settimeout(self, timeout_s):
        """Needs no timeout: something always arrives."""

    def recv(self, size):
        data = next(self._pieces)
        self.received += len(data)
        if self._clock is not None:
            self._clock.advance(self._interval_ms)
        return data

    def close(self):
        self.closed = True


def read_all(sock, timeout_s=1e6):
    exchange = Exchange(("127.0.0.1", 1))
    exchange._socket = sock
    head = exchange.read_head(timeout_s)
    if isinstance(head, ReadTimeout | ExchangeFailure):
        return head
    return exchange.read_body(timeout_s)


@pytest.mark.parametrize("form", HEADS | FRAMINGS)
@pytest.mark.parametrize("size", [PIECE_BYTES, 7])
def test_endless_head_or_framing_is_bounded_in_bytes(form, size):
    sock = EndlessSocket(form, size)

    result = read_all(sock)

    assert result.failure in (FailureKind.TOO_LONG, FailureKind.NOT_HTTP)
    assert sock.received <= 2 * MAX_HEAD_BYTES
    assert sock.closed


@pytest.mark.parametrize("form", BODIES)
def test_endless_body_is_bounded_in_bytes(form):
    sock = EndlessSocket(form, PIECE_BYTES)

    result = read_all(sock)

    assert result == ExchangeFailure(FailureKind.TOO_LONG, sent=False)
    assert sock.received <= MAX_BODY_BYTES * 1.1
    assert sock.closed


@pytest.mark.parametrize("form", ALL)
def test_answer_that_trickles_in_is_bounded_in_time(form, monkeypatch):
    clock = ManualClock(0)
    monkeypatch.setattr(http_client, "_CLOCK", clock)
    sock = EndlessSocket(form, 1, clock, interval_ms=50)

    result = read_all(sock, TIMEOUT_S)

    assert isinstance(result, ReadTimeout | ExchangeFailure)
    assert clock.now_ms() <= 2 * TIMEOUT_S * 1000 + 100


def test_other_greenlets_get_their_turn_while_bytes_arrive():
    # Guards against a gateway that serves nobody else meanwhile.
    turns = []
    other = gevent.spawn(
        lambda: [turns.append(gevent.sleep(0)) for _ in range(10_000)]
    )
    sock = EndlessSocket("chunks", PIECE_BYTES)

    read_all(sock)

    other.kill()
    assert len(turns) >= sock.received / PIECE_BYTES / 16


def test_search_for_the_end_of_a_head_does_not_begin_anew():
    # Guards against work that grows with the square of the bytes.
    checked = ResponseFilter()
    searched = 0

    class CountingHead(bytearray):
        def __getitem__(self, index):
            nonlocal searched
            part = super().__getitem__(index)
            searched += len(part)
            return part

        def find(self, *args):
            raise AssertionError("the whole head is searched")

    checked.feed(b"HTTP/1.1 200 OK\r\nX: ")
    checked._pending = CountingHead(checked._pending)
    for _ in range(10_000):
        checked.feed(b"x")

    assert searched <= 10_000 * 16


@pytest.mark.parametrize("size", [PIECE_BYTES, 64])
def test_endless_event_is_bounded_in_bytes(size):
    events = EventSequence()
    fed = 0
    while not isinstance(events.feed(b"x" * size), OversizedEvent):
        fed += size

    assert fed <= MAX_EVENT_BYTES


class EndlessServer:
    """A server that answers each request without end.

    Attributes:
        open: Number of connections on which it is sending.
        closed: Number of connections that were closed under it.
    """

    def __init__(self, form) -> None:
        self._form = form
        self.open = 0
        self.closed = 0
        self._server = server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = ("127.0.0.1", self._server.address[1])

    def close(self) -> None:
        self._server.stop(timeout=0)

    def _serve(self, sock, peer) -> None:
        del peer
        self.open += 1
        try:
            sock.recv(65536)
            for piece in pieces(self._form, PIECE_BYTES):
                sock.sendall(piece)
                gevent.sleep(0)
        except OSError:
            self.closed += 1
        finally:
            self.open -= 1
            sock.close()


@pytest.fixture(params=ALL)
def endless(request):
    made = EndlessServer(request.param)
    yield made
    made.close()


def wait_until_closed(server):
    """Waits until the server has noticed that its connections are closed."""
    with gevent.Timeout(20):
        while server.open:
            gevent.sleep(0.001)


def test_call_to_store_peer_or_order_ends_and_closes(endless):
    result = fetch(endless.address, REQUEST, 5.0)

    assert isinstance(result, ExchangeFailure)
    wait_until_closed(endless)
    assert endless.closed == 1


def test_report_or_health_check_ends_and_closes(endless):
    connections = KeptConnections(ManualClock(0))

    result = connections.fetch(endless.address, REQUEST, 5.0)

    assert isinstance(result, ExchangeFailure)
    wait_until_closed(endless)
    assert not connections.is_idle(endless.address)


@pytest.mark.parametrize(
    "chunk", [b"id: %d\ndata: x\n\n", b"id: 0\ndata: %d\n\n", b"data: %d\n\n"]
)
def test_stream_whose_events_never_end_ends_at_its_deadline(monkeypatch, chunk):
    # Guards against streams that outlast their deadline because events arrive
    # without a pause.
    gateway = Gateway(monkeypatch, make_engine("e1", 0, LAYERS))
    numbers = itertools.count(1)

    def read_chunk(self, timeout_s):
        number = next(numbers)
        assert number < MAX_READS
        gateway.context.clock.advance(100)
        return chunk % number

    monkeypatch.setattr(EngineExchange, "read_chunk", read_chunk)

    pending = gateway.stream()

    assert pending.reply.begun
    assert not pending.reply.complete


@pytest.mark.parametrize(
    "answer", [ExchangeFailure(FailureKind.TOO_LONG, True), b"x" * 70_000]
)
def test_engine_that_sends_without_end_is_ejected(monkeypatch, answer):
    # Guards against one stream after another that such an engine breaks off.
    gateway = Gateway(monkeypatch, make_engine("e1", 0, LAYERS))
    monkeypatch.setattr(EngineExchange, "read_chunk", lambda *_: answer)

    gateway.stream()

    assert gateway.context.fleet.is_failing("e1")
