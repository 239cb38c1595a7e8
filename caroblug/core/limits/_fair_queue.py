"""Queues of an engine's work: fair by client account, or first come.

References:
    Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024: a
    virtual token counter per client, in weighted tokens.
    Goyal et al., "Start-time Fair Queueing", SIGCOMM 1996: an account that
    was idle starts at the counter of the item in service, which bounds how
    far two waiting accounts can part.
"""

import abc
import collections
import heapq
from collections.abc import Callable
from typing import Generic, TypeVar

_T = TypeVar("_T")

_IDLE_COUNTERS = 64


class ItemQueue(abc.ABC, Generic[_T]):
    """The order in which an engine's waiting items are served."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Returns how many items wait."""

    @abc.abstractmethod
    def put(
        self, client_account: str, item: _T, cost: float, weight: float = 1.0
    ) -> None:
        """Adds an item.

        Args:
            client_account: Whose item it is.
            item: The item.
            cost: Its cost in weighted tokens, > 0.
            weight: The account's share relative to others, > 0; the newest
                one given counts for all its items that wait.
        """

    @abc.abstractmethod
    def get(self) -> _T:
        """Removes and returns the next item; the queue must not be empty."""

    @abc.abstractmethod
    def get_excluding(self, is_full: Callable[[str], bool]) -> _T | None:
        """Removes and returns the next item of an account that is not full.

        Args:
            is_full: Tells whether an account is to be passed over.

        Returns:
            The item; None if there is none, or nobody is preferred.
        """


class FifoQueue(ItemQueue[_T]):
    """Serves items in the order they came: the baseline of measurements."""

    def __init__(self) -> None:
        self._items: collections.deque[_T] = collections.deque()

    def __len__(self) -> int:
        return len(self._items)

    def put(
        self, client_account: str, item: _T, cost: float, weight: float = 1.0
    ) -> None:
        """Adds an item at the end."""
        del client_account, cost, weight
        self._items.append(item)

    def get(self) -> _T:
        """Removes and returns the oldest item."""
        return self._items.popleft()

    def get_excluding(self, is_full: Callable[[str], bool]) -> _T | None:
        """Returns None: nobody is preferred."""
        del is_full
        return None


class FairQueue(ItemQueue[_T]):
    """Serves the waiting account that has had the least weighted service.

    State is one counter for each account that waits, and for each idle one
    whose counter is still ahead of the item in service.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, collections.deque[tuple[_T, float]]] = {}
        self._weights: dict[str, float] = {}
        self._served: dict[str, float] = {}
        self._order: list[tuple[float, str]] = []
        self._floor = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    @property
    def counters(self) -> int:
        """How many accounts' counters are kept."""
        return len(self._served)

    def put(
        self, client_account: str, item: _T, cost: float, weight: float = 1.0
    ) -> None:
        """Adds an item behind the account's others."""
        queue = self._waiting.get(client_account)
        if queue is None:
            queue = self._waiting[client_account] = collections.deque()
            served = self._served.get(client_account, 0.0)
            self._served[client_account] = max(served, self._floor)
            self._push(client_account)
        self._weights[client_account] = weight
        queue.append((item, cost))
        self._length += 1

    def get(self) -> _T:
        """Removes and returns the next item."""
        served, account = heapq.heappop(self._order)
        self._advance(served)
        return self._serve(account)

    def get_excluding(self, is_full: Callable[[str], bool]) -> _T | None:
        """Removes and returns the next item of an account that is not full.

        Accounts that are passed over keep their counters and their places.
        """
        passed = []
        item = None
        while self._order and item is None:
            served, account = heapq.heappop(self._order)
            if is_full(account):
                passed.append((served, account))
                continue
            self._advance(passed[0][0] if passed else served)
            item = self._serve(account)
        for entry in passed:
            heapq.heappush(self._order, entry)
        return item

    def _advance(self, served: float) -> None:
        if served < self._floor:
            raise AssertionError("the least counter went back")
        self._floor = served

    def _serve(self, account: str) -> _T:
        queue = self._waiting[account]
        item, cost = queue.popleft()
        self._served[account] += cost / self._weights[account]
        self._length -= 1
        if queue:
            self._push(account)
        else:
            del self._waiting[account]
            del self._weights[account]
            self._forget_idle()
        return item

    def _push(self, account: str) -> None:
        heapq.heappush(self._order, (self._served[account], account))

    def _forget_idle(self) -> None:
        """Drops counters at or below the floor: they would start there.

        When nothing waits, nobody is behind anybody, and all start anew.
        """
        if not self._waiting:
            self._floor = max(self._served.values())
            self._served.clear()
            return
        if len(self._served) <= 2 * len(self._waiting) + _IDLE_COUNTERS:
            return
        self._served = {
            account: served
            for account, served in self._served.items()
            if account in self._waiting or served > self._floor
        }


_QUEUES = {"fair": FairQueue, "fifo": FifoQueue}
QUEUE_KINDS = tuple(_QUEUES)


def make_queue(kind: str) -> ItemQueue:
    """Returns an empty queue of one of `QUEUE_KINDS`."""
    return _QUEUES[kind]()
