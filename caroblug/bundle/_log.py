"""Reads bundles from the log and publishes records on it."""

import time
from collections.abc import Collection
from typing import Any

import attrs

from caroblug.core.state import (
    Applied,
    BundleFold,
    BundleRecord,
    Head,
    LogEntry,
    Outcome,
    Rejected,
    encode_record,
    join_sections,
)
from caroblug.node import BUNDLE_STREAM
from caroblug.transport import LogService, LogUnavailable
from caroblug.utils import Clock

_RETRY_INTERVAL_S = 0.3
_MAX_LOOK_UPS = 3


@attrs.frozen
class Accepted:
    """The record became the head.

    Attributes:
        version: Version of the record.
        appends: Number of times it was appended; 0 if the log already held it.
    """

    version: int
    appends: int


@attrs.frozen
class Superseded:
    """Another record became the head instead.

    Attributes:
        version: Version of the head.
        digest: Digest of the head.
    """

    version: int
    digest: str


@attrs.frozen
class Unconfirmed:
    """The log service did not confirm the record within the timeout.

    Attributes:
        message: The last error.
        maybe_written: Whether the record may be in the log.
    """

    message: str
    maybe_written: bool


class BundleLog:
    """Reads the log's bundle stream and appends records to it.

    Args:
        log: The log service.
        operators: Public keys of the operators whose signatures count.
        signatures: Number of valid signatures that a record needs.
        clock: Source of time.
    """

    def __init__(
        self,
        log: LogService,
        operators: Collection[str],
        signatures: int,
        clock: Clock,
    ) -> None:
        self._log = log
        self._fold = BundleFold(operators, signatures)
        self._clock = clock
        self._accepted: dict[str, int] = {}
        self._tables: dict[str, dict[str, Any]] = {}
        self._rejected: dict[str, str] = {}

    @property
    def head(self) -> Head | None:
        """The head as of the last read; None if there is none."""
        return self._fold.head

    @property
    def lacks_sections(self) -> bool:
        """Whether the log lacks sections of its newest bundle."""
        return self._fold.missing is not None

    def table(self, digest: str) -> dict[str, Any] | None:
        """Returns a current or earlier head as a parsed bundle.

        Args:
            digest: Digest of the head.

        Returns:
            The parsed bundle; None if the log that was read has no such head.
        """
        return self._tables.get(digest)

    def read(self) -> LogUnavailable | None:
        """Reads the log from the last read offset to its end.

        Returns:
            None, or the failure if the log service is unavailable.
        """
        while True:
            page = self._log.read(BUNDLE_STREAM, self._fold.next_offset)
            if isinstance(page, LogUnavailable):
                return page
            outcomes = self._fold.on_page(
                [LogEntry(r.offset, r.data) for r in page.records],
                page.next_offset,
                page.end_offset,
            )
            for outcome in outcomes:
                self._record_outcome(outcome)
            if page.next_offset >= page.end_offset:
                return None

    def publish(
        self, record: BundleRecord, wait_ms: int
    ) -> Accepted | Superseded | Rejected | Unconfirmed:
        """Appends a record and returns whether it became the head.

        The log may have accepted an append whose reply was lost. The record is
        therefore looked up by its digest, from the offset read so far, and
        appended again only if it is not found.

        Args:
            record: The signed record.
            wait_ms: Maximum time to retry while the log service is
                unavailable.
        """
        end_ms = self._clock.now_ms() + wait_ms
        appends = 0
        maybe_written = False
        message = ""
        while True:
            found = self._look_up(record, maybe_written)
            if isinstance(found, LogUnavailable):
                message = found.message
            elif found is not None:
                if isinstance(found, Accepted):
                    return attrs.evolve(found, appends=appends)
                return found
            elif appends:
                return Rejected("is in the log but is not the head")
            else:
                outcome = self._log.append(BUNDLE_STREAM, encode_record(record))
                if not isinstance(outcome, LogUnavailable):
                    appends += 1
                    maybe_written = True
                    continue
                message = outcome.message
                maybe_written = maybe_written or outcome.maybe_written
            if self._clock.now_ms() >= end_ms:
                return Unconfirmed(message, maybe_written)
            time.sleep(_RETRY_INTERVAL_S)

    def _look_up(
        self, record: BundleRecord, maybe_written: bool
    ) -> Accepted | Superseded | Rejected | LogUnavailable | None:
        """Reads new records and determines the outcome of the given one.

        Returns:
            The outcome, or the failure to read the log; None if the record
            should be appended.
        """
        for attempt in range(_MAX_LOOK_UPS if maybe_written else 1):
            if attempt:
                time.sleep(_RETRY_INTERVAL_S)
            failed = self.read()
            if failed is not None:
                return failed
            result = self._find_result(record)
            if result is not None:
                return result
        return None

    def _find_result(
        self, record: BundleRecord
    ) -> Accepted | Superseded | Rejected | None:
        version = self._accepted.get(record.digest)
        if version is not None:
            return Accepted(version, 0)
        reason = self._rejected.get(record.digest)
        if reason is not None:
            return Rejected(reason, record.digest)
        head = self.head
        parent = head.digest if head else ""
        if record.parent != parent:
            return Superseded(
                head.version if head else 0, head.digest if head else ""
            )
        return None

    def _record_outcome(self, outcome: Outcome) -> None:
        if isinstance(outcome, Applied):
            head = outcome.head
            self._accepted[head.digest] = head.version
            self._tables[head.digest] = join_sections(head.sections)
        elif isinstance(outcome, Rejected):
            self._rejected[outcome.digest] = outcome.reason
