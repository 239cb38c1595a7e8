"""Queue of items that run isolated, alternating with batches of others."""

import collections
import enum
from typing import Generic, TypeVar

_T = TypeVar("_T")


class BatchSource(enum.Enum):
    """Items from which the next batch for the engine may be taken."""

    NONE = "none"
    SUSPECT = "suspect"
    OTHERS = "others"


class IsolationQueue(Generic[_T]):
    """Holds items of requests suspected of crashing engines.

    A crash affects every request in the engine, so each of these items runs
    in the engine with nothing else. Isolated runs alternate with batches of
    other items, so that many suspects can't starve the others.
    """

    def __init__(self) -> None:
        self._items: collections.deque[_T] = collections.deque()
        self._running = False
        self._others_next = False

    def __len__(self) -> int:
        return len(self._items)

    def put(self, item: _T) -> None:
        """Adds an item that is to run isolated."""
        self._items.append(item)

    def next_source(self, running: int, waiting: int) -> BatchSource:
        """Returns where the next batch may be taken from.

        Args:
            running: Number of items in the engine.
            waiting: Number of other items that wait.
        """
        if self._running:
            return BatchSource.NONE
        if not self._items:
            return BatchSource.OTHERS
        if self._others_next and waiting:
            self._others_next = False
            return BatchSource.OTHERS
        return BatchSource.NONE if running else BatchSource.SUSPECT

    def get(self) -> _T:
        """Removes and returns the next item; its isolated run begins."""
        self._running = True
        return self._items.popleft()

    def on_done(self) -> None:
        """Ends the isolated run, if there is one, run or dropped."""
        if self._running:
            self._running = False
            self._others_next = True
