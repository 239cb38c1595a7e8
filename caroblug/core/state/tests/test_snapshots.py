"""Tests of when the head is appended again."""

import random

from caroblug.core.state import SnapshotSchedule

_RETENTION_MS = 3_600_000
_PERIOD_MS = _RETENTION_MS / 4


def _schedule(seed=1):
    return SnapshotSchedule(_RETENTION_MS, random.Random(seed), 0)


def test_snapshot_is_due_well_before_the_last_one_expires():
    """All instances are replaced, and none finds a bundle in the log.

    However late the last rank is, and though half of the retention passes
    in an outage, the next snapshot comes before the last one expires.
    """
    for seed in range(50):
        schedule = _schedule(seed)
        schedule.on_snapshot(0)
        assert not schedule.is_due(_PERIOD_MS - 1, 0)
        assert schedule.is_due(_RETENTION_MS / 2, 100)


def test_one_reader_appends_and_the_others_see_it():
    schedules = [_schedule(seed) for seed in range(33)]
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


def test_snapshot_that_is_gone_is_replaced_at_once():
    schedule = _schedule()
    schedule.on_snapshot(0)
    schedule.on_snapshot_expired(1000)
    assert schedule.is_due(1000 + _PERIOD_MS / 16, 0)


def test_failed_append_is_tried_again_soon():
    schedule = _schedule()
    schedule.on_snapshot(0)
    schedule.on_failure(_PERIOD_MS * 1.1)
    assert not schedule.is_due(_PERIOD_MS * 1.1, 0)
    assert schedule.is_due(_PERIOD_MS * 1.2, 0)
