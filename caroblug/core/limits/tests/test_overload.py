"""Tests of the estimated wait of a new stream and of Retry-After."""

import random

import attrs
from hypothesis import given
from hypothesis import strategies as st

from caroblug.core.limits import EngineLoad, RetryAfter, estimate_wait_ms

_STAGE = EngineLoad(0, 8, 1000.0, 0, 0)


def _chain(*loads):
    return [
        attrs.evolve(load, first_layer=8 * n, end_layer=8 * n + 8)
        for n, load in enumerate(loads)
    ]


def test_wait_is_that_of_the_slowest_stage_on_its_best_engine():
    busy = attrs.evolve(_STAGE, streams=100, client_accounts=100)
    engines = _chain(_STAGE, busy, _STAGE)
    assert estimate_wait_ms(engines, 24, 1000) == 100.0
    idle = attrs.evolve(_STAGE, first_layer=8, end_layer=16)
    assert estimate_wait_ms([*engines, idle], 24, 1000) == 0.0


def test_account_with_few_streams_waits_for_turns_not_for_the_backlog():
    """A light account is refused because of a heavy account's backlog."""
    load = attrs.evolve(_STAGE, streams=1000, client_accounts=2)
    engines = _chain(load)
    assert estimate_wait_ms(engines, 8, 0) == 2.0
    assert estimate_wait_ms(engines, 8, 998) == 1000.0


def test_gap_in_the_layers_has_no_chain():
    engines = [
        attrs.evolve(_STAGE, end_layer=4),
        attrs.evolve(_STAGE, first_layer=8, end_layer=16),
    ]
    assert estimate_wait_ms(engines, 16, 0) == float("inf")


def test_overlapping_ranges_can_be_joined():
    engines = [
        attrs.evolve(_STAGE, end_layer=10),
        attrs.evolve(_STAGE, first_layer=8, end_layer=16),
    ]
    assert estimate_wait_ms(engines, 16, 0) == 0.0


@given(st.integers(0, 2**32), st.integers(1, 10**6))
def test_retry_after_is_spread_around_its_mean(seed, mean_ms):
    ms = RetryAfter(random.Random(seed)).ms(mean_ms)
    assert 1 <= ms <= 1.5 * mean_ms
    assert ms >= mean_ms // 2
