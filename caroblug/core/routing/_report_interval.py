"""How often a side process may report its load, within a byte budget."""

import math

_MS_PER_S = 1000


def report_interval_ms(
    entries: int, report_bytes: int, min_interval_ms: int, bytes_per_s: int
) -> int:
    """Returns the time between two reports to the same entry.

    At a small site the least time holds. Where many entries are connected
    the time grows, so that reports never cost more than the budget: 66
    entries at 100 bytes every 200 ms would be 33 KB/s.

    Args:
        entries: Entries connected.
        report_bytes: Size of one report.
        min_interval_ms: Time between reports where the budget allows it.
        bytes_per_s: The budget.
    """
    wanted_ms = math.ceil(entries * report_bytes * _MS_PER_S / bytes_per_s)
    return max(min_interval_ms, wanted_ms)
