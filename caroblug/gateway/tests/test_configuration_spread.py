"""Tests of how gateways distribute a large configuration.

They guard against gateway links saturated by configuration transfers when a
configuration with many routes changes in quick succession. Every gateway used
to read each version from the store at the same moment and to receive it again
from other gateways. Streams waited behind these transfers, and engines seemed
to accept no connection.
"""

import pytest

from caroblug.gateway._compression import (
    TextCompressor,
    compress_text,
    decompress_text,
)
from caroblug.gateway._interfaces import Member
from caroblug.gateway._peers import LeaseState
from caroblug.gateway.tests.test_placement import (
    make_placement,
    receive_peer_state,
)

RAW = "7" + " " * 100_000
"""A long configuration that the fake registry decodes as version 7."""


def make_peers(name="g5", others=14, version_age_ms=0):
    """Returns the `Peers` of a gateway that other gateways have contacted."""
    context, _, peers, _ = make_placement(name)
    for i in range(others):
        other = f"g{i}"
        if other != name:
            peers._add_member(Member(other, ("10.0.0.1", 1)))
            receive_peer_state(
                peers,
                other,
                LeaseState.NONE,
                version=context.configuration.version,
                version_age_ms=version_age_ms,
            )
    return context, peers


def test_two_gateways_per_data_centre_wait_for_changes_at_the_store():
    readers = [
        name
        for name in (f"g{i}" for i in range(14))
        if make_peers(name)[1].reads_configuration()
    ]

    assert len(readers) == 2


def test_gateway_with_slow_reads_leaves_reading_to_the_others():
    # Guards against transfers over a slow link that a fast one could carry.
    context, peers = make_peers("g0")
    peers.reader_ranking.record_read(200)

    assert not peers.reads_configuration()


def test_gateway_with_failed_reads_leaves_reading_to_the_others():
    context, peers = make_peers("g0")
    peers.reader_ranking.record_read(None)

    assert not peers.reads_configuration()


def test_gateway_without_contact_to_peers_reads_by_itself():
    # Guards against an outdated configuration while gateways are partitioned.
    context, peers = make_peers()
    context.clock.advance(1001)

    assert peers.reads_configuration()


def test_gateway_reads_by_itself_when_no_peer_confirms_the_version():
    # Guards against an outdated configuration while all reading gateways are
    # cut off from the store.
    context, peers = make_peers(version_age_ms=4501)

    assert peers.reads_configuration()


def test_gateway_without_a_configuration_reads_by_itself():
    _, _, peers, _ = make_placement("g5")

    assert peers.reads_configuration()


def test_newer_configuration_is_forwarded_compressed():
    context, peers = make_peers("g1")
    context.raw_configuration = RAW
    other, other_peers = make_peers("g2")
    context.configuration = peers._registry.decode_configuration("7")

    answer = peers._handle_message(other_peers._build_message(""))
    other_peers._handle_answer(answer, "g1")

    assert other.configuration.version == 7
    assert other.raw_configuration == RAW
    assert len(answer["packed_configuration"]) < len(RAW) / 10


def test_configuration_is_fetched_from_one_of_the_peers_that_have_it():
    # Guards against a link saturated by several copies of one configuration.
    context, peers = make_peers()
    message = make_peers("g1")[1]._build_message("")

    for name in ("g1", "g2", "g3"):
        peers._handle_message({**message, "name": name, "version": 9})

    assert len(peers._exchanging) == 1


def test_older_configuration_is_not_decompressed():
    context, peers = make_peers()
    answer = make_peers("g1")[1]._build_message("")

    peers._handle_answer({**answer, "packed_configuration": "invalid"}, "g1")

    assert context.configuration.version == 5


def test_compression_round_trip_preserves_the_text():
    assert decompress_text(compress_text(RAW)) == RAW


def test_text_is_compressed_once_for_all_recipients():
    # Guards against compressing a list again for each gateway that lacks it.
    compressor = TextCompressor()

    assert compressor.compress(RAW) is compressor.compress(RAW)
    assert decompress_text(compressor.compress("another")) == "another"


@pytest.mark.parametrize(
    "compressed", ["", "invalid", compress_text(RAW)[:-40]]
)
def test_invalid_compressed_text_is_a_value_error(compressed):
    with pytest.raises(ValueError, match=r"compressed|Incorrect|padd"):
        decompress_text(compressed)
