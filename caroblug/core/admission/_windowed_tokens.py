"""Sums of tokens by key over a sliding window."""

import collections
from collections.abc import Hashable, Mapping

_BUCKETS = 20


class WindowedTokens:
    """Counts tokens by key over the last `window_ms`.

    Tokens are counted in buckets, so that the memory doesn't grow with their
    number. They leave the window up to one bucket early.

    Args:
        window_ms: Length of the window.
    """

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._bucket_ms = max(1, window_ms // _BUCKETS)
        self._buckets: collections.deque[tuple[int, collections.Counter]] = (
            collections.deque()
        )
        self._sums: collections.Counter = collections.Counter()
        self._total = 0

    def add(self, key: Hashable, tokens: int, now_ms: int) -> None:
        """Adds tokens to a key."""
        self._expire(now_ms)
        start_ms = now_ms - now_ms % self._bucket_ms
        if not self._buckets or self._buckets[-1][0] != start_ms:
            self._buckets.append((start_ms, collections.Counter()))
        self._buckets[-1][1][key] += tokens
        self._sums[key] += tokens
        self._total += tokens

    def sum(self, key: Hashable, now_ms: int) -> int:
        """Returns the tokens of a key in the window."""
        self._expire(now_ms)
        return self._sums.get(key, 0)

    def sums(self, now_ms: int) -> Mapping[Hashable, int]:
        """Returns the tokens in the window by key."""
        self._expire(now_ms)
        return self._sums

    def total(self, now_ms: int) -> int:
        """Returns the tokens of all keys in the window."""
        self._expire(now_ms)
        return self._total

    def _expire(self, now_ms: int) -> None:
        while self._buckets:
            start_ms, counts = self._buckets[0]
            if now_ms - start_ms < self._window_ms:
                return
            self._buckets.popleft()
            for key, tokens in counts.items():
                self._sums[key] -= tokens
                self._total -= tokens
                if not self._sums[key]:
                    del self._sums[key]
