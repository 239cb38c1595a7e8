"""Rate limit on repeated actions, such as probes of one backend server."""


class Throttle:
    """Enforces a minimum interval between actions on the same name.

    Args:
        min_interval_ms: Shortest time between two actions on one name.
    """

    def __init__(self, min_interval_ms: int) -> None:
        self._min_interval_ms = min_interval_ms
        self._last_ms: dict[str, int] = {}

    def allows(self, name: str, now_ms: int) -> bool:
        """Returns whether an action is allowed now, and records it if so."""
        last_ms = self._last_ms.get(name)
        if last_ms is not None and now_ms - last_ms < self._min_interval_ms:
            return False
        self._remove_expired(now_ms)
        self._last_ms[name] = now_ms
        return True

    def _remove_expired(self, now_ms: int) -> None:
        """Removes expired names so that the table doesn't grow without end."""
        for name, last_ms in list(self._last_ms.items()):
            if now_ms - last_ms >= self._min_interval_ms:
                del self._last_ms[name]
