"""When a repeatable call is sent once more, and how often that may be."""

import collections

_SAMPLES = 200
_FEWEST = 20
_QUANTILE = 0.95
_LEAST_MS = 5


class Hedging:
    """Budget and delay of second sendings of one kind of call.

    A call that may be repeated is sent again when its answer takes longer
    than that of most recent calls, or when it has failed. The budget is a
    share of the calls: when everything is slow, as in an overload, hedges
    stop by themselves instead of adding to it.

    Args:
        share: Second sendings per call, in the long run.
        burst: Second sendings that may be saved up.
    """

    def __init__(self, share: float = 0.1, burst: float = 10.0) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst
        self._took_ms: collections.deque[int] = collections.deque(
            maxlen=_SAMPLES
        )

    @property
    def delay_ms(self) -> int | None:
        """How long to wait before a hedge; None while too few are known."""
        if len(self._took_ms) < _FEWEST:
            return None
        ordered = sorted(self._took_ms)
        return max(_LEAST_MS, ordered[int(len(ordered) * _QUANTILE)])

    def on_call(self) -> None:
        """Counts a call."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def on_answer(self, took_ms: int) -> None:
        """Takes the latency of an answer."""
        self._took_ms.append(took_ms)

    def take(self) -> bool:
        """Takes one second sending from the budget, if it allows one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
