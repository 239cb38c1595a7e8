"""How many requests may be sent a second time, in a sliding window.

Several gateways keep one bound without talking to each other: each takes the
ratio of its own requests, and an equal part of what is allowed beyond.
"""

import collections

import attrs

_RATIO_KEPT = 0.85
"""Part of the ratio that is used. Callers' requests that never arrive here
count for the bound but not for us, so that it errs on the safe side; the rest
covers windows that begin between two of ours."""

_EXTRA_KEPT = 0.8
"""Part of the extra that is used; a gateway more may be starting."""

_UNKNOWN_GATEWAYS = 64
"""Gateways that are assumed until their number is known."""


@attrs.define
class _Window:
    firsts: collections.deque = attrs.field(factory=collections.deque)
    repeats: collections.deque = attrs.field(factory=collections.deque)


class RepeatWindow:
    """Counts first sends and repeats of each service.

    Args:
        ratio: Repeats allowed for each request.
        extra: Repeats allowed beyond that, of all gateways together.
        window_ms: Length of the window.
    """

    def __init__(self, ratio: float, extra: float, window_ms: int) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms
        self._services: dict[str, _Window] = collections.defaultdict(_Window)

    def set_bound(self, ratio: float, extra: float, window_ms: int) -> None:
        """Changes the bound; what was counted so far stays counted."""
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms

    def on_first(self, service: str, now_ms: int) -> None:
        """Counts a request's first send."""
        window = self._services[service]
        _forget(window.firsts, now_ms - self._window_ms)
        window.firsts.append(now_ms)

    def take(self, service: str, gateways: int, now_ms: int) -> bool:
        """Takes one repeat; returns whether it is allowed.

        Args:
            service: Service that it goes to.
            gateways: Gateways that share the bound; 0 if that is unknown.
            now_ms: Time now.
        """
        window = self._services[service]
        _forget(window.firsts, now_ms - self._window_ms)
        _forget(window.repeats, now_ms - self._window_ms)
        if len(window.repeats) + 1 > self._allowed(window, gateways):
            return False
        window.repeats.append(now_ms)
        return True

    def left(self, service: str, gateways: int, now_ms: int) -> float:
        """Returns how many repeats are allowed at this moment."""
        window = self._services[service]
        _forget(window.firsts, now_ms - self._window_ms)
        _forget(window.repeats, now_ms - self._window_ms)
        return self._allowed(window, gateways) - len(window.repeats)

    def _allowed(self, window: _Window, gateways: int) -> float:
        sharers = gateways or _UNKNOWN_GATEWAYS
        own = self._ratio * _RATIO_KEPT * len(window.firsts)
        return own + self._extra * _EXTRA_KEPT / sharers


def _forget(times: collections.deque, before_ms: int) -> None:
    while times and times[0] <= before_ms:
        times.popleft()
