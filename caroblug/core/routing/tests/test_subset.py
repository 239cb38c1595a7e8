"""Subsets still cover every layer, and share the engines evenly."""

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
def test_subset_covers_what_the_whole_covers(views, size, owner):
    chosen = choose_subset(owner, _kinds(views), size)
    kept = [v for v in views if v.instance in chosen]
    assert _covered(kept) == _covered(views)


@given(fleets(), st.integers(1, 6))
def test_plain_services_are_kept_whole(views, size):
    kinds = _kinds(views)
    plain = {f"p{n}": Kind("booking", "a") for n in range(3)}
    assert set(plain) <= choose_subset("entry", kinds | plain, size)


def test_target_size_is_spread_evenly_and_change_is_small():
    kinds = {
        f"e{n}": Kind("m", "abc"[n % 3], n % 8, n % 8 + 1) for n in range(780)
    }
    heard = collections.Counter()
    for entry in range(40):
        chosen = choose_subset(f"entry-{entry}", kinds, 96)
        assert len(chosen) <= 96
        heard.update(chosen)
    assert max(heard.values()) <= 4 * 40 * 96 / 780
    before = choose_subset("entry-0", kinds, 96)
    kinds.pop("e0")
    after = choose_subset("entry-0", kinds, 96)
    assert len(before ^ after) <= 2
