"""When refused callers are asked to come back."""

import random

_LEAST = 0.5
_MOST = 1.5


class RetryAfter:
    """Spreads the return of callers that were refused at the same moment.

    Args:
        source: Source of randomness.
    """

    def __init__(self, source: random.Random) -> None:
        self._source = source

    def ms(self, mean_ms: int) -> int:
        """Returns a time between half and one and a half of the mean."""
        return max(1, int(mean_ms * self._source.uniform(_LEAST, _MOST)))
