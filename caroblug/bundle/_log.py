"""The bundles on the log as an operator's tool sees them."""

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
    """The record came into force.

    Attributes:
        version: Its version.
        appends: How often it was appended; 0 if it was there before.
    """

    version: int
    appends: int


@attrs.frozen
class Superseded:
    """Another record won.

    Attributes:
        version: Version of the head.
        digest: Digest of the head.
    """

    version: int
    digest: str


@attrs.frozen
class Unconfirmed:
    """The log gave no answer in time.

    Attributes:
        message: What was seen last.
        maybe_written: Whether the record may be in the log.
    """

    message: str
    maybe_written: bool


class BundleLog:
    """Reads the bundles' stream and publishes on it.

    Args:
        log: The log service.
        operators: Public keys whose signatures count.
        signatures: How many of them a record needs.
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
        """The bundle in force, as of the last read."""
        return self._fold.head

    @property
    def lacks_sections(self) -> bool:
        """Whether the log no longer holds all of its newest bundle."""
        return self._fold.missing is not None

    def table(self, digest: str) -> dict[str, Any] | None:
        """Returns a bundle that was the head while the log was read."""
        return self._tables.get(digest)

    def read(self) -> LogUnavailable | None:
        """Reads on to the log's end."""
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
        """Appends a record and tells what became of it.

        An append whose answer is lost is looked up from the offset read so
        far, by its digest, and appended again only if it is not there: the
        log may have taken it.

        Args:
            record: The signed record.
            wait_ms: How long to try while the log gives no answer.
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
        """Reads on; returns None if the record is to be appended."""
        for attempt in range(_MAX_LOOK_UPS if maybe_written else 1):
            if attempt:
                time.sleep(_RETRY_INTERVAL_S)
            failed = self.read()
            if failed is not None:
                return failed
            verdict = self._find_result(record)
            if verdict is not None:
                return verdict
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
