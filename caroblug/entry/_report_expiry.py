"""Expiry of load reports."""

from caroblug.gen.wire import ttypes as wire

_MISSED_REPORTS = 3


def report_expiry_ms(
    report: wire.LoadReport, now_ms: int, report_age_ms: int
) -> int:
    """Returns the time at which a load report expires.

    A side process that serves many entries reports to each less often and
    states its interval. Its reports remain valid for `_MISSED_REPORTS`
    intervals if that is longer than the setting.

    Args:
        report: The report.
        now_ms: Time at which it was received.
        report_age_ms: Minimum time for which a report is valid.
    """
    spaced_ms = _MISSED_REPORTS * (report.interval_ms or 0)
    return now_ms + max(report_age_ms, spaced_ms)
