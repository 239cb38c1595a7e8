"""The head of the bundles: a fold of the log in offset order.

Heads are ordered by version, then by the earlier offset at which the log
took them. A reader that has seen every record since its head knows this
order first-hand and follows the chain of parents. A reader whose history is
truncated collects what is left up to the log's end and takes the highest;
snapshots carry the offset of acceptance, so that a record that lost its race
stays behind the winner also where the winner's own record has expired.
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
        offset: Its offset.
        data: Its bytes.
    """

    offset: int
    data: bytes


@attrs.frozen
class Applied:
    """The record became the head."""

    head: Head


@attrs.frozen
class Lost:
    """The record's parent was not the head: another one won.

    Attributes:
        digest: The losing record.
        winner_version: Version of the head.
        winner_digest: Digest of the head.
    """

    digest: str
    winner_version: int
    winner_digest: str


@attrs.frozen
class Ignored:
    """The record is the head again, or older."""


@attrs.frozen
class Deferred:
    """History is truncated: the record is judged at the log's end."""


@attrs.frozen
class Missing:
    """The best record lacks sections that the log no longer holds.

    Attributes:
        version: The record's version.
        digest: Its digest.
        hashes: Content hashes of the sections to fetch from peers.
    """

    version: int
    digest: str
    hashes: tuple[str, ...]


@attrs.frozen
class Rejected:
    """The record is not valid.

    Attributes:
        reason: Why.
        digest: Digest of the record; empty if it is none.
    """

    reason: str
    digest: str = ""


Outcome = Applied | Lost | Ignored | Deferred | Missing | Rejected


@attrs.frozen
class _Candidate:
    record: BundleRecord
    offset: int

    @property
    def order(self) -> tuple[int, int]:
        return (self.record.version, -self.offset)


class BundleFold:
    """Folds bundle records into a head.

    Args:
        operators: Public keys whose signatures count, in hexadecimal.
        signatures: How many different ones a record needs.
        snapshot_keys: Keys that make snapshots; none accepts any snapshot,
            for tools that only look.
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
        self._next = 0
        self._order_known = True
        self._gap = False
        self._candidates: list[_Candidate] = []
        self._pool: dict[str, bytes] = {}
        self._missing: Missing | None = None
        self._snapshot_offset: int | None = None

    @property
    def head(self) -> Head | None:
        """The bundle in force; None before the first record."""
        return self._head

    @property
    def next_offset(self) -> int:
        """Where to read on in the log."""
        return self._next

    @property
    def order_known(self) -> bool:
        """Whether every record that led to the head was seen in order."""
        return self._order_known

    @property
    def missing(self) -> Missing | None:
        """What to fetch from peers before the best record can be applied."""
        return self._missing

    @property
    def snapshot_offset(self) -> int | None:
        """Offset of the newest snapshot seen in the log."""
        return self._snapshot_offset

    def on_page(
        self, entries: Iterable[LogEntry], next_offset: int, end_offset: int
    ) -> list[Outcome]:
        """Folds what a read from `next_offset` gave.

        Args:
            entries: The records, in offset order.
            next_offset: Where to read on.
            end_offset: One past the log's last record.
        """
        outcomes = [self.on_record(e.data, e.offset) for e in entries]
        self._pass(next_offset)
        if next_offset >= end_offset:
            outcomes.extend(self._settle())
        return outcomes

    def on_record(self, data: bytes, offset: int) -> Outcome:
        """Folds the next record of the log."""
        if offset < self._next:
            return Ignored()
        self._pass(offset)
        self._next = offset + 1
        snapshot = decode_snapshot(data, self._snapshot_keys)
        if snapshot is not None:
            self._snapshot_offset = offset
            candidate = _Candidate(snapshot.record, snapshot.offset)
        else:
            record = decode_record(data)
            if record is None:
                return Rejected("not a bundle record")
            candidate = _Candidate(record, offset)
        refused = self._judge(candidate)
        if refused is not None:
            return refused
        if snapshot is None and not self._gap and self._is_child(candidate):
            return self._follow(candidate)
        if snapshot is None and self._order_known:
            return self._lose(candidate)
        self._candidates.append(candidate)
        self._pool.update(candidate.record.sections)
        return Deferred()

    def on_peer_head(
        self,
        record: BundleRecord,
        offset: int,
        sections: Mapping[str, bytes],
    ) -> Outcome:
        """Takes the head of a peer that has proved itself.

        Args:
            record: The peer's record; its own sections are not needed.
            offset: Where the peer's head was accepted.
            sections: Section bytes by content hash, checked by the caller.
        """
        candidate = _Candidate(record, offset)
        refused = self._judge(candidate)
        if refused is not None:
            return refused
        held = self._held() | self._pool | dict(sections)
        outcome = self._try(candidate, held)
        if not isinstance(outcome, Applied):
            return outcome
        self._order_known = False
        if offset >= self._next:
            self._next = offset + 1
            self._gap = False
        self._drop_older()
        return outcome

    def on_sections(self, sections: Mapping[str, bytes]) -> list[Outcome]:
        """Takes sections that were missing, checked by the caller."""
        if self._missing is None:
            return []
        self._pool.update(sections)
        return self._settle()

    def discard_missing(self) -> list[Outcome]:
        """Gives up the record whose sections no peer has."""
        missing = self._missing
        if missing is None:
            return []
        self._candidates = [
            c for c in self._candidates if c.record.digest != missing.digest
        ]
        return self._settle()

    def _pass(self, offset: int) -> None:
        """Moves on to an offset, noting records that expired unread.

        Guards against a reader that was away while the log dropped records:
        a loser that names the reader's old head as its parent would look
        like the head's child, and the expired winner would be passed over.
        """
        if offset > self._next:
            self._gap = True
            self._order_known = False
            self._next = offset

    def _judge(self, candidate: _Candidate) -> Outcome | None:
        """Returns why a record cannot become the head, or None."""
        head = self._head
        record = candidate.record
        if head is not None:
            if record.digest == head.digest or record.version < head.version:
                return Ignored()
            later = self._order_known or candidate.offset >= head.offset
            if record.version == head.version and later:
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

    def _lose(self, candidate: _Candidate) -> Outcome:
        head = self._head
        if head is None:
            return Rejected(
                "the log begins with a record that is not first",
                candidate.record.digest,
            )
        return Lost(candidate.record.digest, head.version, head.digest)

    def _follow(self, candidate: _Candidate) -> Outcome:
        """Applies the head's first child in the log.

        A child proves its parent: the operators signed on what they read as
        the head. From here on the order of the log is known first-hand.
        """
        record = candidate.record
        outcome = self._try(candidate, self._held() | record.sections)
        if isinstance(outcome, Missing):
            if self._order_known:
                return Rejected("sections are missing", record.digest)
            self._candidates.append(candidate)
            self._pool.update(record.sections)
            return Deferred()
        if isinstance(outcome, Applied):
            self._order_known = True
            self._drop_older()
        return outcome

    def _settle(self) -> list[Outcome]:
        """Applies the highest candidate, having read to the log's end."""
        outcomes: list[Outcome] = []
        self._gap = False
        self._missing = None
        for candidate in sorted(
            self._candidates, key=lambda c: c.order, reverse=True
        ):
            if self._judge(candidate) is not None:
                continue
            outcome = self._try(candidate, self._held() | self._pool)
            outcomes.append(outcome)
            if isinstance(outcome, Missing):
                self._missing = outcome
                return outcomes
            if isinstance(outcome, Applied):
                self._order_known = False
                break
        self._candidates = []
        self._pool = {}
        return outcomes

    def _try(
        self, candidate: _Candidate, held: Mapping[str, bytes]
    ) -> Applied | Missing | Rejected:
        record = candidate.record
        lacking = {k for k in record.manifest.values() if k not in held}
        if lacking:
            return Missing(
                record.version, record.digest, tuple(sorted(lacking))
            )
        sections = {name: held[key] for name, key in record.manifest.items()}
        head = build_head(record, candidate.offset, sections, self._head)
        if isinstance(head, str):
            return Rejected(head, record.digest)
        if self._head is not None and head.version < self._head.version:
            raise AssertionError("bundle version would fall")
        self._head = head
        return Applied(head)

    def _drop_older(self) -> None:
        """Drops candidates that the new head has overtaken."""
        version = self._head.version if self._head else 0
        self._candidates = [
            c for c in self._candidates if c.record.version > version
        ]
        if self._missing is not None and self._missing.version <= version:
            self._missing = None
        if not self._candidates:
            self._pool = {}

    def _held(self) -> dict[str, bytes]:
        return self._head.bodies() if self._head is not None else {}
