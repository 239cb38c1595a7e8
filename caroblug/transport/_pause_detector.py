"""Detection of pauses of this process."""

from caroblug.utils import Clock


class PauseDetector:
    """Detects pauses of this process from late ticks.

    Args:
        clock: Source of time.
        tick_ms: Interval between ticks.
        short_pause_ms: Delay of a tick that counts as a pause.
        long_pause_ms: Time without a tick after which peers may have declared
            this process lost.
    """

    def __init__(
        self,
        clock: Clock,
        tick_ms: int,
        short_pause_ms: int,
        long_pause_ms: int,
    ) -> None:
        self._clock = clock
        self._short_limit_ms = tick_ms + short_pause_ms
        self._long_limit_ms = long_pause_ms
        self._last_tick_ms = clock.now_ms()

    @property
    def elapsed_ms(self) -> int:
        """Time since the last tick, in milliseconds."""
        return self._clock.now_ms() - self._last_tick_ms

    @property
    def is_short_pause(self) -> bool:
        """Whether the next tick is overdue."""
        return self.elapsed_ms > self._short_limit_ms

    @property
    def is_long_pause(self) -> bool:
        """Whether peers may have declared this process lost in the meantime.

        Frames that were sent before a long pause must not be handled: the
        peers may have ended the session, and this process would open streams
        that have ended. Therefore nothing more is read from the old
        connections. On a new connection each peer resends what is not
        acknowledged, or reports that it no longer knows the session.
        """
        return self.elapsed_ms > self._long_limit_ms

    def tick(self) -> None:
        """Records a tick."""
        self._last_tick_ms = self._clock.now_ms()
