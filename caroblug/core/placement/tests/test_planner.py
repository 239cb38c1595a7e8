"""Tests of plans after first starts, engine losses, restarts and loads."""

import collections
import random

import attrs
import hypothesis
import hypothesis.strategies as st
import pytest

from caroblug.core.placement import (
    Engine,
    EngineLoads,
    LayerRange,
    choose_path,
    compute_requests_per_chain,
    plan_moves,
)
from caroblug.core.placement._chain_size import DEFAULT_REQUESTS_PER_CHAIN
from caroblug.core.placement.tests.fleets import (
    BIG,
    MIDDLE,
    MODEL,
    SMALL,
    apply_moves,
    make_engine,
    make_fleet,
)


def covered(engines: list[Engine]) -> set[int]:
    return {
        layer for e in engines for layer in range(e.holds.first, e.holds.end)
    }


def by_data_centre(engines: list[Engine]) -> dict[str, list[Engine]]:
    groups = collections.defaultdict(list)
    for engine in engines:
        groups[engine.data_centre].append(engine)
    return groups


def test_first_start_gives_each_data_centre_a_whole_chain():
    engines = apply_moves(make_fleet(), plan_moves(make_fleet(), MODEL))

    for local in by_data_centre(engines).values():
        assert covered(local) == set(range(MODEL.layers))


def test_first_start_uses_every_engine_and_reserves_kv_cache():
    engines = apply_moves(make_fleet(), plan_moves(make_fleet(), MODEL))

    assert all(len(e.holds) for e in engines)
    for engine in engines:
        capacity = MODEL.token_capacity(engine.kind, len(engine.holds))
        assert capacity >= 30 * MODEL.mean_request_tokens


def test_plan_that_is_carried_out_needs_no_moves():
    engines = apply_moves(make_fleet(), plan_moves(make_fleet(), MODEL))

    assert plan_moves(engines, MODEL) == []


def test_restarted_engine_takes_its_layers_again():
    # Guards against needless loads when a restarted engine can close the gap
    # that it left.
    engines = apply_moves(make_fleet(), plan_moves(make_fleet(), MODEL))
    lost = next(e for e in engines if e.name == "c-middle-0")
    restarted = make_engine(lost.name, lost.kind, lost.data_centre)
    engines = [restarted if e is lost else e for e in engines]

    moves = plan_moves(engines, MODEL)

    assert [m.engine.name for m in moves] == [lost.name]
    local = by_data_centre(apply_moves(engines, moves))["c"]
    assert covered(local) == set(range(MODEL.layers))


def test_lost_engine_is_replaced_by_engines_with_replicas():
    # Guards against a data centre that remains without a whole chain.
    engines = apply_moves(make_fleet(), plan_moves(make_fleet(), MODEL))
    lost = next(e for e in engines if e.name == "a-middle-0")
    engines = [e for e in engines if e is not lost]

    after = apply_moves(engines, plan_moves(engines, MODEL))

    assert covered(by_data_centre(after)["a"]) == set(range(MODEL.layers))


def test_loading_engine_is_not_moved():
    engines = [
        make_engine("x", BIG, first=0, end=16, loading=True),
        make_engine("y", MIDDLE),
    ]

    moves = plan_moves(engines, MODEL)

    assert [m.engine.name for m in moves] == ["y"]
    assert moves[0].target.first >= 16


def test_gap_without_available_engines_is_closed_by_its_neighbours():
    # Guards against a coverage gap that remains because every engine is used.
    engines = [
        make_engine("n1", BIG, first=0, end=14),
        make_engine("n2", BIG, first=16, end=30),
        make_engine("n3", BIG, first=30, end=46),
        make_engine("n4", BIG, first=46, end=62),
        make_engine("n5", BIG, first=62, end=80),
    ]

    moves = plan_moves(engines, MODEL)

    assert covered(apply_moves(engines, moves)) == set(range(MODEL.layers))
    assert {m.engine.name for m in moves} == {"n1", "n2"}


def test_full_engine_does_not_grow_while_its_neighbour_has_room():
    # Guards against a full engine that is on every path and rejects requests.
    engines = [
        make_engine("n1", BIG, first=0, end=14),
        make_engine("n2", BIG, first=16, end=32),
        make_engine("n3", BIG, first=32, end=48),
        make_engine("n4", BIG, first=48, end=64),
        make_engine("n5", BIG, first=64, end=80),
    ]

    moves = plan_moves(engines, MODEL)

    assert [(m.engine.name, m.target) for m in moves] == [
        ("n1", LayerRange(0, 16))
    ]


def test_data_centre_with_memory_for_two_chains_gets_two():
    # Guards against streams sent to another data centre although a second
    # local chain would fit.
    engines = [make_engine(f"m{i}", MIDDLE) for i in range(20)]

    after = apply_moves(engines, plan_moves(engines, MODEL))

    for layer in range(MODEL.layers):
        assert sum(layer in e.holds for e in after) >= 2


def test_one_chain_reserves_its_kv_cache_and_uses_every_engine():
    # Guards against full engines beside idle ones.
    engines = [make_engine(f"m{i}", MIDDLE) for i in range(12)]

    after = apply_moves(engines, plan_moves(engines, MODEL))

    capacities = [MODEL.token_capacity(e.kind, len(e.holds)) for e in after]
    assert all(len(e.holds) for e in after)
    assert (
        min(capacities)
        >= DEFAULT_REQUESTS_PER_CHAIN * MODEL.mean_request_tokens
    )


def test_chain_consists_of_the_engines_that_save_most_time():
    # Guards against slow streams because fast engines hold few of the chain's
    # layers.
    engines = apply_moves(make_fleet(), plan_moves(make_fleet(), MODEL))

    path = choose_path(engines, MODEL, EngineLoads(), "a", random.Random(1))

    fast = [p for p in path.parts if p.engine.kind is BIG]
    assert len(fast) == 2
    assert sum(len(p.layers) for p in fast) >= 28
    assert len(path.parts) <= 9


def test_engines_outside_the_chain_hold_replicas_of_its_layers():
    # Guards against a data centre that loses all streams when an engine dies.
    engines = apply_moves(make_fleet(), plan_moves(make_fleet(), MODEL))
    local = by_data_centre(engines)["a"]

    replicated = [
        layer
        for layer in range(MODEL.layers)
        if sum(layer in e.holds for e in local) > 1
    ]

    assert len(replicated) >= MODEL.layers // 2


def test_fast_engine_takes_layers_that_only_slow_ones_hold():
    # Guards against streams that remain slow after a fast engine restarts.
    engines = apply_moves(make_fleet(), plan_moves(make_fleet(), MODEL))
    lost = next(e for e in engines if e.name == "a-big-0")
    rest = [e for e in engines if e is not lost]
    rest = apply_moves(rest, plan_moves(rest, MODEL))
    restarted = make_engine("a-big-new", BIG, "a")

    moves = plan_moves([*rest, restarted], MODEL)

    target = next(m.target for m in moves if m.engine.name == "a-big-new")
    time_factors = [
        min(
            e.kind.step_time_factor
            for e in by_data_centre(rest)["a"]
            if layer in e.holds
        )
        for layer in range(target.first, target.end)
    ]
    assert min(time_factors) > BIG.step_time_factor


kinds = st.sampled_from((BIG, MIDDLE, SMALL))


@st.composite
def fleets(draw):
    engines = []
    for index in range(draw(st.integers(1, 25))):
        kind = draw(kinds)
        max_width = int(kind.memory_mb / MODEL.layer_mb)
        width = draw(st.integers(0, max_width))
        first = draw(st.integers(0, MODEL.layers - width))
        engines.append(
            make_engine(
                f"e{index}",
                kind,
                draw(st.sampled_from("abc")),
                first if width else 0,
                first + width if width else 0,
                draw(st.booleans()) if width else False,
            )
        )
    return engines


@hypothesis.given(fleets())
def test_no_move_exceeds_memory_or_the_model(engines):
    for move in plan_moves(engines, MODEL):
        target = move.target
        assert 0 <= target.first < target.end <= MODEL.layers
        assert len(target) * MODEL.layer_mb <= move.engine.kind.memory_mb
        assert not move.engine.loading


@hypothesis.given(fleets())
def test_plan_opens_no_coverage_gap_in_a_data_centre(engines):
    after = apply_moves(engines, plan_moves(engines, MODEL))
    groups = by_data_centre(after)

    for data_centre, local in by_data_centre(engines).items():
        assert covered(local) <= covered(groups[data_centre])


@hypothesis.given(fleets())
def test_plans_converge_when_carried_out(engines):
    for _ in range(6):
        moves = plan_moves(engines, MODEL)
        if not moves:
            return
        engines = apply_moves(engines, moves)
    assert plan_moves(engines, MODEL) == []


def test_layer_range_has_length_and_membership():
    layers = LayerRange(3, 6)

    assert len(layers) == 3
    assert 3 in layers
    assert 6 not in layers


@hypothesis.given(fleets())
def test_layers_are_given_up_only_if_another_engine_has_and_keeps_them(engines):
    # Guards against an engine that gives up a layer while the layer's other
    # holder is still loading.
    moves = {m.engine.name: m for m in plan_moves(engines, MODEL)}
    serving = collections.defaultdict(int)
    for engine in engines:
        move = moves.get(engine.name)
        retained = move.target if move else engine.holds
        for layer in range(engine.holds.first, engine.holds.end):
            if layer in retained and not engine.loading:
                serving[engine.data_centre, layer] += 1

    for move in moves.values():
        engine = move.engine
        for layer in range(engine.holds.first, engine.holds.end):
            if layer not in move.target:
                assert serving[engine.data_centre, layer]


def test_sound_part_is_kept_while_its_second_holder_loads():
    engines = [
        make_engine("a", BIG, first=0, end=59),
        make_engine("b", MIDDLE, first=59, end=69),
        make_engine("late", BIG, first=57, end=73, loading=True),
    ]

    moves = plan_moves(engines, MODEL)

    assert all(59 in m.target for m in moves if m.engine.name == "b")


@pytest.mark.parametrize(
    ("gateways", "data_centres", "requests"),
    [(0, 0, 40), (4, 3, 40), (5, 3, 40), (26, 3, 60), (400, 11, 60)],
)
def test_requests_per_chain_follow_the_gateways(
    gateways, data_centres, requests
):
    # Guards against chains that are full at the first crash when many gateways
    # send requests.
    assert compute_requests_per_chain(gateways, data_centres) == requests


def test_chain_reserves_kv_cache_for_the_given_requests():
    engines = [make_engine(f"m{i}", MIDDLE) for i in range(12)]

    after = apply_moves(engines, plan_moves(engines, MODEL, 60))

    capacities = [MODEL.token_capacity(e.kind, len(e.holds)) for e in after]
    assert min(capacities) >= 60 * MODEL.mean_request_tokens


def test_two_holders_of_the_same_layers_are_not_both_sent_away():
    # Guards against two engines that each count as the other's remaining
    # holder.
    engines = [
        make_engine("x", MIDDLE, first=0, end=8),
        make_engine("y", MIDDLE, first=0, end=8),
        make_engine("late", BIG, first=0, end=16, loading=True),
        make_engine("z", BIG, first=32, end=48),
    ]

    moves = {m.engine.name: m.target for m in plan_moves(engines, MODEL)}

    retaining = [e for e in engines[:2] if 0 in moves.get(e.name, e.holds)]
    assert retaining


def serving(
    engines: list[Engine], data_centre: str, layer: int
) -> list[Engine]:
    """Returns engines that serve a layer and have no unconfirmed order."""
    return [
        e
        for e in engines
        if e.data_centre == data_centre
        and layer in e.holds
        and not e.loading
        and not e.order_unconfirmed
    ]


def assert_given_up_layers_are_served(engines, moves):
    moved = {move.engine.name for move in moves}
    staying = [e for e in engines if e.name not in moved]
    for move in moves:
        for layer in move.engine.holds:
            if layer not in move.target:
                assert serving(staying, move.engine.data_centre, layer)
                assert any(
                    layer in holder.holds for holder in move.remaining_holders
                )


@hypothesis.given(fleets(), st.randoms(use_true_random=False))
def test_no_layer_loses_its_last_serving_holder_over_rounds(engines, rng):
    # Guards against layers without a serving holder while loads finish late or
    # not at all.
    for _ in range(8):
        moves = plan_moves(engines, MODEL)
        assert_given_up_layers_are_served(engines, moves)
        targets = {m.engine.name: m.target for m in moves}
        engines = [
            attrs.evolve(
                engine,
                holds=targets.get(engine.name, engine.holds),
                loading=engine.name in targets
                or (engine.loading and rng.random() < 0.5),
                order_unconfirmed=rng.random() < 0.1,
            )
            for engine in engines
        ]


@hypothesis.given(fleets(), st.randoms(use_true_random=False))
def test_engines_that_may_still_be_sent_away_are_not_relied_on(engines, rng):
    # Guards against an order that is carried out late and reassigns the last
    # holder of a layer.
    engines = [
        attrs.evolve(e, order_unconfirmed=rng.random() < 0.3) for e in engines
    ]

    assert_given_up_layers_are_served(engines, plan_moves(engines, MODEL))


def test_holder_that_grows_is_not_relied_on_by_one_that_leaves():
    # Guards against layers of which one holder is reassigned while the other
    # one loads.
    engines = [
        make_engine("x", MIDDLE, first=0, end=8),
        make_engine("y", BIG, first=0, end=14),
        make_engine("z", BIG, first=30, end=46),
        make_engine("u", BIG, first=46, end=62),
        make_engine("v", BIG, first=62, end=80),
    ]

    assert_given_up_layers_are_served(engines, plan_moves(engines, MODEL))
