"""Delay and budget of hedged calls to plain services."""

import collections

_MAX_SAMPLES = 200
_MIN_SAMPLES = 20
_QUANTILE = 0.95
_MIN_DELAY_MS = 5


class Hedging:
    """Decides when the calls of one service are hedged or retried.

    An idempotent call is sent again when its answer takes longer than most
    recent calls did, or when the call has failed. The budget is a fraction of
    the number of calls: when all calls are slow, as in an overload, hedging
    stops instead of adding load.

    Args:
        hedges_per_call: Long-term ratio of hedges and retries to calls.
        burst: Maximum number of hedges and retries that can be saved up.
    """

    def __init__(
        self, hedges_per_call: float = 0.1, burst: float = 10.0
    ) -> None:
        self._hedges_per_call = hedges_per_call
        self._burst = burst
        self._tokens = burst
        self._latencies_ms: collections.deque[int] = collections.deque(
            maxlen=_MAX_SAMPLES
        )

    @property
    def delay_ms(self) -> int | None:
        """Delay before a hedge; None while too few latencies are known."""
        if len(self._latencies_ms) < _MIN_SAMPLES:
            return None
        ordered = sorted(self._latencies_ms)
        return max(_MIN_DELAY_MS, ordered[int(len(ordered) * _QUANTILE)])

    def on_call(self) -> None:
        """Counts a call, which adds to the budget."""
        self._tokens = min(self._burst, self._tokens + self._hedges_per_call)

    def on_answer(self, latency_ms: int) -> None:
        """Records the latency of an answered call."""
        self._latencies_ms.append(latency_ms)

    def take(self) -> bool:
        """Takes one hedge or retry from the budget; False if it is spent."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
