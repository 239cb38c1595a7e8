"""Rate at which the memory of engines becomes free for one gateway."""

from caroblug.core.admission._windowed_tokens import WindowedTokens

_WINDOW_MS = 2000

_TURNOVER_MS = 8000
"""Time in which the memory of full engines is released once: about the duration
of a long stream. It stands in for releases that haven't been observed."""

_ASSUMED_MS = 1000
"""Weight of the assumed rate, as a time of observation. A gateway with few
streams observes no release for seconds."""


class ReleaseRate:
    """Measures how many tokens are released, at this gateway, per ms.

    Attributes:
        capacity: This gateway's equal part of the fleet's memory, in tokens; 0
            if it is unknown.
    """

    def __init__(self) -> None:
        self._released = WindowedTokens(_WINDOW_MS)
        self.capacity = 0.0

    def on_released(self, tokens: int, now_ms: int) -> None:
        """Counts tokens of a stream that has ended."""
        self._released.add(None, tokens, now_ms)

    def tokens_per_ms(self, now_ms: int) -> float:
        """Returns the rate; 0 without releases and without known memory."""
        assumed = self.capacity / _TURNOVER_MS * _ASSUMED_MS
        observed = self._released.total(now_ms)
        return (observed + assumed) / (_WINDOW_MS + _ASSUMED_MS)
