"""Tests of streams that ask for admission, without sockets."""

import attrs
import gevent

from caroblug.core.access import (
    Account,
    Admitted,
    Configuration,
    Route,
    RouteKind,
    Share,
)
from caroblug.core.admission import Refuse
from caroblug.core.placement import NoPath, Path, RoomReport
from caroblug.gateway._admission_inputs import find_ranks, has_ranked_routes
from caroblug.gateway._caller_requests import RawRequest
from caroblug.gateway._crash_suspicions import CrashSuspicions
from caroblug.gateway._interfaces import CallerRequest
from caroblug.gateway._limit_permits import LimitPermits
from caroblug.gateway._pending_request import PendingRequest
from caroblug.gateway._run_results import RunEnd, RunResult
from caroblug.gateway._running_streams import RunningStreams
from caroblug.gateway._stream_admission import StreamAdmission
from caroblug.gateway._stream_retry_policy import StreamRetryPolicy
from caroblug.gateway._stream_state import make_stream_state
from caroblug.gateway._streams import StreamHandler
from caroblug.gateway.tests.fakes import FakeDialect, make_context
from caroblug.gateway.tests.test_fleet import POOL, list_of, make_engine

ENGINES = [make_engine(f"e{n}", 16 * n, 16 * n + 16) for n in range(5)]
TIMEOUT_MS = 20_000


class FakeReply:
    """Records the response."""

    def __init__(self) -> None:
        self.begun = False
        self.status = None
        self.headers = None

    def send(self, status, headers, body=b""):
        self.status = status
        self.headers = headers


class FakeRunner:
    """Runs a stream until the test ends it."""

    def __init__(self, state, end=RunEnd.COMPLETE) -> None:
        self.state = state
        self.end = end
        self.ended = gevent.event.Event()

    def run(self, stream, path):
        self.state.begin_run(path)
        try:
            self.ended.wait()
        finally:
            self.state.end_run()
        return RunResult(self.end)


class RefusalDialect(FakeDialect):
    """Dialect that encodes a retry delay."""

    def own_headers(self, caller, retry_after_ms):
        return [("retry", retry_after_ms)]


def make_route(name="alerts", priority=0, **fields):
    return Route(
        name,
        "host",
        f"/{name}/",
        RouteKind.STREAMING,
        (Share("pool", 1.0),),
        TIMEOUT_MS,
        priority=priority,
        resumable=True,
        max_attempts=3,
        **fields,
    )


ROUTES = [make_route(), make_route("notices", 1), make_route("digests", 2)]


class Site:
    """A gateway and a chain of five engines with 46,900 tokens."""

    def __init__(self, use: float | None) -> None:
        self.context = make_context()
        self.clock = self.context.clock
        self.context.dialect = RefusalDialect()
        self.context.configuration = Configuration(
            5, {"host": tuple(ROUTES)}, {"pool": POOL}
        )
        self.fleet = self.context.fleet
        self.fleet.update_listing(list_of(*ENGINES), self.clock.now_ms())
        self.fleet.loads.gateways = 1
        self.crashes = CrashSuspicions(self.context)
        self.permits = LimitPermits(self.context, None)
        self.admission = StreamAdmission(self.context)
        self.results = {}
        if use is not None:
            self.report(use)

    def report(self, use: float) -> None:
        """Lets all engines report the use of their memory."""
        self.clock.advance(200)
        now_ms = self.clock.now_ms()
        for engine in ENGINES:
            report = RoomReport(use, 10, 0, now_ms)
            assert self.fleet.rooms.on_report(engine.name, report, now_ms)

    def make_pending(
        self, name="r", priority=0, tokens=1000, deadline_ms=TIMEOUT_MS
    ):
        now_ms = self.clock.now_ms()
        request = RawRequest("POST", "/alerts/", [], b"", True, now_ms)
        caller = CallerRequest(
            name, deadline_ms, None, "host", None, tokens, 0, ()
        )
        admitted = Admitted(ROUTES[0], POOL, None, priority, 5)
        return PendingRequest(
            request, caller, admitted, FakeReply(), now_ms + deadline_ms
        )

    def make_state(self, **fields):
        return make_stream_state(self.context, self.make_pending(**fields))

    def ask(self, state, run_end=RunEnd.COMPLETE):
        """Lets a stream ask for a path and run, in a greenlet of its own."""
        policy = StreamRetryPolicy(state, self.crashes, None, self.permits)
        runner = FakeRunner(state, run_end)

        def serve():
            with self.admission.open_ticket(state, policy) as ticket:
                path = ticket.choose_path()
                self.results[state.pending.caller.id] = path
                if isinstance(path, Path):
                    ticket.run(runner, None, path)

        greenlet = gevent.spawn(serve)
        gevent.sleep(0)
        gevent.sleep(0)
        return greenlet, runner

    @property
    def gate(self):
        return self.admission._gates["pool"]

    def serve_waiting(self, advance_ms=50):
        self.clock.advance(advance_ms)
        self.gate.serve_once()
        gevent.sleep(0)

    def count(self, outcome, rank=0):
        return self.context.telemetry.value(
            "admissions", outcome=outcome, rank=str(rank)
        )


def test_nobody_is_refused_before_engines_report_their_memory():
    # Guards against refusals on a platform whose engines report no memory.
    site = Site(use=None)
    site.fleet.loads.add_request([e.name for e in ENGINES], 200_000)

    for n in range(50):
        site.ask(site.make_state(name=f"r{n}", priority=2))

    assert len(site.results) == 50
    assert all(isinstance(path, Path) for path in site.results.values())


def test_reports_of_another_service_let_nobody_be_refused():
    # Guards against refusals for engines without reports because those of
    # another service report their memory.
    site = Site(use=None)
    other = attrs.evolve(make_engine("n1", 0, 80), service="night")
    site.fleet.update_listing(list_of(*ENGINES, other), site.clock.now_ms())
    report = RoomReport(0.99, 10, 0, site.clock.now_ms())
    site.fleet.rooms.on_report("n1", report, site.clock.now_ms())
    site.fleet.loads.add_request([e.name for e in ENGINES], 200_000)

    for n in range(50):
        site.ask(site.make_state(name=f"r{n}", priority=2))

    assert len(site.results) == 50
    assert all(isinstance(path, Path) for path in site.results.values())


def test_stream_with_room_begins_at_once():
    site = Site(use=0.5)

    site.ask(site.make_state())

    assert isinstance(site.results["r"], Path)
    assert site.count("admitted") == 1
    assert site.count("waits") == 0


def test_stream_waits_until_room_is_released():
    # Guards against streams sent to full engines, which preempt others.
    site = Site(use=0.9)
    _, running = site.ask(site.make_state(name="first", tokens=2000))
    site.ask(site.make_state(name="second", tokens=2000))
    assert "second" not in site.results

    running.ended.set()
    gevent.sleep(0)
    gevent.sleep(0)
    site.serve_waiting()

    assert isinstance(site.results["second"], Path)
    assert site.count("waits") == 1
    assert site.count("admitted") == 2


def test_release_wakes_the_queue_without_a_timer():
    site = Site(use=0.9)
    _, running = site.ask(site.make_state(name="first", tokens=2000))
    site.ask(site.make_state(name="second", tokens=2000))
    site.gate._interval_s = 1000

    running.ended.set()
    for _ in range(10):
        gevent.sleep(0)

    assert isinstance(site.results["second"], Path)


def test_waiting_streams_count_each_other_before_they_run():
    # Guards against all waiting streams sent into the same released memory.
    site = Site(use=0.95)
    for n in range(3):
        site.ask(site.make_state(name=f"r{n}", deadline_ms=9000, tokens=700))
    assert not site.results

    site.report(0.934)
    site.serve_waiting(advance_ms=500)

    assert len(site.results) == 1


def test_stream_waits_whose_wait_can_not_be_estimated():
    # Guards against a stream that fails behind more urgent ones.
    site = Site(use=0.95)
    for n in range(5):
        site.ask(site.make_state(name=f"r{n}", deadline_ms=9000, tokens=2000))
    state = site.make_state(name="late", priority=2, deadline_ms=9000)
    waiting, _ = site.ask(state)

    assert waiting.exception is None
    assert site.gate.admission.waiting == 6
    site.report(0.1)
    site.serve_waiting(advance_ms=500)
    assert len(site.results) == 6


def test_stream_that_fails_as_it_begins_to_wait_leaves_the_queue():
    # Guards against a queue that serves nobody behind a failed stream.
    site = Site(use=0.95)
    site.ask(site.make_state(name="first", deadline_ms=9000, tokens=700))
    on_wait = site.gate.log.on_wait
    site.gate.log.on_wait = lambda *args: 1 / 0
    failed, _ = site.ask(site.make_state(name="second", deadline_ms=9000))
    site.gate.log.on_wait = on_wait

    assert isinstance(failed.exception, ZeroDivisionError)
    assert site.gate.admission.waiting == 1
    site.report(0.1)
    site.serve_waiting(advance_ms=500)
    assert list(site.results) == ["first"]


def test_no_path_is_searched_for_while_a_layer_has_no_room():
    # Guards against a search over all engines every 50 ms for each queue.
    site = Site(use=0.95)
    site.ask(site.make_state(deadline_ms=9000))
    searches = []
    site.fleet.choose_first_path = lambda *args: searches.append(args)

    site.serve_waiting()
    assert not searches

    site.report(0.5)
    site.serve_waiting(advance_ms=500)
    assert searches


def test_more_urgent_stream_gets_room_first():
    site = Site(use=0.94)
    for rank in (2, 1, 0):
        site.ask(
            site.make_state(
                name=str(rank), priority=rank, tokens=1500, deadline_ms=9000
            )
        )

    site.report(0.91)
    site.serve_waiting(advance_ms=500)

    assert list(site.results) == ["0"]


def test_stream_without_room_is_refused_when_it_can_not_be_on_time():
    site = Site(use=0.94)
    site.ask(site.make_state(tokens=2000))

    site.serve_waiting(advance_ms=350)

    assert isinstance(site.results["r"], Refuse)
    assert site.count("refused") == 1


def test_place_of_a_caller_that_leaves_is_free_at_once():
    # Guards against room kept for callers that are gone.
    site = Site(use=0.94)
    greenlet, _ = site.ask(site.make_state(tokens=2000))
    assert site.gate.admission.waiting == 1

    greenlet.kill()

    assert site.gate.admission.waiting == 0
    site.report(0.1)
    site.serve_waiting()
    assert site.results == {}


def test_begun_stream_is_never_refused_while_a_path_exists():
    # Guards against responses cut by admission control.
    site = Site(use=0.999)
    state = site.make_state(tokens=2000)
    state.pending.reply.begun = True
    site.ask(state)

    site.serve_waiting(advance_ms=600)

    assert isinstance(site.results["r"], Path)


def test_stream_that_may_have_run_is_not_refused():
    # Guards against requests failed with 502 for lack of room.
    site = Site(use=0.999)
    state = site.make_state(tokens=2000)
    state.pending.ran = 1
    site.ask(state)

    site.serve_waiting(advance_ms=4100)

    assert isinstance(site.results["r"], Path)


def test_rejected_run_releases_no_room():
    # Guards against a rate of released memory that grows with rejections.
    site = Site(use=0.5)
    for n, end in enumerate((RunEnd.REJECTED, RunEnd.LOST, RunEnd.COMPLETE)):
        _, runner = site.ask(site.make_state(name=f"r{n}"), end)
        runner.ended.set()
        gevent.sleep(0)
        gevent.sleep(0)

    released = site.gate.admission._releases._released
    assert released.total(site.clock.now_ms()) == 1000


def test_stream_without_engines_does_not_wait_for_memory():
    site = Site(use=0.94)
    site.fleet.update_listing(list_of(*ENGINES[1:], end=2), 100_000)

    site.ask(site.make_state())

    assert site.results["r"] == NoPath(0)


def test_refusal_has_its_own_retry_delay():
    # Guards against callers that return before there can be room.
    site = Site(use=0.94)
    handler = StreamHandler(
        site.context,
        site.crashes,
        RunningStreams(site.context),
        None,
        site.permits,
    )
    pending = site.make_pending(tokens=2000)
    gevent.spawn(handler.serve, pending)
    gevent.sleep(0)
    site.clock.advance(350)
    handler._admission._gates["pool"].serve_once()
    gevent.sleep(0)
    gevent.sleep(0)

    assert pending.reply.status == 503
    ((_, delay_ms),) = pending.reply.headers
    assert delay_ms >= 700


def test_ranks_are_those_of_streaming_routes_and_accounts():
    plain = attrs.evolve(make_route("plain", 7), kind=RouteKind.SAFE)
    other = attrs.evolve(make_route("x", 8), shares=(Share("other", 1.0),))
    routes = (make_route(), make_route("digests", 2), plain, other)
    configuration = Configuration(1, {"host": routes}, {})

    assert find_ranks(configuration, "pool") == [0, 2]
    assert find_ranks(None, "pool") == []
    assert has_ranked_routes(configuration, "pool")
    assert not has_ranked_routes(None, "pool")
    keys = {"k1": Account("a1"), "k2": Account("a2", 4)}
    with_accounts = attrs.evolve(configuration, keys=keys)
    assert find_ranks(with_accounts, "pool") == [0, 2, 4]


def test_ranks_without_difference_reserve_nothing():
    # Guards against lower use of the memory of a service with one priority.
    site = Site(use=0.5)
    site.context.configuration = Configuration(
        5, {"host": (make_route(),)}, {"pool": POOL}
    )

    for n in range(20):
        site.ask(site.make_state(name=f"r{n}", priority=0))

    assert site.gate.admission.max_use(1, site.clock.now_ms()) == 0.95


def test_streams_of_one_priority_are_not_refused_for_lack_of_room():
    # Guards against refusals in fleets whose callers are all equally urgent.
    site = Site(use=0.99)
    site.context.configuration = Configuration(
        6, {"host": (ROUTES[0],)}, {"pool": POOL}
    )
    site.clock.advance(600)
    site.ask(site.make_state(name="first"))

    assert isinstance(site.results["first"], Path)
