"""Follows the bundles on the log."""

import random
from collections.abc import Callable

import gevent

from caroblug.core.state import Applied, BundleFold, Head, Ignored, Lost
from caroblug.transport import LogService, LogUnavailable
from caroblug.utils import Metrics, log_state

BUNDLE_STREAM = "caroblug.bundles"

_WAIT_MS = 1000
_RETRY_S = 0.2
_RETRY_JITTER_S = 0.2


class BundleFollower:
    """Reads the bundles' stream and folds it.

    Args:
        log: The log service.
        fold: The fold of the records.
        metrics: Where records are counted.
        on_head: Called with each new head.
    """

    def __init__(
        self,
        log: LogService,
        fold: BundleFold,
        metrics: Metrics,
        on_head: Callable[[Head], None],
    ) -> None:
        self._log = log
        self._fold = fold
        self._metrics = metrics
        self._on_head = on_head
        self._offset = 0
        self._caught_up = False

    @property
    def head(self) -> Head | None:
        """The bundle in force."""
        return self._fold.head

    @property
    def ready(self) -> bool:
        """Whether the log's end was reached once and a bundle is known."""
        return self._caught_up and self._fold.head is not None

    def run(self) -> None:
        """Follows the stream for ever."""
        while True:
            records = self._log.read(
                BUNDLE_STREAM, self._offset, wait_ms=_WAIT_MS
            )
            if isinstance(records, LogUnavailable):
                self._metrics.count("log_failures", operation="read")
                gevent.sleep(_RETRY_S + random.random() * _RETRY_JITTER_S)
                continue
            for record in records.records:
                self._fold_record(record.data)
            self._offset = records.next_offset
            if records.next_offset >= records.end_offset:
                self._caught_up = True

    def _fold_record(self, data: bytes) -> None:
        outcome = self._fold.on_record(data)
        kind = type(outcome).__name__.lower()
        self._metrics.count("bundle_records", outcome=kind)
        if isinstance(outcome, Ignored):
            return
        if isinstance(outcome, Applied):
            self._metrics.gauge("bundle_version", outcome.head.version)
            log_state(
                "bundle.applied",
                version=outcome.head.version,
                digest=outcome.head.digest,
            )
            self._on_head(outcome.head)
        elif isinstance(outcome, Lost):
            log_state("bundle.lost", digest=outcome.digest)
        else:
            log_state("bundle.rejected", reason=outcome.reason)
