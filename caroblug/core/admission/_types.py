"""Streams that ask for room, and the decisions about them."""

import attrs

NO_ROOM_REASON = "no room"
"""Beginning of the reason of each refusal by admission control."""

_FIRST_EVENT_MS = 150
"""Time from the start of a run to its first event on healthy engines."""

_MIN_RETURN_GAP_MS = 350
"""Part of the route's timeout whose absence shows that a caller retries: half
of the shortest retry delay, since a caller's own clock and the network take
some of it."""

_LATE_WAIT_SHARE = 0.25
"""Share of its remaining time that a late stream may wait."""

_MAX_LATE_WAIT_MS = 4000

_MAX_BEGUN_WAIT_MS = 500
"""Wait of a stream whose response has begun: one update of the view of the
engines' memory. Its caller already waits for the next event."""


@attrs.frozen(eq=False)
class StreamRequest:
    """A stream that asks for room.

    Attributes:
        rank: Priority; 0 is the most urgent.
        tokens: Tokens that it will hold in the engines' memory.
        arrived_ms: When the request arrived.
        end_ms: Deadline of the request.
        timeout_ms: Timeout of the route.
        objective_ms: Time from the arrival in which the first event is due.
        account: Name of the client account; empty on a public route.
        begun: Whether the caller has received a part of the response.
        ran: Whether an engine may have run the request.
        constrained: Whether some engines are excluded for this stream, so
            that its lack of room says nothing about the room of others.
    """

    rank: int
    tokens: int
    arrived_ms: int
    end_ms: int
    timeout_ms: int
    objective_ms: int
    account: str = ""
    begun: bool = False
    ran: bool = False
    constrained: bool = False

    @property
    def returning(self) -> bool:
        """Whether the caller retries, by the time that it still waits."""
        left_ms = self.end_ms - self.arrived_ms
        return left_ms < self.timeout_ms - _MIN_RETURN_GAP_MS

    @property
    def late(self) -> bool:
        """Whether it can't be on time, or fails if it is refused."""
        return self.begun or self.ran or self.returning

    def wait_until_ms(self, now_ms: int) -> int:
        """Returns until when it may wait for room if it begins to wait now."""
        if not self.late:
            on_time_ms = self.arrived_ms + self.objective_ms - _FIRST_EVENT_MS
            return min(on_time_ms, self.end_ms)
        left_ms = max(0, self.end_ms - now_ms)
        longest_ms = _MAX_BEGUN_WAIT_MS if self.begun else _MAX_LATE_WAIT_MS
        return now_ms + min(int(left_ms * _LATE_WAIT_SHARE), longest_ms)


@attrs.frozen
class Refuse:
    """Decision to refuse a stream.

    Attributes:
        reason: Why, for the caller and the log.
        retry_after_ms: Delay after which the caller may retry.
    """

    reason: str
    retry_after_ms: int


@attrs.frozen
class Wait:
    """Decision to let a stream wait for room.

    Attributes:
        until_ms: When it is refused if there is still no room.
        expected_ms: Expected time until it has room.
        displaced: Less urgent streams that it replaces in the queue, each with
            its refusal.
    """

    until_ms: int
    expected_ms: float
    displaced: tuple[tuple[StreamRequest, Refuse], ...] = ()
