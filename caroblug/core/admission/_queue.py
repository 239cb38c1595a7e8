"""Queue of streams that wait for room."""

from collections.abc import Callable, Iterator

from caroblug.core.admission._types import StreamRequest

OrderKey = Callable[[StreamRequest], tuple[tuple, tuple]]
"""Returns the class of a stream, and its order within the class."""

_MAX_LENGTH = 256

_MAX_SHARE = 0.5
"""Tokens that may wait, as a share of this gateway's part of the memory."""

_MAX_LATE_SHARE = 0.25
"""Tokens of late streams that may wait, as a share of this gateway's part of
the memory. The rest of the queue remains for streams that can be on time."""


class AdmissionQueue:
    """Streams that wait, bounded in length and in tokens.

    Streams are ordered by a key whose first part is their class, such as the
    rank. A stream may displace those of a later class.

    Attributes:
        capacity: This gateway's equal part of the fleet's memory, in tokens; 0
            if it is unknown, in which case only the length is bounded.
    """

    def __init__(self) -> None:
        self._until_ms: dict[StreamRequest, int] = {}
        self.capacity = 0.0

    def __len__(self) -> int:
        return len(self._until_ms)

    def __contains__(self, request: StreamRequest) -> bool:
        return request in self._until_ms

    def __iter__(self) -> Iterator[StreamRequest]:
        """Returns the streams in the order of their arrival."""
        return iter(self._until_ms)

    def add(self, request: StreamRequest, until_ms: int) -> None:
        """Adds a stream.

        Args:
            request: The stream.
            until_ms: When it has waited too long.
        """
        self._until_ms[request] = until_ms

    def remove(self, request: StreamRequest) -> None:
        """Removes a stream, if it waits."""
        self._until_ms.pop(request, None)

    def overdue(self, now_ms: int) -> list[StreamRequest]:
        """Returns the streams that have waited too long."""
        return [r for r, until in self._until_ms.items() if until <= now_ms]

    def ordered(self, key: OrderKey) -> list[StreamRequest]:
        """Returns the streams in the order in which they get room.

        Args:
            key: Returns the class of a stream and its order within the class.
        """
        return sorted(self._until_ms, key=key)

    def make_place(
        self, request: StreamRequest, key: OrderKey
    ) -> list[StreamRequest] | None:
        """Returns the streams of later classes that one has to displace.

        Args:
            request: The stream that needs a place.
            key: Returns the class of a stream and its order within the class.

        Returns:
            The streams, last first; empty if there is a free place, or None
            if there are too few of later classes.
        """
        if self._fits(request, list(self._until_ms)):
            return []
        own_class, _ = key(request)
        staying = self.ordered(key)
        displaced = []
        while not self._fits(request, staying):
            last = staying.pop()
            if key(last)[0] <= own_class:
                return None
            displaced.append(last)
        return displaced

    def _fits(
        self, request: StreamRequest, waiting: list[StreamRequest]
    ) -> bool:
        """Returns whether a stream has a place beside others.

        One stream has a place in any case, however small the memory is.
        """
        if not waiting:
            return True
        if len(waiting) >= _MAX_LENGTH:
            return False
        if not self.capacity:
            return True
        tokens = request.tokens + sum(r.tokens for r in waiting)
        if tokens > self.capacity * _MAX_SHARE:
            return False
        late = sum(r.tokens for r in waiting if r.late)
        if not request.late or not late:
            return True
        return late + request.tokens <= self.capacity * _MAX_LATE_SHARE
