"""Tests of streams whose caller does not read the response."""

from caroblug.core.limits import RetryBudget, RetryRule
from caroblug.core.routing import Chain, Stage
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


class _FakePicker:
    def pick(self, request, excluded):
        return Chain((Stage("side-a", "127.0.0.1", 1, 0, 8),))

    def refuse_unmeetable_deadline(self, chain, request):
        return None


def _make_policy():
    rule = RetryRule(3, 0.1, 1.0)
    budget = RetryBudget(rule, rule)
    return RecoveryPolicy(3, RecoveryStrategy.REPLACE_STAGE, budget)


def test_unread_stream_is_cancelled_and_releases_its_slot():
    """A stream must end when its caller stops reading.

    The caller's connection stays open, so nothing else ends the stream. It
    would hold its slot until the engine has generated the whole response.
    """
    clock = ManualClock(0)
    network = FakeNetwork()
    streams = EntryStreams(
        wire.StageRef("entry-a", "127.0.0.1", 2, 0, 0),
        network,
        SideDirectory(clock, 1000),
        _FakePicker(),
        clock,
        make_metrics(),
        _make_policy(),
        EmptyQuarantine(),
    )
    request = StreamRequest(
        client_account="school-1",
        weight=1.0,
        model="dome-7b",
        layers=8,
        prompt=[1],
        max_tokens=100,
        deadline_ms=1000,
        seed=1,
        unread_tokens=10,
    )
    stream = streams.start(request)
    ended = []
    stream.on_end = lambda: ended.append(stream.tokens.generated)
    for position in range(1, 50):
        streams.on_token(wire.Token(stream.name, 1, position, 7))
    assert ended == [11]
    assert len(streams) == 0
    cancels = [m for _, m in network.sent if isinstance(m, wire.Cancel)]
    assert len(cancels) == 1
    parts = [stream.output.get(block=False) for _ in range(12)]
    assert isinstance(parts[-1], Refused)
    assert parts[:-1] == [[7]] * 11
