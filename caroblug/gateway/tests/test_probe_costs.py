"""Tests what probes of stalled engines cost, and that they find dead ones."""

import gevent
import pytest
from gevent import event

from caroblug.gateway import EngineReport, Unavailable
from caroblug.gateway._exchange_results import FailureKind
from caroblug.gateway.tests.test_liveness import FakeStream, Site

REPORT = EngineReport(None, False, 0, (), 1.0, "big", 0)

STEP_MS = 20
MIN_INTERVAL_MS = 400
MAX_INTERVAL_MS = 2000
WAIT_S = 5.0


class FakeConnections:
    """Kept connections with preset states."""

    def __init__(self) -> None:
        self.alive: dict[tuple[str, int], int] = {}
        self.idle: set[tuple[str, int]] = set()

    def alive_ms(self, address):
        return self.alive.get(address)

    def is_idle(self, address):
        return address in self.idle


class ProbeSite(Site):
    """A site that records probes by time, and reports."""

    def __init__(self, *streams: FakeStream) -> None:
        super().__init__(*streams)
        self.times: dict[str, list[int]] = {}
        self.connections = FakeConnections()
        self.context.connections = self.connections
        self.reports: list[tuple[str, int]] = []
        self.answers_reports = True
        self.context.dialect.read_report = self._read_report

    def address(self, name: str) -> tuple[str, int]:
        engines = [p.engine for s in self.streams for p in s.path.parts]
        return next(e.address for e in engines if e.name == name)

    def _connect(self, engine):
        now_ms = self.clock.now_ms()
        self.times.setdefault(engine.name, []).append(now_ms)
        return super()._connect(engine)

    def _read_report(self, address, name):
        self.reports.append(address)
        return REPORT if self.answers_reports else Unavailable("silent")

    def run_for(self, ms: int) -> None:
        for _ in range(ms // STEP_MS):
            self.clock.advance(STEP_MS)
            self.check_once()


def make_streams(*names: str, event_ms=100_000) -> list[FakeStream]:
    return [FakeStream(event_ms, name) for name in names for _ in range(5)]


def move_event(stream: FakeStream, event_ms: int) -> None:
    stream._event_ms = event_ms


def test_stalled_live_engine_costs_one_connection_and_no_report():
    # Guards against probes of other engines each time that one pauses.
    others = [FakeStream(100_100, name) for name in "abc"]
    site = ProbeSite(*make_streams("x"), *others)

    site.clock.advance(100)
    site.check_once()

    assert (site.probed, site.reports) == (["x"], [])


def test_overload_without_events_costs_few_connections():
    # Load: all streams of 17 engines stall for 5 s although the engines live.
    names = [f"e{number}" for number in range(17)]
    site = ProbeSite(*make_streams(*names))

    site.run_for(5000)

    # At 400, 800, 1,600 and 2,000 ms after each other.
    assert all(len(site.times[name]) <= 5 for name in names)
    assert site.reports == []


def test_growing_intervals_stay_within_their_bounds():
    # Guards against an engine that dies unnoticed after a long stall.
    site = ProbeSite(*make_streams("x"))

    site.run_for(20_000)

    times = site.times["x"]
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert min(gaps) >= MIN_INTERVAL_MS
    assert max(gaps) <= MAX_INTERVAL_MS + STEP_MS
    assert gaps == sorted(gaps)


def test_engine_that_dies_during_a_long_stall_is_found():
    # Load: all streams have stalled for 10 s when the engine loses power.
    streams = make_streams("x")
    site = ProbeSite(*streams, FakeStream(1_000_000, "y"))
    site.run_for(10_000)
    site.failures["x"] = FailureKind.CONNECT

    site.run_for(MAX_INTERVAL_MS + STEP_MS)

    assert all(stream.lost[0] == ("x", False) for stream in streams)


def test_engine_that_dies_after_an_event_is_found_at_the_stall_threshold():
    # Load: streams stall for 10 s, go on, and the engine loses power.
    streams = make_streams("x")
    site = ProbeSite(*streams, FakeStream(1_000_000, "y"))
    site.run_for(10_000)
    site.run_for(MAX_INTERVAL_MS)
    now_ms = site.clock.now_ms()
    for stream in streams:
        move_event(stream, now_ms + MIN_INTERVAL_MS)
    site.run_for(MIN_INTERVAL_MS)
    site.failures["x"] = FailureKind.CONNECT

    site.run_for(60)

    assert all(stream.lost[0] == ("x", False) for stream in streams)


def test_failures_that_are_not_believed_do_not_delay_the_next_probe():
    # Guards against a dead engine found late after a fault of the own link.
    streams = make_streams("x", "y")
    site = ProbeSite(*streams)
    site.failures = dict.fromkeys("xy", FailureKind.CONNECT)
    site.run_for(5 * MIN_INTERVAL_MS)

    firsts = sorted(set(site.times["x"]))
    gaps = {b - a for a, b in zip(firsts, firsts[1:], strict=False)}
    assert gaps == {MIN_INTERVAL_MS}


def test_engine_that_has_just_answered_is_not_probed():
    # Guards against a connection to an engine whose report was just read.
    site = ProbeSite(*make_streams("x"))
    site.connections.alive[site.address("x")] = 100_080

    site.clock.advance(100)
    site.check_once()
    assert site.probed == []

    site.clock.advance(40)
    site.check_once()
    assert site.probed == ["x"]


def test_controls_use_their_kept_connections():
    # Guards against connections to live engines for each dead one.
    controls = [FakeStream(100_100, "y"), FakeStream(100_100, "z")]
    streams = make_streams("x")
    site = ProbeSite(*streams, *controls)
    site.failures["x"] = FailureKind.CONNECT
    site.connections.idle = {site.address("y"), site.address("z")}

    site.clock.advance(100)
    site.check_once()

    assert set(site.probed) == {"x"}
    assert sorted(site.reports) == sorted(site.connections.idle)
    assert all(stream.lost == [("x", False)] for stream in streams)


def test_control_with_a_silent_kept_connection_is_connected_to():
    # Guards against a dead engine that isn't believed to be dead because one
    # packet to another engine was lost.
    controls = [FakeStream(100_100, "y")]
    streams = make_streams("x")
    site = ProbeSite(*streams, *controls)
    site.failures["x"] = FailureKind.CONNECT
    site.connections.idle = {site.address("y")}
    site.answers_reports = False

    site.clock.advance(100)
    site.check_once()

    assert set(site.probed) == {"x", "y"}
    assert all(stream.lost == [("x", False)] for stream in streams)


@pytest.mark.parametrize("lost_packets", [1, 2])
def test_second_connection_does_not_wait_for_the_first(lost_packets):
    # Guards against an engine without power found later than one connection
    # takes, and against its ejection for one lost packet.
    never = event.Event()
    streams = make_streams("x")
    site = ProbeSite(*streams, FakeStream(100_100, "y"))
    attempts = []

    def connect(engine):
        if engine.name == "x":
            attempts.append(engine.name)
            if len(attempts) <= lost_packets:
                never.wait()

    site.liveness._connect = connect
    site.clock.advance(100)
    site.liveness.check_once()
    with gevent.Timeout(WAIT_S, False):
        while len(attempts) < 2 or (lost_packets == 2 and not streams[0].lost):
            gevent.sleep(0.001)
    gevent.sleep(0.05)

    expected = [("x", False)] if lost_packets == 2 else []
    assert attempts == ["x", "x"]
    assert all(stream.lost == expected for stream in streams)
    never.set()
