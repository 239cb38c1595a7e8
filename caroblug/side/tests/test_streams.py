"""Messages between the stages of a stream."""

from caroblug.core.recovery import ForwardOpen
from caroblug.core.state import Sharing
from caroblug.gen.wire import ttypes as wire
from caroblug.side import _open_stage, _streams
from caroblug.utils import ManualClock, make_metrics


class _Network:
    """Keeps what is sent, as (instance, message)."""

    def __init__(self):
        self.sent = []

    def send(self, to, *messages):
        self.sent += [(to.instance, message) for message in messages]

    def add_in_flight(self, instance, change=1):
        pass


class _Pump:
    """Runs nothing and keeps the sessions that ended."""

    def __init__(self):
        self.ended = []

    def submit(self, *args, **options):
        pass

    def end(self, session):
        self.ended.append(session)


def _open_first():
    network, pump = _Network(), _Pump()
    streams = _streams.StageStreams(
        "side-0", network, pump, ManualClock(), make_metrics(), 100, Sharing
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
    return streams, network, pump


def test_orphaned_stream_ends_along_the_chain():
    """Engines go on for nobody after a frozen process woke up.

    It opens its old attempt at the next stage, and only then learns that
    its entry has given it up.
    """
    streams, network, pump = _open_first()
    streams.on_peer_lost("entry-a")
    assert network.sent == [("side-1", wire.Cancel("s", 1))]
    assert len(streams) == 0
    assert pump.ended == ["s.1"]


def test_unreachable_next_stage_is_told_to_the_entry():
    streams, network, _ = _open_first()
    streams.on_peer_lost("side-2")
    assert network.sent == []
    streams.on_peer_lost("side-1")
    ((receiver, refusal),) = network.sent
    assert receiver == "entry-a"
    assert refusal.reason == "peer_unreachable"
    assert refusal.unreachable == "side-1"
    assert len(streams) == 1


def test_cancel_of_a_replaced_stage_ends_it_alone():
    """A stream stops for good after one of its stages was replaced.

    The replaced stage still knows the stage behind it, which lives on in
    the newer attempt and must not be told to end.
    """
    streams, network, pump = _open_first()
    streams.on_cancel(wire.Cancel("s", 1, True))
    assert network.sent == []
    assert pump.ended == ["s.1"]


def test_next_stage_hears_all_that_the_first_one_knows():
    """Innocent requests are refused beside one that crashes engines.

    A suspect is opened again to run alone; only its first stage was told, and
    the later ones ran it in one batch with others, who went down with it.
    """
    values = {
        name: index for index, name in enumerate(wire.OpenStream.__slots__)
    }
    opened = wire.OpenStream(**values)
    forward = ForwardOpen(1001, 1002)
    following = _open_stage.make_next_open(opened, forward)
    assert following.stage == opened.stage + 1
    assert following.tokens == []
    values["known_length"] = forward.known_length
    values["sends_from"] = forward.sends_from
    for name in set(values) - {"stage", "tokens"}:
        assert getattr(following, name) == values[name]
