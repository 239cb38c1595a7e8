"""Recent changes of a number of tokens."""

import collections

_RETENTION_MS = 4000
"""Time for which changes are retained: longer than any report of an engine is
used."""


class TokenHistory:
    """Changes of one engine's tokens over the last seconds."""

    def __init__(self) -> None:
        self._changes: collections.deque[tuple[int, float]] = (
            collections.deque()
        )

    def add(self, tokens: float, now_ms: int) -> None:
        """Adds a change of `tokens` tokens, negative if they were removed."""
        changes = self._changes
        if changes and changes[-1][0] == now_ms:
            changes[-1] = (now_ms, changes[-1][1] + tokens)
        else:
            changes.append((now_ms, tokens))
        while changes[0][0] <= now_ms - _RETENTION_MS:
            changes.popleft()

    def since(self, ms: int) -> float:
        """Returns the sum of the changes after a point in time."""
        total = 0.0
        for changed_ms, tokens in reversed(self._changes):
            if changed_ms <= ms:
                break
            total += tokens
        return total
