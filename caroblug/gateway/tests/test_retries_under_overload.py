"""Models of all gateways' retries under overload and after a common restart.

The budgets, loans and classes are the real ones. Requests, rejections and the
exchange of state between gateways are simulated.
"""

import bisect
import random

import pytest

from caroblug.core.limits import (
    RetryClass,
    WindowedRetryBudget,
    find_retry_classes,
)
from caroblug.gateway._interfaces import Member
from caroblug.gateway._peers import LeaseState
from caroblug.gateway._shared_retry_budget import SharedRetryBudget
from caroblug.gateway._stream_retry_policy import MAX_PAUSE_MS
from caroblug.gateway.tests.test_placement import (
    make_placement,
    receive_peer_state,
)
from caroblug.utils import ManualClock

GATEWAYS = 22
RATIO = 0.2
EXTRA = 238
WINDOW_MS = 10000
REQUESTS_PER_S = 76
REJECTED_SHARE = 0.6
"""Share of the requests that are rejected, and need one retry each. It takes
more retries in a window than the bound allows."""

STREAMS_OF_ONE_ENGINE = 8
"""Streams that one gateway has on one engine; they are lost together."""

TICK_MS = 50
EXCHANGE_MS = 500
RENEWAL_MS = 800
KILL_MS = 12_000
FIRST_START_MS = KILL_MS + 100
STARTS_MS = 500
"""Time from the first start after the kill to the last one."""

BURST_MS = 8000
"""Length of a burst. No retry of it leaves the window while a stream waits."""

END_MS = KILL_MS + 2 * WINDOW_MS


class Gateway:
    """Retry budget of one gateway process."""

    def __init__(self, site, name, clock, ramp_start_ms) -> None:
        context, _, self._peers, _ = make_placement(name, clock)
        self._site = site
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._loads = context.fleet.loads
        self.name = name
        self.window = WindowedRetryBudget(
            RATIO, EXTRA, WINDOW_MS, ramp_start_ms
        )
        context.retry_budget = self.window
        self.budget = SharedRetryBudget(context, self._peers)
        self._peers.call = lambda other, _, message: site.gateways[
            other
        ].budget.handle_loan_request(message)

    def renew(self, now_ms: int) -> None:
        """Estimates the number of gateways, as a renewed lease does."""
        if (now_ms - self._started_ms) % RENEWAL_MS == 0:
            self._loads.gateways = len(self._site.gateways)

    def exchange(self) -> None:
        """Receives the state of all other gateways."""
        now_ms = self._clock.now_ms()
        for other in self._site.gateways.values():
            if other is self:
                continue
            left = other.window.remaining("pool", other._loads.gateways, now_ms)
            self._peers._add_member(Member(other.name, ("10.0.0.1", 1)))
            receive_peer_state(
                self._peers,
                other.name,
                LeaseState.NONE,
                repeats={"pool": int(left)},
            )


class Site:
    """Gateways of one service, with the times of requests and retries."""

    def __init__(self, ranks=(), ramp=True) -> None:
        self.clock = ManualClock(0)
        self.gateways: dict[str, Gateway] = {}
        self.requests: list[int] = []
        self.retries: list[int] = []
        self._classes = {"pool": find_retry_classes(ranks, bool(ranks))}
        self._ramp = ramp
        self._rng = random.Random(1)

    def start_all(self) -> None:
        """Starts all gateways for the first time and lets them meet."""
        for i in range(GATEWAYS):
            self._start(f"g{i}", None)
        for gateway in self.gateways.values():
            gateway.renew(0)
        self.exchange()

    def restart(self, name: str) -> None:
        """Starts one gateway after another process of that name."""
        now_ms = self.clock.now_ms()
        self._start(name, now_ms if self._ramp else None)

    def exchange(self) -> None:
        for gateway in self.gateways.values():
            gateway.exchange()

    def tick(self) -> None:
        """Advances the time and simulates the gateways' periodic work."""
        self.clock.advance(TICK_MS)
        now_ms = self.clock.now_ms()
        for gateway in self.gateways.values():
            gateway.renew(now_ms)
        if now_ms % EXCHANGE_MS == 0:
            self.exchange()

    def choose_gateway(self) -> Gateway:
        return self._rng.choice(list(self.gateways.values()))

    def arrive(self, rejected_share: float, retry_class: RetryClass) -> int:
        """Lets the requests of one tick arrive; returns the retries allowed."""
        allowed = 0
        expected = REQUESTS_PER_S * TICK_MS / 1000
        count = int(expected) + (self._rng.random() < expected % 1)
        for _ in range(count):
            gateway = self.choose_gateway()
            now_ms = self.clock.now_ms()
            gateway.window.on_first_send("pool", now_ms)
            self.requests.append(now_ms)
            if self._rng.random() < rejected_share:
                allowed += self.retry(gateway, retry_class)
        return allowed

    def retry(self, gateway: Gateway, retry_class: RetryClass) -> bool:
        """Takes one retry; returns whether it was allowed."""
        allowed = gateway.budget.take("pool", retry_class)
        if allowed:
            self.retries.append(self.clock.now_ms())
        return allowed

    def excess(self) -> float:
        """Returns the most retries above the bound in any window."""
        return max(
            _count(self.retries, end_ms)
            - RATIO * _count(self.requests, end_ms)
            - EXTRA
            for end_ms in self.retries
        )

    def _start(self, name: str, ramp_start_ms: int | None) -> None:
        gateway = Gateway(self, name, self.clock, ramp_start_ms)
        gateway.window.set_classes(self._classes)
        self.gateways[name] = gateway


def _count(times_ms: list[int], end_ms: int) -> int:
    """Returns how many times lie in the window that ends at `end_ms`."""
    begin = bisect.bisect_right(times_ms, end_ms - WINDOW_MS)
    return bisect.bisect_right(times_ms, end_ms) - begin


def run_restart(overload_ms: int, ramp: bool) -> Site:
    """Kills all gateways during an overload and starts them again.

    Args:
        overload_ms: How long before the kill the overload begins.
        ramp: Whether the extra retries grow from zero after the start.
    """
    site = Site(ramp=ramp)
    site.start_all()
    waiting = {
        FIRST_START_MS + i * STARTS_MS // (GATEWAYS - 1): f"g{i}"
        for i in range(GATEWAYS)
    }
    while site.clock.now_ms() < END_MS:
        now_ms = site.clock.now_ms()
        if now_ms == KILL_MS:
            site.gateways.clear()
        for start_ms in [t for t in waiting if t <= now_ms]:
            site.restart(waiting.pop(start_ms))
        overloaded = now_ms >= KILL_MS - overload_ms
        if site.gateways:
            share = REJECTED_SHARE if overloaded else 0.0
            site.arrive(share, RetryClass.OTHER)
        site.tick()
    return site


@pytest.mark.parametrize("overload_ms", [4000, 6000])
def test_killed_gateways_do_not_spend_a_second_budget(overload_ms):
    # Guards against the bound being exceeded when all gateways are killed
    # during an overload and start again within 0.6 s with whole budgets.
    assert run_restart(overload_ms, ramp=False).excess() > 0

    site = run_restart(overload_ms, ramp=True)

    assert site.excess() <= 0
    assert any(t > KILL_MS for t in site.retries)


def test_restarted_gateways_have_the_whole_budget_after_a_window():
    # Guards against gateways that remain without retries after a restart.
    site = run_restart(5000, ramp=True)
    end_ms = KILL_MS + 2 * WINDOW_MS

    assert _count(site.retries, end_ms) > RATIO * _count(site.requests, end_ms)


def run_burst(ranks: tuple[int, ...], retry_class: RetryClass) -> Site:
    """Rejects all requests of one class until no retry is left to it."""
    site = Site(ranks)
    site.start_all()
    while site.clock.now_ms() < BURST_MS:
        site.arrive(1.0, retry_class)
        site.tick()
    for gateway in site.gateways.values():
        while site.retry(gateway, retry_class):
            pass
    return site


@pytest.mark.parametrize(
    "newcomers", [RetryClass.MOST_URGENT, RetryClass.OTHER]
)
def test_begun_streams_get_retries_while_newcomers_get_none(newcomers):
    # Guards against responses that are cut after the loss of two engines
    # because rejected newcomers have spent the retries of all gateways.
    site = run_burst((0, 1, 2), newcomers)
    waiting = [
        site.gateways[name]
        for name in ("g0", "g1", "g2")
        for _ in range(STREAMS_OF_ONE_ENGINE)
    ]
    allowed_newcomers = 0
    for _ in range(MAX_PAUSE_MS // TICK_MS):
        allowed_newcomers += sum(
            site.retry(g, newcomers) for g in site.gateways.values()
        )
        waiting = [g for g in waiting if not site.retry(g, RetryClass.BEGUN)]
        site.tick()

    assert not waiting
    assert allowed_newcomers == 0
    assert site.excess() <= 0


def test_newcomers_would_take_the_retries_of_begun_streams_without_classes():
    # Shows that the model above spends the whole budget where the configuration
    # gives no classes.
    site = run_burst((), RetryClass.OTHER)

    begun = [
        site.retry(site.gateways["g0"], RetryClass.BEGUN)
        for _ in range(STREAMS_OF_ONE_ENGINE)
    ]

    assert not all(begun)


def test_urgent_rank_gets_retries_during_a_burst_of_the_least_urgent():
    # Guards against a burst of the least urgent kind that leaves no retries to
    # urgent requests.
    site = run_burst((0, 1, 2), RetryClass.OTHER)

    urgent = [
        site.retry(g, RetryClass.MOST_URGENT) for g in site.gateways.values()
    ]

    assert all(urgent)


def test_single_rank_without_overload_gets_all_its_retries():
    # Guards against reserves that deny retries while few engines fail.
    site = Site((5,))
    site.start_all()
    allowed = 0
    while site.clock.now_ms() < 2 * WINDOW_MS:
        allowed += site.arrive(0.1, RetryClass.MOST_URGENT)
        site.tick()

    denied = sum(
        g.budget._context.telemetry.value(
            "repeats_denied", service="pool", retry_class="most_urgent"
        )
        for g in site.gateways.values()
    )
    assert allowed > 0
    assert denied == 0
