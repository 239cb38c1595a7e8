"""Whom a gateway tells, and how many."""

from caroblug.gateway._interfaces import Member
from caroblug.gateway._peers import LeaseState
from caroblug.gateway.tests.test_fleet import make_engine
from caroblug.gateway.tests.test_placement import (
    make_placement,
    tell,
    with_engines,
)


def make_peers(near: int, far: int, heard: bool = True, name: str = "z0"):
    """Returns the peers of a gateway in data centre a, and names near it."""
    _, _, peers, _ = make_placement(name)
    places = {f"near{i}": "a" for i in range(near)}
    places.update({f"far{i}": "b" for i in range(far)})
    for name, data_centre in places.items():
        peers._add_member(Member(name, ("10.0.0.1", 1)))
        if heard:
            tell(peers, name, LeaseState.NONE, data_centre=data_centre)
    peers._heard_ms.clear()
    return peers


def test_few_gateways_are_all_told():
    peers = make_peers(near=1, far=2)

    assert sorted(peers._partners()) == ["far0", "far1", "near0"]


def test_most_partners_are_in_the_own_data_centre():
    # Guards against paid bytes between data centres for load at home.
    peers = make_peers(near=5, far=20)

    for _ in range(20):
        partners = peers._partners()
        assert len(partners) == 4
        assert sum(name.startswith("far") for name in partners) == 1


def test_reader_of_the_list_tells_more_of_its_neighbours():
    # Guards against neighbours that read what it has just read.
    peers = make_peers(near=12, far=20, name="a0")

    partners = peers._partners()

    assert len(partners) == 8
    assert sum(name.startswith("far") for name in partners) == 1


def test_gateway_that_has_just_started_tells_as_many_as_ever():
    # Guards against a new gateway that learns of its neighbours' load too late.
    peers = make_peers(near=5, far=20, heard=False)

    assert len(peers._partners()) == 4


def test_word_of_a_leaving_engine_is_believed_until_a_newer_list():
    # Guards against a question by each gateway about the same leaving engine.
    context, _, peers, _ = make_placement("g0")
    with_engines(context, make_engine("x", 0, 40), make_engine("y", 0, 40))
    context.clock.advance(3000)

    tell(peers, "g1", LeaseState.NONE, leaving={"x": 200})

    assert [b.name for b in context.fleet.backends("pool")] == ["y"]


def test_old_word_of_a_leaving_engine_loses_to_the_list():
    context, _, peers, _ = make_placement("g0")
    with_engines(context, make_engine("x", 0, 40))

    tell(peers, "g1", LeaseState.NONE, leaving={"x": 3000})

    assert [b.name for b in context.fleet.backends("pool")] == ["x"]


def test_newer_configuration_is_fetched_from_who_told_of_it():
    # Guards against an old configuration where a gateway is only ever told.
    context, _, peers, _ = make_placement("g0")
    told = {**peers._build_message(), "name": "g1", "address": ["10.0.0.1", 1]}
    peers._handle_message(told)
    assert peers._partners() == []

    peers._handle_message(
        {**told, "version": context.configuration.version + 1}
    )

    assert peers._partners() == ["g1"]


def test_who_has_something_new_is_asked_among_many():
    peers = make_peers(near=10, far=20)
    peers._fetch_from.add("far7")

    assert "far7" in peers._partners()
