"""Tests of how gateways keep the limits that servers name."""

import random

import pytest

from caroblug.core.limits import (
    LimitOwner,
    LimitReport,
    ServerLimits,
    _server_limits,
)

_SERVER = "s1"
_ROUND_MS = 500
_STEP_MS = 20
_PARTNERS = 4
_JUDGED_AFTER_MS = 4000
_JUDGED_WINDOW_MS = 4000
_TOLD_AFTER_MS = 500


def make_limits(name="g1"):
    return ServerLimits(LimitOwner(name, ("10.0.0.1", 1)))


def make_owner(rate_per_s=2.0, now_ms=0):
    """Returns the limits of a gateway that has just claimed one."""
    limits = make_limits()
    limits.on_response(_SERVER, rate_per_s, now_ms, now_ms)
    limits.on_demand(_SERVER, True, now_ms)
    return limits


def test_server_without_a_limit_is_available():
    limits = make_limits()
    limits.on_demand(_SERVER, True, 0)

    assert all(limits.take(_SERVER, 0) for _ in range(100))


def test_new_owner_sends_nothing_until_its_claim_has_spread():
    # Guards against several gateways that each use the whole limit.
    limits = make_owner()

    assert not limits.is_available(_SERVER, 2400)
    limits.on_demand(_SERVER, True, 2400)
    assert limits.is_available(_SERVER, 3200)


def test_owner_keeps_the_rate():
    limits = make_owner(rate_per_s=10.0)
    sent = 0
    for now_ms in range(0, 60_000, 10):
        limits.on_demand(_SERVER, True, now_ms)
        sent += limits.take(_SERVER, now_ms)

    assert sent == pytest.approx(57.5 * 9, abs=6)


def test_limit_of_zero_leaves_requests_that_show_its_end():
    limits = make_owner(rate_per_s=0.0)
    sent = 0
    for now_ms in range(0, 30_000, 10):
        limits.on_demand(_SERVER, True, now_ms)
        sent += limits.take(_SERVER, now_ms)

    assert sent == 5


def test_permits_come_out_of_the_owners_rate():
    owner = make_owner(rate_per_s=1.0)
    other = make_limits("g2")
    other.merge(_SERVER, owner.reports(0)[_SERVER], 0)
    owner.on_demand(_SERVER, True, 2000)
    other.merge(_SERVER, owner.reports(2000)[_SERVER], 2000)
    owner.on_demand(_SERVER, True, 4000)

    assert other.lender(_SERVER, 4000).name == "g1"
    assert owner.grant(_SERVER, 4000) == 0
    assert owner.grant(_SERVER, 4000) > 0
    assert not owner.take(_SERVER, 4000)
    other.on_granted(_SERVER, 4000)
    assert other.take(_SERVER, 4900)
    assert not other.take(_SERVER, 4900)


def test_unused_permit_expires():
    owner = make_owner()
    other = make_limits("g2")
    other.merge(_SERVER, owner.reports(0)[_SERVER], 0)
    other.on_granted(_SERVER, 0)

    assert not other.take(_SERVER, 1000)


def test_gateway_that_owns_nothing_grants_nothing():
    # Guards against an owner that restarted and knows of no limit.
    assert make_limits().grant(_SERVER, 0) > 0


def test_denied_gateway_waits_before_it_asks_again():
    owner = make_owner()
    other = make_limits("g2")
    other.merge(_SERVER, owner.reports(0)[_SERVER], 0)
    other.on_denied(_SERVER, 300, 0)

    assert other.lender(_SERVER, 299) is None
    assert other.lender(_SERVER, 300) is not None


def test_response_to_an_older_request_does_not_end_a_limit():
    # Guards against responses that overtake each other.
    limits = make_owner(now_ms=1000)

    assert not limits.on_response(_SERVER, None, 900, 1100)
    assert limits.is_limited(_SERVER)
    assert limits.on_response(_SERVER, None, 1200, 1300)
    assert limits.is_available(_SERVER, 1300)


def test_end_of_a_limit_wins_over_older_reports():
    # Guards against a limit that gateways keep telling each other.
    first, second = make_owner(), make_limits("g2")
    stale = first.reports(0)[_SERVER]
    second.merge(_SERVER, stale, 0)
    first.on_response(_SERVER, None, 10, 20)

    assert second.merge(_SERVER, first.reports(20)[_SERVER], 20)
    assert not second.merge(_SERVER, stale, 30)
    assert second.is_available(_SERVER, 30)


def test_claim_of_the_first_gateway_by_name_holds():
    limits = make_limits("g2")
    limits.on_response(_SERVER, 1.0, 0, 0)
    limits.on_demand(_SERVER, True, 0)
    report = make_owner().reports(0)[_SERVER]
    limits.merge(_SERVER, report, 100)

    assert limits.lender(_SERVER, 100).name == "g1"
    assert not limits.is_available(_SERVER, 2900)


def test_claim_that_is_not_renewed_lapses():
    # Guards against a server that nobody uses after its limit's owner has died.
    limits = make_limits("g2")
    report = make_owner().reports(0)[_SERVER]
    limits.merge(_SERVER, report, 0)
    limits.merge(_SERVER, report, 2000)
    limits.on_demand(_SERVER, True, 3000)

    assert limits.lender(_SERVER, 3000) is None
    assert not limits.is_available(_SERVER, 3000)
    limits.on_demand(_SERVER, True, 5000)
    assert limits.is_available(_SERVER, 7000)


def test_owner_without_requests_gives_up_its_claim():
    limits = make_owner()

    assert limits.reports(3000)[_SERVER].owner is None


def test_remote_gateway_claims_only_what_nobody_else_claims():
    limits = make_limits()
    limits.on_response(_SERVER, 1.0, 0, 0)
    limits.on_demand(_SERVER, False, 4000)
    assert limits.reports(4000)[_SERVER].owner is None
    limits.on_demand(_SERVER, False, 5001)
    assert limits.reports(5001)[_SERVER].owner.name == "g1"


def test_owner_probes_a_server_that_it_has_not_used():
    # Guards against a limit that outlasts the server's need.
    limits = make_owner()
    for now_ms in (1000, 2000, 3000, 4000):
        limits.on_demand(_SERVER, True, now_ms)

    assert limits.needs_probe(_SERVER, 4000)
    limits.on_response(_SERVER, 2.0, 4000, 4010)
    assert not limits.needs_probe(_SERVER, 4020)


def test_many_limits_are_reported_in_turn():
    limits = make_limits()
    for number in range(100):
        limits.on_response(f"s{number}", 1.0, 0, 0)
    reported = [limits.reports(0) for _ in range(3)]

    assert max(map(len, reported)) <= 48
    assert len(set().union(*reported)) == 100


def test_limits_of_other_servers_are_forgotten():
    limits = make_owner()
    limits.retain(set())

    assert not limits.is_limited(_SERVER)


class _Fleet:
    """Gateways that exchange reports and want to send at any time."""

    def __init__(self, gateways: int, rate_per_s: float, seed: int) -> None:
        self.rate_per_s: float | None = rate_per_s
        self.now_ms = 0
        self.arrivals: list[tuple[int, str]] = []
        self.told_ms: dict[str, int] = {}
        self._rng = random.Random(seed)
        self._gateways = {
            f"g{number:03d}": make_limits(f"g{number:03d}")
            for number in range(gateways)
        }

    def restart(self, name: str) -> None:
        """Replaces a gateway by a new process, which knows no limit."""
        self._gateways[name] = make_limits(name)
        self.told_ms.pop(name, None)

    def remove(self, name: str) -> None:
        """Removes a gateway."""
        del self._gateways[name]
        self.told_ms.pop(name, None)

    def owner(self) -> str:
        """Returns the owner that most gateways know."""
        owners = [
            report.owner.name
            for limits in self._gateways.values()
            for report in limits.reports(self.now_ms).values()
            if report.owner is not None
        ]
        return max(set(owners), key=owners.count)

    def run(self, seconds: float) -> None:
        """Lets all gateways send and exchange reports for some time."""
        end_ms = self.now_ms + int(seconds * 1000)
        while self.now_ms < end_ms:
            self.now_ms += _STEP_MS
            names = list(self._gateways)
            self._rng.shuffle(names)
            for name in names:
                self._send(name)
                if self._rng.random() < _STEP_MS / _ROUND_MS:
                    self._exchange(name)

    def _send(self, name: str) -> None:
        limits = self._gateways[name]
        limits.on_demand(_SERVER, True, self.now_ms)
        if not limits.take(_SERVER, self.now_ms):
            owner = limits.lender(_SERVER, self.now_ms)
            if owner is None or owner.name not in self._gateways:
                return
            wait_ms = self._gateways[owner.name].grant(_SERVER, self.now_ms)
            if wait_ms:
                limits.on_denied(_SERVER, wait_ms, self.now_ms)
                return
            limits.on_granted(_SERVER, self.now_ms)
            assert limits.take(_SERVER, self.now_ms)
        self.arrivals.append((self.now_ms, name))
        limits.on_response(_SERVER, self.rate_per_s, self.now_ms, self.now_ms)
        if self.rate_per_s is not None:
            self.told_ms.setdefault(name, self.now_ms)

    def _exchange(self, name: str) -> None:
        others = [other for other in self._gateways if other != name]
        for other in self._rng.sample(others, min(len(others), _PARTNERS)):
            self._tell(name, other)
            self._tell(other, name)

    def _tell(self, teller: str, listener: str) -> None:
        reports = self._gateways[teller].reports(self.now_ms)
        for server, report in reports.items():
            self._gateways[listener].merge(server, report, self.now_ms)

    def judged_arrivals(self, since_ms: int) -> list[int]:
        """Returns when gateways sent that had seen the limit before."""
        return [
            now_ms
            for now_ms, name in self.arrivals
            if now_ms >= since_ms + _JUDGED_AFTER_MS
            and now_ms >= self.told_ms.get(name, now_ms) + _TOLD_AFTER_MS
        ]


def most_in_a_window(times: list[int]) -> int:
    return max(
        sum(start <= t < start + _JUDGED_WINDOW_MS for t in times)
        for start in times
    )


@pytest.mark.parametrize("rate_per_s", [0.3, 1.5, 12.0])
@pytest.mark.parametrize("gateways", [1, 4, 300])
def test_all_gateways_together_keep_a_limit(gateways, rate_per_s):
    # Guards against a bound that grows with the number of gateways.
    fleet = _Fleet(gateways, rate_per_s, seed=1)
    fleet.run(12)

    times = fleet.judged_arrivals(0)
    assert most_in_a_window(times) <= 1.5 * rate_per_s * 4 + 5
    assert len(times) >= rate_per_s * 8 * 0.6


@pytest.mark.parametrize(
    ("gateways", "seed"), [(60, 0), (60, 1), (60, 2), (60, 3), (300, 4)]
)
def test_limit_holds_through_restarts_and_removals(gateways, seed):
    # Guards against two owners of one limit while the first one is replaced.
    rng = random.Random(seed)
    fleet = _Fleet(gateways, 2.0, seed)
    fleet.run(6)
    for _ in range(4):
        fleet.restart(fleet.owner())
        fleet.run(rng.uniform(0.1, 4.0))
        fleet.remove(fleet.owner())
        fleet.run(rng.uniform(0.1, 4.0))
        # A new gateway joins.
        fleet.restart(f"g{gateways + rng.randrange(30):03d}")
    fleet.run(12)

    times = fleet.judged_arrivals(0)
    assert most_in_a_window(times) <= 1.5 * 2.0 * 4 + 5
    assert sum(t > fleet.now_ms - 4000 for t in times) >= 6


def test_end_of_a_limit_reaches_all_gateways():
    fleet = _Fleet(60, 1.0, seed=1)
    fleet.run(6)
    fleet.rate_per_s = None
    fleet.run(4)
    before = len(fleet.arrivals)
    fleet.run(0.02)

    assert len(fleet.arrivals) - before == 60


@pytest.mark.parametrize("servers", [10, 100])
def test_each_of_many_limits_has_one_owner(servers, monkeypatch):
    # Guards against several owners of a limit while claims spread slowly.
    monkeypatch.setattr(_server_limits, "_MAX_REPORTS", 8)
    monkeypatch.setattr(_server_limits, "_QUICK_LIMITS", 24)
    rng = random.Random(1)
    names = [f"s{number}" for number in range(servers)]
    gateways = [make_limits(f"g{number:02d}") for number in range(40)]
    for limits in gateways:
        for name in names:
            limits.on_response(name, 1.0, 0, 0)
    for now_ms in range(0, 16_000, _ROUND_MS):
        for limits in gateways:
            for name in names:
                limits.on_demand(name, True, now_ms)
        assert all(
            sum(limits.is_available(name, now_ms) for limits in gateways) <= 1
            for name in names
        )
        for limits in gateways:
            for other in rng.sample(gateways, _PARTNERS):
                for name, report in limits.reports(now_ms).items():
                    other.merge(name, report, now_ms)
                for name, report in other.reports(now_ms).items():
                    limits.merge(name, report, now_ms)
    assert all(
        sum(limits.is_available(name, now_ms) for limits in gateways) == 1
        for name in names
    )


def test_report_of_a_limit_is_valid_without_an_owner():
    limits = make_limits()

    assert limits.merge(_SERVER, LimitReport(1.0, 3), 0)
    assert limits.lender(_SERVER, 0) is None
