"""Closes callers' connections when the process holds too much for them."""

import abc
import functools
import resource
import sys
from collections.abc import Callable

import gevent

from caroblug.core.limits import HeldResources, Holding, ResourceBounds
from caroblug.utils import Clock

_ROOM_POLL_S = 0.02

_FILE_DESCRIPTORS = 64
"""Descriptors of a process that are no sockets: files, pipes, polls."""


@functools.cache
def count_process_sockets() -> int:
    """Returns how many sockets the limit of the process allows, at least 1."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return sys.maxsize
    return max(1, limit - _FILE_DESCRIPTORS)


class ClosableConnection(abc.ABC):
    """A connection that can be closed to release what it holds."""

    @abc.abstractmethod
    def evict(self) -> None:
        """Releases memory at once and closes the connection.

        A request that has not begun to run is refused.
        """


class CallerResources:
    """Accounts for the connections of all servers of a process.

    Args:
        clock: Source of time.
        bounds: Function that returns the bounds in force.
        on_evicted: Called with each connection that is closed to keep the
            bounds, and the time for which it has held its memory.
    """

    def __init__(
        self,
        clock: Clock,
        bounds: Callable[[], ResourceBounds] = ResourceBounds,
        on_evicted: Callable[[Holding, int], None] = lambda holding, ms: None,
    ) -> None:
        self._clock = clock
        self._on_evicted = on_evicted
        self._held = HeldResources(bounds)

    @property
    def held(self) -> HeldResources:
        """What the connections hold."""
        return self._held

    def open(self, connection: ClosableConnection) -> Holding:
        """Adds a connection and returns its holding."""
        return self._held.open(connection, self._clock.now_ms())

    def set_bytes(self, holding: Holding, held_bytes: int) -> None:
        """Sets what a connection holds, and keeps the bounds."""
        before = holding.held_bytes
        self._held.set_bytes(holding, held_bytes)
        if holding.held_bytes > before:
            self.make_room()

    def restart(self, holding: Holding) -> None:
        """Restarts the time for which a connection has held its memory."""
        holding.since_ms = self._clock.now_ms()

    def take_room(self, size_bytes: int, end_ms: int) -> bool:
        """Waits for memory for an answer and reserves it.

        Args:
            size_bytes: Size of the answer; `give_room` gives it back.
            end_ms: Time until which to wait.

        Returns:
            Whether the memory was reserved.
        """
        while not self._held.may_run(size_bytes):
            if self._clock.now_ms() >= end_ms:
                return False
            gevent.sleep(_ROOM_POLL_S)
        self._held.reserve(size_bytes)
        self.make_room()
        return True

    def give_room(self, size_bytes: int) -> None:
        """Gives back what `take_room` has reserved."""
        self._held.release(size_bytes)

    def make_room(self) -> None:
        """Closes connections until the bounds are kept."""
        now_ms = self._clock.now_ms()
        for holding in self._held.select_excess(now_ms):
            self._on_evicted(holding, now_ms - holding.since_ms)
            holding.connection.evict()
