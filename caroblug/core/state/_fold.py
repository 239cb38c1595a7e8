"""The head of the bundles: a fold of the log in offset order.

Every instance folds the same records in the same order, so that all agree on
the head without talking to each other.
"""

from collections.abc import Collection
from typing import Any

import attrs

from caroblug.core.state._bundle import Bundle
from caroblug.core.state._records import (
    BundleRecord,
    decode_record,
    verified_signers,
)
from caroblug.core.state._sections import join_sections, section_hash
from caroblug.utils import SettingsRejected, structure_table


@attrs.frozen
class Head:
    """The bundle in force.

    Attributes:
        version: Its version, from 1.
        digest: Its identity.
        bundle: What operators decided.
        sections: Its section bytes, by name.
    """

    version: int
    digest: str
    bundle: Bundle
    sections: dict[str, bytes]


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
class Rejected:
    """The record is not valid.

    Attributes:
        reason: Why.
    """

    reason: str


class BundleFold:
    """Folds bundle records into a head.

    Args:
        operators: Public keys whose signatures count, in hexadecimal.
        signatures: How many different ones a record needs.
    """

    def __init__(self, operators: Collection[str], signatures: int) -> None:
        self._operators = frozenset(operators)
        self._signatures = signatures
        self._head: Head | None = None

    @property
    def head(self) -> Head | None:
        """The bundle in force; None before the first record."""
        return self._head

    def on_record(self, data: bytes) -> Applied | Lost | Ignored | Rejected:
        """Folds the next record of the log."""
        record = decode_record(data)
        if record is None:
            return Rejected("not a bundle record")
        head = self._head
        if head is not None and record.version < head.version:
            return Ignored()
        if head is not None and record.digest == head.digest:
            return Ignored()
        signers = verified_signers(record, self._operators)
        if len(signers) < self._signatures:
            return Rejected(
                f"{len(signers)} valid signatures, {self._signatures} needed"
            )
        if head is not None and record.parent != head.digest:
            return Lost(record.digest, head.version, head.digest)
        return self._apply(record)

    def _apply(self, record: BundleRecord) -> Applied | Rejected:
        sections = self._collect(record)
        if sections is None:
            return Rejected("sections are missing")
        table: dict[str, Any] = join_sections(sections)
        bundle = structure_table(table, Bundle, "bundle")
        if isinstance(bundle, SettingsRejected):
            return Rejected(str(bundle.problems[0]))
        previous = self._head.version if self._head else 0
        if record.version <= previous:
            raise AssertionError("bundle version would fall")
        self._head = Head(record.version, record.digest, bundle, sections)
        return Applied(self._head)

    def _collect(self, record: BundleRecord) -> dict[str, bytes] | None:
        """Returns the record's sections, unchanged ones from the head."""
        held = dict(record.sections)
        if self._head is not None:
            for body in self._head.sections.values():
                held.setdefault(section_hash(body), body)
        if any(key not in held for key in record.manifest.values()):
            return None
        return {name: held[key] for name, key in record.manifest.items()}
