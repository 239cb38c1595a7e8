"""Tests of the peer exchange: choice of partners and reported state."""

import pytest

from caroblug.gateway._compression import compress_text
from caroblug.gateway._interfaces import Member
from caroblug.gateway._peers import LeaseState
from caroblug.gateway.tests.test_fleet import make_engine
from caroblug.gateway.tests.test_placement import (
    list_engines,
    make_placement,
    receive_peer_state,
)


def make_peers(
    local: int, remote: int, reported: bool = True, name: str = "z0"
):
    """Returns the peers of a gateway in data centre a.

    Args:
        local: Number of peers in the same data centre.
        remote: Number of peers in another data centre.
        reported: Whether the peers have already reported their state.
        name: Name of the gateway.
    """
    _, _, peers, _ = make_placement(name)
    places = {f"local{i}": "a" for i in range(local)}
    places.update({f"remote{i}": "b" for i in range(remote)})
    for name, data_centre in places.items():
        peers._add_member(Member(name, ("10.0.0.1", 1)))
        if reported:
            receive_peer_state(
                peers, name, LeaseState.NONE, data_centre=data_centre
            )
    peers._received_ms.clear()
    return peers


def test_few_peers_are_all_contacted():
    peers = make_peers(local=1, remote=2)

    assert sorted(peers._choose_partners()) == ["local0", "remote0", "remote1"]


def test_most_partners_are_local():
    # Guards against paid traffic between data centres for loads that matter
    # only locally.
    peers = make_peers(local=5, remote=20)

    for _ in range(20):
        partners = peers._choose_partners()
        assert len(partners) == 4
        assert sum(name.startswith("remote") for name in partners) == 1


def test_reader_of_the_list_contacts_more_local_peers():
    # Guards against local peers that read the list again from the store.
    peers = make_peers(local=12, remote=20, name="a0")

    partners = peers._choose_partners()

    assert len(partners) == 8
    assert sum(name.startswith("remote") for name in partners) == 1


def test_gateway_that_has_just_started_contacts_as_many_peers_as_later():
    # Guards against a new gateway that receives its local peers' load too late.
    peers = make_peers(local=5, remote=20, reported=False)

    assert len(peers._choose_partners()) == 4


def test_reported_leaving_engine_is_not_used_until_a_newer_list():
    # Guards against a health check by each gateway of the same leaving engine.
    context, _, peers, _ = make_placement("g0")
    list_engines(context, make_engine("x", 0, 40), make_engine("y", 0, 40))
    context.clock.advance(3000)

    receive_peer_state(peers, "g1", LeaseState.NONE, leaving={"x": 200})

    assert [b.name for b in context.fleet.backends("pool")] == ["y"]


def test_newer_list_overrides_the_report_of_a_leaving_engine():
    context, _, peers, _ = make_placement("g0")
    list_engines(context, make_engine("x", 0, 40))

    receive_peer_state(peers, "g1", LeaseState.NONE, leaving={"x": 3000})

    assert [b.name for b in context.fleet.backends("pool")] == ["x"]


def test_newer_configuration_is_fetched_from_the_peer_that_reported_it():
    # Guards against an outdated configuration at a gateway that its peers
    # always contact first.
    context, _, peers, _ = make_placement("g0")
    message = {
        **peers._build_message(""),
        "name": "g1",
        "address": ["10.0.0.1", 1],
    }
    peers._handle_message(message)
    assert peers._choose_partners() == []

    peers._handle_message(
        {**message, "version": context.configuration.version + 1}
    )

    assert peers._choose_partners() == ["g1"]


def test_peer_with_newer_state_is_contacted_among_many():
    peers = make_peers(local=10, remote=20)
    peers._fetch_from.add("remote7")

    assert "remote7" in peers._choose_partners()


def test_announced_exits_reach_other_gateways():
    # Guards against layers that are left to an engine about to exit.
    contexts, exchanges = [], []
    for name in ("g1", "g2"):
        context, _, peers, _ = make_placement(name)
        list_engines(context, make_engine("e1", 0, 80))
        contexts.append(context)
        exchanges.append(peers)
    contexts[0].fleet.on_exit_announced("e1", 100_000)
    exchanges[1]._handle_message(exchanges[0]._build_message(""))

    assert not contexts[1].fleet.backends("pool")


@pytest.mark.parametrize(
    "fields",
    [
        {"list_age_ms": 1e999},
        {"paces": {"e0": [1e999, 1e999]}},
        {"rooms": {"e0": [1e999, 0, 0, 10**400]}},
        {"limits": {"e0": [10**400, 0, 0]}},
        {"members": {"g9": ["10.0.0.1", 1e999, "a"]}},
    ],
)
def test_answer_that_cannot_be_decoded_ends_no_exchange(fields):
    # Guards against a peer whose answer ends what waits for it.
    _, _, peers, _ = make_placement("g1")
    _, _, others, _ = make_placement("g2")
    peers._add_member(Member("g2", ("10.0.0.1", 1)))
    answer = {**others._build_message("g1"), **fields}
    peers.call = lambda name, path, message: answer

    peers._exchange("g2")

    assert not peers._exchanging


def test_state_of_servers_that_come_with_the_list_is_applied():
    # Guards against what a new gateway isn't told of servers it didn't know.
    context, _, peers, _ = make_placement("g1")
    other, _, others, _ = make_placement("g2")
    list_engines(other, make_engine("e1", 0, 40), make_engine("e2", 0, 40))
    listing = other.fleet.listing
    peers._registry.decode_listing = lambda raw, end: listing
    peers._add_member(Member("g2", ("10.0.0.1", 1)))
    answer = {
        **others._build_message("g1"),
        "leaving": {"e1": 0},
        "packed_list": compress_text(listing.raw),
    }

    peers._handle_answer(answer, "g2")

    assert [b.name for b in context.fleet.backends("pool")] == ["e2"]


def test_names_of_unlisted_servers_are_not_kept():
    # Guards against entries for each server that a message makes up.
    context, _, peers, _ = make_placement("g1")
    list_engines(context, make_engine("e1", 0, 40))
    known = set(context.fleet._states)
    names = dict.fromkeys(("made-up", "e1"), 0)
    receive_peer_state(
        peers,
        "g2",
        LeaseState.NONE,
        loads=names,
        leaving=names,
        exits=names,
        unanswered=names,
        suspects=list(names),
        repeats=names,
    )

    assert set(context.fleet._states) == known
    assert context.engines_to_probe == {"e1"}
    assert context.fleet.loads._reported["g2"] == {"e1": 0.0}
    assert peers._retries_left["g2"] == {}


def test_suspicion_with_a_long_name_is_ignored():
    # Guards against records whose number is bounded, but not their size.
    _, _, peers, _ = make_placement("g1")
    rows = [["f" * 300, "anna", "e1/1", 60_000], ["f", "anna", "e1/1", 60_000]]
    receive_peer_state(peers, "g2", LeaseState.NONE, crashes=rows)

    assert peers._crashes._suspicions.count_crashes("f" * 300, 0) == 0
    assert len(peers._crashes._suspicions) == 1
