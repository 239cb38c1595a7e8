"""Frames of one session: numbered, acknowledged, delivered once, in order.

A session outlives its connections. Each end keeps what it has sent until the
other end has acknowledged it, and sends it again on the next connection.
"""

import collections
from typing import Generic, TypeVar

import attrs

_T = TypeVar("_T")

DEFAULT_UNACKNOWLEDGED_BYTES = 32 * 1024 * 1024
MAX_EARLY_FRAMES = 4096


@attrs.define
class _Sent:
    """A frame that waits for its acknowledgement."""

    number: int
    payload: bytes
    sent_ms: int


class Delivery(Generic[_T]):
    """Both directions of one session, as one end sees them.

    Guards against frames lost with a connection while both ends live: a gap
    would leave a stream without its next step for good. It shows as a reset
    or as missing acknowledgements; what is not acknowledged is sent again,
    and the receiving end drops what it has had.

    Args:
        unacknowledged_bytes: Bound on what is kept for sending again.
    """

    def __init__(
        self, unacknowledged_bytes: int = DEFAULT_UNACKNOWLEDGED_BYTES
    ) -> None:
        self.unacknowledged_bytes = unacknowledged_bytes
        self._sent: collections.deque[_Sent] = collections.deque()
        self._sent_bytes = 0
        self._next = 1
        self._received = 0
        self._early: dict[int, _T] = {}
        self._progress_ms = 0

    @property
    def received(self) -> int:
        """Every number up to this one has been received."""
        return self._received

    @property
    def next_number(self) -> int:
        """Number of the next frame to send."""
        return self._next

    @property
    def over_limit(self) -> bool:
        """Whether more is unacknowledged, or early, than may be kept."""
        return (
            self._sent_bytes > self.unacknowledged_bytes
            or len(self._early) > MAX_EARLY_FRAMES
        )

    def retain(self, payload: bytes, now_ms: int) -> None:
        """Keeps the frame with the next number until it is acknowledged."""
        self._sent.append(_Sent(self._next, payload, now_ms))
        self._sent_bytes += len(payload)
        self._next += 1

    def on_acknowledged(self, number: int, now_ms: int) -> None:
        """Forgets every frame up to `number`."""
        while self._sent and self._sent[0].number <= number:
            self._sent_bytes -= len(self._sent.popleft().payload)
            self._progress_ms = now_ms

    def on_received(self, number: int, frame: _T) -> list[_T]:
        """Takes a frame and returns those now due, in order."""
        if number <= self._received:
            return []
        self._early[number] = frame
        due = []
        while self._received + 1 in self._early:
            self._received += 1
            due.append(self._early.pop(self._received))
        return due

    def unacknowledged(self, now_ms: int) -> list[bytes]:
        """Returns what to send again on another connection, in order."""
        self.restart_wait(now_ms)
        return [sent.payload for sent in self._sent]

    def restart_wait(self, now_ms: int) -> None:
        """Counts the wait for acknowledgements from now."""
        self._progress_ms = now_ms

    def waited_ms(self, now_ms: int) -> int:
        """Returns how long the oldest frame has waited without progress.

        A slow peer that still acknowledges something makes progress.
        """
        if not self._sent:
            return 0
        return now_ms - max(self._sent[0].sent_ms, self._progress_ms)
