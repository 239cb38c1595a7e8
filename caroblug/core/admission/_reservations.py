"""Memory that is kept for more urgent ranks, from their recent arrivals."""

from caroblug.core.admission._windowed_tokens import WindowedTokens

HIGH_USE = 0.95
"""Share of an engine's memory up to which the most urgent rank may fill it.
Above it, the growth of running requests makes the engine preempt."""

_RESERVED_MS = 500
"""Time whose arrivals have a reservation: within one objective, room released
by other streams takes over."""

_WINDOW_MS = 2000
"""Time over which arrivals are measured. A reservation ends this long after its
last arrival."""

_MEAN_WINDOW_MS = 8000
"""Time of the mean that replaces a lower recent measure. One of many gateways
sees a few arrivals in `_WINDOW_MS`; where these are few by chance, its less
urgent streams would fill the memory that all others keep."""

_MAX_MEAN_FACTOR = 2.0
"""Bound on that mean, as a multiple of the recent measure. It ends the
reservation of a burst, and each one as soon as its arrivals cease."""

_MAX_RESERVED = 0.4
"""Maximum share of memory reserved in total. It bounds the effect of a wrong
number of gateways or a single gateway that receives most arrivals."""


class Reservations:
    """Computes up to which use each rank may fill engines.

    Each gateway measures its own arrivals and relates them to its equal part
    of the fleet's memory.

    Attributes:
        capacity: This gateway's equal part of the fleet's memory, in tokens; 0
            if it is unknown.
        ranked: Whether streams of the service differ in rank.
    """

    def __init__(self) -> None:
        self._arrivals = WindowedTokens(_WINDOW_MS)
        self._mean_arrivals = WindowedTokens(_MEAN_WINDOW_MS)
        self.capacity = 0.0
        self.ranked = False

    def on_arrival(self, rank: int, tokens: int, now_ms: int) -> None:
        """Counts a stream that arrived, whether it is admitted or not."""
        self._arrivals.add(rank, tokens, now_ms)
        self._mean_arrivals.add(rank, tokens, now_ms)

    def reserved(self, rank: int, now_ms: int) -> float:
        """Returns the share of memory reserved for the arrivals of a rank."""
        if not self.ranked or self.capacity <= 0:
            return 0.0
        recent = self._arrivals.sum(rank, now_ms) / _WINDOW_MS
        mean = self._mean_arrivals.sum(rank, now_ms) / _MEAN_WINDOW_MS
        rate = max(recent, min(mean, recent * _MAX_MEAN_FACTOR))
        return rate * _RESERVED_MS / self.capacity

    def max_use(self, rank: int, now_ms: int) -> float:
        """Returns the use up to which a stream of a rank may fill an engine."""
        if not self.ranked:
            return HIGH_USE
        more_urgent = [
            other for other in self._arrivals.sums(now_ms) if other < rank
        ]
        reserved = sum(self.reserved(other, now_ms) for other in more_urgent)
        return HIGH_USE - min(_MAX_RESERVED, reserved)

    def arrival_rate(self, rank: int, now_ms: int) -> float:
        """Returns the tokens that arrive with streams of a rank, per ms."""
        return self._arrivals.sum(rank, now_ms) / _WINDOW_MS

    def more_urgent_rate(self, rank: int, now_ms: int) -> float:
        """Returns the tokens that arrive with more urgent streams, per ms."""
        sums = self._arrivals.sums(now_ms)
        return sum(n for r, n in sums.items() if r < rank) / _WINDOW_MS
