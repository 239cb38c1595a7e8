"""Tests what remains of a data centre when two neighbours on a path fail."""

import itertools
import random

import hypothesis
import pytest

from caroblug.core.placement import (
    Engine,
    EngineLoads,
    LayerRange,
    Move,
    choose_path,
    plan_moves,
)
from caroblug.core.placement._assignment import Assignment
from caroblug.core.placement._pair_losses import (
    Exposure,
    may_fail_together,
    may_follow,
    measure_exposure,
)
from caroblug.core.placement.tests.fleets import (
    A100,
    CUSTOMER_A,
    CUSTOMER_A_REQUESTS,
    CUSTOMER_B,
    CUSTOMER_B_REQUESTS,
    CUSTOMER_MODEL,
    L4,
    MODEL,
    V100,
    apply_moves,
    make_customer_fleet,
    make_engine,
)
from caroblug.core.placement.tests.test_planner import fleets

FLEETS = {
    "A": (CUSTOMER_A, CUSTOMER_A_REQUESTS),
    "B": (CUSTOMER_B, CUSTOMER_B_REQUESTS),
}


def place(customer: str, data_centre: str) -> list[Engine]:
    """Returns engines of a data centre with the layers of their first plan."""
    counts, requests = FLEETS[customer]
    empty = [
        e for e in make_customer_fleet(counts) if e.data_centre == data_centre
    ]
    return apply_moves(empty, plan_moves(empty, CUSTOMER_MODEL, requests))


def plan_a(engines: list[Engine]) -> list[Move]:
    return plan_moves(engines, CUSTOMER_MODEL, CUSTOMER_A_REQUESTS)


def to_assignments(engines: list[Engine]) -> list[Assignment]:
    return [Assignment(e, e.holds) for e in engines]


def count_losses(engines: list[Engine]) -> list[int]:
    """Returns how many layers have no holder after each pair's loss."""
    losses = []
    for x, y in itertools.permutations(to_assignments(engines), 2):
        if not may_follow(x, y):
            continue
        rest = [e for e in engines if e not in (x.engine, y.engine)]
        held = {layer for e in rest for layer in e.holds}
        losses.append(CUSTOMER_MODEL.layers - len(held))
    return losses


@pytest.mark.parametrize("data_centre", ["a", "b", "c"])
def test_customer_a_loses_no_layer_with_a_pair(data_centre):
    # Guards against refused streams between the loss of two engines and the
    # end of a load.
    assert max(count_losses(place("A", data_centre))) == 0


@pytest.mark.parametrize(
    ("data_centre", "losing"), [("a", 0), ("b", 1), ("c", 1)]
)
def test_customer_b_loses_layers_with_one_pair_at_most(data_centre, losing):
    # Guards against more exposed pairs than memory for 2.1 copies requires.
    losses = count_losses(place("B", data_centre))

    assert sum(loss > 0 for loss in losses) <= losing
    assert max(losses) < CUSTOMER_MODEL.max_layers(L4, CUSTOMER_B_REQUESTS)


@pytest.mark.parametrize("data_centre", ["a", "b", "c"])
def test_plan_that_withstands_pairs_needs_no_further_moves(data_centre):
    # Guards against a second round of loads after a first start.
    engines = place("B", data_centre)

    assert plan_moves(engines, CUSTOMER_MODEL, CUSTOMER_B_REQUESTS) == []


@pytest.mark.parametrize("data_centre", ["a", "b", "c"])
def test_customer_a_withstands_pairs_again_after_restarts(data_centre):
    # Guards against restarted engines that take layers with several holders
    # while others are exposed to the next loss.
    engines = place("A", data_centre)
    for pair in itertools.permutations(to_assignments(engines), 2):
        if not may_follow(*pair):
            continue
        lost = [a.engine for a in pair]
        rest = [e for e in engines if e not in lost]
        rest = apply_moves(rest, plan_a(rest))
        empty = [make_engine(e.name, e.kind, data_centre) for e in lost]

        after = apply_moves([*rest, *empty], plan_a([*rest, *empty]))

        exposure = measure_exposure(to_assignments(after), CUSTOMER_MODEL)
        assert exposure == Exposure(0, 0, 0), [e.name for e in lost]


def test_engines_with_layers_keep_them_though_a_pair_is_exposed():
    # Guards against loads in a fleet in which each layer has two holders.
    first = [
        make_engine(f"x{i}", L4, "a", i * 10, i * 10 + 10) for i in range(8)
    ]
    ends = [0, 5, *range(15, 80, 10), 80]
    second = [
        make_engine(f"y{start}", L4, "a", start, end)
        for start, end in itertools.pairwise(ends)
    ]
    engines = [*first, *second]
    assert measure_exposure(to_assignments(engines), CUSTOMER_MODEL).paired

    assert plan_moves(engines, CUSTOMER_MODEL) == []


def test_loading_engine_without_layers_is_not_assigned_again():
    # Guards against a second order to an engine that is carrying out one.
    engines = [
        make_engine("x", L4, "a", 0, 10),
        make_engine("y", L4, "a", 5, 15),
        make_engine("late", L4, "a", 0, 0, loading=True),
        make_engine("empty", L4, "a"),
    ]

    moves = plan_moves(engines, CUSTOMER_MODEL)

    assert "late" not in [m.engine.name for m in moves]


def make_assignment(kind, first, end):
    return Assignment(make_engine(f"{first}", kind), LayerRange(first, end))


@pytest.mark.parametrize(
    ("x", "y", "expected"),
    [
        ((L4, 0, 10), (L4, 10, 20), True),
        ((L4, 0, 10), (L4, 5, 15), True),
        ((L4, 0, 10), (L4, 0, 10), False),
        ((L4, 0, 10), (L4, 11, 20), False),
        # The slower engine within the faster one's range saves nothing.
        ((A100, 0, 30), (L4, 10, 20), False),
        # The faster engine within the slower one's range saves time.
        ((V100, 0, 6), (L4, 0, 10), True),
        ((A100, 0, 30), (L4, 25, 30), False),
    ],
)
def test_engines_that_may_follow_each_other_may_fail_together(x, y, expected):
    first, second = make_assignment(*x), make_assignment(*y)

    assert may_fail_together(first, second) is expected
    assert may_fail_together(second, first) is expected


@pytest.mark.parametrize("customer", ["A", "B"])
@pytest.mark.parametrize("data_centre", ["a", "b", "c"])
def test_neighbours_on_paths_are_engines_that_may_follow(customer, data_centre):
    # Guards against a rule that overlooks pairs that occur on paths.
    engines = place(customer, data_centre)
    rng = random.Random(7)
    pairs = set()
    for _ in range(200):
        loads = EngineLoads()
        for engine in engines:
            capacity = CUSTOMER_MODEL.token_capacity(
                engine.kind, len(engine.holds)
            )
            loads.add_request((engine.name,), int(capacity * rng.random()))
        usable = [e for e in engines if rng.random() > 0.1]
        path = choose_path(usable, CUSTOMER_MODEL, loads, data_centre, rng)
        parts = getattr(path, "parts", ())
        pairs.update((x.engine, y.engine) for x, y in itertools.pairwise(parts))

    assert len(pairs) >= 10
    for x, y in pairs:
        assert may_follow(*to_assignments([x, y]))


def test_exposure_counts_layers_by_what_is_lost():
    engines = [
        make_engine("x", L4, "a", 0, 10),
        make_engine("y", L4, "a", 5, 15),
        make_engine("z", L4, "a", 15, 25),
        make_engine("w", L4, "a", 15, 25),
    ]

    exposure = measure_exposure(to_assignments(engines), CUSTOMER_MODEL)

    assert exposure == Exposure(missing=55, single=10, paired=5)


@hypothesis.given(fleets())
def test_first_plan_covers_and_reserves_as_before(engines):
    # Guards against ranges that leave the model or engines without memory, and
    # a data centre whose layers are missing though a chain was planned.
    empty = [make_engine(e.name, e.kind, e.data_centre) for e in engines]
    placed = apply_moves(empty, plan_moves(empty, MODEL))

    for engine in placed:
        assert 0 <= engine.holds.first < engine.holds.end <= MODEL.layers
        assert len(engine.holds) * MODEL.layer_mb <= engine.kind.memory_mb
    for data_centre in {e.data_centre for e in placed}:
        local = [e for e in placed if e.data_centre == data_centre]
        full = sum(MODEL.max_layers(e.kind, 40) for e in local)
        if full >= MODEL.layers:
            exposure = measure_exposure(to_assignments(local), MODEL)
            assert exposure.missing == 0
