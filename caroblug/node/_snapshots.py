"""Appends snapshots of the head to the log before its records expire."""

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

_TICK_INTERVAL_S = 0.2


class SnapshotWriter:
    """Keeps a complete copy of the head in the log.

    Args:
        log: The log service.
        bundles: Tracks the head.
        members: The current members of the fleet.
        clock: Source of time.
        metrics: Counts appended snapshots.
        key: Key that authenticates a snapshot.
        retention_ms: Time for which the log retains a record.
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
        self._newest_offset: int | None = None
        self._caught_up = False

    def run(self) -> None:
        """Checks and appends snapshots until the process ends."""
        while True:
            gevent.sleep(_TICK_INTERVAL_S)
            self._track_snapshot()
            self._caught_up = self._bundles.at_log_end
            head = self._bundles.head
            if head is None or not self._bundles.is_reader:
                continue
            now_ms = self._clock.now_ms()
            if self._schedule.should_check(now_ms):
                self._verify_snapshot()
            now_ms = self._clock.now_ms()
            may_be_due = self._schedule.is_due(now_ms, 0)
            if may_be_due and self._schedule.is_due(
                now_ms, self._rank_among_readers(head)
            ):
                self._append_snapshot(head)

    def _track_snapshot(self) -> None:
        """Restarts the schedule when a new snapshot appears in the log.

        A snapshot from before this instance reached the end of the log does
        not restart it, because its age, and so its expiry, is unknown.
        """
        offset = self._bundles.fold.snapshot_offset
        if offset == self._newest_offset:
            return
        self._newest_offset = offset
        if self._caught_up:
            self._schedule.on_snapshot(self._clock.now_ms())

    def _verify_snapshot(self) -> None:
        """Checks that the newest snapshot is still in the log.

        It may be missing if the log dropped records too early or after an
        outage longer than its retention. A new one is then due after a short
        jitter.
        """
        if self._newest_offset is None:
            return
        found = self._log.read(BUNDLE_STREAM, self._newest_offset, limit=1)
        if isinstance(found, LogUnavailable):
            return
        if not found.records or found.records[0].offset != self._newest_offset:
            log_state("bundle.snapshot_gone", offset=self._newest_offset)
            self._schedule.on_snapshot_expired(self._clock.now_ms())

    def _append_snapshot(self, head: Head) -> None:
        record = attrs.evolve(head.record, sections=head.bodies())
        data = encode_snapshot(Snapshot(record, head.offset), self._key)
        outcome = self._log.append(BUNDLE_STREAM, data)
        if isinstance(outcome, LogUnavailable):
            self._metrics.count("bundle_snapshots", outcome="unavailable")
            self._schedule.on_failure(self._clock.now_ms())
            return
        self._metrics.count("bundle_snapshots", outcome="appended")
        self._schedule.on_snapshot(self._clock.now_ms())

    def _rank_among_readers(self, head: Head) -> int:
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
