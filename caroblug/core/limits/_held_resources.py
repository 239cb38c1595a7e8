"""What callers make a process hold, and whose connection is closed first.

Each connection has a `Holding`, which counts its bytes where they are taken.
All connections of a process share one budget. A request that runs is not
interrupted; it is pinned. Of the other connections, those are closed first
that have held most for longest.
"""

import heapq
import math
from collections.abc import Callable

import attrs

CONNECTION_BYTES = 16 * 1024
"""Memory of a connection without a request: greenlet, socket, parser."""

RUN_BYTES = 24 * 1024
"""Memory of a request that runs, beside its head and body."""

_SMALL_REQUEST_BYTES = 128 * 1024
"""Size up to which a request may use the whole budget."""

_LARGE_RUN_SHARE = 0.75
"""Share of the budget that running requests may fill with larger ones."""

_TARGET_SHARE = 0.9
"""Share of the budget down to which connections are closed once it is spent.
The margin makes the search for them rare."""


@attrs.frozen
class ResourceBounds:
    """What callers may make a process hold.

    Attributes:
        memory_bytes: Memory of all connections together.
        connections: Number of connections.
    """

    memory_bytes: float = math.inf
    connections: float = math.inf


@attrs.define(eq=False)
class Holding:
    """What one connection makes the process hold.

    Attributes:
        connection: The connection.
        since_ms: When its present request, or its idle time, began.
        held_bytes: Memory that it holds.
        pinned: Whether it must not be closed, as its request runs.
    """

    connection: object
    since_ms: int
    held_bytes: int = CONNECTION_BYTES
    pinned: bool = False

    def weight(self, now_ms: int) -> int:
        """Returns what it holds, times how long."""
        return self.held_bytes * (now_ms - self.since_ms + 1)


class HeldResources:
    """Counts what all connections of a process hold.

    Args:
        bounds: Function that returns the bounds in force.
    """

    def __init__(self, bounds: Callable[[], ResourceBounds]) -> None:
        self._bounds = bounds
        self._holdings: set[Holding] = set()
        self._held_bytes = 0
        self._pinned_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Memory that all connections hold."""
        return self._held_bytes

    @property
    def connections(self) -> int:
        """Number of connections."""
        return len(self._holdings)

    def open(self, connection: object, now_ms: int) -> Holding:
        """Adds a connection and returns its holding."""
        holding = Holding(connection, now_ms)
        self._holdings.add(holding)
        self._held_bytes += holding.held_bytes
        return holding

    def close(self, holding: Holding) -> None:
        """Removes a connection that has ended, once or more often."""
        if holding in self._holdings:
            self.set_pinned(holding, False)
            self._holdings.remove(holding)
            self._held_bytes -= holding.held_bytes

    def set_bytes(self, holding: Holding, held_bytes: int) -> None:
        """Sets the memory that a connection holds beside its own."""
        if holding not in self._holdings:
            return
        change = CONNECTION_BYTES + held_bytes - holding.held_bytes
        holding.held_bytes += change
        self._held_bytes += change
        if holding.pinned:
            self._pinned_bytes += change

    def set_pinned(self, holding: Holding, pinned: bool) -> None:
        """Sets whether a connection must not be closed."""
        if holding not in self._holdings or holding.pinned == pinned:
            return
        holding.pinned = pinned
        change = holding.held_bytes if pinned else -holding.held_bytes
        self._pinned_bytes += change

    def may_run(self, request_bytes: int) -> bool:
        """Returns whether a complete request may begin to run.

        Large requests leave a part of the budget to small ones, which would
        otherwise be refused for as long as the large ones run.

        Args:
            request_bytes: Memory that the request holds while it runs.
        """
        allowed = self._bounds().memory_bytes
        if request_bytes > _SMALL_REQUEST_BYTES:
            allowed *= _LARGE_RUN_SHARE
        return self._pinned_bytes + request_bytes <= allowed

    def reserve(self, reserved_bytes: int) -> None:
        """Adds memory that a running request takes beside its connection."""
        self._held_bytes += reserved_bytes
        self._pinned_bytes += reserved_bytes

    def release(self, reserved_bytes: int) -> None:
        """Gives back reserved memory."""
        self.reserve(-reserved_bytes)

    def select_excess(self, now_ms: int) -> list[Holding]:
        """Returns the connections to close so that the bounds are kept.

        Args:
            now_ms: Current time.

        Returns:
            Connections that are not pinned, those that have held most for
            longest first; all of them if that isn't enough.
        """
        bounds = self._bounds()
        too_many = len(self._holdings) - bounds.connections
        if too_many <= 0 and self._held_bytes <= bounds.memory_bytes:
            return []
        too_large = 0.0
        if self._held_bytes > bounds.memory_bytes:
            too_large = self._held_bytes - bounds.memory_bytes * _TARGET_SHARE
        candidates = [(-h.weight(now_ms), id(h), h) for h in self._holdings]
        heapq.heapify(candidates)
        selected = []
        while candidates and (too_many > 0 or too_large > 0):
            holding = heapq.heappop(candidates)[-1]
            if not holding.pinned:
                selected.append(holding)
                too_many -= 1
                too_large -= holding.held_bytes
        return selected
