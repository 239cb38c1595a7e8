"""Appends the head again before its records expire."""

import random

import attrs
import gevent

from caroblug.core.state import (
    Head,
    Snapshot,
    SnapshotSchedule,
    choose_log_readers,
    encode_snapshot,
    rank_members,
)
from caroblug.node._bundles import BUNDLE_STREAM, BundleFollower
from caroblug.node._members import Members
from caroblug.transport import LogService, LogUnavailable
from caroblug.utils import Clock, Metrics, log_state

_TICK_S = 0.2


class SnapshotKeeper:
    """Keeps a whole copy of the head in the log.

    Args:
        log: The log service.
        bundles: Where the head is known.
        members: The view of the members.
        clock: Source of time.
        metrics: Where appends are counted.
        key: Key that proves a snapshot.
        retention_ms: How long the log keeps a record.
        rng: Source of jitter.
    """

    def __init__(
        self,
        log: LogService,
        bundles: BundleFollower,
        members: Members,
        clock: Clock,
        metrics: Metrics,
        key: bytes,
        retention_ms: int,
        rng: random.Random,
    ) -> None:
        self._log = log
        self._bundles = bundles
        self._members = members
        self._clock = clock
        self._metrics = metrics
        self._key = key
        self._schedule = SnapshotSchedule(retention_ms, rng, clock.now_ms())
        self._seen: int | None = None
        self._caught_up = False

    def run(self) -> None:
        """Keeps it for ever."""
        while True:
            gevent.sleep(_TICK_S)
            self._note_snapshot()
            self._caught_up = self._bundles.at_log_end
            head = self._bundles.head
            if head is None or not self._bundles.is_reader:
                continue
            now_ms = self._clock.now_ms()
            if self._schedule.should_check(now_ms):
                self._check()
            now_ms = self._clock.now_ms()
            may_be_due = self._schedule.is_due(now_ms, 0)
            if may_be_due and self._schedule.is_due(now_ms, self._rank(head)):
                self._append(head)

    def _note_snapshot(self) -> None:
        """Starts the schedule anew for a snapshot that has just come.

        One that was in the log before this instance says nothing about when
        it expires.
        """
        offset = self._bundles.fold.snapshot_offset
        if offset == self._seen:
            return
        self._seen = offset
        if self._caught_up:
            self._schedule.on_snapshot(self._clock.now_ms())

    def _check(self) -> None:
        """Looks whether the newest snapshot is still in the log.

        Guards against a log that has dropped more than it should, or an
        outage longer than its retention: the snapshot is then due at once.
        """
        if self._seen is None:
            return
        found = self._log.read(BUNDLE_STREAM, self._seen, limit=1)
        if isinstance(found, LogUnavailable):
            return
        if not found.records or found.records[0].offset != self._seen:
            log_state("bundle.snapshot_gone", offset=self._seen)
            self._schedule.on_snapshot_expired(self._clock.now_ms())

    def _append(self, head: Head) -> None:
        record = attrs.evolve(head.record, sections=head.bodies())
        data = encode_snapshot(Snapshot(record, head.offset), self._key)
        outcome = self._log.append(BUNDLE_STREAM, data)
        if isinstance(outcome, LogUnavailable):
            self._metrics.count("bundle_snapshots", outcome="unavailable")
            self._schedule.on_failure(self._clock.now_ms())
            return
        self._metrics.count("bundle_snapshots", outcome="appended")
        self._schedule.on_snapshot(self._clock.now_ms())

    def _rank(self, head: Head) -> int:
        view = self._members.view
        readers = [
            member
            for data_centre in view.data_centres()
            for member in choose_log_readers(view, data_centre)
        ]
        ranked = rank_members(f"snapshot {head.digest}", readers)
        names = [m.instance for m in ranked]
        own = self._members.own.instance
        return names.index(own) if own in names else len(names)
