"""Tests of streams whose engines fail and come back."""

import random

import pytest

from caroblug.core.limits import RetryBudget, RetryRule
from caroblug.core.recovery import StageFailure
from caroblug.core.routing import LatencyTable, make_chooser
from caroblug.entry._chain_picker import ChainPicker
from caroblug.entry._directory import SideDirectory
from caroblug.entry._stream_request import StreamRequest
from caroblug.entry._streams import (
    EntryStreams,
    RecoveryPolicy,
    RecoveryStrategy,
)
from caroblug.entry.tests.fakes import EmptyQuarantine, FakeNetwork
from caroblug.gen.wire import ttypes as wire
from caroblug.utils import ManualClock, Refused, make_metrics

_LAYERS = 8
_ENGINES = ("side-a", "side-b", "side-c")


class _Site:
    """An entry's streams over engines that each hold all layers."""

    def __init__(self):
        self.clock = ManualClock(0)
        self.network = FakeNetwork()
        self.directory = SideDirectory(self.clock, 100_000)
        latencies = LatencyTable()
        picker = ChainPicker(
            self.directory,
            make_chooser("flow", random.Random(1), latencies),
            latencies,
            self.clock,
            "muscat-a",
        )
        rule = RetryRule(10, 0.1, 1.0)
        self.streams = EntryStreams(
            wire.StageRef("entry-a", "127.0.0.1", 2, 0, 0),
            self.network,
            self.directory,
            picker,
            self.clock,
            make_metrics(),
            RecoveryPolicy(
                6, RecoveryStrategy.REPLACE_STAGE, RetryBudget(rule, rule)
            ),
            EmptyQuarantine(),
        )
        for engine in _ENGINES:
            self.report(engine)
        self.stream = self.streams.start(
            StreamRequest(
                client_account="school-1",
                weight=1.0,
                model="dome-7b",
                layers=_LAYERS,
                prompt=[1],
                max_tokens=100,
                deadline_ms=60_000,
                seed=1,
                unread_tokens=10,
            )
        )

    def report(self, engine, up=True):
        report = wire.LoadReport(
            instance=engine,
            role="side",
            data_centre="muscat-a",
            leaving=not up,
            host="127.0.0.1",
            port=1,
            interval_ms=500,
        )
        if up:
            report.target = "dome-7b"
            report.first_layer, report.end_layer = 0, _LAYERS
            report.tokens_per_s = 100.0
            report.waiting = report.running = 0
        if self.directory.on_report(report):
            self.streams.on_engine_started()

    def crash(self):
        """Crashes the engine that runs the stream and returns its name."""
        engine = self.stream.chain.stages[0].instance
        self.report(engine, up=False)
        self.refuse(engine)
        return engine

    def refuse(self, engine):
        self.streams.on_refusal(
            wire.StageRefusal(
                self.stream.wire_name,
                self.stream.tokens.attempt,
                engine,
                StageFailure.ENGINE_FAILED,
                "reset",
                200,
                "",
            )
        )

    def crash_all(self):
        return [self.crash() for _ in _ENGINES]

    def opened(self):
        """Returns the engines that have opened the stream, in order."""
        return [
            to for to, m in self.network.sent if isinstance(m, wire.OpenStream)
        ]


def test_stream_continues_on_an_engine_that_has_restarted():
    # Guards against streams that end while all their engines restart.
    site = _Site()
    crashed = site.crash_all()
    assert sorted(crashed) == sorted(_ENGINES)
    assert site.stream.output.empty()

    site.clock.advance(1000)
    site.report(crashed[1])

    assert site.opened() == [*crashed, crashed[1]]
    site.streams.on_token(
        wire.Token(site.stream.wire_name, site.stream.tokens.attempt, 1, 7)
    )
    assert site.stream.output.get(block=False) == [7]


def test_stream_uses_an_engine_that_has_restarted_before_the_last_crash():
    # Guards against engines that stay excluded although they are new.
    site = _Site()
    first = site.crash()
    site.report(first)
    others = [site.crash() for _ in range(2)]

    assert site.opened() == [first, *others, first]


def test_engine_that_has_not_restarted_is_not_used_again():
    # Guards against attempts on an engine that refuses the stream.
    site = _Site()
    for _ in _ENGINES:
        site.refuse(site.stream.chain.stages[0].instance)
    opened = site.opened()
    for engine in _ENGINES:
        site.report(engine)

    assert site.opened() == opened
    assert len(opened) == len(_ENGINES)


def test_refusal_of_a_waiting_stream_is_no_further_failure():
    # Guards against a retry budget that is spent while nothing is tried.
    site = _Site()
    crashed = site.crash_all()
    for _ in range(10):
        site.refuse(crashed[0])

    assert site.stream.failures == len(_ENGINES)
    assert site.stream.output.empty()


@pytest.mark.parametrize(("waited_ms", "ended"), [(4999, False), (5000, True)])
def test_stream_ends_if_no_engine_restarts(waited_ms, ended):
    # Guards against callers who wait for an engine that doesn't come back.
    site = _Site()
    site.crash_all()
    site.clock.advance(waited_ms)
    site.streams.abort_overdue()

    assert (len(site.streams) == 0) is ended
    if ended:
        refused = site.stream.output.get(block=False)
        assert isinstance(refused, Refused)
        assert refused.type.value == "no_capacity"


def test_stream_that_has_ended_waits_no_longer():
    # Guards against attempts for a caller that has left.
    site = _Site()
    crashed = site.crash_all()
    site.streams.end(site.stream)
    site.report(crashed[0])

    assert site.opened() == crashed
