"""Keeping a distance between questions to one backend server."""


class Throttle:
    """Allows something once in a while for each name.

    Args:
        min_interval_ms: Shortest time between two for one name.
    """

    def __init__(self, min_interval_ms: int) -> None:
        self._min_interval_ms = min_interval_ms
        self._last_ms: dict[str, int] = {}

    def allows(self, name: str, now_ms: int) -> bool:
        """Returns whether it is time again, and notes it if it is."""
        last_ms = self._last_ms.get(name)
        if last_ms is not None and now_ms - last_ms < self._min_interval_ms:
            return False
        self._forget_old(now_ms)
        self._last_ms[name] = now_ms
        return True

    def _forget_old(self, now_ms: int) -> None:
        """Drops names that are due, so that names of the past don't add up."""
        for name, last_ms in list(self._last_ms.items()):
            if now_ms - last_ms >= self._min_interval_ms:
                del self._last_ms[name]
