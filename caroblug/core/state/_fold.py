"""Determines the bundle in force (the head) from the log's records.

Heads are ordered by version; of two records with the same version, the one
with the lower log offset wins. A reader that has seen every record since its
head knows this order and follows the chain of parents. A reader whose history
is truncated collects the remaining records up to the end of the log and
takes the highest. Snapshots carry the offset at which their record was
accepted, so that a record that lost a race ranks below the winner even after
the winner's own record has expired.
"""

from collections.abc import Collection, Iterable, Mapping

import attrs

from caroblug.core.state._head import Head, build_head
from caroblug.core.state._records import (
    BundleRecord,
    decode_record,
    decode_snapshot,
    verified_signers,
)


@attrs.frozen
class LogEntry:
    """A record of the log.

    Attributes:
        offset: Offset of the record.
        data: Bytes of the record.
    """

    offset: int
    data: bytes


@attrs.frozen
class Applied:
    """The outcome for a record that became the head."""

    head: Head


@attrs.frozen
class Lost:
    """The outcome for a record whose parent was not the head.

    Another child of the same parent won, or the parent itself had lost.

    Attributes:
        digest: Digest of the losing record.
        winner_version: Version of the head.
        winner_digest: Digest of the head.
    """

    digest: str
    winner_version: int
    winner_digest: str


@attrs.frozen
class Ignored:
    """The outcome for a record that repeats the head or is older."""


@attrs.frozen
class Deferred:
    """The outcome for a record that is decided at the end of the log.

    The history before the record is truncated, so that its rank is not known
    until the remaining records have been read.
    """


@attrs.frozen
class Missing:
    """The outcome if the highest record lacks sections.

    The log no longer holds the record that contained them.

    Attributes:
        version: Version of the record.
        digest: Digest of the record.
        hashes: Content hashes of the sections to fetch from peers.
    """

    version: int
    digest: str
    hashes: tuple[str, ...]


@attrs.frozen
class Rejected:
    """The outcome for a record that is not valid.

    Attributes:
        reason: Why the record is not valid.
        digest: Digest of the record; empty if the data is no bundle record.
    """

    reason: str
    digest: str = ""


Outcome = Applied | Lost | Ignored | Deferred | Missing | Rejected


@attrs.frozen
class _Candidate:
    """A record that may become the head.

    Attributes:
        record: The record.
        offset: Log offset at which it was accepted.
    """

    record: BundleRecord
    offset: int

    @property
    def order(self) -> tuple[int, int]:
        """Sort key; the highest candidate becomes the head."""
        return (self.record.version, -self.offset)


class BundleFold:
    """Folds bundle records into the head.

    Args:
        operators: Public keys of the operators, in hexadecimal.
        signatures: Number of different operators that must sign a record.
        snapshot_keys: Keys that authenticate snapshots. If there are none,
            any snapshot is accepted, for read-only tools.
    """

    def __init__(
        self,
        operators: Collection[str],
        signatures: int,
        snapshot_keys: Collection[bytes] = (),
    ) -> None:
        self._operators = frozenset(operators)
        self._signatures = signatures
        self._snapshot_keys = tuple(snapshot_keys)
        self._head: Head | None = None
        self._next_offset = 0
        self._order_known = True
        self._has_gap = False
        self._candidates: list[_Candidate] = []
        self._candidate_sections: dict[str, bytes] = {}
        self._missing: Missing | None = None
        self._snapshot_offset: int | None = None

    @property
    def head(self) -> Head | None:
        """The bundle in force; None until a record is applied."""
        return self._head

    @property
    def next_offset(self) -> int:
        """Offset at which to continue reading the log."""
        return self._next_offset

    @property
    def order_known(self) -> bool:
        """Whether the head's place in the order of the log is certain.

        It is certain while every record is read in order. After a gap or a
        head from a peer or a snapshot, it becomes certain with the next record
        that names the head as its parent.
        """
        return self._order_known

    @property
    def missing(self) -> Missing | None:
        """The record that cannot be applied until peers send its sections."""
        return self._missing

    @property
    def snapshot_offset(self) -> int | None:
        """Offset of the newest snapshot that was read from the log."""
        return self._snapshot_offset

    def on_page(
        self, entries: Iterable[LogEntry], next_offset: int, end_offset: int
    ) -> list[Outcome]:
        """Folds the records that one read from `next_offset` returned.

        Args:
            entries: The records, in offset order.
            next_offset: Offset at which to continue reading.
            end_offset: One past the last record of the log.

        Returns:
            One outcome for each record, and those of the records that were
            deferred if the end of the log is reached.
        """
        outcomes = [self.on_record(e.data, e.offset) for e in entries]
        self._advance(next_offset)
        if next_offset >= end_offset:
            outcomes.extend(self._apply_highest())
        return outcomes

    def on_record(self, data: bytes, offset: int) -> Outcome:
        """Folds the next record of the log and returns its outcome."""
        if offset < self._next_offset:
            return Ignored()
        self._advance(offset)
        self._next_offset = offset + 1
        snapshot = decode_snapshot(data, self._snapshot_keys)
        if snapshot is not None:
            self._snapshot_offset = offset
            candidate = _Candidate(snapshot.record, snapshot.offset)
        else:
            record = decode_record(data)
            if record is None:
                return Rejected("not a bundle record")
            candidate = _Candidate(record, offset)
        early_outcome = self._precheck(candidate)
        if early_outcome is not None:
            return early_outcome
        if snapshot is None and not self._has_gap and self._is_child(candidate):
            return self._apply_child(candidate)
        if snapshot is None and self._order_known:
            return self._report_loss(candidate)
        self._candidates.append(candidate)
        self._candidate_sections.update(candidate.record.sections)
        return Deferred()

    def on_peer_head(
        self,
        record: BundleRecord,
        offset: int,
        sections: Mapping[str, bytes],
    ) -> Outcome:
        """Applies the head of an authenticated peer if it is newer.

        Args:
            record: Record of the peer's head; its sections may be missing.
            offset: Log offset at which the peer's head was accepted.
            sections: Section bytes by content hash; the caller has verified
                the hashes.
        """
        candidate = _Candidate(record, offset)
        early_outcome = self._precheck(candidate)
        if early_outcome is not None:
            return early_outcome
        held = self._head_sections() | self._candidate_sections | dict(sections)
        outcome = self._apply(candidate, held)
        if not isinstance(outcome, Applied):
            return outcome
        self._order_known = False
        if offset >= self._next_offset:
            self._next_offset = offset + 1
            self._has_gap = False
        self._drop_outdated()
        return outcome

    def on_sections(self, sections: Mapping[str, bytes]) -> list[Outcome]:
        """Adds missing sections and returns the outcomes of their records.

        Args:
            sections: Section bytes by content hash; the caller has verified
                the hashes.
        """
        if self._missing is None:
            return []
        self._candidate_sections.update(sections)
        return self._apply_highest()

    def discard_missing(self) -> list[Outcome]:
        """Drops the record whose sections no peer has.

        Returns:
            The outcomes of the next lower candidates.
        """
        missing = self._missing
        if missing is None:
            return []
        self._candidates = [
            c for c in self._candidates if c.record.digest != missing.digest
        ]
        return self._apply_highest()

    def _advance(self, offset: int) -> None:
        """Advances to an offset and notes whether records expired unread.

        After such a gap, a child of the head may have lost to a record that
        has expired. It names the old head as its parent, so it must not be
        applied before the end of the log is reached.
        """
        if offset > self._next_offset:
            self._has_gap = True
            self._order_known = False
            self._next_offset = offset

    def _precheck(self, candidate: _Candidate) -> Outcome | None:
        """Returns the outcome if a record cannot become the head, else None."""
        head = self._head
        record = candidate.record
        if head is not None:
            if record.digest == head.digest or record.version < head.version:
                return Ignored()
            ranks_below = self._order_known or candidate.offset >= head.offset
            if record.version == head.version and ranks_below:
                return Lost(record.digest, head.version, head.digest)
        signers = verified_signers(record, self._operators)
        if len(signers) < self._signatures:
            return Rejected(
                f"{len(signers)} valid signatures, {self._signatures} needed",
                record.digest,
            )
        return None

    def _is_child(self, candidate: _Candidate) -> bool:
        record, head = candidate.record, self._head
        if head is None:
            return (
                self._order_known and not record.parent and record.version == 1
            )
        return record.parent == head.digest and (
            record.version == head.version + 1
        )

    def _report_loss(self, candidate: _Candidate) -> Outcome:
        head = self._head
        if head is None:
            return Rejected(
                "the log begins with a record that is not first",
                candidate.record.digest,
            )
        return Lost(candidate.record.digest, head.version, head.digest)

    def _apply_child(self, candidate: _Candidate) -> Outcome:
        """Applies the first child of the head in the log.

        A child confirms its parent, because the operators signed it on top of
        the head that they had read. From here on the order of the log is
        known.
        """
        record = candidate.record
        outcome = self._apply(
            candidate, self._head_sections() | record.sections
        )
        if isinstance(outcome, Missing):
            if self._order_known:
                return Rejected("sections are missing", record.digest)
            self._candidates.append(candidate)
            self._candidate_sections.update(record.sections)
            return Deferred()
        if isinstance(outcome, Applied):
            self._order_known = True
            self._drop_outdated()
        return outcome

    def _apply_highest(self) -> list[Outcome]:
        """Applies the highest candidate at the end of the log."""
        outcomes: list[Outcome] = []
        self._has_gap = False
        self._missing = None
        for candidate in sorted(
            self._candidates, key=lambda c: c.order, reverse=True
        ):
            if self._precheck(candidate) is not None:
                continue
            outcome = self._apply(
                candidate, self._head_sections() | self._candidate_sections
            )
            outcomes.append(outcome)
            if isinstance(outcome, Missing):
                self._missing = outcome
                return outcomes
            if isinstance(outcome, Applied):
                self._order_known = False
                break
        self._candidates = []
        self._candidate_sections = {}
        return outcomes

    def _apply(
        self, candidate: _Candidate, held: Mapping[str, bytes]
    ) -> Applied | Missing | Rejected:
        record = candidate.record
        missing_hashes = {k for k in record.manifest.values() if k not in held}
        if missing_hashes:
            return Missing(
                record.version, record.digest, tuple(sorted(missing_hashes))
            )
        sections = {name: held[key] for name, key in record.manifest.items()}
        head = build_head(record, candidate.offset, sections, self._head)
        if isinstance(head, str):
            return Rejected(head, record.digest)
        if self._head is not None and head.version < self._head.version:
            raise AssertionError("bundle version would decrease")
        self._head = head
        return Applied(head)

    def _drop_outdated(self) -> None:
        """Drops the candidates that are not newer than the new head."""
        version = self._head.version if self._head else 0
        self._candidates = [
            c for c in self._candidates if c.record.version > version
        ]
        if self._missing is not None and self._missing.version <= version:
            self._missing = None
        if not self._candidates:
            self._candidate_sections = {}

    def _head_sections(self) -> dict[str, bytes]:
        return self._head.bodies() if self._head is not None else {}
