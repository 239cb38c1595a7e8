"""Ordering of server-sent events across the runs of one stream.

Only complete events are forwarded, once each and in order of their ids. A run
may end in the middle of an event, and the run that replaces it may begin with
events that the caller already has.
"""

import re

import attrs

from caroblug.utils import parse_digits

_EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d+)")
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_MAX_EVENT_END_BYTES = 4

MAX_EVENT_BYTES = 1 << 20
"""Limit on an event. It holds a few tokens of text."""


@attrs.frozen
class Event:
    """A server-sent event.

    Attributes:
        id: Event id; None for an event without one.
        data: Bytes of the event, including the blank line that ends it.
    """

    id: int | None
    data: bytes


@attrs.frozen
class OutOfOrderEvent:
    """An event whose id doesn't follow that of the last forwarded event.

    Attributes:
        expected: Next id in the sequence.
        found: Id received; None if it has too many digits.
    """

    expected: int
    found: int | None


@attrs.frozen
class OversizedEvent:
    """An event that is larger than `MAX_EVENT_BYTES`."""


class EventSequence:
    """Splits the bytes of runs into events and enforces their order.

    Args:
        last_id: Id of the last event that the caller already has; None if it
            has none.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self._last_id = last_id
        self._buffer = bytearray()
        self._count = 0

    @property
    def last_id(self) -> int | None:
        """Id of the last event forwarded or already held by the caller."""
        return self._last_id

    @property
    def count(self) -> int:
        """Number of events forwarded."""
        return self._count

    @property
    def mid_event(self) -> bool:
        """Whether the bytes received end inside an event."""
        return bool(self._buffer)

    def begin_run(self) -> None:
        """Discards the incomplete event of the previous run."""
        self._buffer.clear()

    def feed(
        self, data: bytes
    ) -> list[bytes] | OutOfOrderEvent | OversizedEvent:
        """Parses more bytes of a run.

        Args:
            data: Bytes received.

        Returns:
            The events to forward, or the first one that is out of order or too
            large.
        """
        searched = max(0, len(self._buffer) - _MAX_EVENT_END_BYTES + 1)
        self._buffer += data
        forwarded = []
        begin = 0
        while True:
            match = _EVENT_END.search(self._buffer, searched)
            if match is None:
                break
            event = bytes(self._buffer[begin : match.end()])
            begin = searched = match.end()
            problem = self._accept(event, forwarded)
            if problem is not None:
                return problem
        del self._buffer[:begin]
        if len(self._buffer) > MAX_EVENT_BYTES:
            return OversizedEvent()
        return forwarded

    def _accept(
        self, event: bytes, forwarded: list[bytes]
    ) -> OutOfOrderEvent | None:
        match = _EVENT_ID.search(event)
        if match is not None:
            found = parse_digits(match.group(1).decode())
            last = self._last_id
            if found is None:
                return OutOfOrderEvent((last or 0) + 1, None)
            if last is not None and found <= last:
                return None
            if last is not None and found != last + 1:
                return OutOfOrderEvent(last + 1, found)
            self._last_id = found
        self._count += 1
        forwarded.append(event)
        return None


_GAP_SMOOTHING = 0.2
_GAP_MIN_EVENTS = 12
"""Events of a run before its mean gap is reported. The moving average starts at
0; by then, measured gaps make up nine tenths of it."""


class EventPace:
    """Moving average of the time between the events of one run."""

    def __init__(self) -> None:
        self._events = 0
        self._gap_ms = 0.0
        self._written_ms = 0

    @property
    def written_ms(self) -> int:
        """Time from the first event of the run to the latest, in ms."""
        return self._written_ms

    @property
    def events(self) -> int:
        """Number of events of the run so far."""
        return self._events

    @property
    def gap_ms(self) -> float:
        """Mean time between recent events; 0 until enough have arrived."""
        return self._gap_ms if self._events >= _GAP_MIN_EVENTS else 0.0

    def add(self, events: int, after_ms: int) -> None:
        """Records events that arrived together.

        Args:
            events: Number of events.
            after_ms: Time since the previous events, or since the run began.
        """
        if self._events:
            self._written_ms += after_ms
            self._gap_ms += (after_ms / events - self._gap_ms) * _GAP_SMOOTHING
        self._events += events
