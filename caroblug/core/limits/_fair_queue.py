"""Fair queueing by client account, in weighted tokens.

References:
    Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024: a
    virtual token counter per client; an account that was idle starts at the
    least counter of those that wait.
"""

import collections
from typing import Generic, TypeVar

_T = TypeVar("_T")


class FairQueue(Generic[_T]):
    """Serves the waiting account that has had the least weighted service."""

    def __init__(self) -> None:
        self._waiting: dict[str, collections.deque[tuple[_T, float]]] = {}
        self._served: dict[str, float] = {}
        self._floor = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def put(
        self, client_account: str, item: _T, cost: float, weight: float = 1.0
    ) -> None:
        """Adds an item.

        Args:
            client_account: Whose item it is.
            item: The item.
            cost: Its cost in weighted tokens, > 0.
            weight: The account's share relative to others, > 0.
        """
        queue = self._waiting.get(client_account)
        if queue is None:
            queue = self._waiting[client_account] = collections.deque()
            served = self._served.get(client_account, 0.0)
            self._served[client_account] = max(served, self._floor)
        queue.append((item, cost / weight))
        self._length += 1

    def get(self) -> _T:
        """Removes and returns the next item; the queue must not be empty."""
        account = min(self._waiting, key=self._served.__getitem__)
        self._floor = max(self._floor, self._served[account])
        queue = self._waiting[account]
        item, cost = queue.popleft()
        self._served[account] += cost
        self._length -= 1
        if not queue:
            del self._waiting[account]
            self._forget_idle()
        return item

    def _forget_idle(self) -> None:
        """Drops counters at or below the floor: they would start there."""
        if len(self._served) <= 2 * len(self._waiting) + 64:
            return
        self._served = {
            account: served
            for account, served in self._served.items()
            if account in self._waiting or served > self._floor
        }
