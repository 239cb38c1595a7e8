"""Tests of the run gate at an account's home entry."""

from caroblug.core.limits import HomeEntries
from caroblug.core.state import Quarantine
from caroblug.entry._quarantine import QuarantineClient
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import PeerAddress
from caroblug.utils import ManualClock, make_metrics


class _FakeNetwork:
    def __init__(self):
        self.sent = []

    def send(self, to, *messages):
        self.sent += [(to.instance, message) for message in messages]


def test_home_that_has_just_started_admits_unlisted_entries():
    """A restarted home must reply before it has read the instance list.

    Another entry requests to run a request right after the restart. If the
    home did not reply, the caller would wait a whole minute for nothing.
    """
    network, clock = _FakeNetwork(), ManualClock()
    client = QuarantineClient(
        network,
        HomeEntries("entry-a", 60_000),
        Quarantine,
        clock,
        make_metrics(),
    )
    requester = PeerAddress("entry-b", "127.0.0.1", 1)
    client.on_run_request(requester, wire.RunRequest("f", 7, leave=False))
    ((to, answer),) = network.sent
    assert to == "entry-b"
    assert (answer.fingerprint, answer.number) == ("f", 7)
