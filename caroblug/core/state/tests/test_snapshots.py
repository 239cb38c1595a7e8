"""Tests of the snapshot schedule."""

import random

from caroblug.core.state import SnapshotSchedule

_RETENTION_MS = 3_600_000
_PERIOD_MS = _RETENTION_MS / 4


def _make_schedule(seed=1):
    return SnapshotSchedule(_RETENTION_MS, random.Random(seed), 0)


def test_snapshot_is_due_well_before_the_last_one_expires():
    """Guards against a log without any bundle for new instances.

    Even the last rank's snapshot is due by half of the retention time. If an
    outage delays it by up to the other half, the last one has not expired.
    """
    for seed in range(50):
        schedule = _make_schedule(seed)
        schedule.on_snapshot(0)
        assert not schedule.is_due(_PERIOD_MS - 1, 0)
        assert schedule.is_due(_RETENTION_MS / 2, 100)


def test_few_readers_append_in_each_period():
    schedules = [_make_schedule(seed) for seed in range(33)]
    for schedule in schedules:
        schedule.on_snapshot(0)
    appends = 0
    for now_ms in range(0, int(2 * _PERIOD_MS), 200):
        due = [
            rank
            for rank, schedule in enumerate(schedules)
            if schedule.is_due(now_ms, rank)
        ]
        if due:
            appends += len(due)
            for schedule in schedules:
                schedule.on_snapshot(now_ms)
    assert 1 <= appends <= 3


def test_expired_snapshot_is_replaced_soon():
    schedule = _make_schedule()
    schedule.on_snapshot(0)
    schedule.on_snapshot_expired(1000)
    assert schedule.is_due(1000 + _PERIOD_MS / 16, 0)


def test_failed_append_is_retried_soon():
    schedule = _make_schedule()
    schedule.on_snapshot(0)
    schedule.on_failure(_PERIOD_MS * 1.1)
    assert not schedule.is_due(_PERIOD_MS * 1.1, 0)
    assert schedule.is_due(_PERIOD_MS * 1.2, 0)
