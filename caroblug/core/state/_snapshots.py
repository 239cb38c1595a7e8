"""The schedule of snapshots, which replace the head's expiring records."""

import random

_PERIODS_PER_RETENTION = 4
_CHECKS_PER_PERIOD = 4
_STEPS_PER_PERIOD = 16
_MAX_RANK = 8


class SnapshotSchedule:
    """Decides when this instance appends a snapshot of the head.

    A snapshot is due every quarter of the retention time. The reader of rank
    0 appends first. The others are due later by rank; they see its snapshot in
    the log and restart their period. Duplicate snapshots are harmless.

    Args:
        retention_ms: Time for which the log retains a record.
        rng: Source of jitter.
        now_ms: Current time.
    """

    def __init__(
        self, retention_ms: int, rng: random.Random, now_ms: int
    ) -> None:
        self._period_ms = retention_ms / _PERIODS_PER_RETENTION
        self._rng = rng
        self._due_ms = now_ms + rng.uniform(0, self._period_ms / 2)
        self._next_check_ms = now_ms + self._period_ms / _CHECKS_PER_PERIOD

    def on_snapshot(self, now_ms: int) -> None:
        """Restarts the period after a new snapshot was read from the log."""
        jitter_ms = self._rng.uniform(0, self._period_ms / _STEPS_PER_PERIOD)
        self._due_ms = now_ms + self._period_ms + jitter_ms

    def on_failure(self, now_ms: int) -> None:
        """Schedules a retry after an append without a response.

        The snapshot may be in the log all the same.
        """
        step_ms = self._period_ms / _STEPS_PER_PERIOD
        self._due_ms = now_ms + self._rng.uniform(step_ms / 2, step_ms)

    def on_snapshot_expired(self, now_ms: int) -> None:
        """Schedules a snapshot soon because the newest one has expired."""
        step_ms = self._period_ms / _STEPS_PER_PERIOD
        self._due_ms = min(self._due_ms, now_ms + self._rng.uniform(0, step_ms))

    def is_due(self, now_ms: int, rank: int) -> bool:
        """Returns whether the reader of this rank should append now."""
        step_ms = self._period_ms / _STEPS_PER_PERIOD
        return now_ms >= self._due_ms + min(rank, _MAX_RANK) * step_ms

    def should_check(self, now_ms: int) -> bool:
        """Returns whether to check that the newest snapshot still exists.

        True once in each quarter of the period; the call starts the next one.
        """
        if now_ms < self._next_check_ms:
            return False
        self._next_check_ms = now_ms + self._period_ms / _CHECKS_PER_PERIOD
        return True
