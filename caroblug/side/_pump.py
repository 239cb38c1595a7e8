"""Feeds one engine: fair order, full batches, one unit per stream."""

import collections
from collections.abc import Callable, Sequence

import attrs
import gevent
from gevent import event

from caroblug.core.limits import FairQueue
from caroblug.transport import (
    EngineClient,
    EngineFailed,
    EngineItem,
    EngineResult,
)
from caroblug.utils import Clock, Metrics


@attrs.frozen
class _Waiting:
    item: EngineItem
    client_account: str
    cost: float
    weight: float
    since_ms: int


class EnginePump:
    """Takes waiting items in fair order into batches.

    Args:
        engine: The engine.
        clock: Source of time.
        metrics: Where waits and batches are recorded.
        on_results: Called with the results of a batch.
        on_failed: Called with the sessions of a batch that had no answer.
        batch: Positions in one batch.
        batches: Batches in the engine at once.
    """

    def __init__(
        self,
        engine: EngineClient,
        clock: Clock,
        metrics: Metrics,
        on_results: Callable[[Sequence[EngineResult]], None],
        on_failed: Callable[[Sequence[str], str], None],
        batch: int,
        batches: int,
    ) -> None:
        self.batch = batch
        self.batches = batches
        self._engine = engine
        self._clock = clock
        self._metrics = metrics
        self._on_results = on_results
        self._on_failed = on_failed
        self._queue: FairQueue[_Waiting] = FairQueue()
        self._held: dict[str, collections.deque[_Waiting]] = {}
        self._ended: list[str] = []
        self._dropped: set[str] = set()
        self._wake = event.Event()
        self._running = 0
        self._backlog = 0

    @property
    def waiting(self) -> int:
        """Items that wait."""
        return len(self._queue) + sum(len(h) for h in self._held.values())

    @property
    def backlog(self) -> int:
        """Positions that wait or are in the engine."""
        return self._backlog

    @property
    def running(self) -> int:
        """Items in the engine."""
        return self._running

    def start(self) -> None:
        """Starts one greenlet for each batch that may be in the engine."""
        for _ in range(self.batches):
            gevent.spawn(self._work)

    def submit(
        self, client_account: str, item: EngineItem, cost: float, weight: float
    ) -> None:
        """Queues an item.

        Guards against two units of one stream in the engine at once, which
        could be run out of order: a stream's next unit is held until the one
        before it has been answered.
        """
        waiting = _Waiting(
            item, client_account, cost, weight, self._clock.now_ms()
        )
        held = self._held.get(item.session)
        if held is not None:
            held.append(waiting)
            return
        self._held[item.session] = collections.deque()
        self._enqueue(waiting)

    def end(self, session: str) -> None:
        """Drops what waits of a stream and lets the engine free its cache."""
        if session in self._held:
            self._dropped.add(session)
            self._held[session].clear()
        self._ended.append(session)
        self._wake.set()

    def _enqueue(self, waiting: _Waiting) -> None:
        self._queue.put(
            waiting.client_account, waiting, waiting.cost, waiting.weight
        )
        self._wake.set()

    def _work(self) -> None:
        while True:
            self._wake.wait()
            items = self._take()
            if not items and not self._ended:
                self._wake.clear()
                continue
            ended, self._ended = self._ended, []
            self._running += len(items)
            outcome = self._engine.run(items, ended)
            self._running -= len(items)
            self._metrics.count("engine_batches")
            self._metrics.count("engine_items", len(items))
            self._finish(items, outcome)

    def _take(self) -> list[EngineItem]:
        items: list[EngineItem] = []
        positions = 0
        now_ms = self._clock.now_ms()
        while len(self._queue) and positions < self.batch:
            waiting = self._queue.get()
            if waiting.item.session in self._dropped:
                self._release(waiting.item.session)
                continue
            items.append(waiting.item)
            positions += len(waiting.item.inputs)
            self._metrics.record_ms("queue_wait", now_ms - waiting.since_ms)
        return items

    def _finish(
        self,
        items: Sequence[EngineItem],
        outcome: tuple[EngineResult, ...] | EngineFailed,
    ) -> None:
        if isinstance(outcome, EngineFailed):
            for item in items:
                self._held.pop(item.session, None)
                self._dropped.discard(item.session)
            self._on_failed([i.session for i in items], outcome.message)
            return
        wanted = [r for r in outcome if r.session not in self._dropped]
        for item in items:
            self._release(item.session)
        self._on_results(wanted)

    def _release(self, session: str) -> None:
        """Lets the stream's next unit be queued."""
        held = self._held.get(session)
        if session in self._dropped:
            self._dropped.discard(session)
            if held is not None and not held:
                del self._held[session]
                return
        if not held:
            self._held.pop(session, None)
            return
        self._enqueue(held.popleft())
