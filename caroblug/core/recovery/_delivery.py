"""Exactly-once, in-order delivery of the frames of a session.

A session outlives its connections. Frames are numbered; each end retains the
frames that it has sent until the other end acknowledges them, and resends them
on the next connection.
"""

import collections
from typing import Generic, TypeVar

import attrs

_T = TypeVar("_T")

DEFAULT_MAX_UNACKNOWLEDGED_BYTES = 32 * 1024 * 1024
MAX_EARLY_FRAMES = 4096


@attrs.define
class _Sent:
    """A sent frame that has not been acknowledged."""

    number: int
    payload: bytes
    sent_ms: int


class Delivery(Generic[_T]):
    """Delivery state of one session at one end, in both directions.

    Guards against frames lost with a connection while both ends are alive: a
    stream would never get its next step. Such a loss shows as a connection
    reset or as missing acknowledgements. Unacknowledged frames are resent,
    and the receiving end drops the frames that it already has.

    Args:
        max_unacknowledged_bytes: Maximum size of the retained frames.
    """

    def __init__(
        self, max_unacknowledged_bytes: int = DEFAULT_MAX_UNACKNOWLEDGED_BYTES
    ) -> None:
        self.max_unacknowledged_bytes = max_unacknowledged_bytes
        self._sent: collections.deque[_Sent] = collections.deque()
        self._sent_bytes = 0
        self._next_number = 1
        self._received = 0
        self._early: dict[int, _T] = {}
        self._progress_ms = 0

    @property
    def received(self) -> int:
        """Highest number up to which all frames have been received."""
        return self._received

    @property
    def next_number(self) -> int:
        """Number of the next frame to send."""
        return self._next_number

    @property
    def over_limit(self) -> bool:
        """Whether the unacknowledged or the early frames exceed their bound."""
        return (
            self._sent_bytes > self.max_unacknowledged_bytes
            or len(self._early) > MAX_EARLY_FRAMES
        )

    def retain(self, payload: bytes, now_ms: int) -> None:
        """Retains a frame under the next number until it is acknowledged."""
        self._sent.append(_Sent(self._next_number, payload, now_ms))
        self._sent_bytes += len(payload)
        self._next_number += 1

    def on_acknowledged(self, number: int, now_ms: int) -> None:
        """Drops the retained frames up to `number`."""
        while self._sent and self._sent[0].number <= number:
            self._sent_bytes -= len(self._sent.popleft().payload)
            self._progress_ms = now_ms

    def on_received(self, number: int, frame: _T) -> list[_T]:
        """Accepts a frame and returns the frames now deliverable, in order."""
        if number <= self._received:
            return []
        self._early[number] = frame
        deliverable = []
        while self._received + 1 in self._early:
            self._received += 1
            deliverable.append(self._early.pop(self._received))
        return deliverable

    def unacknowledged(self, now_ms: int) -> list[bytes]:
        """Returns the frames to resend on a new connection, in order."""
        self.restart_wait(now_ms)
        return [sent.payload for sent in self._sent]

    def restart_wait(self, now_ms: int) -> None:
        """Restarts the wait for acknowledgements at `now_ms`."""
        self._progress_ms = now_ms

    def waited_ms(self, now_ms: int) -> int:
        """Returns how long no retained frame has been acknowledged.

        The wait restarts with each acknowledgement, so that a slow peer that
        still acknowledges frames is not taken for a lost one.
        """
        if not self._sent:
            return 0
        return now_ms - max(self._sent[0].sent_ms, self._progress_ms)
