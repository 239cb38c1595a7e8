"""What is in the engine now, by client account and by session."""

import collections
from collections.abc import Mapping, Sequence

from caroblug.transport import EngineItem

OVERTAKING = 0
NORMAL = 1


class EngineOccupancy:
    """Counts items and positions from when they are taken till answered."""

    def __init__(self) -> None:
        self.items = 0
        self._positions: collections.Counter[int] = collections.Counter()
        self._ends: dict[str, int] = {}
        self._account_of: dict[str, str] = {}
        self._by_account: collections.Counter[str] = collections.Counter()

    @property
    def positions(self) -> int:
        """Positions in the engine."""
        return sum(self._positions.values())

    @property
    def sessions(self) -> Mapping[str, int]:
        """Sessions in the engine, with one past their last position there."""
        return dict(self._ends)

    def positions_of(self, priority: int) -> int:
        """Returns the positions in the engine in calls of a priority."""
        return self._positions[priority]

    def has_half_of_heaviest(self, client_account: str) -> bool:
        """Tells whether an account has half of what the heaviest has."""
        heaviest = max(self._by_account.values(), default=0)
        return 2 * self._by_account[client_account] >= heaviest

    def take(self, client_account: str, session: str, positions: int) -> None:
        """Counts an item that is about to go in."""
        self._by_account[client_account] += positions
        self._account_of[session] = client_account

    def extend(self, session: str, positions: int) -> None:
        """Counts more positions of an item that is about to go in."""
        self._by_account[self._account_of[session]] += positions

    def begin(self, items: Sequence[EngineItem]) -> None:
        """Counts a call, all of whose items have one priority."""
        self.items += len(items)
        for item in items:
            self._positions[item.priority] += len(item.inputs)
            self._ends[item.session] = item.position + len(item.inputs)

    def end(self, items: Sequence[EngineItem]) -> None:
        """Counts a call out that was answered, or was not."""
        self.items -= len(items)
        for item in items:
            self._positions[item.priority] -= len(item.inputs)
            self._ends.pop(item.session, None)
            account = self._account_of.pop(item.session, None)
            if account is None:
                continue
            self._by_account[account] -= len(item.inputs)
            if not self._by_account[account]:
                del self._by_account[account]
