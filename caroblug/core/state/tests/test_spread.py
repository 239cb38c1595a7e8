"""Tests of who reads the log, who is asked, and when to step in."""

import random

import pytest

from caroblug.core.state import (
    Advert,
    Fetch,
    Member,
    MemberView,
    Spread,
    choose_neighbours,
    choose_readers,
)

_NEW = Advert(2, "new", 7, 0)


def _member(number, place="a"):
    return Member(f"{place}-{number:03d}", "side", "10.0.0.1", 1, place)


def _view(count, places=("a", "b", "c")):
    members = [_member(n, place) for place in places for n in range(count)]
    return MemberView(tuple(sorted(members, key=lambda m: m.instance)))


def _spread(view=None):
    """Returns the spread of an instance that is not a reader."""
    view = view or _view(20)
    readers = choose_readers(view, "a")
    own = next(m for m in view.live(data_centre="a") if m not in readers)
    spread = Spread(own, random.Random(1), 0)
    spread.on_view(view)
    spread.on_head(1, "old", 3)
    return spread


def test_another_peer_is_asked_when_the_first_is_lost_or_silent():
    """One instance keeps an old limit for as long as its peer hangs.

    The peer that told of the new head dies, or never answers; another one
    that told of it too is asked at once, or after the time-out.
    """
    spread = _spread()
    assert spread.on_advert("p1", _NEW, 0) == Fetch("p1", "new")
    assert spread.on_advert("p2", _NEW, 1) is None
    assert spread.on_peer_lost("p1", 2) == Fetch("p2", "new")
    spread.on_advert("p3", _NEW, 3)
    assert spread.on_tick(100) is None
    assert spread.on_tick(600) == Fetch("p3", "new")
    spread.on_head(2, "new", 7)
    assert not spread.pending


def test_older_and_equal_heads_are_not_fetched():
    spread = _spread()
    assert spread.on_advert("p1", Advert(1, "old", 3), 0) is None
    assert spread.on_advert("p1", Advert(0), 0) is None
    assert spread.on_advert("p1", Advert(1, "rival", 9), 0) is None
    assert not spread.pending
    assert spread.on_advert("p1", Advert(1, "rival", 2), 0) is not None


def test_non_reader_steps_in_only_when_the_log_was_not_seen_for_long():
    """Nobody reads the log although each believes that others do.

    Views differ, or the readers cannot reach the log; what is told of its
    age grows, and others step in without storming it.
    """
    spread = _spread()
    assert spread.should_read(0)
    spread.on_log_end(0)
    assert not spread.should_read(10_000)
    spread.on_advert("p1", Advert(1, "old", 3, 2000), 14_000)
    assert not spread.should_read(20_000)
    assert spread.should_read(40_000)
    spread.on_log_failure(40_000)
    assert not spread.should_read(41_000)
    assert spread.should_read(200_000)


@pytest.mark.parametrize("count", [1, 2, 5, 110])
def test_neighbours_are_few_and_leave_no_island(count):
    """Some instances never hear of a bundle.

    A group whose members all choose neighbours within it is an island.
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
