"""Retry budget over a sliding window, shared by several gateways.

Several gateways share one bound: each may retry a ratio of its own requests,
plus an equal part of a number of extra retries. A gateway that has spent its
part may borrow from others, so that a failure that affects few gateways can
draw on the whole bound. Loans leave the sum of all parts unchanged: the lender
counts lent retries as used until the loan ends, and for one more window.

Under overload, rejected newcomers would spend the whole budget, and responses
that have begun would be cut for want of a retry. Each class of retries
therefore leaves a reserve for the classes before it.

A gateway doesn't know what its predecessor spent, which lies in the same
window. Its part of the extra retries therefore grows from zero during the first
window.
"""

import collections
import enum
from collections.abc import Mapping

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

_RESERVE_FRACTION = 0.25
"""Part of a window's budget that a class leaves for each class before it."""

_RAMP_EXPONENT = 2
"""Exponent of the growth of the extra retries after a start. A linear growth
would give too much in the first second, while the other gateways that start
have not joined yet and their number is estimated too low."""


class RetryClass(enum.IntEnum):
    """What a retry is for. A lower value comes first.

    Attributes:
        BEGUN: A stream whose response has begun. Without the retry, its
            response is cut and the work of its engines is lost.
        MOST_URGENT: A request of the most urgent rank of its service.
        OTHER: Any other request.
    """

    BEGUN = 0
    MOST_URGENT = 1
    OTHER = 2

    @property
    def label(self) -> str:
        """Name for logs and metrics."""
        return self.name.lower()


def classify_retry(
    begun: bool, priority: int, ranks: tuple[int, ...]
) -> RetryClass:
    """Returns the class of a retry.

    Args:
        begun: Whether the response to the caller has begun.
        priority: Priority of the request; 0 is the most urgent.
        ranks: Priorities that streams of the service can have, the most urgent
            one first; empty for a service without streams.
    """
    if begun:
        return RetryClass.BEGUN
    if ranks and priority <= ranks[0]:
        return RetryClass.MOST_URGENT
    return RetryClass.OTHER


def find_retry_classes(
    ranks: tuple[int, ...], resumable: bool
) -> frozenset[RetryClass]:
    """Returns the classes of a service's streams that need a reserve.

    Args:
        ranks: Priorities that streams of the service can have, the most urgent
            one first.
        resumable: Whether a stream that has begun can use a retry at all.
    """
    classes = set()
    if resumable:
        classes.add(RetryClass.BEGUN)
    if ranks:
        classes.add(RetryClass.MOST_URGENT)
    return frozenset(classes)


@attrs.frozen
class _BorrowedRetry:
    """A retry lent by another gateway.

    Attributes:
        retry_class: Class that it was lent to. Classes after it must not use
            it, since the lender may have taken it from their reserve.
        end_ms: When it expires.
    """

    retry_class: RetryClass
    end_ms: int


@attrs.define
class _Window:
    """First sends and retries of one service, as times in ms.

    `repeats` holds when each retry counts as used, those lent to other gateways
    included.
    """

    first_sends: collections.deque = attrs.field(factory=collections.deque)
    repeats: list[int] = attrs.field(factory=list)
    borrowed: list[_BorrowedRetry] = attrs.field(factory=list)


class WindowedRetryBudget:
    """Limits the retries to each service, relative to its first sends.

    Args:
        ratio: Retries allowed per request.
        extra: Extra retries allowed per window, for all gateways together.
        window_ms: Length of the window.
        ramp_start_ms: When this gateway started, if others ran before it; None
            if no retries can have been spent before.
    """

    def __init__(
        self,
        ratio: float,
        extra: float,
        window_ms: int,
        ramp_start_ms: int | None = None,
    ) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms
        self._ramp_start_ms = ramp_start_ms
        self._classes: Mapping[str, frozenset[RetryClass]] = {}
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

    def set_classes(self, classes: Mapping[str, frozenset[RetryClass]]) -> None:
        """Sets for which classes of each service a reserve is left.

        Args:
            classes: Classes by service. A service that is missing leaves no
                reserves.
        """
        self._classes = classes

    def leaves_reserve(self, service: str, retry_class: RetryClass) -> bool:
        """Returns whether a class must leave retries for others."""
        return self._reserve_fraction(service, retry_class) > 0

    def on_first_send(self, service: str, now_ms: int) -> None:
        """Counts a request's first send."""
        self._refresh(service, now_ms).first_sends.append(now_ms)

    def take(
        self,
        service: str,
        gateways: int,
        now_ms: int,
        retry_class: RetryClass = RetryClass.OTHER,
    ) -> bool:
        """Takes one retry; returns whether it is allowed.

        A retry is taken from the gateway's own part, or else from a loan.

        Args:
            service: Service that the retry goes to.
            gateways: Gateways that share the bound; 0 if that is unknown.
            now_ms: Time now.
            retry_class: What the retry is for.
        """
        if self.available(service, gateways, now_ms, retry_class) >= 1:
            self._services[service].repeats.append(now_ms)
            return True
        return self._take_borrowed(service, retry_class)

    def remaining(self, service: str, gateways: int, now_ms: int) -> float:
        """Returns how many retries of the own part remain, for all classes."""
        return self.available(service, gateways, now_ms, RetryClass.BEGUN)

    def available(
        self,
        service: str,
        gateways: int,
        now_ms: int,
        retry_class: RetryClass,
    ) -> float:
        """Returns how many retries of the own part a class may take.

        Args:
            service: Service that the retries go to.
            gateways: Gateways that share the bound; 0 if that is unknown.
            now_ms: Time now.
            retry_class: What the retries are for.
        """
        window = self._refresh(service, now_ms)
        allowed = self._allowed(window, gateways, now_ms)
        reserve = allowed * self._reserve_fraction(service, retry_class)
        return allowed - len(window.repeats) - reserve

    def lend(
        self,
        service: str,
        wanted: int,
        gateways: int,
        now_ms: int,
        retry_class: RetryClass = RetryClass.OTHER,
    ) -> int:
        """Lends retries to another gateway; returns how many.

        Args:
            service: Service that the retries go to.
            wanted: Number of retries that the other gateway requests.
            gateways: Gateways that share the bound; 0 if that is unknown.
            now_ms: Time now.
            retry_class: What the other gateway needs them for.
        """
        available = self.available(service, gateways, now_ms, retry_class)
        lent = min(wanted, int(available * _MAX_LENT_FRACTION))
        if lent <= 0:
            return 0
        # The borrower may use the retries until the loan ends, so they count
        # as used at that time.
        end_ms = now_ms + _LOAN_MS
        self._services[service].repeats.extend([end_ms] * lent)
        return lent

    def borrow(
        self,
        service: str,
        count: int,
        requested_ms: int,
        retry_class: RetryClass = RetryClass.OTHER,
    ) -> None:
        """Adds retries lent by another gateway.

        Args:
            service: Service that the retries go to.
            count: Number of retries lent.
            requested_ms: Time at which the loan was requested. The lender may
                count the term of the loan from then on.
            retry_class: What they were requested for. Classes after it can't
                use them.
        """
        retry = _BorrowedRetry(retry_class, requested_ms + _LOAN_MS)
        self._services[service].borrowed.extend([retry] * count)

    def _take_borrowed(self, service: str, retry_class: RetryClass) -> bool:
        """Takes a borrowed retry, the one that the fewest classes may use."""
        borrowed = self._services[service].borrowed
        usable = [b for b in borrowed if b.retry_class >= retry_class]
        if not usable:
            return False
        borrowed.remove(min(usable, key=lambda b: (b.retry_class, b.end_ms)))
        return True

    def _reserve_fraction(self, service: str, retry_class: RetryClass) -> float:
        """Returns the part of the budget that a class leaves for others."""
        classes = self._classes.get(service, ())
        return _RESERVE_FRACTION * sum(c < retry_class for c in classes)

    def _refresh(self, service: str, now_ms: int) -> _Window:
        """Returns the window of a service, without expired entries."""
        window = self._services[service]
        since_ms = now_ms - self._window_ms
        while window.first_sends and window.first_sends[0] <= since_ms:
            window.first_sends.popleft()
        window.repeats = [t for t in window.repeats if t > since_ms]
        window.borrowed = [b for b in window.borrowed if b.end_ms > now_ms]
        return window

    def _allowed(self, window: _Window, gateways: int, now_ms: int) -> float:
        sharers = gateways or _ASSUMED_GATEWAYS
        own = self._ratio * _RATIO_FRACTION * len(window.first_sends)
        extra = self._extra * _EXTRA_FRACTION * self._ramp(now_ms)
        return own + extra / sharers

    def _ramp(self, now_ms: int) -> float:
        """Returns the part of the extra retries that may be used, 0 to 1."""
        if self._ramp_start_ms is None:
            return 1.0
        running_ms = max(0, now_ms - self._ramp_start_ms)
        return min(1.0, running_ms / self._window_ms) ** _RAMP_EXPONENT
