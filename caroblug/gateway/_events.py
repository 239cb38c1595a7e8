"""Server-sent events of one stream, over any number of runs.

Only whole events are passed on, in order of their ids, each once: a run may
end in the middle of an event, and the run that goes on after it may begin with
events that the caller has.
"""

import re

import attrs

_ID = re.compile(rb"(?:^|\n)id: ?(\d+)")
_GAP = re.compile(rb"\r?\n\r?\n")


@attrs.frozen
class Event:
    """One event.

    Attributes:
        id: Its id; None for an event without one.
        data: Its bytes, with the blank line that ends it.
    """

    id: int | None
    data: bytes


@attrs.frozen
class Misordered:
    """An event does not follow the last one that was passed on.

    Attributes:
        expected: The id that was due.
        found: The id that came.
    """

    expected: int
    found: int


class EventSequence:
    """Cuts the bytes of runs into events and keeps their order.

    Args:
        last_id: Id of the last event that the caller has; None if it has
            none.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self._last_id = last_id
        self._rest = b""
        self._count = 0

    @property
    def last_id(self) -> int | None:
        """Id of the last event passed on, or that the caller had before."""
        return self._last_id

    @property
    def count(self) -> int:
        """Events passed on."""
        return self._count

    @property
    def mid_event(self) -> bool:
        """Whether bytes of an event have come whose end hasn't."""
        return bool(self._rest)

    def begin_run(self) -> None:
        """Forgets the unfinished event of the run before."""
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes] | Misordered:
        """Takes bytes of a run; returns what to pass on."""
        self._rest += data
        passed = []
        while (gap := _GAP.search(self._rest)) is not None:
            event = self._rest[: gap.end()]
            self._rest = self._rest[gap.end() :]
            problem = self._take(event, passed)
            if problem is not None:
                return problem
        return passed

    def _take(self, event: bytes, passed: list[bytes]) -> Misordered | None:
        match = _ID.search(event)
        if match is not None:
            found = int(match.group(1))
            last = self._last_id
            if last is not None and found <= last:
                return None
            if last is not None and found != last + 1:
                return Misordered(last + 1, found)
            self._last_id = found
        self._count += 1
        passed.append(event)
        return None


_GAP_WEIGHT = 0.2
_GAP_EVENTS = 12
"""Events of a run after which its mean gap is told: by then it counts for nine
tenths of what is told."""


class EventPace:
    """Time between the events of one run."""

    def __init__(self) -> None:
        self._events = 0
        self._gap_ms = 0.0

    @property
    def events(self) -> int:
        """Events of the run so far."""
        return self._events

    @property
    def gap_ms(self) -> float:
        """Mean time between the latest events; 0 before it is known."""
        return self._gap_ms if self._events >= _GAP_EVENTS else 0.0

    def add(self, events: int, after_ms: int) -> None:
        """Takes events that came together.

        Args:
            events: How many.
            after_ms: Time since the ones before, or since the run began.
        """
        if self._events:
            self._gap_ms += (after_ms / events - self._gap_ms) * _GAP_WEIGHT
        self._events += events
