"""Upper bound on the number of requests open at once."""


class ConcurrencyLimiter:
    """Counts open requests and admits no more than a limit.

    Args:
        limit: Requests that may be open at once.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._open = 0

    @property
    def open(self) -> int:
        """Requests that are open."""
        return self._open

    def take(self) -> bool:
        """Takes a free slot; returns False if there is none."""
        if self._open >= self.limit:
            return False
        self._open += 1
        return True

    def release(self) -> None:
        """Frees a slot."""
        self._open -= 1
        if self._open < 0:
            raise AssertionError("more slots were released than taken")
