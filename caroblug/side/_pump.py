"""Feeds one engine: fair order, bounded batches, one unit per stream."""

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

_CHUNKS_PER_BATCH = 2
_BATCHES_AHEAD = 2
_PAID_COST = 1e-9


@attrs.define
class _Waiting:
    item: EngineItem
    client_account: str
    cost: float
    weight: float
    since_ms: int


class EnginePump:
    """Takes waiting items in fair order into batches.

    A long prompt is cut into chunks of a part of a batch, and no more than
    two batches of positions are in the engine: one that runs and one that
    waits, so that the engine is never idle between them and everything else
    waits here, where the order is fair.

    Args:
        engine: The engine.
        clock: Source of time.
        metrics: Where waits and batches are recorded.
        on_results: Called with the results of a batch.
        on_failed: Called with the sessions of a batch that had no answer.
        batch: Positions in one batch.
        batches: Calls to the engine at once.
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
        self._record_wait_ms = metrics.recorder("queue_wait")
        self._on_results = on_results
        self._on_failed = on_failed
        self._queue: FairQueue[_Waiting] = FairQueue()
        self._held: dict[str, collections.deque[_Waiting]] = {}
        self._ended: list[str] = []
        self._dropped: set[str] = set()
        self._wake = event.Event()
        self._running = 0
        self._positions_running = 0
        self._positions_waiting = 0

    @property
    def waiting(self) -> int:
        """Items that wait."""
        return len(self._queue) + sum(len(h) for h in self._held.values())

    @property
    def running(self) -> int:
        """Items in the engine."""
        return self._running

    @property
    def backlog(self) -> int:
        """Positions that wait or are in the engine."""
        return self._positions_waiting + self._positions_running

    @property
    def chunk(self) -> int:
        """Positions of one stream that go to the engine at once."""
        return max(1, self.batch // _CHUNKS_PER_BATCH)

    def start(self) -> None:
        """Starts one greenlet for each call that may be under way."""
        for _ in range(self.batches):
            gevent.spawn(self._work)

    def submit(
        self, client_account: str, item: EngineItem, cost: float, weight: float
    ) -> None:
        """Queues an item, a long one in chunks.

        Guards against two units of one stream in the engine at once, which
        could be run out of order: a stream's next unit is held until the one
        before it has been answered. Guards also against a long prompt that
        would hold up every other stream's next token for its whole prefill:
        between two chunks the others have their turn.
        """
        now_ms = self._clock.now_ms()
        length = len(item.inputs)
        self._positions_waiting += length
        chunk = self.chunk
        if length <= chunk:
            self._hold(_Waiting(item, client_account, cost, weight, now_ms))
            return
        share = cost / length
        for start in range(0, length, chunk):
            part = _part_of(item, start, start + chunk)
            part_cost = share * len(part.inputs)
            self._hold(
                _Waiting(part, client_account, part_cost, weight, now_ms)
            )

    def end(self, session: str) -> None:
        """Drops what waits of a stream and lets the engine free its cache."""
        held = self._held.get(session)
        if held is not None:
            self._dropped.add(session)
            self._positions_waiting -= sum(len(w.item.inputs) for w in held)
            held.clear()
        self._ended.append(session)
        self._wake.set()

    def _hold(self, waiting: _Waiting) -> None:
        held = self._held.get(waiting.item.session)
        if held is not None:
            held.append(waiting)
            return
        self._held[waiting.item.session] = collections.deque()
        self._enqueue(waiting)

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
            self._run(items)
            self._wake.set()

    def _run(self, items: Sequence[EngineItem]) -> None:
        ended, self._ended = self._ended, []
        positions = sum(len(item.inputs) for item in items)
        self._running += len(items)
        self._positions_running += positions
        outcome = self._engine.run(items, ended)
        self._running -= len(items)
        self._positions_running -= positions
        self._metrics.count("engine_batches")
        self._metrics.count("engine_items", len(items))
        self._metrics.count("engine_positions", positions)
        self._finish(items, outcome)

    def _take(self) -> list[EngineItem]:
        """Takes what fits into one batch and into the engine.

        An item that does not fit whole is cut: were it sent whole, the engine
        would run its end in another batch, and the call's other results would
        wait for that.
        """
        items: list[EngineItem] = []
        ahead = self.batch * _BATCHES_AHEAD
        room = min(self.batch, ahead - self._positions_running)
        now_ms = self._clock.now_ms()
        while len(self._queue) and room > 0:
            waiting = self._queue.get()
            item = waiting.item
            self._positions_waiting -= len(item.inputs)
            if item.session in self._dropped:
                self._release(item.session)
                continue
            if len(item.inputs) > room:
                item = self._cut(waiting, room)
            items.append(item)
            room -= len(item.inputs)
            self._record_wait_ms(now_ms - waiting.since_ms)
        if room > 0:
            self._extend(items, room)
        return items

    def _extend(self, items: list[EngineItem], room: int) -> None:
        """Adds held chunks to their streams' items: nobody else waits."""
        for index, item in enumerate(items):
            held = self._held[item.session]
            while held and len(held[0].item.inputs) <= room:
                more = held.popleft().item.inputs
                room -= len(more)
                self._positions_waiting -= len(more)
                item = attrs.evolve(item, inputs=item.inputs + more)
            items[index] = item

    def _cut(self, waiting: _Waiting, room: int) -> EngineItem:
        """Returns the part that fits; the rest is the stream's next unit."""
        item = waiting.item
        rest = attrs.evolve(
            waiting,
            item=_part_of(item, room, len(item.inputs)),
            cost=_PAID_COST,
        )
        self._held[item.session].appendleft(rest)
        self._positions_waiting += len(rest.item.inputs)
        return _part_of(item, 0, room)

    def _finish(
        self,
        items: Sequence[EngineItem],
        outcome: tuple[EngineResult, ...] | EngineFailed,
    ) -> None:
        if isinstance(outcome, EngineFailed):
            for item in items:
                self._drop_held(item.session)
            self._on_failed([i.session for i in items], outcome.message)
            return
        wanted = [r for r in outcome if r.session not in self._dropped]
        for item in items:
            self._release(item.session)
        self._on_results(wanted)

    def _drop_held(self, session: str) -> None:
        for waiting in self._held.pop(session, ()):
            self._positions_waiting -= len(waiting.item.inputs)
        self._dropped.discard(session)

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


def _part_of(item: EngineItem, start: int, end: int) -> EngineItem:
    """Returns the part of an item from one input to another."""
    return attrs.evolve(
        item,
        position=item.position + start,
        inputs=item.inputs[start:end],
    )
