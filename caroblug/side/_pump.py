"""Feeds one engine: fair order, full batches, one unit per stream."""

import collections
import sys
from collections.abc import Callable, Mapping, Sequence

import attrs
import gevent
from gevent import event

from caroblug.core.limits import (
    AccountWeights,
    ItemQueue,
    SoloQueue,
    Turn,
    make_queue,
)
from caroblug.transport import (
    EngineClient,
    EngineFailed,
    EngineItem,
    EngineResult,
)
from caroblug.utils import Clock, Metrics

NEVER_MS = sys.maxsize


@attrs.frozen
class _Waiting:
    item: EngineItem
    client_account: str
    cost: float
    weight: float
    since_ms: int
    end_ms: int
    alone: bool


class EnginePump:
    """Takes waiting items in fair order into batches.

    Args:
        engine: The engine.
        clock: Source of time.
        metrics: Where waits and batches are recorded.
        on_results: Called with the results of a batch.
        on_failed: Called when a batch had no answer, with every session in
            the engine and one past its last position there.
        batch: Positions in one batch.
        batches: Batches in the engine at once.
        queue: Kind of queue, one of `QUEUE_KINDS`.
    """

    def __init__(
        self,
        engine: EngineClient,
        clock: Clock,
        metrics: Metrics,
        on_results: Callable[[Sequence[EngineResult]], None],
        on_failed: Callable[[Mapping[str, int], EngineFailed], None],
        batch: int,
        batches: int,
        queue: str = "fair",
    ) -> None:
        self.batch = batch
        self.batches = batches
        self._engine = engine
        self._clock = clock
        self._metrics = metrics
        self._on_results = on_results
        self._on_failed = on_failed
        self._queue: ItemQueue[_Waiting] = make_queue(queue)
        self._suspects: SoloQueue[_Waiting] = SoloQueue()
        self._weights = AccountWeights()
        self._in_engine: dict[str, int] = {}
        self._held: dict[str, collections.deque[_Waiting]] = {}
        self._ended: list[str] = []
        self._dropped: set[str] = set()
        self._wake = event.Event()
        self._running = 0
        self._backlog = 0

    @property
    def waiting(self) -> int:
        """Items that wait."""
        queued = len(self._queue) + len(self._suspects)
        return queued + sum(len(h) for h in self._held.values())

    @property
    def backlog(self) -> int:
        """Positions that wait or are in the engine."""
        return self._backlog

    @property
    def running(self) -> int:
        """Items in the engine."""
        return self._running

    @property
    def in_engine(self) -> Mapping[str, int]:
        """Sessions in the engine, with one past their last position there."""
        return dict(self._in_engine)

    @property
    def client_accounts(self) -> int:
        """Accounts with streams here."""
        return len(self._weights)

    def start(self) -> None:
        """Starts one greenlet for each batch that may be in the engine."""
        for _ in range(self.batches):
            gevent.spawn(self._work)

    def submit(
        self,
        client_account: str,
        item: EngineItem,
        cost: float,
        weight: float,
        end_ms: int = NEVER_MS,
        *,
        alone: bool = False,
    ) -> None:
        """Queues an item.

        Guards against two units of one stream in the engine at once, which
        could be run out of order: a stream's next unit is held until the one
        before it has been answered.

        Args:
            client_account: Whose item it is.
            item: The item.
            cost: Its cost in weighted tokens, > 0.
            weight: Weight of one of the account's streams, > 0.
            end_ms: Time after which it is of no use.
            alone: Whether nothing else may be in the engine with it.
        """
        account_weight = self._weights.on_stream(
            client_account, item.session, weight
        )
        waiting = _Waiting(
            item,
            client_account,
            cost,
            account_weight,
            self._clock.now_ms(),
            end_ms,
            alone,
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
        self._weights.on_end(session)
        self._ended.append(session)
        self._wake.set()

    def _enqueue(self, waiting: _Waiting) -> None:
        if waiting.alone:
            self._suspects.put(waiting)
        else:
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
            for item in items:
                self._in_engine[item.session] = _end_of(item)
            outcome = self._engine.run(items, ended)
            self._running -= len(items)
            self._metrics.count("engine_batches")
            self._metrics.count("engine_items", len(items))
            self._finish(items, outcome)
            self._wake.set()

    def _take(self) -> list[EngineItem]:
        """Takes a batch in fair order, or a suspect's item alone."""
        turn = self._suspects.turn(self._running, len(self._queue))
        if turn is Turn.NOBODY:
            return []
        if turn is Turn.SUSPECT:
            waiting = self._suspects.get()
            if self._is_wanted(waiting):
                return [waiting.item]
            self._suspects.on_done()
            return []
        items: list[EngineItem] = []
        positions = 0
        while len(self._queue) and positions < self.batch:
            waiting = self._queue.get()
            if not self._is_wanted(waiting):
                continue
            items.append(waiting.item)
            positions += len(waiting.item.inputs)
        return items

    def _is_wanted(self, waiting: _Waiting) -> bool:
        """Tells whether an item still is to run; lets go of it if not.

        Guards against work for a caller that no longer waits: an item past
        its deadline would cost the engine as much as a useful one.
        """
        now_ms = self._clock.now_ms()
        self._metrics.record_ms("queue_wait", now_ms - waiting.since_ms)
        session = waiting.item.session
        if session in self._dropped:
            self._release(session)
            return False
        if now_ms >= waiting.end_ms:
            self._metrics.count("items_expired")
            self._held.pop(session, None)
            return False
        return True

    def _finish(
        self,
        items: Sequence[EngineItem],
        outcome: tuple[EngineResult, ...] | EngineFailed,
    ) -> None:
        self._suspects.on_done()
        if isinstance(outcome, EngineFailed):
            in_engine = self.in_engine
            for item in items:
                self._in_engine.pop(item.session, None)
                self._held.pop(item.session, None)
                self._dropped.discard(item.session)
            self._on_failed(in_engine, outcome)
            return
        for item in items:
            self._in_engine.pop(item.session, None)
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


def _end_of(item: EngineItem) -> int:
    """Returns one past an item's last position."""
    return item.position + len(item.inputs)
