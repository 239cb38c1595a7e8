"""Tests of loans between gateways when several engines are lost at once.

The streams of the lost engines are on few gateways. They need many retries at
the same moment, while each gateway owns a small part of the retry budget.
"""

from caroblug.core.limits import RetryClass, WindowedRetryBudget
from caroblug.gateway._interfaces import Member, Unavailable
from caroblug.gateway._peers import LeaseState
from caroblug.gateway._shared_retry_budget import LEND_PATH, SharedRetryBudget
from caroblug.gateway.tests.test_placement import (
    make_placement,
    receive_peer_state,
)
from caroblug.utils import ManualClock

GATEWAYS = 20
EXTRA = 200
WINDOW_MS = 10000


class Site:
    """Gateways that share a retry budget, without sockets."""

    def __init__(self) -> None:
        self.clock = ManualClock(100_000)
        self.budgets: dict[str, SharedRetryBudget] = {}
        self.windows: dict[str, WindowedRetryBudget] = {}
        self.unreachable: set[str] = set()
        self._peers = {}
        for i in range(GATEWAYS):
            self._add(f"g{i}")
        self.exchange_state()

    def _add(self, name: str) -> None:
        context, _, peers, _ = make_placement(name, self.clock)
        context.retry_budget = WindowedRetryBudget(0.0, EXTRA, WINDOW_MS)
        context.fleet.loads.gateways = GATEWAYS
        self._peers[name] = peers
        self.windows[name] = context.retry_budget
        self.budgets[name] = SharedRetryBudget(context, peers)
        peers.call = self.call

    def call(self, name: str, path: str, message: dict):
        if name in self.unreachable:
            return Unavailable("cut off")
        assert path == LEND_PATH
        return self.budgets[name].handle_loan_request(message)

    def exchange_state(self) -> None:
        """Sends the state of every gateway to every other one."""
        for name, peers in self._peers.items():
            for other, window in self.windows.items():
                if other == name:
                    continue
                left = window.remaining("pool", GATEWAYS, self.clock.now_ms())
                peers._add_member(Member(other, ("10.0.0.1", 1)))
                receive_peer_state(
                    peers,
                    other,
                    LeaseState.NONE,
                    repeats={"pool": int(left)},
                )

    def take(self, name: str, count: int) -> int:
        return sum(self.budgets[name].take("pool") for _ in range(count))


def test_gateway_uses_retries_that_others_have_left():
    # Guards against cutting the streams of one gateway while nearly the whole
    # shared budget is unused.
    site = Site()

    assert site.take("g0", 40) == 40


def test_all_gateways_together_stay_within_the_budget():
    # Guards against retries that both the lender and the borrower use.
    site = Site()

    taken = sum(site.take(f"g{i}", 40) for i in range(GATEWAYS))

    assert EXTRA / 2 < taken <= EXTRA


def test_gateway_without_reachable_lenders_keeps_to_its_own_part():
    site = Site()
    site.unreachable.update(f"g{i}" for i in range(1, GATEWAYS))

    assert site.take("g0", 40) == site.windows["g0"]._extra * 0.8 // GATEWAYS


def test_gateways_are_not_called_repeatedly_when_the_budget_is_spent():
    # Guards against a round of calls to other gateways for each waiting stream.
    site = Site()
    for i in range(GATEWAYS):
        site.take(f"g{i}", 60)
    calls = []
    site._peers["g0"].call = lambda *args: calls.append(args) or {"lent": 0}

    site.take("g0", 60)

    assert len(calls) <= 3


def test_loan_request_without_a_class_leaves_the_reserves():
    # Guards against gateways of the previous version that borrow what streams
    # which have begun need.
    site = Site()
    window = site.windows["g0"]
    window.set_classes({"pool": frozenset({RetryClass.BEGUN})})
    message = {"service": "pool", "wanted": 1}
    while site.budgets["g0"].handle_loan_request(message)["lent"]:
        pass

    reserve = 0.25 * 0.8 * EXTRA / GATEWAYS
    left = window.remaining("pool", GATEWAYS, site.clock.now_ms())
    assert left >= reserve


def test_lender_that_keeps_its_reserve_is_still_called_for_begun_streams():
    # Guards against a cut response because a newcomer was refused a loan.
    site = Site()
    for window in site.windows.values():
        window.set_classes({"pool": frozenset({RetryClass.BEGUN})})
    for i in range(GATEWAYS):
        while site.budgets[f"g{i}"].take("pool", RetryClass.OTHER):
            pass
    site.exchange_state()
    for _ in range(GATEWAYS // 2):
        site.clock.advance(500)
        assert not site.budgets["g0"].take("pool", RetryClass.OTHER)

    begun = [
        site.budgets["g0"].take("pool", RetryClass.BEGUN) for _ in range(4)
    ]

    assert all(begun)


def test_loan_request_for_an_unknown_service_leaves_no_entry():
    # Guards against a budget for each service that a message makes up.
    site = Site()
    tracked = len(site.windows["g0"]._services)
    for number in range(100):
        message = {"service": f"made-up-{number}", "wanted": 1}
        answer = site.budgets["g0"].handle_loan_request(message)
        assert answer == {"lent": 0}

    assert len(site.windows["g0"]._services) == tracked
