"""Memory that is kept for more urgent ranks, from their recent arrivals."""

from caroblug.core.admission._arrival_rates import ArrivalRates

HIGH_USE = 0.95
"""Share of an engine's memory up to which the most urgent rank may fill it.
Above it, the growth of running requests makes the engine preempt."""

_RESERVED_MS = 500
"""Time whose arrivals have a reservation: within one objective, room released
by other streams takes over."""

_WINDOW_MS = 2000
"""Time over which arrivals are measured. A reservation ends this long after its
last arrival."""

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
        self._arrivals = ArrivalRates(_WINDOW_MS)
        self.capacity = 0.0
        self.ranked = False

    def on_arrival(self, rank: int, tokens: int, now_ms: int) -> None:
        """Counts a stream that arrived, whether it is admitted or not."""
        self._arrivals.add(rank, tokens, now_ms)

    def reserved(self, rank: int, now_ms: int) -> float:
        """Returns the share of memory reserved for the arrivals of a rank."""
        if not self.ranked or self.capacity <= 0:
            return 0.0
        rate = self._arrivals.steady(rank.__eq__, now_ms)
        return rate * _RESERVED_MS / self.capacity

    def max_use(
        self, rank: int, now_ms: int, lighter_rate: float = 0.0
    ) -> float:
        """Returns the use up to which a stream of a rank may fill an engine.

        Args:
            rank: The rank.
            now_ms: Current time.
            lighter_rate: Tokens per ms that arrive for accounts of the same
                rank to which the stream's account has to yield.
        """
        if self.capacity <= 0:
            return HIGH_USE
        reserved = lighter_rate * _RESERVED_MS / self.capacity
        if self.ranked:
            # A stream never yields so much that less urgent ones are ahead.
            reserved = min(reserved, self.reserved(rank, now_ms))
            reserved += sum(
                self.reserved(other, now_ms)
                for other in self._arrivals.recent_keys(now_ms)
                if other < rank
            )
        return HIGH_USE - min(_MAX_RESERVED, reserved)

    def arrival_rate(self, rank: int, now_ms: int) -> float:
        """Returns the tokens that arrive with streams of a rank, per ms."""
        return self._arrivals.recent(rank.__eq__, now_ms)

    def more_urgent_rate(self, rank: int, now_ms: int) -> float:
        """Returns the tokens that arrive with more urgent streams, per ms."""
        return self._arrivals.recent(rank.__gt__, now_ms)
