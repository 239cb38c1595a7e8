"""The line of equal requests, at a home that knows nobody yet."""

from caroblug.core.limits import HomeEntries
from caroblug.core.state import Quarantine
from caroblug.entry._quarantine import QuarantineClient
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import PeerAddress
from caroblug.utils import ManualClock, make_metrics


class _Network:
    def __init__(self):
        self.sent = []

    def send(self, to, *messages):
        self.sent += [(to.instance, message) for message in messages]


def test_home_that_has_just_started_answers_whoever_asks():
    """A caller waits a whole minute and gets nothing after an update.

    An entry is restarted; another one asks it, as an account's home, whether
    a request may run, before the restarted one has read the instance list.
    """
    network, clock = _Network(), ManualClock()
    client = QuarantineClient(
        network,
        HomeEntries("entry-a", 60_000),
        Quarantine,
        clock,
        make_metrics(),
    )
    asker = PeerAddress("entry-b", "127.0.0.1", 1)
    client.on_run_request(asker, wire.RunRequest("f", 7, leave=False))
    ((to, answer),) = network.sent
    assert to == "entry-b"
    assert (answer.fingerprint, answer.number) == ("f", 7)
