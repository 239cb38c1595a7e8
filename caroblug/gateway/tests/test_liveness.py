"""Engines that die on the path of running streams, without sockets."""

import itertools

import attrs
import gevent
import pytest

from caroblug.core.placement import LayerRange, Path, PathPart
from caroblug.core.placement.tests.fleets import make_engine
from caroblug.gateway._exchange_results import FailureKind
from caroblug.gateway._liveness import LivenessMonitor
from caroblug.gateway._running_streams import RunningStream, RunningStreams
from caroblug.gateway.tests.fakes import make_context
from caroblug.utils import ManualClock


class FakeStream(RunningStream):
    """A stream over engines x and y that notes what it is told."""

    def __init__(
        self, event_ms: int, *names: str, gap_ms: float = 30.0
    ) -> None:
        self._gap_ms = gap_ms
        width = 80 // len(names)
        self._path = Path(
            tuple(
                PathPart(
                    make_engine(name),
                    LayerRange(i * width, (i + 1) * width),
                )
                for i, name in enumerate(names)
            )
        )
        self._event_ms = event_ms
        self.lost: list[tuple[str, bool]] = []

    @property
    def path(self):
        return self._path

    @property
    def event_ms(self):
        return self._event_ms

    @property
    def gap_ms(self):
        return self._gap_ms

    def on_engine_lost(self, name, ended):
        self.lost.append((name, ended))


class Site:
    """A gateway's streams, and engines that answer as a test says."""

    def __init__(self, *streams: FakeStream) -> None:
        self.clock = ManualClock(100_000)
        self.context = make_context(clock=self.clock)
        self.running = RunningStreams(self.context)
        self.streams = streams
        self.answers: dict[str, FailureKind] = {}
        self.asked: list[str] = []
        self.liveness = LivenessMonitor(
            self.context, self.running, self._connect
        )
        # Watches need sockets; the engines count as watched.
        self.liveness._watch = lambda engine: None
        for stream in streams:
            self.running.add(stream)

    def _connect(self, engine):
        self.asked.append(engine.name)
        return self.answers.get(engine.name)

    def look(self) -> None:
        self.liveness.look()
        gevent.idle()
        gevent.sleep(0)
        gevent.wait()


def test_engine_without_power_is_found_by_the_pause_of_all_its_streams():
    # Guards against late streams over an engine that has lost power.
    streams = [FakeStream(100_000, "x", "y") for _ in range(5)]
    site = Site(*streams)
    site.answers["y"] = FailureKind.CONNECT

    site.clock.advance(60)
    site.look()

    assert all(s.lost == [("y", False)] for s in streams)
    assert site.context.fleet.is_excluded("y", site.clock.now_ms())
    assert not site.context.fleet.is_excluded("x", site.clock.now_ms())


def test_engine_whose_other_streams_go_on_is_not_asked():
    # Guards against paid questions about engines that serve other streams.
    waiting = FakeStream(100_000, "x", "y")
    others = [FakeStream(100_070, "x", "z") for _ in range(4)]
    site = Site(waiting, *others)

    site.clock.advance(100)
    site.look()

    assert site.asked == []


def test_few_streams_say_less_than_many():
    # A stream alone often pauses for the prompt of another gateway's stream.
    site = Site(FakeStream(100_000, "x"))

    site.clock.advance(100)
    site.look()
    assert site.asked == []

    site.clock.advance(30)
    site.look()
    assert set(site.asked) == {"x"}


def test_engines_of_slow_streams_are_not_asked_between_two_events():
    # Guards against thousands of connections while many engines are slow.
    site = Site(FakeStream(100_000, "x", "y", gap_ms=200.0))

    site.clock.advance(300)
    site.look()
    assert site.asked == []

    site.clock.advance(150)
    site.look()
    assert set(site.asked) == {"x", "y"}


def test_silent_engine_that_takes_connections_is_left_alone():
    # Guards against streams moved off an engine that reads a long prompt.
    streams = [FakeStream(100_000, "x") for _ in range(5)]
    site = Site(*streams)

    site.clock.advance(100)
    site.look()

    assert site.asked == ["x", "x"]
    assert all(s.lost == [] for s in streams)


def test_one_lost_packet_is_no_dead_engine():
    # Guards against an engine that is condemned for one lost packet.
    streams = [FakeStream(100_000, "x") for _ in range(5)]
    site = Site(*streams)
    answers = itertools.cycle([FailureKind.CONNECT, None])
    site.liveness._connect = lambda engine: next(answers)

    site.clock.advance(100)
    site.look()

    assert all(s.lost == [] for s in streams)


def test_nobody_is_dead_when_nobody_answers():
    # Guards against streams moved off every engine while the own link is full.
    streams = [FakeStream(100_000, "x", "y", "z") for _ in range(5)]
    site = Site(*streams)
    site.answers = dict.fromkeys("xyz", FailureKind.CONNECT)

    site.clock.advance(100)
    site.look()

    assert all(s.lost == [] for s in streams)


def test_engine_alone_on_its_paths_is_compared_with_others():
    # Guards against streams that stay, as a silent engine can't be compared.
    silent = [FakeStream(100_000, "x") for _ in range(5)]
    others = [FakeStream(100_100, "y"), FakeStream(100_100, "z")]
    site = Site(*silent, *others)
    site.answers["x"] = FailureKind.CONNECT

    site.clock.advance(100)
    site.look()

    assert all(s.lost == [("x", False)] for s in silent)
    assert set(site.asked) == {"x", "y", "z"}


def test_engines_far_away_are_watched_only_for_many_streams():
    # Guards against paid connections to every far engine that a stream passes.
    streams = [FakeStream(100_000, "x") for _ in range(3)]
    site = Site(*streams)
    watched = []
    site.liveness._watch = lambda engine: watched.append(engine.name)
    site.context.settings = attrs.evolve(
        site.context.settings, data_centre="elsewhere"
    )

    site.look()
    assert watched == []

    site.running.add(FakeStream(100_000, "x"))
    site.look()
    assert watched == ["x"]


def test_questions_to_one_engine_keep_a_distance():
    site = Site(*[FakeStream(100_000, "x") for _ in range(5)])

    for _ in range(10):
        site.clock.advance(20)
        site.look()

    assert len(site.asked) == 2


@pytest.mark.parametrize("ended", [True, False])
def test_ended_process_has_lost_its_layers_and_a_silent_one_may_not(ended):
    # Guards against layers of a crashed engine that are placed anew too late.
    site = Site(FakeStream(100_000, "x", "y"))

    site.running.on_engine_lost(make_engine("y"), ended)

    assert site.context.fleet.has_ended("y") is ended


def test_engine_that_answers_again_has_not_ended():
    site = Site(FakeStream(100_000, "x", "y"))
    site.running.on_engine_lost(make_engine("y"), ended=True)

    site.context.fleet.on_response("y", None, 0, site.clock.now_ms())

    assert not site.context.fleet.has_ended("y")
    assert not site.context.fleet.is_failing("y")


def test_stream_whose_run_has_ended_is_not_told():
    stream = FakeStream(100_000, "x", "y")
    site = Site(stream)

    site.running.remove(stream)
    site.running.on_engine_lost(make_engine("y"), ended=True)
    gevent.wait()

    assert stream.lost == []
