"""Tests of the directory of side processes."""

from caroblug.core.routing import report_interval_ms
from caroblug.entry._directory import SideDirectory
from caroblug.gen.wire import ttypes as wire
from caroblug.utils import ManualClock


def _make_report(interval_ms):
    return wire.LoadReport(
        instance="side-a",
        target="dome-7b",
        first_layer=0,
        end_layer=8,
        tokens_per_s=100.0,
        waiting=0,
        running=0,
        leaving=False,
        interval_ms=interval_ms,
    )


def test_report_interval_stays_within_the_budget():
    assert report_interval_ms(3, 110, 200, 2000) == 200
    interval_ms = report_interval_ms(66, 110, 200, 2000)
    assert 66 * 110 * 1000 / interval_ms <= 2000


def test_reports_at_longer_intervals_expire_later():
    """Reports that arrive seldom must stay valid until the next one.

    A side process with many entries reports to each only every few seconds.
    If its engine disappeared between two reports, callers of a large site
    would be refused although every engine is idle.
    """
    clock = ManualClock()
    directory = SideDirectory(clock, report_age_ms=2000)
    directory.on_report(_make_report(3630))
    clock.advance(3630)
    assert len(directory.engines("dome-7b")) == 1
    directory.on_report(_make_report(200))
    clock.advance(2001)
    assert directory.engines("dome-7b") == []
