"""Retry budget over a sliding window, shared by several gateways.

Several gateways share one bound: each may retry a ratio of its own requests,
plus an equal part of a number of extra retries. A gateway that has spent its
part may borrow from others, so that a failure that affects few gateways can
draw on the whole bound. Loans leave the sum of all parts unchanged: the lender
counts lent retries as used until the loan ends, and for one more window.
"""

import collections

import attrs

_RATIO_FRACTION = 0.85
"""Part of the ratio that is used. Callers' requests that never arrive here
count towards the bound but not in this budget, which errs on the safe side.
The unused part is a margin for windows that begin between two of the windows
counted here."""

_EXTRA_FRACTION = 0.8
"""Part of the extra retries that is used; one more gateway may be starting."""

_ASSUMED_GATEWAYS = 64
"""Number of gateways that is assumed until it is known."""

_LOAN_MS = 1000
"""How long a borrowed retry can be used."""

_MAX_LENT_FRACTION = 0.5
"""Maximum fraction of its remaining retries that a gateway lends at once."""


@attrs.define
class _Window:
    """First sends and retries of one service, as times in ms.

    `repeats` holds when each retry counts as used, those lent to other gateways
    included. `borrowed` holds when each borrowed retry expires.
    """

    first_sends: collections.deque = attrs.field(factory=collections.deque)
    repeats: list[int] = attrs.field(factory=list)
    borrowed: list[int] = attrs.field(factory=list)


class WindowedRetryBudget:
    """Limits the retries to each service, relative to its first sends.

    Args:
        ratio: Retries allowed per request.
        extra: Extra retries allowed per window, for all gateways together.
        window_ms: Length of the window.
    """

    def __init__(self, ratio: float, extra: float, window_ms: int) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms
        self._services: dict[str, _Window] = collections.defaultdict(_Window)

    def set_bound(self, ratio: float, extra: float, window_ms: int) -> None:
        """Changes the bound and retains the counts.

        Args:
            ratio: Retries allowed per request.
            extra: Extra retries allowed per window, for all gateways together.
            window_ms: Length of the window.
        """
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms

    def on_first_send(self, service: str, now_ms: int) -> None:
        """Counts a request's first send."""
        self._refresh(service, now_ms).first_sends.append(now_ms)

    def take(self, service: str, gateways: int, now_ms: int) -> bool:
        """Takes one retry; returns whether it is allowed.

        A retry is taken from the gateway's own part, or else from a loan.

        Args:
            service: Service that the retry goes to.
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
        """Returns how many retries of the own part remain."""
        window = self._refresh(service, now_ms)
        return self._allowed(window, gateways) - len(window.repeats)

    def lend(
        self, service: str, wanted: int, gateways: int, now_ms: int
    ) -> int:
        """Lends retries to another gateway; returns how many.

        Args:
            service: Service that the retries go to.
            wanted: Number of retries that the other gateway requests.
            gateways: Gateways that share the bound; 0 if that is unknown.
            now_ms: Time now.
        """
        remaining = self.remaining(service, gateways, now_ms)
        lent = min(wanted, int(remaining * _MAX_LENT_FRACTION))
        if lent <= 0:
            return 0
        # The borrower may use the retries until the loan ends, so they count
        # as used at that time.
        end_ms = now_ms + _LOAN_MS
        self._services[service].repeats.extend([end_ms] * lent)
        return lent

    def borrow(self, service: str, count: int, requested_ms: int) -> None:
        """Adds retries lent by another gateway.

        Args:
            service: Service that the retries go to.
            count: Number of retries lent.
            requested_ms: Time at which the loan was requested. The lender may
                count the term of the loan from then on.
        """
        end_ms = requested_ms + _LOAN_MS
        self._services[service].borrowed.extend([end_ms] * count)

    def _refresh(self, service: str, now_ms: int) -> _Window:
        """Returns the window of a service, without expired entries."""
        window = self._services[service]
        since_ms = now_ms - self._window_ms
        while window.first_sends and window.first_sends[0] <= since_ms:
            window.first_sends.popleft()
        window.repeats = [t for t in window.repeats if t > since_ms]
        window.borrowed = [t for t in window.borrowed if t > now_ms]
        return window

    def _allowed(self, window: _Window, gateways: int) -> float:
        sharers = gateways or _ASSUMED_GATEWAYS
        own = self._ratio * _RATIO_FRACTION * len(window.first_sends)
        return own + self._extra * _EXTRA_FRACTION / sharers
