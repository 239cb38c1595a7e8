"""Scheduling of batches for one engine, with fair queueing."""

import collections
import sys
from collections.abc import Callable, Mapping, Sequence

import attrs
import gevent
from gevent import event

from caroblug.core.limits import (
    AccountWeights,
    BatchSource,
    IsolationQueue,
    ItemQueue,
    make_queue,
)
from caroblug.side._engine_occupancy import (
    NORMAL_PRIORITY,
    OVERTAKING_PRIORITY,
    EngineOccupancy,
)
from caroblug.transport import (
    EngineClient,
    EngineFailure,
    EngineItem,
    EngineResult,
)
from caroblug.utils import Clock, Metrics

NO_DEADLINE_MS = sys.maxsize

_CHUNKS_PER_BATCH = 2
_MAX_BATCHES_IN_ENGINE = 2
_MAX_OVERTAKING_CALLS = 16
_CHARGED_COST = 1e-9
_MAX_EAGER_CALLS = 4
_GATHER_DELAY_S = 0.002
_MAX_STEP_POSITIONS = 2


@attrs.define
class _QueuedItem:
    """An item that waits to be sent to the engine."""

    item: EngineItem
    client_account: str
    cost: float
    weight: float
    queued_ms: int
    expires_ms: int
    isolated: bool


class BatchScheduler:
    """Combines queued items into batches in fair order.

    At most two batches of positions are in the engine, and at most two more
    of accounts that have less than their share there.

    Args:
        engine: Client of the engine.
        clock: Source of time.
        metrics: Registry that records queue waits and batches.
        on_results: Called with the results of a call.
        on_failed: Called when a call has failed, with every session in the
            engine and one past its last position.
        batch: Maximum number of positions in a batch.
        batches: Maximum number of concurrent calls to the engine.
        queue: Kind of queue, one of `QUEUE_KINDS`.
    """

    def __init__(
        self,
        engine: EngineClient,
        clock: Clock,
        metrics: Metrics,
        on_results: Callable[[Sequence[EngineResult]], None],
        on_failed: Callable[[Mapping[str, int], EngineFailure], None],
        batch: int,
        batches: int,
        queue: str,
    ) -> None:
        self.batch = batch
        self.batches = batches
        self._engine = engine
        self._clock = clock
        self._metrics = metrics
        self._record_wait_ms = metrics.recorder("queue_wait")
        self._on_results = on_results
        self._on_failed = on_failed
        self._queue: ItemQueue[_QueuedItem] = make_queue(queue)
        self._suspects: IsolationQueue[_QueuedItem] = IsolationQueue()
        self._weights = AccountWeights()
        self._occupancy = EngineOccupancy()
        self._held_items: dict[str, collections.deque[_QueuedItem]] = {}
        self._ended_sessions: list[str] = []
        self._dropped_sessions: set[str] = set()
        self._wake = event.Event()
        self._running_calls = 0
        self._queued_positions = 0

    @property
    def waiting(self) -> int:
        """Number of queued items."""
        queued = len(self._queue) + len(self._suspects)
        return queued + sum(len(h) for h in self._held_items.values())

    @property
    def running(self) -> int:
        """Number of items in the engine."""
        return self._occupancy.items

    @property
    def backlog(self) -> int:
        """Number of positions that are queued or in the engine."""
        return self._queued_positions + self._occupancy.positions

    @property
    def chunk(self) -> int:
        """Maximum number of positions of one item."""
        return max(1, self.batch // _CHUNKS_PER_BATCH)

    @property
    def sessions_in_engine(self) -> Mapping[str, int]:
        """Sessions in the engine, each with one past its last position."""
        return self._occupancy.sessions

    @property
    def client_accounts(self) -> int:
        """Number of accounts with open streams."""
        return len(self._weights)

    def start(self) -> None:
        """Starts one worker greenlet for each concurrent call."""
        for _ in range(self.batches + _MAX_OVERTAKING_CALLS):
            gevent.spawn(self._work_forever)

    def submit(
        self,
        client_account: str,
        item: EngineItem,
        cost: float,
        weight: float,
        expires_ms: int = NO_DEADLINE_MS,
        *,
        max_weight: float = 1.0,
        isolated: bool = False,
    ) -> None:
        """Queues an item; a long one is split into chunks.

        Two items of one stream in the engine at once could run out of order.
        Therefore an item is held back until the previous item of its stream
        has completed. Chunks keep a long prompt from delaying the next token
        of all other streams by its whole prefill: other items run between two
        chunks.

        Args:
            client_account: Account that owns the item.
            item: The item.
            cost: Cost of the item in weighted tokens, > 0.
            weight: Weight of one stream of the account, > 0.
            expires_ms: Time after which the item is dropped.
            max_weight: Weight of the account, > 0.
            isolated: Whether the item must be alone in the engine.
        """
        account_weight = self._weights.on_stream(
            client_account, item.session, weight, max_weight
        )
        length = len(item.inputs)
        self._queued_positions += length
        now_ms = self._clock.now_ms()
        for part in _split_into_chunks(item, self.chunk):
            self._queue_or_hold(
                _QueuedItem(
                    part,
                    client_account,
                    cost * len(part.inputs) / length,
                    account_weight,
                    now_ms,
                    expires_ms,
                    isolated,
                )
            )

    def end(self, session: str) -> None:
        """Drops the queued items of a stream and frees its cache."""
        held = self._held_items.get(session)
        if held is not None:
            self._dropped_sessions.add(session)
            self._queued_positions -= sum(len(w.item.inputs) for w in held)
            held.clear()
        self._weights.on_end(session)
        self._ended_sessions.append(session)
        self._wake.set()

    def _queue_or_hold(self, queued_item: _QueuedItem) -> None:
        held = self._held_items.get(queued_item.item.session)
        if held is not None:
            held.append(queued_item)
            return
        self._held_items[queued_item.item.session] = collections.deque()
        self._enqueue(queued_item)

    def _enqueue(self, queued_item: _QueuedItem) -> None:
        if queued_item.isolated:
            self._suspects.put(queued_item)
        else:
            self._queue.put(
                queued_item.client_account,
                queued_item,
                queued_item.cost,
                queued_item.weight,
            )
        self._wake.set()

    def _work_forever(self) -> None:
        """Sends items to the engine, one call after another.

        While few calls are running, a step is sent immediately. If it were
        held back until a call ends, it would miss the start of the engine's
        next batch and wait for another whole batch. While more calls are
        running, the engine has enough work, and a short delay fills the calls.

        Steps and chunks are sent in separate calls. A call returns when its
        last item has run, and the engine may defer a chunk to its next batch.
        """
        while True:
            self._wake.wait()
            if self._running_calls >= _MAX_EAGER_CALLS:
                gevent.sleep(_GATHER_DELAY_S)
            items = self._next_items()
            if not items and not self._ended_sessions:
                self._wake.clear()
                continue
            # Must precede any switch to another greenlet, which would dequeue
            # more than the engine may hold.
            self._occupancy.begin_call(items)
            steps = [i for i in items if len(i.inputs) <= _MAX_STEP_POSITIONS]
            chunks = [i for i in items if len(i.inputs) > _MAX_STEP_POSITIONS]
            if chunks:
                gevent.spawn(self._call, chunks)
            if steps or self._ended_sessions:
                self._call(steps)

    def _call(self, items: Sequence[EngineItem]) -> None:
        self._running_calls += 1
        self._run(items)
        self._running_calls -= 1
        self._wake.set()

    def _run(self, items: Sequence[EngineItem]) -> None:
        ended, self._ended_sessions = self._ended_sessions, []
        positions = sum(len(item.inputs) for item in items)
        outcome = self._engine.run(items, ended)
        sessions_in_engine = self.sessions_in_engine
        self._occupancy.end_call(items)
        self._metrics.count("engine_batches")
        self._metrics.count("engine_items", len(items))
        self._metrics.count("engine_positions", positions)
        if items:
            # A call that only ends sessions may return while a suspect still
            # runs, so it must not count as the end of the suspect's call.
            self._suspects.on_done()
        if isinstance(outcome, EngineFailure):
            self._on_call_failed(items, sessions_in_engine, outcome)
        else:
            self._on_call_done(items, outcome)

    def _next_items(self) -> list[EngineItem]:
        """Returns the next batch, or one item that must run in isolation."""
        source = self._suspects.next_source(
            self._occupancy.items, len(self._queue)
        )
        if source is BatchSource.NONE:
            return []
        if source is BatchSource.SUSPECT:
            return self._next_suspect()
        return self._next_batch()

    def _next_suspect(self) -> list[EngineItem]:
        queued_item = self._suspects.get()
        if self._should_run(queued_item):
            return [queued_item.item]
        self._suspects.on_done()
        return []

    def _next_batch(self) -> list[EngineItem]:
        """Dequeues the items that fit into one batch and into the engine.

        An item that does not fit is split. If it were sent whole, the engine
        would run its end in another batch and delay the other results of the
        call.
        """
        max_positions = self.batch * _MAX_BATCHES_IN_ENGINE
        if self._occupancy.positions_with_priority(NORMAL_PRIORITY):
            free_positions = (
                max_positions
                - self._occupancy.positions_with_priority(OVERTAKING_PRIORITY)
            )
            free_positions = min(self.batch, free_positions)
            items = self._dequeue_items(free_positions, OVERTAKING_PRIORITY)
            if items:
                return items
        free_positions = min(
            self.batch,
            max_positions
            - self._occupancy.positions_with_priority(NORMAL_PRIORITY),
        )
        return self._dequeue_items(free_positions, NORMAL_PRIORITY)

    def _dequeue_items(
        self, free_positions: int, priority: int
    ) -> list[EngineItem]:
        """Dequeues items in fair order.

        A light account would otherwise wait behind the batches that a heavy
        account already has in the engine. While an account has less than half
        the positions of the heaviest account there, its items are sent at once
        with the overtaking priority, and an engine that supports priorities
        runs them next. They get a call of their own, because a call returns
        only when all its items have run.

        Args:
            free_positions: Number of positions that fit into the batch.
            priority: Priority of the call; with `OVERTAKING_PRIORITY` only
                items of light accounts are dequeued.
        """
        items: list[EngineItem] = []
        while len(self._queue) and free_positions > 0:
            if priority == OVERTAKING_PRIORITY:
                queued_item = self._queue.get_excluding(
                    self._occupancy.has_half_of_heaviest
                )
            else:
                queued_item = self._queue.get()
            if queued_item is None:
                break
            if not self._should_run(queued_item):
                continue
            item = queued_item.item
            if len(item.inputs) > free_positions:
                item = self._split_item(queued_item, free_positions)
            self._occupancy.add_item(
                queued_item.client_account, item.session, len(item.inputs)
            )
            items.append(attrs.evolve(item, priority=priority))
            free_positions -= len(item.inputs)
        if free_positions > 0 and priority == NORMAL_PRIORITY:
            self._add_held_chunks(items, free_positions)
        return items

    def _add_held_chunks(
        self, items: list[EngineItem], free_positions: int
    ) -> None:
        """Extends items by held chunks of the same streams.

        This fills a batch when no other item is queued.
        """
        for index, item in enumerate(items):
            held = self._held_items[item.session]
            while held and len(held[0].item.inputs) <= free_positions:
                added = held.popleft().item.inputs
                free_positions -= len(added)
                self._queued_positions -= len(added)
                self._occupancy.extend_item(item.session, len(added))
                item = attrs.evolve(item, inputs=item.inputs + added)
            items[index] = item

    def _split_item(
        self, queued_item: _QueuedItem, free_positions: int
    ) -> EngineItem:
        """Returns the part of an item that fits and holds back the rest.

        The rest is the next item of the stream. Its cost is almost zero, as
        the cost of the whole item has been charged.
        """
        item = queued_item.item
        remainder = attrs.evolve(
            queued_item,
            item=_slice_item(item, free_positions, len(item.inputs)),
            cost=_CHARGED_COST,
        )
        self._held_items[item.session].appendleft(remainder)
        self._queued_positions += len(remainder.item.inputs)
        return _slice_item(item, 0, free_positions)

    def _should_run(self, queued_item: _QueuedItem) -> bool:
        """Returns whether a dequeued item should run, and drops it otherwise.

        An item is dropped if its stream has ended or its deadline has passed:
        it would cost the engine as much as a useful item.
        """
        now_ms = self._clock.now_ms()
        self._record_wait_ms(now_ms - queued_item.queued_ms)
        self._queued_positions -= len(queued_item.item.inputs)
        session = queued_item.item.session
        if session in self._dropped_sessions:
            self._queue_next(session)
            return False
        if now_ms >= queued_item.expires_ms:
            self._metrics.count("items_expired")
            self._drop_held(session)
            return False
        return True

    def _on_call_done(
        self, items: Sequence[EngineItem], results: Sequence[EngineResult]
    ) -> None:
        wanted = [r for r in results if r.session not in self._dropped_sessions]
        for item in items:
            self._queue_next(item.session)
        self._on_results(wanted)

    def _on_call_failed(
        self,
        items: Sequence[EngineItem],
        sessions_in_engine: Mapping[str, int],
        failed: EngineFailure,
    ) -> None:
        for item in items:
            self._drop_held(item.session)
        self._on_failed(sessions_in_engine, failed)

    def _drop_held(self, session: str) -> None:
        for queued_item in self._held_items.pop(session, ()):
            self._queued_positions -= len(queued_item.item.inputs)
        self._dropped_sessions.discard(session)

    def _queue_next(self, session: str) -> None:
        """Queues the next held item of a stream."""
        held = self._held_items.get(session)
        if session in self._dropped_sessions:
            self._dropped_sessions.discard(session)
            if held is not None and not held:
                del self._held_items[session]
                return
        if not held:
            self._held_items.pop(session, None)
            return
        self._enqueue(held.popleft())


def _split_into_chunks(item: EngineItem, chunk: int) -> list[EngineItem]:
    """Returns an item split into parts of at most `chunk` positions."""
    length = len(item.inputs)
    if length <= chunk:
        return [item]
    return [
        _slice_item(item, start, start + chunk)
        for start in range(0, length, chunk)
    ]


def _slice_item(item: EngineItem, start: int, end: int) -> EngineItem:
    """Returns the part of an item from input `start` up to `end`."""
    return attrs.evolve(
        item,
        position=item.position + start,
        inputs=item.inputs[start:end],
    )
