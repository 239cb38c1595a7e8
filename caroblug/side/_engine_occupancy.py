"""Accounting of the items that are in the engine."""

import collections
from collections.abc import Mapping, Sequence

from caroblug.transport import EngineItem

OVERTAKING_PRIORITY = 0
NORMAL_PRIORITY = 1


class EngineOccupancy:
    """Counts items and positions in the engine, by account and by session.

    An item counts towards its account from the moment it is dequeued, and
    towards the engine from the start of its call.
    """

    def __init__(self) -> None:
        self.items = 0
        self._positions: collections.Counter[int] = collections.Counter()
        self._session_ends: dict[str, int] = {}
        self._account_of: dict[str, str] = {}
        self._positions_by_account: collections.Counter[str] = (
            collections.Counter()
        )

    @property
    def positions(self) -> int:
        """Number of positions in the engine."""
        return sum(self._positions.values())

    @property
    def sessions(self) -> Mapping[str, int]:
        """Sessions in the engine, each with one past its last position."""
        return dict(self._session_ends)

    def positions_with_priority(self, priority: int) -> int:
        """Returns the number of positions in calls with a priority."""
        return self._positions[priority]

    def has_half_of_heaviest(self, client_account: str) -> bool:
        """Returns whether an account has half the positions of the heaviest."""
        heaviest = max(self._positions_by_account.values(), default=0)
        return 2 * self._positions_by_account[client_account] >= heaviest

    def add_item(
        self, client_account: str, session: str, positions: int
    ) -> None:
        """Counts a dequeued item towards its account."""
        self._positions_by_account[client_account] += positions
        self._account_of[session] = client_account

    def extend_item(self, session: str, positions: int) -> None:
        """Counts further positions of a dequeued item."""
        self._positions_by_account[self._account_of[session]] += positions

    def begin_call(self, items: Sequence[EngineItem]) -> None:
        """Counts the items of a starting call, which have one priority."""
        self.items += len(items)
        for item in items:
            self._positions[item.priority] += len(item.inputs)
            self._session_ends[item.session] = item.position + len(item.inputs)

    def end_call(self, items: Sequence[EngineItem]) -> None:
        """Removes the items of a call that has succeeded or failed."""
        self.items -= len(items)
        for item in items:
            self._positions[item.priority] -= len(item.inputs)
            self._session_ends.pop(item.session, None)
            account = self._account_of.pop(item.session, None)
            if account is None:
                continue
            self._positions_by_account[account] -= len(item.inputs)
            if not self._positions_by_account[account]:
                del self._positions_by_account[account]
