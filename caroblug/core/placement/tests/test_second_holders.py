"""Tests that layers get a second holder wherever memory allows."""

import collections
import itertools

import hypothesis
import pytest

from caroblug.core.placement import Engine, LayerRange, plan_moves
from caroblug.core.placement.tests.fleets import (
    CUSTOMER_A,
    CUSTOMER_A_REQUESTS,
    CUSTOMER_MODEL,
    L4,
    MIDDLE,
    MODEL,
    V100,
    apply_moves,
    make_customer_fleet,
    make_engine,
)
from caroblug.core.placement.tests.test_planner import fleets

PLAN_OF_CUSTOMER_A = {
    "a-a100": "0-30",
    "a-l40s": "30-48 48-66 66-80 0-18 18-36 36-54 54-72 72-80 0-18",
    "a-l4": "18-27 27-36 36-45 45-54 54-63 63-72 72-80",
    "b-a100": "0-30 30-60 60-80",
    "b-l40s": "0-18 18-36 36-54 54-72",
    "b-l4": "72-80 0-9 9-18 18-27 27-36 36-45 45-54 54-63 63-72",
    "c-a100": "0-30",
    "c-l40s": "30-48 48-66 66-80 0-18 18-36",
    "c-l4": "36-45 45-54 0-9 9-18 18-27 27-36 36-45 45-54 54-63 63-72 54-63"
    " 63-72 72-80",
}

PLAN_OF_TWENTY = (
    "0-10 10-20 40-50 50-60 60-70 70-80 0-10 10-20 20-30 30-40 20-30 30-40"
    " 40-50 50-60 60-70 70-80 0-10 10-20 20-30 30-40"
)


def describe(engines: list[Engine]) -> str:
    """Returns the layers of engines, in order, as in `PLAN_OF_TWENTY`."""
    return " ".join(f"{e.holds.first}-{e.holds.end}" for e in engines)


def place_customer_a() -> list[Engine]:
    """Returns customer A's engines with the layers of their first plan."""
    empty = make_customer_fleet(CUSTOMER_A)
    return apply_moves(
        empty, plan_moves(empty, CUSTOMER_MODEL, CUSTOMER_A_REQUESTS)
    )


def plan_a(engines):
    return plan_moves(engines, CUSTOMER_MODEL, CUSTOMER_A_REQUESTS)


def count_holders(engines: list[Engine]) -> collections.Counter:
    """Returns the number of holders by data centre and layer."""
    return collections.Counter(
        (e.data_centre, layer) for e in engines for layer in e.holds
    )


def single_layers(engines: list[Engine]) -> set[tuple[str, int]]:
    """Returns data centre and layer where a layer has a single holder."""
    return {key for key, count in count_holders(engines).items() if count == 1}


def neighbour_pairs(engines: list[Engine]) -> list[tuple[Engine, Engine]]:
    """Returns pairs of engines of which one may follow the other on a path."""
    return [
        (x, y)
        for x, y in itertools.permutations(engines, 2)
        if x.data_centre == y.data_centre and x.holds.end in y.holds
    ]


def test_plan_without_single_holders_is_kept():
    # Guards against loads in a fleet that is served well.
    engines = place_customer_a()

    plan = collections.defaultdict(list)
    for engine in engines:
        plan[engine.name.rpartition("-")[0]].append(engine)

    assert {k: describe(v) for k, v in plan.items()} == PLAN_OF_CUSTOMER_A
    assert plan_a(engines) == []


def test_plan_of_equal_engines_without_single_holders_is_kept():
    # Guards against loads in a fleet that is served well.
    engines = [make_engine(f"m{i}", MIDDLE) for i in range(20)]

    engines = apply_moves(engines, plan_moves(engines, MODEL))

    assert describe(engines) == PLAN_OF_TWENTY


def test_engines_that_serve_well_keep_layers_of_another_plan():
    # Guards against engines that load other layers only because a plan from
    # the beginning would differ.
    engines = [
        make_engine(f"{copy}{start}", MIDDLE, "a", start, start + 8)
        for copy in "xyz"
        for start in range(0, 80, 8)
    ]

    assert plan_moves(engines, MODEL) == []


@pytest.mark.parametrize("data_centre", ["a", "b", "c"])
def test_second_holders_are_restored_when_two_neighbours_are_lost(data_centre):
    # Guards against single holders of layers while others have three holders.
    placed = place_customer_a()
    local = [e for e in placed if e.data_centre == data_centre]

    for pair in neighbour_pairs(local):
        engines = [e for e in local if e not in pair]
        moves = plan_a(engines)
        after = apply_moves(engines, moves)

        assert single_layers(after) == set(), [e.name for e in pair]
        assert plan_a(after) == []
        assert len(moves) <= 3


def test_empty_engine_prefers_a_single_holder_to_faster_steps():
    # Guards against a fast engine that takes the layers of slow ones while
    # other layers have a single holder.
    slow = [
        make_engine(f"s{copy}{start}", L4, "a", start, start + 10)
        for copy in "xy"
        for start in range(0, 70, 10)
    ]
    single = [
        make_engine("last0", V100, "a", 70, 75),
        make_engine("last1", V100, "a", 75, 80),
    ]
    restarted = make_engine("restarted", V100, "a")

    moves = plan_moves([*slow, *single, restarted], CUSTOMER_MODEL)

    assert [(m.engine.name, m.target) for m in moves] == [
        ("restarted", LayerRange(70, 76))
    ]
    assert moves[0].adds_second_holder


def test_surplus_engine_stays_while_its_layers_have_only_two_other_loads():
    # Guards against a reassigned engine whose layers no engine serves until
    # loads are done.
    engines = [
        make_engine("x", MIDDLE, "a", 0, 10),
        make_engine("y", MIDDLE, "a", 0, 10, loading=True),
        make_engine("z", MIDDLE, "a", 0, 10, loading=True),
        *(
            make_engine(f"e{start}", MIDDLE, "a", start, start + 10)
            for start in range(10, 80, 10)
        ),
    ]

    assert plan_moves(engines, MODEL) == []


def test_engine_with_a_layer_of_two_holders_keeps_that_layer():
    # Guards against a second holder that is gained by losing another one.
    engines = [
        make_engine("x", MIDDLE, "a", 0, 10),
        make_engine("y", MIDDLE, "a", 0, 10),
        *(
            make_engine(f"e{start}", MIDDLE, "a", start, start + 10)
            for start in range(10, 80, 10)
        ),
    ]

    assert plan_moves(engines, MODEL) == []


def test_move_to_a_single_holder_names_engines_that_remain():
    # Guards against an order that is sent although another gateway's order has
    # taken away the remaining holder.
    engines = [
        make_engine(f"{copy}0", MIDDLE, "a", 0, 10) for copy in "xyz"
    ] + [
        make_engine(f"e{start}", MIDDLE, "a", start, start + 10)
        for start in range(10, 80, 10)
    ]

    (move,) = plan_moves(engines, MODEL)

    assert move.engine.holds == LayerRange(0, 10)
    assert not move.urgent
    assert move.adds_second_holder
    assert [e.holds for e in move.remaining_holders] == [LayerRange(0, 10)]


@hypothesis.given(fleets())
def test_no_layer_gets_a_single_holder_where_no_layer_is_missing(engines):
    # Guards against second holders that are moved in a circle.
    counts = count_holders(engines)
    after = apply_moves(engines, plan_moves(engines, MODEL))
    for data_centre in {e.data_centre for e in engines}:
        layers = [(data_centre, layer) for layer in range(MODEL.layers)]
        serving = count_holders([e for e in engines if not e.loading])
        if any(serving[key] == 0 for key in layers):
            continue
        new = {key for key in single_layers(after) if counts[key] != 1}
        assert not new & set(layers)
