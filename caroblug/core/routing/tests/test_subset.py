"""Tests of subsets: coverage of all layers and an even spread."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from caroblug.core.routing import Kind, choose_subset
from caroblug.core.routing.tests.test_choosers import _covered
from caroblug.core.routing.tests.test_flow import fleets


def _kinds(views):
    return {
        v.instance: Kind("m", v.data_centre, v.first_layer, v.end_layer)
        for v in views
    }


@given(fleets(), st.integers(1, 6), st.text(max_size=4))
def test_subset_covers_the_same_layers_as_the_fleet(views, size, owner):
    chosen = choose_subset(owner, _kinds(views), size)
    kept = [v for v in views if v.instance in chosen]
    assert _covered(kept) == _covered(views)


@given(fleets(), st.integers(1, 6))
def test_all_instances_of_plain_services_are_included(views, size):
    kinds = _kinds(views)
    plain = {f"p{n}": Kind("booking", "a") for n in range(3)}
    assert set(plain) <= choose_subset("entry", kinds | plain, size)


def test_entries_spread_evenly_and_a_leaving_engine_changes_little():
    kinds = {
        f"e{n}": Kind("m", "abc"[n % 3], n % 8, n % 8 + 1) for n in range(780)
    }
    entries_by_engine = collections.Counter()
    for entry in range(40):
        chosen = choose_subset(f"entry-{entry}", kinds, 96)
        assert len(chosen) <= 96
        entries_by_engine.update(chosen)
    assert max(entries_by_engine.values()) <= 4 * 40 * 96 / 780
    before = choose_subset("entry-0", kinds, 96)
    kinds.pop("e0")
    after = choose_subset("entry-0", kinds, 96)
    assert len(before ^ after) <= 2
