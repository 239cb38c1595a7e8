"""The keys that were counted most often, in bounded memory.

References:
    Metwally et al., "Efficient Computation of Frequent and Top-k Elements in
    Data Streams", ICDT 2005 (space saving).
"""


class TopCounter:
    """Counts keys, keeping only as many as it has room for.

    A new key takes the place, and the count, of the least one: a count is
    never below the true one, and over it by at most the least count kept.

    Args:
        capacity: Keys kept, at least 1.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._counts: dict[str, int] = {}

    @property
    def counts(self) -> dict[str, int]:
        """The counts kept."""
        return dict(self._counts)

    def add(self, key: str) -> None:
        """Counts a key once more."""
        if key in self._counts:
            self._counts[key] += 1
            return
        inherited = 0
        if len(self._counts) >= self.capacity:
            least = min(self._counts, key=self._counts.__getitem__)
            inherited = self._counts.pop(least)
        self._counts[key] = inherited + 1
