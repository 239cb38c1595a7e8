"""Tests of the choice of paths and of the engine loads it uses."""

import random

import attrs
import hypothesis
import hypothesis.strategies as st

from caroblug.core.placement import (
    EngineLoads,
    LayerRange,
    NoPath,
    NoRoom,
    Path,
    PathPart,
    RoomNeed,
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


def choose(engines, loads=None, data_centre="a", seed=1, **options):
    return choose_path(
        engines,
        MODEL,
        loads or EngineLoads(),
        data_centre,
        random.Random(seed),
        **options,
    )


def make_planned_fleet():
    return apply_moves(make_fleet(), plan_moves(make_fleet(), MODEL))


def test_path_stays_in_the_entrys_data_centre_at_low_load():
    for data_centre in "abc":
        path = choose(make_planned_fleet(), data_centre=data_centre)

        assert {p.engine.data_centre for p in path.parts} == {data_centre}


def test_path_leaves_data_centre_with_a_coverage_gap():
    # Guards against paths over several data centres while another one has a
    # whole chain.
    engines = [e for e in make_planned_fleet() if e.name != "c-big-0"]

    path = choose(engines, data_centre="c")

    assert len({p.engine.data_centre for p in path.parts}) == 1
    assert path.first.data_centre != "c"


def test_slow_link_is_not_crossed_while_a_chain_has_free_tokens():
    # Guards against streams that stall while prompts fill a slow link.
    model = attrs.evolve(MODEL, transfer_ms=97.0)
    engines = [e for e in make_planned_fleet() if e.name != "c-big-0"]
    loads = EngineLoads()
    for engine in engines:
        if engine.data_centre != "c":
            capacity = model.token_capacity(engine.kind, len(engine.holds))
            loads.add_request((engine.name,), int(0.9 * capacity))

    path = choose_path(engines, model, loads, "c", random.Random(1))

    assert not path.crosses_data_centres


def test_part_may_use_some_of_an_engines_layers():
    engines = [
        make_engine("x", BIG, first=0, end=50),
        make_engine("y", BIG, first=30, end=80),
    ]

    path = choose(engines)

    assert [p.layers for p in path.parts] == [
        LayerRange(0, 50),
        LayerRange(50, 80),
    ]


def test_no_path_reports_the_missing_layer():
    engines = [
        make_engine("x", BIG, first=0, end=20),
        make_engine("y", BIG, first=21, end=80),
    ]

    assert choose(engines) == NoPath(20)


def test_loading_engine_is_not_used():
    engines = [make_engine("x", BIG, first=0, end=80, loading=True)]

    assert isinstance(choose(engines), NoPath)


def test_engine_with_high_memory_use_is_avoided():
    # Guards against preemption on the fastest chain while another chain idles.
    engines = [
        make_engine("x", BIG, first=0, end=16),
        make_engine("x2", BIG, first=0, end=16),
        make_engine("y", BIG, first=16, end=80),
    ]
    loads = EngineLoads()
    capacity = MODEL.token_capacity(BIG, 16)
    loads.add_request(("x",), int(capacity * 0.9))

    assert choose(engines, loads).names == ("x2", "y")


def test_first_part_is_retained_when_the_rest_is_chosen_again():
    engines = [
        make_engine("x", BIG, first=0, end=40),
        make_engine("y", BIG, first=40, end=80),
        make_engine("z", BIG, first=30, end=80),
    ]
    first = PathPart(engines[0], LayerRange(0, 40))

    path = choose([engines[0], engines[2]], after=first)

    assert path.parts[0] == first
    assert path.names == ("x", "z")


def test_engine_excluded_as_first_may_run_later_layers():
    engines = [
        make_engine("x", BIG, first=0, end=80),
        make_engine("y", BIG, first=0, end=40),
    ]

    assert choose(engines, excluded_first=frozenset({"x"})).names == ("y", "x")


@hypothesis.given(st.sets(st.integers(0, 37), max_size=20), st.integers())
def test_path_is_whole_or_a_layer_is_missing_after_losses(lost, seed):
    engines = [e for i, e in enumerate(make_planned_fleet()) if i not in lost]

    path = choose(engines, seed=seed)

    if isinstance(path, Path):
        # The constructor of Path rejects skipped and repeated layers.
        assert path.parts[-1].layers.end == MODEL.layers
        assert len(set(path.names)) == len(path.names)
    else:
        held = {
            layer
            for e in engines
            for layer in range(e.holds.first, e.holds.end)
        }
        assert held != set(range(MODEL.layers))


def test_load_is_not_scaled_up_if_all_local_gateways_report():
    # Guards against local load counted three times, which sends streams to
    # remote data centres.
    loads = EngineLoads()
    loads.gateways = 26
    loads.local_gateways = 6
    loads.add_request(("x",), 100)
    for number in range(5):
        loads.update_peer(f"local{number}", {"x": 100.0})
    for number in range(3):
        loads.update_peer(f"remote{number}", {"y": 10.0}, local=False)

    assert loads.tokens("x") == 600
    assert loads.tokens("y") == 30 * 20 / 3


def test_load_is_scaled_up_for_gateways_that_do_not_report():
    loads = EngineLoads()
    loads.gateways = 4
    loads.add_request(("x",), 100)
    loads.update_peer("other", {"x": 300.0})

    assert loads.tokens("x") == 800


def test_load_of_a_removed_gateway_is_not_counted():
    loads = EngineLoads()
    loads.update_peer("other", {"x": 300.0})
    loads.remove_peer("other")

    assert loads.tokens("x") == 0


def fill(loads, engine, use):
    capacity = MODEL.token_capacity(engine.kind, len(engine.holds))
    loads.add_request((engine.name,), int(use * capacity))


def test_engine_without_the_memory_needed_is_on_no_path():
    full = make_engine("x", BIG, first=0, end=16)
    free = make_engine("y", BIG, first=0, end=16)
    rest = [
        make_engine(f"z{first}", BIG, first=first, end=first + 16)
        for first in range(16, 80, 16)
    ]
    loads = EngineLoads()
    fill(loads, full, 0.9)
    need = RoomNeed(1000, 0.9)

    for seed in range(20):
        path = choose([full, free, *rest], loads, seed=seed, need=need)
        assert path.first == free
    assert choose([full, *rest], loads, need=need) == NoRoom(0)
    assert choose([full, *rest], loads).first == full


def make_two_data_centres():
    return [
        make_engine(
            f"{data_centre}-{first}", BIG, data_centre, first, first + 16
        )
        for data_centre in "ab"
        for first in range(0, 80, 16)
    ]


def test_full_data_centre_overflows_to_a_whole_remote_chain():
    engines = make_two_data_centres()
    loads = EngineLoads()
    fill(loads, engines[1], 0.95)

    path = choose(engines, loads, need=RoomNeed(1000, 0.9))

    assert path.names == ("b-0", "b-16", "b-32", "b-48", "b-64")


def test_lack_of_memory_leads_to_no_path_between_data_centres():
    # Guards against an overload that fills the link between data centres.
    engines = make_two_data_centres()
    loads = EngineLoads()
    fill(loads, engines[1], 0.95)
    fill(loads, engines[7], 0.95)

    for data_centre in "ab":
        path = choose(engines, loads, data_centre, need=RoomNeed(1000, 0.9))
        assert isinstance(path, NoRoom)


def test_path_between_data_centres_if_none_serves_the_model():
    engines = make_two_data_centres()

    path = choose(engines[:2] + engines[7:], need=RoomNeed(1000, 0.9))

    assert path.names == ("a-0", "a-16", "b-32", "b-48", "b-64")


def test_coverage_gap_is_no_lack_of_memory():
    # Guards against requests that wait for memory on layers that no engine
    # serves.
    full = make_engine("x", BIG, first=0, end=10)
    loads = EngineLoads()
    fill(loads, full, 0.9)

    assert choose([full], loads, need=RoomNeed(1000, 0.5)) == NoPath(10)
