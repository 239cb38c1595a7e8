"""Tests what a stream does after rejections, and how it is refused.

The streams, paths and budgets are the real ones. Engines are simulated by the
exchanges that the streams open.
"""

import collections

import attrs
import gevent
import pytest

from caroblug.core.access import (
    Admitted,
    Configuration,
    Route,
    RouteKind,
    Service,
    Share,
    index_routes,
)
from caroblug.core.limits import RetryClass, WindowedRetryBudget
from caroblug.core.placement.tests.fleets import MODEL
from caroblug.gateway import AnswerMetadata, CallerRequest, RawRequest
from caroblug.gateway import _stream_state as stream_state
from caroblug.gateway._crash_suspicions import CrashSuspicions
from caroblug.gateway._exchange_results import (
    EndOfBody,
    ExchangeFailure,
    FailureKind,
    ResponseHead,
)
from caroblug.gateway._interfaces import RunState
from caroblug.gateway._limit_permits import LimitPermits
from caroblug.gateway._peers import Peers
from caroblug.gateway._pending_request import PendingRequest
from caroblug.gateway._running_streams import RunningStreams
from caroblug.gateway._shared_retry_budget import SharedRetryBudget
from caroblug.gateway._streams import StreamHandler
from caroblug.gateway.tests.fakes import FakeRegistry, make_context
from caroblug.gateway.tests.test_fleet import list_of, make_engine

LAYERS = 16
SMALL_MODEL = attrs.evolve(MODEL, layers=LAYERS)
"""Model that one engine can hold, with memory left for requests."""

POOL = Service("pool", "/health", 10, SMALL_MODEL)
NO_CAPACITY_MS = 700
"""Mean of the retry delay that is sent while engines lack room."""


def make_route(priority):
    return Route(
        f"r{priority}",
        "h",
        f"/{priority}/",
        RouteKind.STREAMING,
        (Share("pool", 1.0),),
        20_000,
        priority=priority,
        max_attempts=3,
        resumable=True,
    )


class Reply:
    """Records the response to a caller."""

    def __init__(self) -> None:
        self.begun = False
        self.status = None
        self.headers = {}
        self.complete = False

    def send(self, status, headers, body) -> None:
        self.status = status
        self.headers = dict(headers)

    def begin(self, status, headers) -> None:
        self.begun = True
        self.status = status

    def send_chunk(self, data) -> None:
        """Accepts a part of the response."""

    def finish(self) -> None:
        self.complete = True

    def end_connection(self) -> None:
        """Accepts that the response is cut."""


class Engines:
    """Responses of engines to the requests of streams, by port."""

    def __init__(self) -> None:
        self.answers = collections.defaultdict(collections.deque)
        self.requests: list[int] = []

    def open(self, address):
        return EngineExchange(self, address[1])


class EngineExchange:
    """Exchange with a simulated engine."""

    def __init__(self, engines: Engines, port: int) -> None:
        self._engines = engines
        self._port = port
        self._chunks = collections.deque()
        self.sent = False

    def connect(self, timeout_s):
        return None

    def send(self, data, timeout_s):
        answers = self._engines.answers[self._port]
        if answers and answers[0] == "unsent":
            answers.popleft()
            return ExchangeFailure(FailureKind.RESET, sent=False)
        self._engines.requests.append(self._port)
        self.sent = True
        return None

    def read_head(self, timeout_s):
        answers = self._engines.answers[self._port]
        answer = answers.popleft() if answers else "whole"
        if answer == "reset":
            return ExchangeFailure(FailureKind.RESET, sent=True)
        if answer == "cut":
            self._chunks.append(b"id: 0\ndata: x\n\n")
            self._chunks.append(ExchangeFailure(FailureKind.RESET, sent=True))
        status = 503 if answer == "full" else 200
        return ResponseHead(status, (("answer", answer),))

    def read_chunk(self, timeout_s):
        return self._chunks.popleft() if self._chunks else EndOfBody()

    def close(self) -> None:
        """Nothing is open."""


class Gateway:
    """Gateway with one stream service, without sockets."""

    def __init__(self, monkeypatch, *engines, extra=50, priorities=(0, 2)):
        self.context = make_context()
        self.context.retry_budget = WindowedRetryBudget(0.0, extra, 10_000)
        self.context.fleet.loads.gateways = 1
        self.context.configuration = None
        self.routes = {p: make_route(p) for p in priorities}
        self.context.apply_configuration(
            Configuration(
                6, index_routes(list(self.routes.values())), {"pool": POOL}
            ),
            "",
            "test",
        )
        self.context.fleet.update_listing(
            list_of(*engines), self.context.clock.now_ms()
        )
        dialect = self.context.dialect
        dialect.encode_request = lambda *args: (b"request",)
        dialect.decode_answer = self._decode_answer
        dialect.own_headers = lambda caller, after_ms: [("after", after_ms)]
        self.engines = Engines()
        monkeypatch.setattr(stream_state, "Exchange", self.engines.open)
        self.crashes = crashes = CrashSuspicions(self.context)
        self._peers = Peers(self.context, FakeRegistry(), crashes)
        monkeypatch.setattr(gevent, "sleep", self._sleep)
        self._handler = StreamHandler(
            self.context,
            crashes,
            RunningStreams(self.context),
            SharedRetryBudget(self.context, self._peers),
            LimitPermits(self.context, self._peers.calls),
        )

    def stream(self, priority=2) -> PendingRequest:
        """Serves one stream and returns its request."""
        now_ms = self.context.clock.now_ms()
        caller = CallerRequest("id", None, None, "h", None, 700, 300, ())
        pending = PendingRequest(
            RawRequest("POST", "/2/", [], b"", True, now_ms),
            caller,
            Admitted(self.routes[priority], POOL, None, priority, 6),
            Reply(),
            now_ms + 20_000,
        )
        self._handler.serve(pending)
        return pending

    def answer(self, name: str, *answers: str) -> None:
        """Sets the next responses of an engine."""
        port = self.context.fleet.listing.backends[name].address[1]
        self.engines.answers[port].extend(answers)

    def fill(self, name: str, use: float) -> None:
        """Counts requests that use a share of an engine's memory."""
        fleet = self.context.fleet
        engine = next(
            e
            for e in fleet.engines(POOL, self.context.clock.now_ms())
            if e.name == name
        )
        capacity = SMALL_MODEL.token_capacity(engine.kind, len(engine.holds))
        fleet.loads.add_request((name,), int(capacity * use))

    def retries_left(self, retry_class=RetryClass.BEGUN) -> float:
        return self.context.retry_budget.available(
            "pool", 1, self.context.clock.now_ms(), retry_class
        )

    def denied(self, retry_class: RetryClass) -> int:
        return self.context.telemetry.value(
            "repeats_denied", service="pool", retry_class=retry_class.label
        )

    def spend(self, retry_class: RetryClass) -> None:
        """Takes retries of a class until none is left to it."""
        budget = self.context.retry_budget
        now_ms = self.context.clock.now_ms()
        while budget.take("pool", 1, now_ms, retry_class):
            pass

    def _sleep(self, seconds: float) -> None:
        self.context.clock.advance(int(seconds * 1000))

    def _decode_answer(self, head):
        rejected = head.status == 503
        return AnswerMetadata(
            "id",
            not rejected,
            RunState.NOT_RUN if rejected else RunState.RUN,
            None,
            None,
            0,
            (),
        )


@pytest.fixture(name="gateway")
def _gateway(monkeypatch):
    return Gateway(
        monkeypatch, make_engine("e1", 0, LAYERS), make_engine("e2", 0, LAYERS)
    )


def assert_refused(pending, after_ms=NO_CAPACITY_MS):
    """Checks that the caller is told that nothing ran, and when to retry."""
    assert pending.reply.status == 503
    delay_ms = pending.reply.headers["after"]
    assert after_ms / 2 <= delay_ms <= after_ms * 3 / 2


def test_rejected_stream_goes_on_to_a_path_with_room(gateway):
    gateway.fill("e2", 0.3)
    gateway.answer("e1", "full")

    pending = gateway.stream()

    assert pending.reply.complete
    assert pending.sends == 2


def test_rejected_stream_takes_no_retry_when_no_path_has_room(gateway):
    # Guards against an overload in which each rejected stream spends retries
    # on engines that are full too.
    gateway.fill("e2", 0.97)
    gateway.answer("e1", "full")
    before = gateway.retries_left()

    pending = gateway.stream()

    assert_refused(pending)
    assert pending.sends == 1
    assert len(gateway.engines.requests) == 1
    assert gateway.retries_left() == before


def test_stream_rejected_by_the_only_engine_is_refused_for_lack_of_room(
    monkeypatch,
):
    # Guards against a retry delay for the loss of a layer, which is several
    # times longer, while its engine is only full.
    gateway = Gateway(monkeypatch, make_engine("e1", 0, LAYERS))
    gateway.answer("e1", "full")

    assert_refused(gateway.stream())


def test_stream_that_was_not_rejected_may_use_full_engines(gateway):
    # Guards against refusals by estimates alone where no engine has rejected
    # a stream.
    gateway.fill("e1", 0.97)
    gateway.fill("e2", 0.97)

    assert gateway.stream().reply.complete


def test_rejected_stream_without_a_retry_is_refused_as_not_run(monkeypatch):
    # Guards against a failure with status 502, after which a caller must not
    # retry, for a stream that no engine has run.
    gateway = Gateway(
        monkeypatch,
        make_engine("e1", 0, LAYERS),
        make_engine("e2", 0, LAYERS),
        extra=0,
    )
    for name in ("e1", "e2"):
        gateway.answer(name, "full")

    assert_refused(gateway.stream())
    assert gateway.denied(RetryClass.OTHER) == 1


def test_urgent_stream_may_retry_where_others_may_not(gateway):
    # Guards against a burst of the least urgent kind that spends the retries
    # of urgent streams.
    gateway.spend(RetryClass.OTHER)
    gateway.fill("e2", 0.1)
    gateway.answer("e1", "full")
    least_urgent = gateway.stream(priority=2)
    gateway.context.clock.advance(2000)
    gateway.answer("e1", "full")
    urgent = gateway.stream(priority=0)

    assert_refused(least_urgent)
    assert urgent.reply.complete
    assert gateway.denied(RetryClass.OTHER) == 1
    assert gateway.denied(RetryClass.MOST_URGENT) == 0


def test_begun_stream_may_retry_where_newcomers_may_not(gateway):
    # Guards against a response that is cut because rejected newcomers of the
    # most urgent rank have spent the retries.
    gateway.spend(RetryClass.MOST_URGENT)
    gateway.answer("e1", "cut")
    gateway.fill("e2", 0.1)

    begun = gateway.stream(priority=2)

    assert begun.reply.complete
    assert begun.sends == 2


def test_begun_stream_waits_for_room_without_taking_retries(gateway):
    # Guards against a stream that has begun and spends one retry after the
    # other on engines that are full.
    gateway.answer("e1", "cut")
    gateway.answer("e2", "full")
    gateway.fill("e2", 0.97)
    before = gateway.retries_left()

    pending = gateway.stream()

    assert pending.sends == 2
    assert gateway.retries_left() == before - 1


def test_stream_of_which_no_byte_was_sent_is_refused_as_not_run(gateway):
    # Guards against 502 for a stream whose connections were closed before the
    # request left.
    for name in ("e1", "e2"):
        gateway.answer(name, "unsent")

    pending = gateway.stream()

    assert pending.ran == 0
    assert pending.reply.status == 503


def test_stream_that_may_have_run_is_not_refused_as_not_run(gateway):
    # Guards against a caller that runs a request twice.
    for name in ("e1", "e2"):
        gateway.answer(name, "reset", "reset")

    pending = gateway.stream()

    assert pending.ran > 0
    assert pending.reply.status == 502


def test_later_rejections_do_not_hide_a_run(gateway):
    # Guards against a count of runs that a rejection takes back twice.
    gateway.answer("e1", "reset")
    gateway.answer("e2", "full")
    gateway.fill("e2", 0.1)

    pending = gateway.stream()

    assert pending.ran == 1
    assert pending.reply.status == 502


@pytest.mark.parametrize(("paused_ms", "checked"), [(1000, ["e1"]), (100, [])])
def test_stream_whose_caller_leaves_during_a_pause_is_checked(
    monkeypatch, paused_ms, checked
):
    # Guards against crashes without end by a stream whose callers leave before
    # the gateway sees that it has lost its engine.
    gateway = Gateway(monkeypatch, make_engine("e1", 0, LAYERS))
    names = []
    monkeypatch.setattr(
        gateway.crashes,
        "on_run_lost",
        lambda pending, process: names.append(process.name),
    )

    def leave(self, timeout_s):
        gateway.context.clock.advance(paused_ms)
        raise gevent.GreenletExit

    monkeypatch.setattr(EngineExchange, "read_head", leave)

    with pytest.raises(gevent.GreenletExit):
        gateway.stream()

    gevent.spawn(lambda: None).join()
    assert names == checked


def test_advice_in_an_answer_to_another_request_is_not_followed(monkeypatch):
    # Guards against an engine that seems to drain because of a foreign answer.
    gateway = Gateway(monkeypatch, make_engine("e1", 0, LAYERS))
    gateway.context.dialect.decode_answer = lambda head: AnswerMetadata(
        "other", True, RunState.RUN, None, None, 0, (), leaving=True
    )

    gateway.stream()

    assert not gateway.context.fleet.announced_exits()
