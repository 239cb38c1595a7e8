"""Counts the most frequent keys in bounded memory.

References:
    Metwally et al., "Efficient Computation of Frequent and Top-k Elements in
    Data Streams", ICDT 2005 (space saving).
"""


class TopCounter:
    """Approximate counts of the most frequent keys.

    At capacity, a new key replaces the key with the lowest count and inherits
    that count. A count is therefore never below the true one, and exceeds it
    by at most the lowest retained count.

    Args:
        capacity: Maximum number of retained keys, at least 1.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._counts: dict[str, int] = {}

    @property
    def counts(self) -> dict[str, int]:
        """Copy of the retained counts by key."""
        return dict(self._counts)

    def add(self, key: str) -> None:
        """Adds one to the count of a key."""
        if key in self._counts:
            self._counts[key] += 1
            return
        inherited = 0
        if len(self._counts) >= self.capacity:
            least = min(self._counts, key=self._counts.__getitem__)
            inherited = self._counts.pop(least)
        self._counts[key] = inherited + 1
