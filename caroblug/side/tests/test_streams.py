"""Tests of the messages between the stages of a stream."""

from caroblug.core.recovery import ForwardOpen
from caroblug.core.state import Sharing
from caroblug.gen.wire import ttypes as wire
from caroblug.side import _open_stage, _streams
from caroblug.utils import ManualClock, make_metrics


class _FakeNetwork:
    """Records sent messages as (instance, message)."""

    def __init__(self):
        self.sent = []

    def send(self, to, *messages):
        self.sent += [(to.instance, message) for message in messages]

    def add_in_flight(self, instance, change=1):
        pass


class _FakeScheduler:
    """Runs nothing and records ended sessions."""

    def __init__(self):
        self.ended = []

    def submit(self, *args, **options):
        pass

    def end(self, session):
        self.ended.append(session)


def _open_first():
    network, scheduler = _FakeNetwork(), _FakeScheduler()
    streams = _streams.StageStreams(
        "side-0",
        network,
        scheduler,
        ManualClock(),
        make_metrics(),
        100,
        Sharing,
    )
    chain = [
        wire.StageRef(f"side-{n}", "127.0.0.1", n, 8 * n, 8 * n + 8)
        for n in range(3)
    ]
    entry = wire.StageRef("entry-a", "127.0.0.1", 9, 0, 0)
    streams.on_open(
        wire.OpenStream(
            stream="s",
            attempt=1,
            client_account="school-1",
            chain=chain,
            stage=0,
            tokens=[1, 2, 3],
            prompt_length=3,
            known_length=3,
            max_length=10,
            deadline_ms=1000,
            seed=1,
            entry=entry,
            weight=1.0,
        )
    )
    network.sent.clear()
    return streams, network, scheduler


def test_orphaned_stream_ends_along_the_chain():
    """Guards against engines that continue to run a stream without a caller.

    A process that resumes after a freeze opens its old attempt at the next
    stage, and only then detects that its entry has abandoned the stream.
    """
    streams, network, scheduler = _open_first()
    streams.on_peer_lost("entry-a")
    assert network.sent == [("side-1", wire.Cancel("s", 1))]
    assert len(streams) == 0
    assert scheduler.ended == ["s.1"]


def test_unreachable_next_stage_is_reported_to_the_entry():
    streams, network, _ = _open_first()
    streams.on_peer_lost("side-2")
    assert network.sent == []
    streams.on_peer_lost("side-1")
    ((receiver, refusal),) = network.sent
    assert receiver == "entry-a"
    assert refusal.reason == "peer_unreachable"
    assert refusal.unreachable == "side-1"
    assert len(streams) == 1


def test_cancel_of_a_replaced_stage_is_not_forwarded():
    """Guards against a stream that stalls after one of its stages was replaced.

    The replaced stage still knows the next stage, which continues in the newer
    attempt and must not receive the cancel.
    """
    streams, network, scheduler = _open_first()
    streams.on_cancel(wire.Cancel("s", 1, True))
    assert network.sent == []
    assert scheduler.ended == ["s.1"]


def test_open_message_is_forwarded_with_all_fields():
    """Guards against a field that only the first stage receives.

    A suspect was opened again for isolated runs, but only its first stage got
    that field. Later stages ran the suspect in one batch with other requests,
    which failed with it and were refused as suspects too.
    """
    values = {
        name: index for index, name in enumerate(wire.OpenStream.__slots__)
    }
    open_message = wire.OpenStream(**values)
    forward = ForwardOpen(1001, 1002)
    next_message = _open_stage.make_next_open(open_message, forward)
    assert next_message.stage == open_message.stage + 1
    assert next_message.tokens == []
    values["known_length"] = forward.known_length
    values["sends_from"] = forward.sends_from
    for name in set(values) - {"stage", "tokens"}:
        assert getattr(next_message, name) == values[name]
