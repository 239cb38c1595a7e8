"""Tests the detection of dead engines on running streams, without sockets."""

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
    """A stream over the named engines that records which it loses."""

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
    """A gateway's streams, and engines whose probes fail as a test sets."""

    def __init__(self, *streams: FakeStream) -> None:
        self.clock = ManualClock(100_000)
        self.context = make_context(clock=self.clock)
        self.running = RunningStreams(self.context)
        self.streams = streams
        self.failures: dict[str, FailureKind] = {}
        self.probed: list[str] = []
        self.liveness = LivenessMonitor(
            self.context, self.running, self._connect
        )
        # Watches need sockets, so they are replaced by a stub.
        self.liveness._watch = lambda engine: None
        for stream in streams:
            self.running.add(stream)

    def _connect(self, engine):
        self.probed.append(engine.name)
        return self.failures.get(engine.name)

    def check_once(self) -> None:
        self.liveness.check_once()
        gevent.idle()
        gevent.sleep(0)
        gevent.wait()


def test_engine_without_power_is_detected_by_the_stall_of_all_its_streams():
    # Guards against late streams over an engine that has lost power, which
    # closes no connection.
    streams = [FakeStream(100_000, "x", "y") for _ in range(5)]
    site = Site(*streams)
    site.failures["y"] = FailureKind.CONNECT

    site.clock.advance(60)
    site.check_once()

    assert all(s.lost == [("y", False)] for s in streams)
    assert site.context.fleet.is_excluded("y", site.clock.now_ms())
    assert not site.context.fleet.is_excluded("x", site.clock.now_ms())


def test_engine_whose_other_streams_progress_is_not_probed():
    # Guards against the cost of probing engines that serve other streams.
    waiting = FakeStream(100_000, "x", "y")
    others = [FakeStream(100_070, "x", "z") for _ in range(4)]
    site = Site(waiting, *others)

    site.clock.advance(100)
    site.check_once()

    assert site.probed == []


def test_few_streams_must_stall_longer_than_many():
    # A single stream often pauses while the engine prefills the prompt of
    # another gateway's stream.
    site = Site(FakeStream(100_000, "x"))

    site.clock.advance(100)
    site.check_once()
    assert site.probed == []

    site.clock.advance(30)
    site.check_once()
    assert set(site.probed) == {"x"}


def test_engines_of_slow_streams_are_not_probed_between_two_events():
    # Guards against thousands of probe connections while many engines are slow.
    site = Site(FakeStream(100_000, "x", "y", gap_ms=200.0))

    site.clock.advance(300)
    site.check_once()
    assert site.probed == []

    site.clock.advance(150)
    site.check_once()
    assert set(site.probed) == {"x", "y"}


def test_stalled_engine_that_accepts_connections_keeps_its_streams():
    # Guards against moving streams off an engine during a long prefill.
    streams = [FakeStream(100_000, "x") for _ in range(5)]
    site = Site(*streams)

    site.clock.advance(100)
    site.check_once()

    assert site.probed == ["x"]
    assert all(s.lost == [] for s in streams)


def test_one_lost_packet_does_not_eject_an_engine():
    # Guards against ejecting an engine because one packet was lost.
    streams = [FakeStream(100_000, "x") for _ in range(5)]
    site = Site(*streams)
    answers = itertools.cycle([FailureKind.CONNECT, None])
    site.liveness._connect = lambda engine: next(answers)

    site.clock.advance(100)
    site.check_once()

    assert all(s.lost == [] for s in streams)


def test_nobody_is_dead_when_nobody_answers():
    # Guards against moving streams off every engine while the gateway's own
    # link is saturated.
    streams = [FakeStream(100_000, "x", "y", "z") for _ in range(5)]
    site = Site(*streams)
    site.failures = dict.fromkeys("xyz", FailureKind.CONNECT)

    site.clock.advance(100)
    site.check_once()

    assert all(s.lost == [] for s in streams)


def test_engine_alone_on_its_paths_is_compared_with_others():
    # Guards against streams that stay on a dead engine because no other engine
    # was probed for comparison.
    stalled = [FakeStream(100_000, "x") for _ in range(5)]
    controls = [FakeStream(100_100, "y"), FakeStream(100_100, "z")]
    site = Site(*stalled, *controls)
    site.failures["x"] = FailureKind.CONNECT

    site.clock.advance(100)
    site.check_once()

    assert all(s.lost == [("x", False)] for s in stalled)
    assert set(site.probed) == {"x", "y", "z"}


def test_remote_engines_are_watched_only_for_many_streams():
    # Guards against the cost of a connection to every remote engine on a path.
    streams = [FakeStream(100_000, "x") for _ in range(3)]
    site = Site(*streams)
    watched = []
    site.liveness._watch = lambda engine: watched.append(engine.name)
    site.context.settings = attrs.evolve(
        site.context.settings, data_centre="elsewhere"
    )

    site.check_once()
    assert watched == []

    site.running.add(FakeStream(100_000, "x"))
    site.check_once()
    assert watched == ["x"]


def test_probes_of_one_engine_keep_a_minimum_interval():
    site = Site(*[FakeStream(100_000, "x") for _ in range(5)])

    for _ in range(10):
        site.clock.advance(20)
        site.check_once()

    assert len(site.probed) == 1


@pytest.mark.parametrize("ended", [True, False])
def test_only_an_ended_process_counts_as_having_lost_its_layers(ended):
    # Guards against placing the layers of a crashed engine elsewhere too late.
    site = Site(FakeStream(100_000, "x", "y"))

    site.running.on_engine_lost(make_engine("y"), ended)

    assert site.context.fleet.has_ended("y") is ended


def test_engine_that_responds_again_has_not_ended():
    site = Site(FakeStream(100_000, "x", "y"))
    site.running.on_engine_lost(make_engine("y"), ended=True)

    site.context.fleet.on_response("y", None, 0, site.clock.now_ms())

    assert not site.context.fleet.has_ended("y")
    assert not site.context.fleet.is_failing("y")


def test_removed_stream_is_not_notified_of_a_lost_engine():
    stream = FakeStream(100_000, "x", "y")
    site = Site(stream)

    site.running.remove(stream)
    site.running.on_engine_lost(make_engine("y"), ended=True)
    gevent.wait()

    assert stream.lost == []
