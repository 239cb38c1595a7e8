"""Tests of the bundle fold on a log with expiry, duplicates and replays."""

import hypothesis
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
)
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from caroblug.core.state import (
    Applied,
    BundleFold,
    LogEntry,
    Snapshot,
    encode_record,
    encode_snapshot,
    make_record,
    sign_record,
    split_sections,
)
from caroblug.core.state._sections import section_hash

_KEY = Ed25519PrivateKey.from_private_bytes(bytes(range(32)))
_OPERATOR = _KEY.public_key().public_bytes_raw().hex()
_SNAPSHOT_KEY = b"key that only instances hold"
_READERS = 4


def _make_fold():
    return BundleFold([_OPERATOR], 1, [_SNAPSHOT_KEY])


class FoldMachine(RuleBasedStateMachine):
    """State machine of four readers and one log with competing records.

    `_truth` folds every append at once and so knows the order of the log.
    Records expire only up to the last complete copy of the head, unless all
    records are lost. Then a running reader appends a snapshot first.
    """

    def __init__(self):
        super().__init__()
        self._log = []
        self._start = 0
        self._truth = _make_fold()
        self._sent = []
        self._last_copy_offset = 0
        self._readers = [_make_fold() for _ in range(_READERS)]
        self._highest_versions = [0] * _READERS
        self._tables = 0

    def _append(self, data):
        offset = len(self._log)
        self._log.append(data)
        self._truth.on_page([LogEntry(offset, data)], offset + 1, offset + 1)

    def _sign(self, head):
        self._tables += 1
        table = {"limits": {"max_tokens": self._tables}, "objectives": []}
        record = make_record(
            split_sections(table),
            head.version + 1 if head else 1,
            head.digest if head else "",
            list(head.bodies()) if head else (),
        )
        return sign_record(record, _KEY.private_bytes_raw())

    @rule(racing=st.integers(1, 3), doubled=st.booleans())
    def publish(self, racing, doubled):
        """Appends records on the same head; one may be appended twice."""
        records = [self._sign(self._truth.head) for _ in range(racing)]
        for record in records:
            self._sent.append(record)
            self._append(encode_record(record))
        if doubled:
            self._append(encode_record(records[0]))
        if records[0].version == 1:
            self._snapshot(self._truth.head, self._truth.head.offset)

    @precondition(lambda self: self._sent)
    @rule(which=st.integers(0, 1000))
    def replay(self, which):
        """Appends an old or losing record again."""
        record = self._sent[which % len(self._sent)]
        self._append(encode_record(record))

    @precondition(lambda self: self._truth.head)
    @rule(reader=st.integers(0, _READERS - 1))
    def append_snapshot(self, reader):
        """Appends a snapshot of a reader's head."""
        head = self._readers[reader].head
        if head is not None:
            self._snapshot(head, head.offset)

    def _snapshot(self, head, offset):
        whole = make_record(head.sections, head.version, head.record.parent)
        whole = type(whole)(
            whole.version,
            whole.parent,
            whole.manifest,
            whole.sections,
            head.record.signatures,
        )
        if head.digest == self._truth.head.digest:
            self._last_copy_offset = len(self._log)
        self._append(encode_snapshot(Snapshot(whole, offset), _SNAPSHOT_KEY))

    @rule(share=st.floats(0, 1))
    def expire(self, share):
        """Expires records up to the last complete copy of the head."""
        self._start = max(self._start, int(self._last_copy_offset * share))

    @precondition(lambda self: self._truth.head)
    @rule()
    def outage_past_retention(self):
        """Empties the log; a running reader appends its head."""
        self._start = len(self._log)
        self._snapshot(self._truth.head, self._truth.head.offset)

    @rule(reader=st.integers(0, _READERS - 1), limit=st.integers(1, 4))
    def read(self, reader, limit):
        fold = self._readers[reader]
        first = max(fold.next_offset, self._start)
        end = min(first + limit, len(self._log))
        entries = [LogEntry(n, self._log[n]) for n in range(first, end)]
        fold.on_page(entries, max(first, end), len(self._log))
        self._fetch_missing(fold)
        if end >= len(self._log) and self._truth.head is not None:
            assert fold.head.digest == self._truth.head.digest

    def _fetch_missing(self, fold):
        if fold.missing is None:
            return
        held = self._truth.head.bodies()
        found = {h: held[h] for h in fold.missing.hashes if h in held}
        assert all(section_hash(v) == k for k, v in found.items())
        fold.on_sections(found)
        while fold.missing is not None:
            fold.discard_missing()

    @rule(
        reader=st.integers(0, _READERS - 1), peer=st.integers(0, _READERS - 1)
    )
    def hear(self, reader, peer):
        """Passes the head of one reader to another one."""
        theirs = self._readers[peer].head
        if theirs is None:
            return
        fold = self._readers[reader]
        outcome = fold.on_peer_head(
            theirs.record, theirs.offset, theirs.bodies()
        )
        if isinstance(outcome, Applied):
            assert fold.head.digest == theirs.digest

    @rule(reader=st.integers(0, _READERS - 1))
    def crash(self, reader):
        self._readers[reader] = _make_fold()
        self._highest_versions[reader] = 0

    @invariant()
    def versions_never_decrease(self):
        for number, fold in enumerate(self._readers):
            version = fold.head.version if fold.head else 0
            assert version >= self._highest_versions[number]
            self._highest_versions[number] = version

    @invariant()
    def heads_with_known_order_are_on_the_chain(self):
        for fold in self._readers:
            if fold.head is not None and fold.order_known:
                truth = self._truth.head
                assert fold.head.version <= truth.version
                if fold.head.version == truth.version:
                    assert fold.head.digest == truth.digest


TestFoldMachine = FoldMachine.TestCase
TestFoldMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=30
)
