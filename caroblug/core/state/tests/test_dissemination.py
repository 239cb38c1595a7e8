"""Tests of bundle dissemination: fetches, log reads and neighbours."""

import random

import pytest

from caroblug.core.state import (
    Advert,
    BundleDissemination,
    Fetch,
    Member,
    MemberView,
    choose_log_readers,
    choose_neighbours,
)

_NEW = Advert(2, "new", 7, 0)


def _member(number, data_centre="a"):
    return Member(
        f"{data_centre}-{number:03d}", "side", "10.0.0.1", 1, data_centre
    )


def _view(count, data_centres=("a", "b", "c")):
    members = [
        _member(n, data_centre)
        for data_centre in data_centres
        for n in range(count)
    ]
    return MemberView(tuple(sorted(members, key=lambda m: m.instance)))


def _make_dissemination(view=None):
    """Returns the dissemination of an instance that is not a reader."""
    view = view or _view(20)
    readers = choose_log_readers(view, "a")
    own = next(m for m in view.live(data_centre="a") if m not in readers)
    dissemination = BundleDissemination(own, random.Random(1), 0)
    dissemination.on_view(view)
    dissemination.on_head(1, "old", 3)
    return dissemination


def test_fetch_moves_to_another_peer_if_the_first_is_lost_or_silent():
    """Guards against an outdated bundle while one peer does not respond.

    The peer that advertised the new head fails or never answers. Another peer
    that advertised it too is used at once or after the timeout.
    """
    dissemination = _make_dissemination()
    assert dissemination.on_advert("p1", _NEW, 0) == Fetch("p1", "new")
    assert dissemination.on_advert("p2", _NEW, 1) is None
    assert dissemination.on_peer_lost("p1", 2) == Fetch("p2", "new")
    dissemination.on_advert("p3", _NEW, 3)
    assert dissemination.on_tick(100) is None
    assert dissemination.on_tick(600) == Fetch("p3", "new")
    dissemination.on_head(2, "new", 7)
    assert not dissemination.newer_head_known


def test_older_and_equal_heads_are_not_fetched():
    dissemination = _make_dissemination()
    assert dissemination.on_advert("p1", Advert(1, "old", 3), 0) is None
    assert dissemination.on_advert("p1", Advert(0), 0) is None
    assert dissemination.on_advert("p1", Advert(1, "rival", 9), 0) is None
    assert not dissemination.newer_head_known
    assert dissemination.on_advert("p1", Advert(1, "rival", 2), 0) is not None


def test_non_reader_reads_only_after_a_long_time_without_a_log_read():
    """Guards against a log that no instance reads.

    Views differ, or the readers cannot reach the log. The advertised age of
    the last read grows until other instances read the log, with backoff.
    """
    dissemination = _make_dissemination()
    assert dissemination.should_read(0)
    dissemination.on_log_end(0)
    assert not dissemination.should_read(10_000)
    dissemination.on_advert("p1", Advert(1, "old", 3, 2000), 14_000)
    assert not dissemination.should_read(20_000)
    assert dissemination.should_read(40_000)
    dissemination.on_log_failure(40_000)
    assert not dissemination.should_read(41_000)
    assert dissemination.should_read(200_000)


@pytest.mark.parametrize("count", [1, 2, 5, 110])
def test_neighbours_are_few_and_connect_all_instances(count):
    """Guards against instances that never receive a new bundle.

    A group is isolated if all of its members choose neighbours within it.
    """
    view = _view(count)
    links = {m.instance: set() for m in view.members}
    for member in view.members:
        chosen = choose_neighbours(view, member)
        assert len(chosen) <= 5
        for other in chosen:
            links[member.instance].add(other.instance)
            links[other.instance].add(member.instance)
    seen, waiting = set(), [view.members[0].instance]
    while waiting:
        name = waiting.pop()
        if name not in seen:
            seen.add(name)
            waiting.extend(links[name])
    assert len(seen) == len(view.members)
    assert max(len(peers) for peers in links.values()) <= 24
