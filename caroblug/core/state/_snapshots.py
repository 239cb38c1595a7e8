"""When to append the head again before its records expire."""

import random

_PERIODS = 4
_CHECKS = 4
_STAGGER = 16
_RANKS = 8


class SnapshotSchedule:
    """Appends are due every quarter of the retention, by rank with jitter.

    The reader of rank 0 appends first; the others see its snapshot in the
    log and start anew. Doubles are harmless.

    Args:
        retention_ms: How long the log keeps a record.
        rng: Source of jitter.
        now_ms: Current time.
    """

    def __init__(
        self, retention_ms: int, rng: random.Random, now_ms: int
    ) -> None:
        self._period_ms = retention_ms / _PERIODS
        self._rng = rng
        self._due_ms = now_ms + rng.uniform(0, self._period_ms / 2)
        self._check_ms = now_ms + self._period_ms / _CHECKS

    def on_snapshot(self, now_ms: int) -> None:
        """Learns that a snapshot has just come into the log."""
        jitter_ms = self._rng.uniform(0, self._period_ms / _STAGGER)
        self._due_ms = now_ms + self._period_ms + jitter_ms

    def on_failure(self, now_ms: int) -> None:
        """Learns that an append got no answer; it may be in the log."""
        step_ms = self._period_ms / _STAGGER
        self._due_ms = now_ms + self._rng.uniform(step_ms / 2, step_ms)

    def on_snapshot_expired(self, now_ms: int) -> None:
        """Learns that the newest snapshot is no longer in the log."""
        step_ms = self._period_ms / _STAGGER
        self._due_ms = min(self._due_ms, now_ms + self._rng.uniform(0, step_ms))

    def is_due(self, now_ms: int, rank: int) -> bool:
        """Tells whether the reader of this rank should append now."""
        step_ms = self._period_ms / _STAGGER
        return now_ms >= self._due_ms + min(rank, _RANKS) * step_ms

    def should_check(self, now_ms: int) -> bool:
        """Tells, once in a while, to look if the snapshot is still there."""
        if now_ms < self._check_ms:
            return False
        self._check_ms = now_ms + self._period_ms / _CHECKS
        return True
