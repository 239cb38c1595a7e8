"""Rate limits on repeated actions, such as probes of one backend server."""

import attrs


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


@attrs.define
class _Probes:
    """Probes of one stalled engine.

    Attributes:
        arrived_ms: Time of its latest event when it was last probed.
        probed_ms: Time of its latest probe.
        interval_ms: Time until the next probe.
    """

    arrived_ms: int
    probed_ms: int
    interval_ms: int


class ProbeSpacing:
    """Spaces the probes of engines whose streams are stalled.

    An engine that was found alive is probed at growing intervals until an event
    arrives. Under overload all streams stall although their engines live, and
    each probe opens a connection.

    Args:
        min_interval_ms: Shortest time between two probes of one engine.
        max_interval_ms: Longest time between two probes of one engine.
    """

    def __init__(self, min_interval_ms: int, max_interval_ms: int) -> None:
        self._min_interval_ms = min_interval_ms
        self._max_interval_ms = max_interval_ms
        self._probes: dict[str, _Probes] = {}

    def allows(self, name: str, arrived_ms: int, now_ms: int) -> bool:
        """Returns whether a probe is allowed now, and records it if so.

        Args:
            name: Name of the engine.
            arrived_ms: Time of the latest event over the engine.
            now_ms: Current time.
        """
        probes = self._probes.get(name)
        interval_ms = self._min_interval_ms
        if probes is not None:
            if arrived_ms <= probes.arrived_ms:
                interval_ms = probes.interval_ms
            if now_ms - probes.probed_ms < interval_ms:
                return False
        self._remove_expired(now_ms)
        self._probes[name] = _Probes(arrived_ms, now_ms, interval_ms)
        return True

    def on_alive(self, name: str) -> None:
        """Doubles the interval of an engine that a probe found alive."""
        probes = self._probes.get(name)
        if probes is not None:
            probes.interval_ms = min(
                probes.interval_ms * 2, self._max_interval_ms
            )

    def _remove_expired(self, now_ms: int) -> None:
        """Removes engines that aren't probed any more."""
        for name, probes in list(self._probes.items()):
            if now_ms - probes.probed_ms >= 2 * self._max_interval_ms:
                del self._probes[name]
