"""Tests the detection of slow engines on running streams, without sockets."""

import attrs
import gevent

from caroblug.gateway._running_streams import RunningStreams
from caroblug.gateway._slowness import SlownessDetector
from caroblug.gateway.tests.fakes import make_context
from caroblug.gateway.tests.test_fleet import POOL, list_of, make_engine
from caroblug.gateway.tests.test_liveness import FakeStream
from caroblug.utils import ManualClock


class SlowStream(FakeStream):
    """A stream with a given mean gap between its events."""

    def __init__(self, gap_ms: float, *names: str) -> None:
        super().__init__(0, *names)
        self.gap = gap_ms

    @property
    def gap_ms(self):
        return self.gap


class Site:
    """Engines x and y, each with all layers, and streams over them."""

    def __init__(self, *streams: SlowStream) -> None:
        self.clock = ManualClock(100_000)
        self.context = make_context(clock=self.clock)
        engines = [make_engine("x", 0, 80), make_engine("y", 0, 80)]
        self.context.fleet.update_listing(list_of(*engines), 100_000)
        for engine in engines:
            self.context.dialect.add(engine.address, engine.holds)
        self.addresses = {e.name: e.address for e in engines}
        self.running = RunningStreams(self.context)
        self.streams = streams
        for stream in streams:
            self.running.add(stream)
        self.slowness = SlownessDetector(self.context, self.running)

    def report_pace(self, name: str, pace: float) -> None:
        reports = self.context.dialect.reports
        address = self.addresses[name]
        reports[address] = attrs.evolve(reports[address], pace=pace)

    def check(self, times: int = 1) -> None:
        for _ in range(times):
            self.clock.advance(250)
            self.slowness.check_once()
            gevent.wait()

    def has_probed(self) -> bool:
        return b"pace_questions" in self.context.telemetry.expose()

    def chosen_engines(self) -> set[str]:
        now_ms = self.clock.now_ms()
        fleet = self.context.fleet
        chosen = (fleet.choose_engines(POOL, now_ms) for _ in range(20))
        return {path.first.name for path in chosen}


def test_streams_avoid_an_engine_that_has_become_slow():
    # Guards against streams that wait for a slow engine and meanwhile occupy
    # memory on the other engines of their paths.
    stream = SlowStream(30.0, "x")
    site = Site(stream)
    site.check(8)
    assert not site.has_probed()

    stream.gap = 70.0
    site.report_pace("x", 8.0)
    site.check()

    assert site.chosen_engines() == {"y"}


def test_busy_engine_is_not_treated_as_slow():
    stream = SlowStream(30.0, "x")
    site = Site(stream)
    site.check(8)

    stream.gap = 70.0
    site.check()

    assert site.has_probed()
    assert site.chosen_engines() == {"x", "y"}


def test_recovered_engine_is_used_again():
    # Guards against avoiding an engine forever after it was slow once.
    stream = SlowStream(30.0, "x")
    site = Site(stream)
    site.check(8)
    stream.gap = 70.0
    site.report_pace("x", 8.0)
    site.check()
    site.running.remove(stream)

    site.report_pace("x", 1.0)
    site.check(10)

    assert site.chosen_engines() == {"x", "y"}


def test_slow_engine_is_detected_by_its_own_streams():
    slow = SlowStream(80.0, "x")
    site = Site(slow, SlowStream(30.0, "y"))
    site.report_pace("x", 5.0)

    site.check()

    assert site.chosen_engines() == {"y"}


def test_slow_engine_that_another_gateway_found_is_avoided():
    # Guards against each gateway having to detect the slow engine by its own
    # few streams.
    finder, other = Site(SlowStream(30.0, "x")), Site()
    finder.check(8)
    finder.streams[0].gap = 70.0
    finder.report_pace("x", 8.0)
    finder.check()
    other.clock.advance(finder.clock.now_ms() - other.clock.now_ms())

    for name, (pace, age_ms) in finder.context.fleet.recent_slowdowns(
        finder.clock.now_ms()
    ).items():
        reported_ms = other.clock.now_ms() - age_ms
        other.context.fleet.on_slowdown(name, pace, reported_ms)

    assert other.chosen_engines() == {"y"}


def test_older_report_of_a_slowdown_is_ignored():
    # Guards against avoiding an engine again after it has recovered.
    site = Site()
    fleet = site.context.fleet
    now_ms = site.clock.now_ms()
    fleet.on_slowdown("x", 1.0, now_ms)

    fleet.on_slowdown("x", 8.0, now_ms - 500)

    assert site.chosen_engines() == {"x", "y"}


def test_slower_model_of_another_service_is_not_suspected():
    # Guards against probes of all engines of a slower model for as long as a
    # faster one has streams.
    site = Site(SlowStream(20.0, "x"), SlowStream(60.0, "y"))
    other = attrs.evolve(
        site.context.fleet.listing.backends["y"], service="night"
    )
    site.context.fleet.update_listing(
        list_of(site.context.fleet.listing.backends["x"], other), 100_000
    )

    site.check(12)

    assert not site.has_probed()


def test_slow_engine_is_found_while_a_slower_model_has_streams():
    # Guards against a baseline that another service's gaps have raised.
    stream = SlowStream(20.0, "x")
    slower = SlowStream(60.0, "y")
    site = Site(stream, slower)
    other = attrs.evolve(
        site.context.fleet.listing.backends["y"], service="night"
    )
    site.context.fleet.update_listing(
        list_of(site.context.fleet.listing.backends["x"], other), 100_000
    )
    site.running.remove(stream)
    site.check(200)
    site.running.add(stream)
    site.check()
    stream.gap = 45.0
    site.report_pace("x", 8.0)

    site.check()

    assert site.has_probed()
