"""Jitter on the Retry-After times of refused requests."""

import random

_MIN_FACTOR = 0.5
_MAX_FACTOR = 1.5


class RetryAfter:
    """Chooses random Retry-After times.

    The jitter spreads the retries of callers that were refused at the same
    moment.

    Args:
        rng: Random number generator.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def ms(self, mean_ms: int) -> int:
        """Returns a time between 0.5 and 1.5 times the mean, at least 1 ms."""
        return max(
            1, int(mean_ms * self._rng.uniform(_MIN_FACTOR, _MAX_FACTOR))
        )
