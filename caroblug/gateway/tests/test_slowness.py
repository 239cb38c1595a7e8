"""Engines that become slow under running streams, without sockets."""

import attrs
import gevent

from caroblug.gateway._running_streams import RunningStreams
from caroblug.gateway._slowness import SlownessDetector
from caroblug.gateway.tests.fakes import make_context
from caroblug.gateway.tests.test_fleet import POOL, list_of, make_engine
from caroblug.gateway.tests.test_liveness import FakeStream
from caroblug.utils import ManualClock


class SlowStream(FakeStream):
    """A stream whose events are some ms apart."""

    def __init__(self, gap_ms: float, *names: str) -> None:
        super().__init__(0, *names)
        self.gap = gap_ms

    @property
    def gap_ms(self):
        return self.gap


class Site:
    """Engines x and y that hold every layer, and streams over them."""

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

    def say(self, name: str, pace: float) -> None:
        reports = self.context.dialect.reports
        address = self.addresses[name]
        reports[address] = attrs.evolve(reports[address], pace=pace)

    def look(self, times: int = 1) -> None:
        for _ in range(times):
            self.clock.advance(250)
            self.slowness.look()
            gevent.wait()

    def asked(self) -> bool:
        return b"pace_questions" in self.context.telemetry.expose()

    def paths(self) -> set[str]:
        now_ms = self.clock.now_ms()
        fleet = self.context.fleet
        chosen = (fleet.choose_engines(POOL, now_ms) for _ in range(20))
        return {path.first.name for path in chosen}


def test_streams_avoid_an_engine_that_has_become_slow():
    # Guards against streams, and memory on their paths, behind a slow engine.
    stream = SlowStream(30.0, "x")
    site = Site(stream)
    site.look(8)
    assert not site.asked()

    stream.gap = 70.0
    site.say("x", 8.0)
    site.look()

    assert site.paths() == {"y"}


def test_engine_that_is_only_busy_is_not_taken_for_slow():
    stream = SlowStream(30.0, "x")
    site = Site(stream)
    site.look(8)

    stream.gap = 70.0
    site.look()

    assert site.asked()
    assert site.paths() == {"x", "y"}


def test_recovered_engine_is_used_again():
    # Guards against an engine that is avoided for good after it was slow once.
    stream = SlowStream(30.0, "x")
    site = Site(stream)
    site.look(8)
    stream.gap = 70.0
    site.say("x", 8.0)
    site.look()
    site.running.remove(stream)

    site.say("x", 1.0)
    site.look(10)

    assert site.paths() == {"x", "y"}


def test_slow_engine_among_quick_streams_is_found_by_its_own():
    slow = SlowStream(80.0, "x")
    site = Site(slow, SlowStream(30.0, "y"))
    site.say("x", 5.0)

    site.look()

    assert site.paths() == {"y"}


def test_slow_engine_that_another_gateway_found_is_avoided():
    # Guards against a search by each of many gateways, each with few streams.
    finder, other = Site(SlowStream(30.0, "x")), Site()
    finder.look(8)
    finder.streams[0].gap = 70.0
    finder.say("x", 8.0)
    finder.look()
    other.clock.advance(finder.clock.now_ms() - other.clock.now_ms())

    for name, (pace, age_ms) in finder.context.fleet.recent_slowdowns(
        finder.clock.now_ms()
    ).items():
        told_ms = other.clock.now_ms() - age_ms
        other.context.fleet.on_slowdown(name, pace, told_ms)

    assert other.paths() == {"y"}


def test_older_word_of_a_slow_engine_loses_to_a_newer_one():
    # Guards against an engine that is avoided again after it has recovered.
    site = Site()
    fleet = site.context.fleet
    now_ms = site.clock.now_ms()
    fleet.on_slowdown("x", 1.0, now_ms)

    fleet.on_slowdown("x", 8.0, now_ms - 500)

    assert site.paths() == {"x", "y"}
