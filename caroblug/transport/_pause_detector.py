"""Notices that this process itself was paused."""

from caroblug.utils import Clock


class PauseDetector:
    """Compares the time between ticks with what it should be.

    Args:
        clock: Source of time.
        tick_ms: Time between ticks.
        short_ms: Lateness of a tick that counts as a pause.
        long_ms: Time without a tick after which peers may have given this
            process up.
    """

    def __init__(
        self, clock: Clock, tick_ms: int, short_ms: int, long_ms: int
    ) -> None:
        self._clock = clock
        self._late_ms = tick_ms + short_ms
        self._long_ms = long_ms
        self._ticked_ms = clock.now_ms()

    @property
    def since_ms(self) -> int:
        """Time since the last tick."""
        return self._clock.now_ms() - self._ticked_ms

    @property
    def short(self) -> bool:
        """Whether the next tick is late."""
        return self.since_ms > self._late_ms

    @property
    def long(self) -> bool:
        """Whether peers may have given this process up meanwhile.

        Guards against frames from before a pause, in which the peers may
        have given up the session: this process would open streams that have
        ended. It reads nothing from the old connections. On new ones each
        peer sends again what it still wants to be read, or says that it has
        lost the session.
        """
        return self.since_ms > self._long_ms

    def tick(self) -> None:
        """Notes a tick."""
        self._ticked_ms = self._clock.now_ms()
