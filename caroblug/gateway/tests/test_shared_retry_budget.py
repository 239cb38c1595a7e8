"""The loss of several engines at once, under the streams of few gateways.

Every gateway has a small part of the bound on repeats; the streams of such a
loss need many at the same moment, on the gateways that had them.
"""

from caroblug.core.limits import WindowedRetryBudget
from caroblug.gateway._interfaces import Member, Unavailable
from caroblug.gateway._peers import LeaseState
from caroblug.gateway._shared_retry_budget import LEND_PATH, SharedRetryBudget
from caroblug.gateway.tests.test_placement import make_placement, tell
from caroblug.utils import ManualClock

GATEWAYS = 20
EXTRA = 200
WINDOW_MS = 10000


class Site:
    """Gateways that share a bound on repeats, without sockets."""

    def __init__(self) -> None:
        self.clock = ManualClock(100_000)
        self.repeats: dict[str, SharedRetryBudget] = {}
        self.windows: dict[str, WindowedRetryBudget] = {}
        self.cut_off: set[str] = set()
        self._peers = {}
        for i in range(GATEWAYS):
            self._add(f"g{i}")
        self.tell()

    def _add(self, name: str) -> None:
        context, _, peers, _ = make_placement(name, self.clock)
        context.retry_budget = WindowedRetryBudget(0.0, EXTRA, WINDOW_MS)
        context.fleet.loads.gateways = GATEWAYS
        self._peers[name] = peers
        self.windows[name] = context.retry_budget
        self.repeats[name] = SharedRetryBudget(context, peers)
        peers.call = self.call

    def call(self, name: str, path: str, message: dict):
        if name in self.cut_off:
            return Unavailable("cut off")
        assert path == LEND_PATH
        return self.repeats[name].handle_loan_request(message)

    def tell(self) -> None:
        """Lets every gateway hear of every other one."""
        for name, peers in self._peers.items():
            for other, window in self.windows.items():
                if other == name:
                    continue
                left = window.remaining("pool", GATEWAYS, self.clock.now_ms())
                peers._add_member(Member(other, ("10.0.0.1", 1)))
                tell(
                    peers,
                    other,
                    LeaseState.NONE,
                    repeats={"pool": int(left)},
                )

    def take(self, name: str, count: int) -> int:
        return sum(self.repeats[name].take("pool") for _ in range(count))


def test_streams_of_one_gateway_use_repeats_that_others_leave():
    # Guards against streams that are cut while nearly all repeats are unused.
    site = Site()

    assert site.take("g0", 40) == 40


def test_streams_of_all_gateways_stay_within_the_bound():
    # Guards against lent repeats that are used twice.
    site = Site()

    taken = sum(site.take(f"g{i}", 40) for i in range(GATEWAYS))

    assert EXTRA / 2 < taken <= EXTRA


def test_gateway_without_others_keeps_to_its_own_part():
    site = Site()
    site.cut_off.update(f"g{i}" for i in range(1, GATEWAYS))

    assert site.take("g0", 40) == site.windows["g0"]._extra * 0.8 // GATEWAYS


def test_nobody_is_asked_again_and_again_when_all_is_spent():
    # Guards against a call to other gateways for each stream that waits.
    site = Site()
    for i in range(GATEWAYS):
        site.take(f"g{i}", 60)
    calls = []
    site._peers["g0"].call = lambda *args: calls.append(args) or {"lent": 0}

    site.take("g0", 60)

    assert len(calls) <= 3
