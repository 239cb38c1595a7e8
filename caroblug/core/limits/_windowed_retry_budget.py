"""How many requests may be sent a second time, in a sliding window.

Several gateways keep one bound: each takes the ratio of its own requests, and
an equal part of what is allowed beyond. A gateway that has used up its part
may borrow from others, so that a loss which falls on few gateways can draw on
the whole bound. The sum of all parts stays the same: the lender counts what
it lends as used, for as long as the borrower may use it and a window more.
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

_LOAN_MS = 1000
"""How long a borrowed repeat can be used."""

_LENT_SHARE = 0.5
"""Most of what a gateway has left that it lends at a time."""


@attrs.define
class _Window:
    firsts: collections.deque = attrs.field(factory=collections.deque)
    repeats: list[int] = attrs.field(factory=list)
    borrowed: list[int] = attrs.field(factory=list)


class WindowedRetryBudget:
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

    def on_first_send(self, service: str, now_ms: int) -> None:
        """Counts a request's first send."""
        self._refresh(service, now_ms).firsts.append(now_ms)

    def take(self, service: str, gateways: int, now_ms: int) -> bool:
        """Takes one repeat; returns whether it is allowed.

        Args:
            service: Service that it goes to.
            gateways: Gateways that share the bound; 0 if that is unknown.
            now_ms: Time now.
        """
        window = self._refresh(service, now_ms)
        if len(window.repeats) + 1 <= self._allowed(window, gateways):
            window.repeats.append(now_ms)
            return True
        if window.borrowed:
            window.borrowed.pop()
            return True
        return False

    def remaining(self, service: str, gateways: int, now_ms: int) -> float:
        """Returns how many repeats of its own part are left."""
        window = self._refresh(service, now_ms)
        return self._allowed(window, gateways) - len(window.repeats)

    def lend(
        self, service: str, wanted: int, gateways: int, now_ms: int
    ) -> int:
        """Gives up repeats for another gateway; returns how many.

        Args:
            service: Service that they go to.
            wanted: How many the other gateway asks for.
            gateways: Gateways that share the bound; 0 if that is unknown.
            now_ms: Time now.
        """
        left = self.remaining(service, gateways, now_ms)
        lent = min(wanted, int(left * _LENT_SHARE))
        if lent <= 0:
            return 0
        # The borrower may use them until the loan ends; only then does their
        # window begin.
        end_ms = now_ms + _LOAN_MS
        self._services[service].repeats.extend([end_ms] * lent)
        return lent

    def borrow(self, service: str, count: int, asked_ms: int) -> None:
        """Takes what another gateway lends.

        Args:
            service: Service that the repeats go to.
            count: How many.
            asked_ms: When they were asked for: the lender may count from that
                moment on.
        """
        end_ms = asked_ms + _LOAN_MS
        self._services[service].borrowed.extend([end_ms] * count)

    def _refresh(self, service: str, now_ms: int) -> _Window:
        """Returns what counts for a service now."""
        window = self._services[service]
        since_ms = now_ms - self._window_ms
        while window.firsts and window.firsts[0] <= since_ms:
            window.firsts.popleft()
        window.repeats = [t for t in window.repeats if t > since_ms]
        window.borrowed = [t for t in window.borrowed if t > now_ms]
        return window

    def _allowed(self, window: _Window, gateways: int) -> float:
        sharers = gateways or _UNKNOWN_GATEWAYS
        own = self._ratio * _RATIO_KEPT * len(window.firsts)
        return own + self._extra * _EXTRA_KEPT / sharers
