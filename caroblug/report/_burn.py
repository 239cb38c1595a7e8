"""Computes error-budget burn rates over several windows.

The burn rate is the share of bad requests divided by the share that the
objective allows. At a rate of 1 the budget lasts exactly for the objective's
period.

References:
    Beyer et al., "The Site Reliability Workbook", 2018, chapter 5: alerts on
    a long and a short window together. The rates below are those of its
    table for a budget of 30 days.
"""

from collections.abc import Mapping, Sequence

import attrs

from caroblug.core.state import Objective
from caroblug.report._pages import Counts, Page, Series
from caroblug.report._snapshots import Snapshot, diff_pages
from caroblug.utils import CALLER_ERRORS

_US_PER_MS = 1000
_BUDGET_PERIOD_S = 30 * 24 * 3600
_COUNTER_BY_MEASURE = {
    "first_token": "requests",
    "between_tokens": "",
    "request": "requests",
    "call": "calls",
}
_ANSWERED = "answered"
_UNCOUNTED_OUTCOMES = {
    "cancelled",
    *(refusal.value for refusal in CALLER_ERRORS),
}


@attrs.frozen
class Window:
    """A long and a short window that are evaluated together.

    Attributes:
        name: `fast`, `slow` or `trend`.
        long_s: Length of the long window.
        short_s: Length of the short window, which lets the alert end soon
            after the burn has stopped.
        rate: Burn rate that both windows must reach for an alert.
    """

    name: str
    long_s: float
    short_s: float
    rate: float


WINDOWS = (
    Window("fast", 3600, 300, 14.4),
    Window("slow", 6 * 3600, 1800, 6.0),
    Window("trend", 3 * 24 * 3600, 6 * 3600, 1.0),
)


@attrs.frozen
class Tally:
    """Counts of all and of bad requests of an objective in a window."""

    total: float
    bad: float

    def burn(self, share: float) -> float:
        """Returns the burn rate.

        Args:
            share: Share of good requests that the objective demands.
        """
        if not self.total:
            return 0.0
        return (self.bad / self.total) / (1 - share)


@attrs.frozen
class WindowBurn:
    """Burn rates in one pair of windows.

    Attributes:
        window: The pair of windows.
        covered_s: Part of the long window that the snapshots cover.
        long: Burn rate over the long window.
        short: Burn rate over the short window.
    """

    window: Window
    covered_s: float
    long: float
    short: float

    @property
    def burning(self) -> bool:
        """Whether both windows have reached the rate."""
        return min(self.long, self.short) >= self.window.rate


@attrs.frozen
class Burn:
    """Error-budget burn of one objective for one group of client accounts.

    Attributes:
        objective: The objective.
        group: Group of client accounts.
        windows: Burn rates by pair of windows.
        total: Number of requests over all snapshots.
        bad: Number of requests that were too slow or failed.
        budget_left: Remaining share of the period's budget at the measured
            request volume; negative if the budget is overspent.
    """

    objective: Objective
    group: str
    windows: tuple[WindowBurn, ...]
    total: float
    bad: float
    budget_left: float


def tally(page: Page, objective: Objective, group: str) -> Tally:
    """Counts the requests of an objective on a page of differences.

    A failed request is bad regardless of its latency. Requests that the caller
    cancelled or that were refused because of the caller's error don't count.
    """
    series = Series(objective.measure, objective.service, group)
    counts = page.latencies.get(series, {})
    slow = _count_slow(counts, objective.within_ms)
    counter = _COUNTER_BY_MEASURE[objective.measure]
    if not counter:
        return Tally(float(sum(counts.values())), slow)
    outcomes = _count_outcomes(page, objective, group, counter)
    total = sum(outcomes.values())
    failed = total - outcomes.get(_ANSWERED, 0.0)
    return Tally(total, min(total, slow + failed))


def _count_slow(counts: Counts, within_ms: int) -> float:
    """Returns the count above a bound; a bucket that contains it is slow."""
    bound_us = within_ms * _US_PER_MS
    return float(sum(n for us, n in counts.items() if us > bound_us))


def _count_outcomes(
    page: Page, objective: Objective, group: str, counter: str
) -> dict[str, float]:
    return {
        series.outcome: value
        for series, value in page.counters.items()
        if series.measure == counter
        and series.service == objective.service
        and series.group == group
        and series.outcome not in _UNCOUNTED_OUTCOMES
    }


def compute_burn(
    snapshots: Sequence[Snapshot], objectives: Sequence[Objective]
) -> list[Burn]:
    """Returns the burn of every objective and group.

    Args:
        snapshots: At least one snapshot, oldest first. Counts of the first of
            several are the baseline; a single one is taken as a whole.
        objectives: Objectives of the bundle.
    """
    parsed = [snapshot.pages() for snapshot in snapshots]
    times = [snapshot.time_s for snapshot in snapshots]
    since_start = diff_pages({}, parsed[-1]) if len(parsed) == 1 else None
    changes = _WindowDifferences(parsed, times, since_start)
    burns = []
    for objective in objectives:
        for group in _find_groups(parsed[-1], objective):
            burns.append(_compute_objective_burn(changes, objective, group))
    return burns


class _WindowDifferences:
    """Computes and caches differences over windows up to the last snapshot.

    Args:
        parsed: Pages by instance for each snapshot, oldest first.
        times: Time of each snapshot in seconds.
        since_start: All counts if there is only one snapshot, else None.
    """

    def __init__(
        self,
        parsed: Sequence[Mapping[str, Page]],
        times: Sequence[float],
        since_start: Page | None,
    ) -> None:
        self._parsed = parsed
        self._times = times
        self._since_start = since_start
        self._cache: dict[int, Page] = {}

    def over(self, length_s: float) -> tuple[Page, float]:
        """Returns the differences over a window and the time they cover."""
        if self._since_start is not None:
            return self._since_start, 0.0
        end_s = self._times[-1]
        index = 0
        for place, time_s in enumerate(self._times[:-1]):
            if time_s <= end_s - length_s:
                index = place
        if index not in self._cache:
            self._cache[index] = self._sum(index)
        return self._cache[index], min(length_s, end_s - self._times[index])

    def _sum(self, index: int) -> Page:
        """Sums the differences between adjacent snapshots.

        Restarts of an instance are detected between any two of them.
        """
        total = Page({}, {}, {})
        for place in range(index, len(self._parsed) - 1):
            step = diff_pages(self._parsed[place], self._parsed[place + 1])
            total = _merge(total, step)
        return total


def _merge(left: Page, right: Page) -> Page:
    return diff_pages({}, {"left": left, "right": right})


def _find_groups(pages: Mapping[str, Page], objective: Objective) -> list[str]:
    measures = {objective.measure, _COUNTER_BY_MEASURE[objective.measure]}
    return sorted(
        {
            series.group
            for page in pages.values()
            for series in (*page.latencies, *page.counters)
            if series.measure in measures
            and series.service == objective.service
        }
    )


def _compute_objective_burn(
    changes: _WindowDifferences, objective: Objective, group: str
) -> Burn:
    windows = []
    for window in WINDOWS:
        long_page, covered_s = changes.over(window.long_s)
        short_page, _ = changes.over(window.short_s)
        windows.append(
            WindowBurn(
                window,
                covered_s,
                tally(long_page, objective, group).burn(objective.share),
                tally(short_page, objective, group).burn(objective.share),
            )
        )
    page, covered_s = changes.over(_BUDGET_PERIOD_S)
    seen = tally(page, objective, group)
    return Burn(
        objective,
        group,
        tuple(windows),
        seen.total,
        seen.bad,
        1 - seen.burn(objective.share) * _fraction_of_period(covered_s),
    )


def _fraction_of_period(covered_s: float) -> float:
    """Returns the share of the budget period that the snapshots cover.

    A single snapshot covers an unknown time, which counts as the whole period.
    """
    return min(1.0, covered_s / _BUDGET_PERIOD_S) if covered_s else 1.0
