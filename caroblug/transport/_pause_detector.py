"""Notices that this process itself was paused."""

from caroblug.utils import Clock


class PauseDetector:
    """Compares the time between ticks with what it should be.

    Args:
        clock: Source of time.
        tick_ms: Time between ticks.
        short_pause_ms: Lateness of a tick that counts as a pause.
        long_pause_ms: Time without a tick after which peers may have given this
            process up.
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
        """Time since the last tick."""
        return self._clock.now_ms() - self._last_tick_ms

    @property
    def is_short_pause(self) -> bool:
        """Whether the next tick is late."""
        return self.elapsed_ms > self._short_limit_ms

    @property
    def is_long_pause(self) -> bool:
        """Whether peers may have given this process up meanwhile.

        Guards against frames from before a pause, in which the peers may
        have given up the session: this process would open streams that have
        ended. It reads nothing from the old connections. On new ones each
        peer sends again what it still wants to be read, or says that it has
        lost the session.
        """
        return self.elapsed_ms > self._long_limit_ms

    def tick(self) -> None:
        """Notes a tick."""
        self._last_tick_ms = self._clock.now_ms()
