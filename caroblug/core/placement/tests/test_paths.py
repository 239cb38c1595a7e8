"""Paths: whole, in order, cheap, and around what may not be used."""

import random

import attrs
import hypothesis
import hypothesis.strategies as st

from caroblug.core.placement import (
    EngineLoads,
    LayerRange,
    NoPath,
    Path,
    PathPart,
    choose_path,
    plan_moves,
)
from caroblug.core.placement.tests.fleets import (
    BIG,
    MODEL,
    apply_moves,
    make_engine,
    make_fleet,
)


def choose(engines, loads=None, data_centre="a", seed=1, **more):
    return choose_path(
        engines,
        MODEL,
        loads or EngineLoads(),
        data_centre,
        random.Random(seed),
        **more,
    )


def planned():
    return apply_moves(make_fleet(), plan_moves(make_fleet(), MODEL))


def test_calm_path_stays_in_the_entrys_data_centre():
    for data_centre in "abc":
        path = choose(planned(), data_centre=data_centre)

        assert {p.engine.data_centre for p in path.parts} == {data_centre}


def test_broken_data_centre_is_left_for_another_whole_one():
    # Guards against crossings in a path while another data centre has it whole.
    engines = [e for e in planned() if e.name != "c-big-0"]

    path = choose(engines, data_centre="c")

    assert len({p.engine.data_centre for p in path.parts}) == 1
    assert path.first.data_centre != "c"


def test_thin_link_is_not_crossed_while_a_whole_chain_has_room():
    # Guards against streams that stand still as prompts fill a thin link.
    model = attrs.evolve(MODEL, transfer_ms=97.0)
    engines = [e for e in planned() if e.name != "c-big-0"]
    loads = EngineLoads()
    for engine in engines:
        if engine.data_centre != "c":
            room = model.token_capacity(engine.kind, len(engine.holds))
            loads.add_request((engine.name,), int(0.9 * room))

    path = choose_path(engines, model, loads, "c", random.Random(1))

    assert not path.crosses_data_centres


def test_part_may_be_cut_from_a_longer_range():
    engines = [
        make_engine("x", BIG, first=0, end=50),
        make_engine("y", BIG, first=30, end=80),
    ]

    path = choose(engines)

    assert [p.layers for p in path.parts] == [
        LayerRange(0, 50),
        LayerRange(50, 80),
    ]


def test_missing_layer_is_named():
    engines = [
        make_engine("x", BIG, first=0, end=20),
        make_engine("y", BIG, first=21, end=80),
    ]

    assert choose(engines) == NoPath(20)


def test_engine_that_loads_is_on_no_path():
    engines = [make_engine("x", BIG, first=0, end=80, loading=True)]

    assert isinstance(choose(engines), NoPath)


def test_crowded_engines_are_passed_by():
    # Guards against preemption on the fastest chain while another one idles.
    engines = [
        make_engine("x", BIG, first=0, end=16),
        make_engine("x2", BIG, first=0, end=16),
        make_engine("y", BIG, first=16, end=80),
    ]
    loads = EngineLoads()
    room = MODEL.token_capacity(BIG, 16)
    loads.add_request(("x",), int(room * 0.9))

    assert choose(engines, loads).names == ("x2", "y")


def test_kept_first_part_stays_and_the_rest_is_chosen_anew():
    engines = [
        make_engine("x", BIG, first=0, end=40),
        make_engine("y", BIG, first=40, end=80),
        make_engine("z", BIG, first=30, end=80),
    ]
    first = PathPart(engines[0], LayerRange(0, 40))

    path = choose([engines[0], engines[2]], after=first)

    assert path.parts[0] == first
    assert path.names == ("x", "z")


def test_first_engine_may_be_excluded_without_leaving_the_path():
    engines = [
        make_engine("x", BIG, first=0, end=80),
        make_engine("y", BIG, first=0, end=40),
    ]

    assert choose(engines, excluded_first=frozenset({"x"})).names == ("y", "x")


@hypothesis.given(st.sets(st.integers(0, 37), max_size=20), st.integers())
def test_paths_are_whole_whatever_is_lost(lost, seed):
    engines = [e for i, e in enumerate(planned()) if i not in lost]

    path = choose(engines, seed=seed)

    if isinstance(path, Path):
        # Path itself asserts that no layer is skipped or repeated.
        assert path.parts[-1].layers.end == MODEL.layers
        assert len(set(path.names)) == len(path.names)
    else:
        held = {
            layer
            for e in engines
            for layer in range(e.holds.first, e.holds.end)
        }
        assert held != set(range(MODEL.layers))


def test_neighbours_that_are_all_heard_are_not_scaled_up():
    # Guards against load counted three times, which sends streams far away.
    loads = EngineLoads()
    loads.gateways = 26
    loads.local_gateways = 6
    loads.add_request(("x",), 100)
    for number in range(5):
        loads.update_peer(f"near{number}", {"x": 100.0})
    for number in range(3):
        loads.update_peer(f"far{number}", {"y": 10.0}, local=False)

    assert loads.tokens("x") == 600
    assert loads.tokens("y") == 30 * 20 / 3


def test_loads_of_gateways_that_are_not_heard_are_scaled_up():
    loads = EngineLoads()
    loads.gateways = 4
    loads.add_request(("x",), 100)
    loads.update_peer("other", {"x": 300.0})

    assert loads.tokens("x") == 800


def test_load_of_a_silent_gateway_is_forgotten():
    loads = EngineLoads()
    loads.update_peer("other", {"x": 300.0})
    loads.remove_peer("other")

    assert loads.tokens("x") == 0
