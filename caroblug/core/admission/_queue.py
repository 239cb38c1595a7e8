"""Queue of streams that wait for room."""

from collections.abc import Callable, Iterator

from caroblug.core.admission._types import StreamRequest

_MAX_LENGTH = 256

_MAX_SHARE = 0.5
"""Tokens that may wait, as a share of this gateway's part of the memory."""

_MAX_LATE_SHARE = 0.25
"""Tokens of late streams that may wait, as a share of this gateway's part of
the memory. The rest of the queue remains for streams that can be on time."""


class AdmissionQueue:
    """Streams that wait, bounded in length and in tokens.

    The order is by rank, then by remaining time. Callers that retry have less
    time left and are therefore ahead of newcomers of their rank, unless the
    caller of `ordered` reverses the two groups.

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

    def ordered(self, late_first: Callable[[int], bool]) -> list[StreamRequest]:
        """Returns the streams in the order in which they get room.

        Args:
            late_first: Returns whether the late streams of a rank are ahead of
                the other ones of this rank.
        """
        return sorted(
            self._until_ms, key=lambda r: order_key(r, late_first(r.rank))
        )

    def make_place(
        self,
        request: StreamRequest,
        late_first: Callable[[int], bool],
    ) -> list[StreamRequest] | None:
        """Returns the less urgent streams that one has to displace.

        Args:
            request: The stream that needs a place.
            late_first: Returns whether the late streams of a rank are ahead of
                the other ones of this rank.

        Returns:
            The streams, last first; empty if there is a free place, or None
            if there are too few less urgent streams.
        """
        if self._fits(request, list(self._until_ms)):
            return []
        staying = self.ordered(late_first)
        displaced = []
        while not self._fits(request, staying):
            last = staying.pop()
            if last.begun or last.rank <= request.rank:
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


def order_key(request: StreamRequest, late_first: bool) -> tuple:
    """Returns the key by which streams are ordered.

    Args:
        request: The stream.
        late_first: Whether late streams of its rank are ahead of others.
    """
    return (
        not request.begun,
        request.rank,
        request.late != late_first,
        request.end_ms,
    )
