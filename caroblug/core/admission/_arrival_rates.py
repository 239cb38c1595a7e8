"""Rates at which tokens arrive, by key."""

from collections.abc import Callable, Hashable, Iterator

from caroblug.core.admission._windowed_tokens import WindowedTokens

_MEAN_WINDOW_MS = 8000
"""Time of the mean that replaces a lower recent measure. One of many gateways
sees a few arrivals in a short window; where these are few by chance, its
streams would fill the memory that all others keep."""

_MAX_MEAN_FACTOR = 2.0
"""Bound on that mean, as a multiple of the recent measure. It ends what is kept
for a burst, and everything as soon as arrivals cease."""


class ArrivalRates:
    """Measures rates that end one window after the last arrival.

    Args:
        window_ms: Length of the window.
    """

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._recent = WindowedTokens(window_ms)
        self._mean = WindowedTokens(_MEAN_WINDOW_MS)

    def add(self, key: Hashable, tokens: int, now_ms: int) -> None:
        """Counts the tokens of a stream that has arrived."""
        self._recent.add(key, tokens, now_ms)
        self._mean.add(key, tokens, now_ms)

    def recent_keys(self, now_ms: int) -> Iterator[Hashable]:
        """Returns the keys with arrivals in the window."""
        return iter(list(self._recent.sums(now_ms)))

    def recent(self, select: Callable[[Hashable], bool], now_ms: int) -> float:
        """Returns the tokens per ms in the window.

        Args:
            select: Returns whether a key counts.
            now_ms: Current time.
        """
        sums = self._recent.sums(now_ms)
        return sum(n for k, n in sums.items() if select(k)) / self._window_ms

    def steady(self, select: Callable[[Hashable], bool], now_ms: int) -> float:
        """Returns the tokens per ms, of which room is kept.

        Args:
            select: Returns whether a key counts.
            now_ms: Current time.
        """
        recent = self.recent(select, now_ms)
        sums = self._mean.sums(now_ms)
        mean = sum(n for k, n in sums.items() if select(k)) / _MEAN_WINDOW_MS
        return max(recent, min(mean, recent * _MAX_MEAN_FACTOR))
