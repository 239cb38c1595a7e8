"""How long a load report is believed."""

from caroblug.gen.wire import ttypes as wire

_MISSED_REPORTS = 3


def report_expiry_ms(
    report: wire.LoadReport, now_ms: int, report_age_ms: int
) -> int:
    """Returns when a report stops to count.

    A side process that serves many entries reports to each less often, and
    says so; its reports then live longer than the setting.

    Args:
        report: The report.
        now_ms: When it came.
        report_age_ms: Least time that it counts.
    """
    spaced_ms = _MISSED_REPORTS * (report.interval_ms or 0)
    return now_ms + max(report_age_ms, spaced_ms)
