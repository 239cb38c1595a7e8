"""A configuration of many routes, changed in quick succession.

Guards against links of gateways that are full of configurations: each came
from the store to every gateway at once, and again from gateway to gateway,
while streams waited behind it and engines seemed to take no connection.
"""

import pytest

from caroblug.gateway._interfaces import Member
from caroblug.gateway._packing import Packer, pack, unpack
from caroblug.gateway._peers import LeaseState
from caroblug.gateway.tests.test_placement import make_placement, tell

RAW = "7" + " " * 100_000
"""A long configuration of version 7, as the fake registry reads it."""


def make_peers(name="g5", others=14, version_age_ms=0):
    """Returns the peers of a gateway that has heard of its neighbours."""
    context, _, peers, _ = make_placement(name)
    for i in range(others):
        other = f"g{i}"
        if other != name:
            peers._add_member(Member(other, ("10.0.0.1", 1)))
            tell(
                peers,
                other,
                LeaseState.NONE,
                version=context.configuration.version,
                version_age_ms=version_age_ms,
            )
    return context, peers


def test_two_gateways_of_a_data_centre_wait_at_the_store():
    readers = [
        name
        for name in (f"g{i}" for i in range(14))
        if make_peers(name)[1].reads_configuration()
    ]

    assert len(readers) == 2


def test_gateway_whose_reads_are_quicker_reads_for_the_others():
    # Guards against a slow link that carries what a quick one could.
    context, peers = make_peers("g0")
    peers.readers.note_read(200)

    assert not peers.reads_configuration()


def test_gateway_whose_reads_fail_does_not_read_for_the_others():
    context, peers = make_peers("g0")
    peers.readers.note_read(None)

    assert not peers.reads_configuration()


def test_gateway_that_hears_nobody_reads_by_itself():
    # Guards against an old configuration behind a cut between gateways.
    context, peers = make_peers()
    context.clock.advance(1001)

    assert peers.reads_configuration()


def test_gateway_reads_by_itself_when_nobody_confirms_the_version():
    # Guards against readers that are all cut off from the store.
    context, peers = make_peers(version_age_ms=4501)

    assert peers.reads_configuration()


def test_gateway_without_a_configuration_reads_by_itself():
    _, _, peers, _ = make_placement("g5")

    assert peers.reads_configuration()


def test_newer_configuration_is_handed_on_compressed():
    context, peers = make_peers("g1")
    context.raw_configuration = RAW
    other, other_peers = make_peers("g2")
    context.configuration = peers._registry.decode_configuration("7")

    answer = peers._handle_message(other_peers._build_message())
    other_peers._take_answer(answer, "g1")

    assert other.configuration.version == 7
    assert other.raw_configuration == RAW
    assert len(answer["packed_configuration"]) < len(RAW) / 10


def test_configuration_is_not_fetched_from_everybody_who_tells_of_it():
    # Guards against a full link: the same configuration, several times.
    context, peers = make_peers()
    message = make_peers("g1")[1]._build_message()

    for name in ("g1", "g2", "g3"):
        peers._handle_message({**message, "name": name, "version": 9})

    assert len(peers._busy) == 1


def test_older_configuration_is_not_unpacked():
    context, peers = make_peers()
    answer = make_peers("g1")[1]._build_message()

    peers._take_answer({**answer, "packed_configuration": "spoilt"}, "g1")

    assert context.configuration.version == 5


def test_packed_text_is_the_same_again():
    assert unpack(pack(RAW)) == RAW


def test_text_is_packed_once_for_all_who_get_it():
    # Guards against compressing a list again for each gateway that lacks it.
    packer = Packer()

    assert packer.pack(RAW) is packer.pack(RAW)
    assert unpack(packer.pack("another")) == "another"


@pytest.mark.parametrize("packed", ["", "spoilt", pack(RAW)[:-40]])
def test_broken_packed_text_is_a_value_error(packed):
    with pytest.raises(ValueError, match=r"packed|Incorrect|padd"):
        unpack(packed)
