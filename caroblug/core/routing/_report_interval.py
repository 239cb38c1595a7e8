"""The interval of load reports within a bandwidth budget."""

import math

_MS_PER_S = 1000


def report_interval_ms(
    entries: int, report_bytes: int, min_interval_ms: int, bytes_per_s: int
) -> int:
    """Returns the time between two load reports to the same entry, in ms.

    With few entries the minimum applies. The interval grows with the number
    of entries, so that the reports stay within the budget: 100 bytes to each
    of 66 entries every 200 ms would be 33 KB/s.

    Args:
        entries: Number of connected entries.
        report_bytes: Size of one report.
        min_interval_ms: Shortest interval, used where the budget allows it.
        bytes_per_s: Budget for the reports to all entries.
    """
    budget_interval_ms = math.ceil(
        entries * report_bytes * _MS_PER_S / bytes_per_s
    )
    return max(min_interval_ms, budget_interval_ms)
