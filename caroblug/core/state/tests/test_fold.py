"""Tests of the fold of bundle records."""

from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
)

from caroblug.core.state import (
    Applied,
    BundleFold,
    Ignored,
    Lost,
    Rejected,
    encode_record,
    join_sections,
    make_record,
    sign_record,
    split_sections,
)

_KEY = Ed25519PrivateKey.from_private_bytes(bytes(range(32)))
_OPERATOR = _KEY.public_key().public_bytes_raw().hex()


def _record(layers, version, parent, known=()):
    table = {"models": {"dome-7b": {"layers": layers, "vocabulary": 512}}}
    record = make_record(split_sections(table), version, parent, known)
    return sign_record(record, _KEY.private_bytes_raw())


def _fold():
    return BundleFold([_OPERATOR], 1)


def test_racing_operators_have_one_winner():
    """Two operators publish at once and each believes to have won.

    Both records name the same parent; the first in the log's order becomes
    the head, the other is told which one won.
    """
    fold = _fold()
    first = fold.on_record(encode_record(_record(8, 1, "")))
    assert isinstance(first, Applied)
    winner = _record(9, 2, first.head.digest)
    loser = _record(10, 2, first.head.digest)
    assert isinstance(fold.on_record(encode_record(winner)), Applied)
    outcome = fold.on_record(encode_record(loser))
    assert outcome == Lost(loser.digest, 2, winner.digest)


def test_replayed_record_never_reverts():
    """Limits jump back to those of last week.

    An old, validly signed record is appended once more; the head stays.
    """
    fold = _fold()
    old = _record(8, 1, "")
    head = fold.on_record(encode_record(old)).head
    fold.on_record(encode_record(_record(9, 2, head.digest)))
    assert isinstance(fold.on_record(encode_record(old)), Ignored)
    assert fold.head.version == 2


def test_unsigned_record_is_rejected():
    fold = BundleFold([_OPERATOR], 2)
    outcome = fold.on_record(encode_record(_record(8, 1, "")))
    assert isinstance(outcome, Rejected)
    assert fold.head is None


def test_sections_join_to_the_same_bundle():
    table = {
        "limits": {"max_tokens": 5},
        "client_accounts": {
            f"account-{n}": {"key_hashes": []} for n in range(500)
        },
    }
    assert join_sections(split_sections(table)) == table
