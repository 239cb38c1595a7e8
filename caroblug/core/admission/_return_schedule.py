"""Retry delays that spread the callers' returns."""

import heapq
import random

MIN_RETRY_DELAY_MS = 700
"""Shortest retry delay. Room that is expected earlier is given to streams that
wait."""

_MIN_SPREAD_MS = 700
"""Shortest interval over which returns are spread. Callers that were refused at
one moment would otherwise return at one moment."""

_MAX_LEFT_SHARE = 1 / 3
"""Share of its remaining time after which a caller retries at the latest."""


class ReturnSchedule:
    """Chooses retry delays, and counts which callers are due to return.

    The more callers are due, the longer is the time over which further ones are
    spread, so that they return at the rate at which they can be served.

    Args:
        rng: Random number generator.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._due: list[tuple[int, int]] = []
        self._tokens = 0

    def delay_ms(
        self, tokens: int, ahead: float, rate: float, left_ms: int, now_ms: int
    ) -> int:
        """Returns the retry delay of one caller.

        Args:
            tokens: Tokens of the refused stream.
            ahead: Tokens of streams that wait and will be served before.
            rate: Tokens per ms that become free for callers that retry; 0 if
                none are expected to.
            left_ms: Time that the caller still waits.
            now_ms: Current time.
        """
        self._expire(now_ms)
        latest_ms = int(left_ms * _MAX_LEFT_SHARE)
        if rate > 0:
            expected_ms = int((ahead + self._tokens + tokens) / rate)
            spread_ms = max(_MIN_SPREAD_MS, expected_ms - MIN_RETRY_DELAY_MS)
            latest_ms = min(latest_ms, MIN_RETRY_DELAY_MS + spread_ms)
        latest_ms = max(latest_ms, MIN_RETRY_DELAY_MS)
        delay_ms = self._rng.randint(MIN_RETRY_DELAY_MS, latest_ms)
        heapq.heappush(self._due, (now_ms + delay_ms, tokens))
        self._tokens += tokens
        return delay_ms

    def _expire(self, now_ms: int) -> None:
        """Removes callers whose delay has passed."""
        while self._due and self._due[0][0] <= now_ms:
            self._tokens -= heapq.heappop(self._due)[1]
