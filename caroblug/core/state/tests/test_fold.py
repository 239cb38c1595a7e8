"""Tests of the bundle fold: races, truncated logs and forgeries."""

import attrs
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
)

from caroblug.core.state import (
    Applied,
    BundleFold,
    Deferred,
    Ignored,
    LogEntry,
    Lost,
    Missing,
    Rejected,
    Snapshot,
    encode_record,
    encode_snapshot,
    join_sections,
    make_record,
    sign_record,
    split_sections,
)

_KEY = Ed25519PrivateKey.from_private_bytes(bytes(range(32)))
_SNAPSHOT_KEY = b"key that only instances hold"
_OPERATOR = _KEY.public_key().public_bytes_raw().hex()


def _make_record(layers, version, parent, known=()):
    table = {"models": {"dome-7b": {"layers": layers, "vocabulary": 512}}}
    record = make_record(split_sections(table), version, parent, known)
    return sign_record(record, _KEY.private_bytes_raw())


def _make_fold():
    return BundleFold([_OPERATOR], 1, [_SNAPSHOT_KEY])


def _make_chain(count):
    """Returns `count` records, each the child of the previous one."""
    records = [_make_record(8, 1, "")]
    while len(records) < count:
        last = records[-1]
        records.append(
            _make_record(8 + len(records), last.version + 1, last.digest)
        )
    return records


def _read_page(fold, offset, records, end):
    entries = [LogEntry(offset + n, data) for n, data in enumerate(records)]
    return fold.on_page(entries, offset + len(records), end)


def test_racing_operators_have_one_winner():
    """Guards against two operators that both seem to have published.

    Both records name the same parent. The first one in the log becomes the
    head, and the outcome of the other one names the winner.
    """
    fold = _make_fold()
    first = fold.on_record(encode_record(_make_record(8, 1, "")), 0)
    assert isinstance(first, Applied)
    winner = _make_record(9, 2, first.head.digest)
    loser = _make_record(10, 2, first.head.digest)
    assert isinstance(fold.on_record(encode_record(winner), 1), Applied)
    outcome = fold.on_record(encode_record(loser), 2)
    assert outcome == Lost(loser.digest, 2, winner.digest)


def test_child_of_a_loser_has_lost_too():
    """Guards against a bundle based on one that was never in force.

    An operator uses a losing record as the parent. The child has the next
    version, but its parent is not the head.
    """
    fold = _make_fold()
    one, two = _make_chain(2)
    loser = _make_record(99, 2, one.digest)
    child = _make_record(98, 3, loser.digest)
    records = [encode_record(r) for r in (one, two, loser, child)]
    outcomes = _read_page(fold, 0, records, 4)
    assert outcomes[3] == Lost(child.digest, 2, two.digest)
    assert fold.head.digest == two.digest


def test_replayed_record_never_reverts():
    """Guards against a return to an old bundle.

    An old record with valid signatures is appended again; the head stays.
    """
    fold = _make_fold()
    old = _make_record(8, 1, "")
    head = fold.on_record(encode_record(old), 0).head
    fold.on_record(encode_record(_make_record(9, 2, head.digest)), 1)
    assert isinstance(fold.on_record(encode_record(old), 2), Ignored)
    assert fold.head.version == 2


def test_unsigned_record_is_rejected():
    fold = BundleFold([_OPERATOR], 2)
    outcome = fold.on_record(encode_record(_make_record(8, 1, "")), 0)
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


def test_loser_is_not_taken_where_the_winner_has_expired():
    """Guards against two different bundles of one version in a fleet.

    An instance is disconnected at version 2 while records expire. The winner
    of version 3 has expired. The loser, which was appended after it, has not,
    and names version 2 as its parent. The winner's snapshot comes later in
    the log and contains the offset at which the winner was accepted.
    """
    one, two, winner = _make_chain(3)
    loser = _make_record(99, 3, two.digest)
    fold = _make_fold()
    _read_page(fold, 0, [encode_record(one), encode_record(two)], 2)
    snapshot = encode_snapshot(Snapshot(winner, 2), _SNAPSHOT_KEY)
    outcomes = _read_page(fold, 3, [encode_record(loser), snapshot], 5)
    assert isinstance(outcomes[0], Deferred)
    assert fold.head.digest == winner.digest


def test_forged_snapshot_does_not_change_the_winner():
    """Guards against a losing record that takes effect at new instances.

    Someone with write access to the log appends the loser as a snapshot with
    an early offset. Without the instances' key, the snapshot is not valid.
    """
    one, two, winner = _make_chain(3)
    loser = _make_record(99, 3, two.digest)
    forged = encode_snapshot(Snapshot(loser, 0), b"another key")
    real = encode_snapshot(Snapshot(winner, 2), _SNAPSHOT_KEY)
    fold = _make_fold()
    _read_page(fold, 3, [forged, real], 5)
    assert fold.head.digest == winner.digest


def test_head_applied_too_early_is_corrected_by_a_snapshot():
    """Guards against a losing bundle that stays in force after an outage.

    The log is empty after the outage, and the loser is appended again before
    the winner's snapshot. A new instance applies the loser. The snapshot
    corrects the head, and the next version then applies in order.
    """
    one, two, winner, child = _make_chain(4)
    loser = _make_record(99, 3, two.digest)
    fold = _make_fold()
    _read_page(fold, 9, [encode_record(loser)], 10)
    assert fold.head.digest == loser.digest
    snapshot = encode_snapshot(Snapshot(winner, 2), _SNAPSHOT_KEY)
    _read_page(fold, 10, [snapshot], 11)
    assert fold.head.digest == winner.digest
    _read_page(fold, 11, [encode_record(child)], 12)
    assert fold.head.digest == child.digest
    assert fold.order_known


def test_sections_of_an_expired_parent_come_from_peers():
    """Guards against a new instance that never becomes ready.

    The log still contains a change of one account, but not the unchanged
    sections, which the record leaves out.
    """
    table = {
        "models": {"dome-7b": {"layers": 8, "vocabulary": 512}},
        "limits": {"max_tokens": 5},
    }
    sections = split_sections(table)
    known = _make_record(8, 1, "").manifest.values()
    record = make_record(sections, 2, "0" * 40, known)
    record = sign_record(record, _KEY.private_bytes_raw())
    fold = _make_fold()
    outcome = _read_page(fold, 5, [encode_record(record)], 6)[-1]
    assert isinstance(outcome, Missing)
    (key,) = outcome.hashes
    fold.on_sections({key: sections["models"]})
    assert fold.head.digest == record.digest
    assert fold.missing is None


def test_record_whose_sections_no_peer_has_is_dropped():
    """Guards against an endless wait for sections that never existed.

    An operator's record leaves out a section that its parent does not have.
    All other instances have rejected it. An instance with a truncated history
    can't tell, and drops the record once no peer has the section.
    """
    one, two = _make_chain(2)
    broken = make_record(
        split_sections({"limits": {"max_tokens": 5}}),
        3,
        two.digest,
        [],
    )
    broken = sign_record(broken, _KEY.private_bytes_raw())
    bare = encode_record(attrs.evolve(broken, sections={}))
    fold = _make_fold()
    whole = encode_snapshot(Snapshot(two, 1), _SNAPSHOT_KEY)
    _read_page(fold, 4, [whole, bare], 6)
    assert fold.missing is not None
    fold.discard_missing()
    assert fold.head.digest == two.digest


def test_peer_head_is_applied_only_if_signed_and_newer():
    one, two = _make_chain(2)
    fold = _make_fold()
    forged = attrs.evolve(two, signatures=())
    assert isinstance(fold.on_peer_head(forged, 1, two.sections), Rejected)
    assert isinstance(fold.on_peer_head(two, 1, two.sections), Applied)
    assert isinstance(fold.on_peer_head(one, 0, one.sections), Ignored)
    assert fold.next_offset == 2


def test_unchanged_account_sections_are_not_parsed_again():
    accounts = {f"a-{n}": {"key_hashes": []} for n in range(600)}
    table = {"client_accounts": accounts}
    fold = _make_fold()
    one = make_record(split_sections(table), 1, "")
    one = sign_record(one, _KEY.private_bytes_raw())
    fold.on_record(encode_record(one), 0)
    before = fold.head
    accounts["a-7"] = {"key_hashes": [], "streams": 3}
    known = list(before.bodies())
    two = make_record(split_sections(table), 2, one.digest, known)
    two = sign_record(two, _KEY.private_bytes_raw())
    assert len(two.sections) == 1
    fold.on_record(encode_record(two), 1)
    after = fold.head.bundle.client_accounts
    assert after["a-7"].streams == 3
    same = [
        n
        for n, rule in before.bundle.client_accounts.items()
        if after[n] is rule
    ]
    assert len(same) > 590
