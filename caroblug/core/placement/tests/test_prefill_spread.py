"""Callers who come back all at once, after all gateways were gone.

Each gateway sends some requests before it can hear of any other's. Prompts
wait for each other on the engines of the quickest chain while others idle.
"""

import collections
import random

import attrs

from caroblug.core.placement import EngineLoads, choose_path, plan_moves
from caroblug.core.placement.tests.fleets import (
    BIG,
    MIDDLE,
    MODEL,
    SMALL,
    apply_moves,
    make_engine,
)

GATEWAYS = 14
FIRST_EVENT_AIM_MS = 600
MODEL_READ = attrs.evolve(MODEL, kv_mb=0.0041, prefill_ms=2.15, prefill_steps=6)


def make_data_centre():
    """Returns the engines of a data centre with three chains."""
    counts = ((BIG, 2), (MIDDLE, 10), (SMALL, 17))
    engines = [
        make_engine(f"{kind.name}-{i}", kind)
        for kind, count in counts
        for i in range(count)
    ]
    return apply_moves(engines, plan_moves(engines, MODEL_READ))


def send(requests_each: int) -> collections.Counter[str]:
    """Returns the prompts on each engine after each gateway's requests."""
    engines = make_data_centre()
    prompts: collections.Counter[str] = collections.Counter()
    for gateway in range(GATEWAYS):
        loads = EngineLoads()
        loads.local_gateways = GATEWAYS
        rng = random.Random(gateway)
        for _ in range(requests_each):
            path = choose_path(engines, MODEL_READ, loads, "a", rng)
            loads.begin_prefill(path.names)
            prompts.update(path.names)
    return prompts


def test_returning_callers_are_spread_over_the_chains():
    # Guards against first events that wait for the prompts of everybody else.
    prompts = send(6)

    longest_ms = max(
        prompts[engine.name]
        * MODEL_READ.prefill_time_ms(engine.kind, len(engine.holds))
        for engine in make_data_centre()
    )
    assert longest_ms <= FIRST_EVENT_AIM_MS


def test_callers_one_by_one_all_take_the_quickest_chain():
    # Guards against slower chains where nothing waits.
    first = set(send(1))
    quickest = choose_path(
        make_data_centre(), MODEL_READ, EngineLoads(), "a", random.Random(1)
    )

    assert set(quickest.names) <= first
    assert len(first) <= len(quickest.names) + 3


def test_prompt_that_has_been_read_is_counted_no_more():
    loads = EngineLoads()
    loads.local_gateways = GATEWAYS
    loads.begin_prefill(("x", "y"))
    loads.end_prefill(("x", "y"))

    assert loads.pending_prefills("x") == 0
