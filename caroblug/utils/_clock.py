"""Time in whole milliseconds, from a clock that never goes back."""

import abc
import time

_NANOSECONDS_PER_MS = 1_000_000


class Clock(abc.ABC):
    """Source of the current time."""

    @abc.abstractmethod
    def now_ms(self) -> int:
        """Returns milliseconds since an arbitrary, fixed origin."""


class MonotonicClock(Clock):
    """The instance's monotonic clock; a paused process sees the jump."""

    def now_ms(self) -> int:
        """Returns milliseconds since the instance booted."""
        return time.monotonic_ns() // _NANOSECONDS_PER_MS


class ManualClock(Clock):
    """A clock that moves only when told to, for tests.

    Args:
        now_ms: First reading.
    """

    def __init__(self, now_ms: int = 0) -> None:
        self._now_ms = now_ms

    def now_ms(self) -> int:
        """Returns the time that was last set."""
        return self._now_ms

    def advance(self, ms: int) -> None:
        """Moves the clock forward by `ms` milliseconds."""
        if ms < 0:
            raise ValueError(f"ms must be >= 0, got {ms}")
        self._now_ms += ms


class BoottimeClock(Clock):
    """A clock that counts the time in which the instance was suspended.

    Guards against a lease, a deadline or an age that looks young after the
    instance slept: the monotonic clock stands still meanwhile.
    """

    def now_ms(self) -> int:
        """Returns milliseconds since the instance booted, sleep included."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NANOSECONDS_PER_MS
