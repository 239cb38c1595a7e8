"""Tests of the shares of client accounts, alone and under load."""

import statistics

import pytest

from caroblug.core.admission import HIGH_USE, AccountShares, make_admission
from caroblug.core.admission.tests.models import Kind, Model, share

NOW_MS = 100_000
ACCOUNTS = 24
DEMAND_PER_S = 143
USUAL_TOKENS = DEMAND_PER_S * 790 * 6
ENGINES = 10
"""Engines that hold some 45,000 tokens each at 1.5 times what fits."""


def make_shares(used, weights=None, now_ms=NOW_MS) -> AccountShares:
    """Returns shares of accounts with tokens in rank 0 while room is short."""
    shares = AccountShares(weights or {})
    for account, tokens in used.items():
        shares.on_admitted(0, account, tokens)
    shares.on_short(now_ms)
    return shares


def above(shares, *accounts, now_ms=NOW_MS, rank=0):
    return [a for a in accounts if shares.is_above(rank, a, now_ms)]


def test_account_above_an_equal_share_yields():
    shares = make_shares({"a": 6000, "b": 2000, "c": 1000})

    assert above(shares, "a", "b", "c") == ["a"]


def test_shares_are_weighted():
    shares = make_shares({"a": 6000, "b": 2500}, {"a": 3.0, "b": 1.0})

    assert above(shares, "a", "b") == ["b"]


def test_account_alone_may_use_everything():
    # Guards against memory that stands idle while only one account asks.
    shares = make_shares({"a": 6000})

    assert above(shares, "a") == []


def test_nobody_yields_while_room_is_not_short():
    shares = make_shares({"a": 6000, "b": 1000})

    assert above(shares, "a", now_ms=NOW_MS + 999) == ["a"]
    assert above(shares, "a", now_ms=NOW_MS + 1000) == []


def test_accounts_yield_only_within_their_rank():
    # Guards against alerts delayed because their account sends many digests.
    shares = make_shares({"b": 1000})
    shares.on_admitted(1, "a", 9000)
    shares.on_admitted(0, "a", 500)

    assert above(shares, "a") == []


def test_accounts_that_ended_are_not_counted():
    shares = make_shares({"a": 6000, "b": 1000})
    shares.on_ended(0, "b", 1000)

    assert above(shares, "a") == []
    assert shares.largest(16) == {(0, "a"): 6000}


def test_use_at_other_gateways_counts():
    # Guards against an account that spreads its requests over all gateways.
    shares = make_shares({"a": 900, "b": 1000})
    shares.update_peer("g2", {(0, "a"): 800, (0, "b"): 100}, NOW_MS)

    assert above(shares, "a", "b") == ["a"]


def test_accounts_of_a_dead_gateway_expire():
    shares = make_shares({"a": 900, "b": 1000}, now_ms=NOW_MS + 1500)
    shares.update_peer("g2", {(0, "a"): 9000}, NOW_MS)

    assert above(shares, "a", "b", now_ms=NOW_MS + 1500) == ["b"]


def test_unused_share_is_lent_within_a_second():
    # Guards against memory kept for accounts that no longer ask for it.
    shares = make_shares({"a": 6000, "b": 1000}, now_ms=NOW_MS + 1000)
    shares.on_arrival(0, "b", 2000, NOW_MS)

    assert shares.lighter_rate(0, NOW_MS) == 2.0
    assert shares.lighter_rate(0, NOW_MS + 1000) == 0.0


@pytest.mark.parametrize("ranked", [True, False])
def test_account_above_its_share_gets_a_lower_limit(ranked):
    admission = make_admission(None)
    admission.set_fleet(ranked, 100_000)
    shares = admission.shares
    shares.on_admitted(0, "a", 6000)
    shares.on_admitted(0, "b", 1000)
    for _ in range(10):
        admission.on_arrival(0, 1000, NOW_MS, "b")
    assert admission.max_use(0, NOW_MS, "a") == HIGH_USE

    shares.on_short(NOW_MS)

    assert admission.max_use(0, NOW_MS, "b") == HIGH_USE
    assert admission.max_use(0, NOW_MS, "a") < HIGH_USE


def test_account_above_its_share_stays_ahead_of_less_urgent_ranks():
    # Guards against digests admitted while alerts of an account are refused.
    admission = make_admission(None)
    admission.set_fleet(True, 100_000)
    admission.shares.on_admitted(0, "a", 6000)
    admission.shares.on_admitted(0, "b", 1000)
    for _ in range(30):
        admission.on_arrival(0, 1000, NOW_MS, "b")
    admission.shares.on_short(NOW_MS)

    yielding = admission.max_use(0, NOW_MS, "a")

    assert yielding >= admission.max_use(1, NOW_MS, "c")


def make_model(gateways: int, large_part: float, demand: float) -> Model:
    """Returns a model in which one account sends a part of all requests.

    Args:
        gateways: Number of gateways.
        large_part: Part of the requests that account a0 sends.
        demand: Demand as a multiple of what fits.
    """
    engines = [int(USUAL_TOKENS / demand / ENGINES)] * ENGINES
    model = Model(engines, gateways, ranked=False)
    per_s = DEMAND_PER_S / gateways
    model.set_rate(Kind("a0", 0, per_s * large_part, account="a0"))
    rest = per_s * (1 - large_part) / (ACCOUNTS - 1)
    for n in range(1, ACCOUNTS):
        model.set_rate(Kind(f"a{n}", 0, rest, account=f"a{n}"))
    return model


@pytest.mark.parametrize("gateways", [1, 9])
def test_account_with_most_requests_does_not_crowd_out_the_others(gateways):
    # Guards against an account with 60 % of 1.5 times the demand that fits.
    model = make_model(gateways, 0.6, 1.5)
    model.run(15_000)

    since_ms = 106_000
    others = [
        s
        for n in range(1, ACCOUNTS)
        for s in model.of(f"a{n}", since_ms)
        if s.began_ms < model.now_ms - 1000
    ]
    large = model.of("a0", since_ms)
    assert share(others, lambda s: s.on_time) >= 0.9
    assert share(large, lambda s: s.on_time) > 0.1
    assert statistics.mean(model.use_samples[600:]) >= 0.85


def test_account_with_all_requests_gets_all_room():
    model = make_model(9, 1.0, 1.5)
    model.run(12_000)

    assert statistics.mean(model.use_samples[600:]) >= 0.85
