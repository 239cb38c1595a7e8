"""Turns of suspects, which run with nothing else in the engine."""

import collections
import enum
from typing import Generic, TypeVar

_T = TypeVar("_T")


class BatchSource(enum.Enum):
    """Whose turn it is when a batch may be made."""

    NONE = "none"
    SUSPECT = "suspect"
    OTHERS = "others"


class IsolationQueue(Generic[_T]):
    """Suspects' items, each run alone.

    Guards against companions lost with a request that crashes engines: a
    crash takes everything in the engine with it, so a suspect has the engine
    to itself. Suspects and others take turns, so that many suspects can't
    keep the others out.
    """

    def __init__(self) -> None:
        self._items: collections.deque[_T] = collections.deque()
        self._running = False
        self._others_next = False

    def __len__(self) -> int:
        return len(self._items)

    def put(self, item: _T) -> None:
        """Adds a suspect's item."""
        self._items.append(item)

    def next_source(self, running: int, waiting: int) -> BatchSource:
        """Returns whose turn it is.

        Args:
            running: Items in the engine.
            waiting: Other items that wait.
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
        """Removes and returns the next suspect's item; it now runs."""
        self._running = True
        return self._items.popleft()

    def on_done(self) -> None:
        """Takes it that the suspect's item has run, or was not."""
        if self._running:
            self._running = False
            self._others_next = True
