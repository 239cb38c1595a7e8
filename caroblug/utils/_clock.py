"""Clocks that return whole milliseconds.

All but the time of day never go backwards.
"""

import abc
import time

_NANOSECONDS_PER_MS = 1_000_000


class Clock(abc.ABC):
    """Source of the current time."""

    @abc.abstractmethod
    def now_ms(self) -> int:
        """Returns milliseconds since an arbitrary, fixed origin."""


class MonotonicClock(Clock):
    """Monotonic clock of the operating system.

    It goes on while the process is stopped, and stands still while the machine
    is suspended.
    """

    def now_ms(self) -> int:
        """Returns milliseconds since the machine booted."""
        return time.monotonic_ns() // _NANOSECONDS_PER_MS


class TimeOfDayClock(Clock):
    """Time of day, on which machines roughly agree.

    It may jump, so that only times of minutes may be measured with it.
    """

    def now_ms(self) -> int:
        """Returns milliseconds since the epoch."""
        return time.time_ns() // _NANOSECONDS_PER_MS


class ManualClock(Clock):
    """Clock for tests that changes only by `advance`.

    Args:
        now_ms: Initial time.
    """

    def __init__(self, now_ms: int = 0) -> None:
        self._now_ms = now_ms

    def now_ms(self) -> int:
        """Returns the initial time plus all advances."""
        return self._now_ms

    def advance(self, ms: int) -> None:
        """Moves the clock forward by `ms` milliseconds.

        Raises:
            ValueError: If `ms` is negative.
        """
        if ms < 0:
            raise ValueError(f"ms must be >= 0, got {ms}")
        self._now_ms += ms


class BoottimeClock(Clock):
    """Monotonic clock that includes the time of machine suspensions.

    `MonotonicClock` stands still during a suspension: a lease, a deadline or an
    age measured with it would look too young afterwards.
    """

    def now_ms(self) -> int:
        """Returns milliseconds since boot, including suspensions."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NANOSECONDS_PER_MS
