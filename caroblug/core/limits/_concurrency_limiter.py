"""Places for requests that are open at once."""


class ConcurrencyLimiter:
    """Counts open requests, and never admits more than there are places.

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
        """Takes a place if there is one."""
        if self._open >= self.limit:
            return False
        self._open += 1
        return True

    def release(self) -> None:
        """Gives a place back."""
        self._open -= 1
        if self._open < 0:
            raise AssertionError("more places were given back than taken")
