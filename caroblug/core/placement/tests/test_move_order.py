"""Tests which moves are ordered first, and how many loads run at once."""

from caroblug.core.placement import LayerRange, Move, select_moves
from caroblug.core.placement.tests.fleets import MIDDLE, make_engine


def make_moves(name, count, **changes):
    return [
        Move(make_engine(f"{name}{i}", MIDDLE), LayerRange(0, 10), **changes)
        for i in range(count)
    ]


def names(moves):
    return [move.engine.name for move in moves]


def test_plan_without_pressing_moves_is_ordered_whole():
    # Guards against a change of order where no layer is at risk.
    moves = make_moves("m", 12)

    assert select_moves(moves, []) == moves


def test_plan_with_only_missing_layers_is_ordered_whole():
    # Guards against a first start that loads fewer engines at once.
    moves = make_moves("m", 30, urgent=True)

    assert select_moves(moves, []) == moves


def test_layers_with_a_single_holder_come_before_other_moves():
    # Guards against a load for a range with a single holder that shares the
    # bandwidth with loads of further replicas.
    others = make_moves("other", 12)
    single = make_moves("single", 2, adds_second_holder=True)
    missing = make_moves("missing", 1, urgent=True, adds_second_holder=True)

    selected = select_moves([*others, *single, *missing], [])

    assert names(selected)[:3] == ["missing0", "single0", "single1"]
    assert len(selected) == 8


def test_all_pressing_moves_are_ordered_at_once():
    # Guards against a range that waits although only pressing loads run.
    moves = make_moves("s", 12, adds_second_holder=True)

    assert select_moves(moves, []) == moves


def test_other_moves_wait_while_a_pressing_load_runs():
    # Guards against replicas ordered in the next plan that slow down the load
    # of a range with a single holder.
    loading = [
        make_engine(f"x{i}", MIDDLE, "a", 0, 10, loading=True) for i in range(7)
    ]
    engines = [make_engine("y", MIDDLE, "a", 0, 10), *loading]

    assert names(select_moves(make_moves("m", 12), engines)) == ["m0"]


def test_other_moves_do_not_wait_for_loads_of_further_replicas():
    # Guards against waiting where no range is at risk.
    engines = [
        make_engine("y", MIDDLE, "a", 0, 10),
        make_engine("z", MIDDLE, "a", 0, 10),
        *(
            make_engine(f"x{i}", MIDDLE, "a", 0, 10, loading=True)
            for i in range(8)
        ),
    ]
    moves = make_moves("m", 12)

    assert select_moves(moves, engines) == moves
