"""Tests for the counter of the most frequent keys."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from caroblug.utils import TopCounter


@given(st.lists(st.sampled_from("abcdefghij"), max_size=200))
def test_counts_are_never_low_and_bounded(keys):
    top = TopCounter(4)
    for key in keys:
        top.add(key)
    true = collections.Counter(keys)
    assert len(top.counts) <= 4
    assert sum(top.counts.values()) == len(keys)
    assert all(count >= true[key] for key, count in top.counts.items())
    for key, count in true.items():
        if count > len(keys) / 4:
            assert key in top.counts
