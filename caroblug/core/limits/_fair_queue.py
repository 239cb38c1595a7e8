"""Queues of items for an engine: fair among client accounts, or FIFO.

References:
    Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024: a
    virtual token counter per client, in weighted tokens.
    Goyal et al., "Start-time Fair Queueing", SIGCOMM 1996: an account that
    was idle starts at the counter of the item in service, which bounds the
    difference between the counters of any two waiting accounts.
"""

import abc
import collections
import heapq
from collections.abc import Callable
from typing import Generic, TypeVar

_T = TypeVar("_T")

_IDLE_COUNTERS_BEFORE_SWEEP = 64


class ItemQueue(abc.ABC, Generic[_T]):
    """Queue that decides the order in which waiting items are served."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Returns the number of waiting items."""

    @abc.abstractmethod
    def put(
        self, client_account: str, item: _T, cost: float, weight: float = 1.0
    ) -> None:
        """Adds an item.

        Args:
            client_account: Account that the item belongs to.
            item: The item.
            cost: Cost of the item in weighted tokens, > 0.
            weight: Share of the account relative to others, > 0. The newest
                value applies to all waiting items of the account.
        """

    @abc.abstractmethod
    def get(self) -> _T:
        """Removes and returns the next item; the queue must not be empty."""

    @abc.abstractmethod
    def get_excluding(self, is_excluded: Callable[[str], bool]) -> _T | None:
        """Removes and returns the next item, passing over some accounts.

        Args:
            is_excluded: Returns whether an account is passed over.

        Returns:
            The item; None if no other account waits, or if the queue does
            not distinguish accounts.
        """


class FifoQueue(ItemQueue[_T]):
    """Serves items in order of arrival; the baseline in benchmarks."""

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

    def get_excluding(self, is_excluded: Callable[[str], bool]) -> _T | None:
        """Returns None: the queue does not distinguish accounts."""
        del is_excluded
        return None


class FairQueue(ItemQueue[_T]):
    """Serves the waiting account that has received the least service.

    Service is counted in weighted tokens, divided by the account's weight.
    The virtual time is the least counter of a waiting account when the last
    item was taken. The state is one counter for each waiting account, and for
    each idle one whose counter is still above the virtual time.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, collections.deque[tuple[_T, float]]] = {}
        self._weights: dict[str, float] = {}
        self._counters: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    @property
    def counters(self) -> int:
        """Number of accounts with a counter."""
        return len(self._counters)

    def put(
        self, client_account: str, item: _T, cost: float, weight: float = 1.0
    ) -> None:
        """Adds an item behind the other items of its account."""
        queue = self._waiting.get(client_account)
        if queue is None:
            queue = self._waiting[client_account] = collections.deque()
            served = self._counters.get(client_account, 0.0)
            self._counters[client_account] = max(served, self._virtual_time)
            self._push(client_account)
        self._weights[client_account] = weight
        queue.append((item, cost))
        self._length += 1

    def get(self) -> _T:
        """Removes and returns the next item."""
        served, account = heapq.heappop(self._heap)
        self._advance_virtual_time(served)
        return self._serve(account)

    def get_excluding(self, is_excluded: Callable[[str], bool]) -> _T | None:
        """Removes and returns the next item, passing over some accounts.

        Accounts that are passed over keep their counters and positions.
        """
        skipped = []
        item = None
        while self._heap and item is None:
            served, account = heapq.heappop(self._heap)
            if is_excluded(account):
                skipped.append((served, account))
                continue
            self._advance_virtual_time(skipped[0][0] if skipped else served)
            item = self._serve(account)
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return item

    def _advance_virtual_time(self, served: float) -> None:
        if served < self._virtual_time:
            raise AssertionError("virtual time went backwards")
        self._virtual_time = served

    def _serve(self, account: str) -> _T:
        queue = self._waiting[account]
        item, cost = queue.popleft()
        self._counters[account] += cost / self._weights[account]
        self._length -= 1
        if queue:
            self._push(account)
        else:
            del self._waiting[account]
            del self._weights[account]
            self._drop_idle_counters()
        return item

    def _push(self, account: str) -> None:
        heapq.heappush(self._heap, (self._counters[account], account))

    def _drop_idle_counters(self) -> None:
        """Drops the counters of idle accounts that no longer have an effect.

        An account without a counter starts at the virtual time, so counters
        at or below it can go. When no item waits, the virtual time moves up
        to the highest counter and all counters go.
        """
        if not self._waiting:
            self._virtual_time = max(self._counters.values())
            self._counters.clear()
            return
        if (
            len(self._counters)
            <= 2 * len(self._waiting) + _IDLE_COUNTERS_BEFORE_SWEEP
        ):
            return
        self._counters = {
            account: served
            for account, served in self._counters.items()
            if account in self._waiting or served > self._virtual_time
        }


_QUEUES = {"fair": FairQueue, "fifo": FifoQueue}
QUEUE_KINDS = tuple(_QUEUES)


def make_queue(kind: str) -> ItemQueue:
    """Returns an empty queue of one of `QUEUE_KINDS`."""
    return _QUEUES[kind]()
