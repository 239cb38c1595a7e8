"""Room that refused streams lacked, which less urgent ones must find."""

from caroblug.core.admission._types import StreamRequest

_RETENTION_MS = 2000
"""Time after which a refusal says nothing about the room any more: every
engine has reported several times."""


class RefusedNeeds:
    """Remembers the largest stream of each rank that was refused."""

    def __init__(self) -> None:
        self._needs: dict[int, tuple[int, int]] = {}

    def add(self, request: StreamRequest, now_ms: int) -> None:
        """Records that a stream is refused for lack of room."""
        tokens, refused_ms = self._needs.get(request.rank, (0, 0))
        if now_ms - refused_ms >= _RETENTION_MS:
            tokens = 0
        self._needs[request.rank] = (max(tokens, request.tokens), now_ms)

    def clear(self) -> None:
        """Forgets all refusals, since room has become free."""
        self._needs.clear()

    def max_tokens(self, rank: int, now_ms: int) -> int:
        """Returns the tokens of the largest more urgent stream refused."""
        return max(
            (
                tokens
                for other, (tokens, refused_ms) in self._needs.items()
                if other < rank and now_ms - refused_ms < _RETENTION_MS
            ),
            default=0,
        )
