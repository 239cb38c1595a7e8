"""Tests that simultaneous prompts are spread over chains.

After a loss of all gateways, callers return at once. Each gateway sends some
requests before it receives the others' reports. Without spreading, prompts
queue on the engines of the fastest chain while other engines idle.
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
FIRST_EVENT_TARGET_MS = 600
MODEL_WITH_PREFILL = attrs.evolve(
    MODEL, kv_mb=0.0041, prefill_ms=2.15, prefill_steps=6
)


def make_data_centre():
    """Returns the engines of a data centre with three chains."""
    counts = ((BIG, 2), (MIDDLE, 10), (SMALL, 17))
    engines = [
        make_engine(f"{kind.name}-{i}", kind)
        for kind, count in counts
        for i in range(count)
    ]
    return apply_moves(engines, plan_moves(engines, MODEL_WITH_PREFILL))


def count_prompts(requests_per_gateway: int) -> collections.Counter[str]:
    """Returns the number of prompts on each engine."""
    engines = make_data_centre()
    prompts: collections.Counter[str] = collections.Counter()
    for gateway in range(GATEWAYS):
        loads = EngineLoads()
        loads.local_gateways = GATEWAYS
        rng = random.Random(gateway)
        for _ in range(requests_per_gateway):
            path = choose_path(engines, MODEL_WITH_PREFILL, loads, "a", rng)
            loads.begin_prefill(path.names)
            prompts.update(path.names)
    return prompts


def test_simultaneous_prompts_are_spread_over_chains():
    # Guards against first events that wait for all other prompts' prefills.
    prompts = count_prompts(6)

    longest_ms = max(
        prompts[engine.name]
        * MODEL_WITH_PREFILL.prefill_time_ms(engine.kind, len(engine.holds))
        for engine in make_data_centre()
    )
    assert longest_ms <= FIRST_EVENT_TARGET_MS


def test_single_requests_take_the_fastest_chain():
    # Guards against use of slower chains while no prefills are pending.
    first = set(count_prompts(1))
    fastest = choose_path(
        make_data_centre(),
        MODEL_WITH_PREFILL,
        EngineLoads(),
        "a",
        random.Random(1),
    )

    assert set(fastest.names) <= first
    assert len(first) <= len(fastest.names) + 3


def test_finished_prefill_is_no_longer_counted():
    loads = EngineLoads()
    loads.local_gateways = GATEWAYS
    loads.begin_prefill(("x", "y"))
    loads.end_prefill(("x", "y"))

    assert loads.pending_prefills("x") == 0
