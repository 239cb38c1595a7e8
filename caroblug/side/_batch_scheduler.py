"""Feeds one engine: fair order, bounded batches, one unit per stream."""

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
    item: EngineItem
    client_account: str
    cost: float
    weight: float
    queued_ms: int
    expires_ms: int
    isolated: bool


class BatchScheduler:
    """Takes waiting items in fair order into batches.

    At most two batches of positions are in the engine, and two more of
    accounts that have too little there.

    Args:
        engine: The engine.
        clock: Source of time.
        metrics: Where waits and batches are recorded.
        on_results: Called with the results of a batch.
        on_failed: Called when a batch had no answer, with every session in
            the engine and one past its last position there.
        batch: Positions in one batch.
        batches: Calls to the engine at once.
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
        """Items that wait."""
        queued = len(self._queue) + len(self._suspects)
        return queued + sum(len(h) for h in self._held_items.values())

    @property
    def running(self) -> int:
        """Items in the engine."""
        return self._occupancy.items

    @property
    def backlog(self) -> int:
        """Positions that wait or are in the engine."""
        return self._queued_positions + self._occupancy.positions

    @property
    def chunk(self) -> int:
        """Positions of one stream that go to the engine at once."""
        return max(1, self.batch // _CHUNKS_PER_BATCH)

    @property
    def sessions_in_engine(self) -> Mapping[str, int]:
        """Sessions in the engine, with one past their last position there."""
        return self._occupancy.sessions

    @property
    def client_accounts(self) -> int:
        """Accounts with streams here."""
        return len(self._weights)

    def start(self) -> None:
        """Starts one greenlet for each call that may be under way."""
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
        """Queues an item, a long one in chunks.

        Guards against two units of one stream in the engine at once, which
        could be run out of order: a stream's next unit is held until the one
        before it has been answered. Guards also against a long prompt that
        would hold up every other stream's next token for its whole prefill:
        between two chunks the others have their turn.

        Args:
            client_account: Whose item it is.
            item: The item.
            cost: Its cost in weighted tokens, > 0.
            weight: Weight of one of the account's streams, > 0.
            expires_ms: Time after which it is of no use.
            max_weight: The account's own weight, > 0.
            isolated: Whether nothing else may be in the engine with it.
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
        """Drops what waits of a stream and lets the engine free its cache."""
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
        """Makes one call after the other.

        A step goes to the engine at once while few calls are under way: held
        back until one of them ends, it would miss the start of the engine's
        next batch and wait for a whole one more. With more calls under way
        the engine has enough to do, and gathering for a moment keeps the
        calls full.

        Steps and chunks go in calls of their own: a call is answered when its
        last item has run, and a chunk may be left for the engine's next batch.
        """
        while True:
            self._wake.wait()
            if self._running_calls >= _MAX_EAGER_CALLS:
                gevent.sleep(_GATHER_DELAY_S)
            items = self._next_items()
            if not items and not self._ended_sessions:
                self._wake.clear()
                continue
            # Counted before any other greenlet takes more.
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
            # A call that only ends sessions may return while a suspect runs.
            self._suspects.on_done()
        if isinstance(outcome, EngineFailure):
            self._on_call_failed(items, sessions_in_engine, outcome)
        else:
            self._on_call_done(items, outcome)

    def _next_items(self) -> list[EngineItem]:
        """Takes a batch in fair order, or a suspect's item alone."""
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
        """Takes what fits into one batch and into the engine.

        An item that does not fit whole is cut: were it sent whole, the engine
        would run its end in another batch, and the call's other results would
        wait for that.
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
        """Takes items in fair order.

        Guards against a light account that waits behind the batches which a
        heavy one has in the engine already: while it has less than half of
        what the heaviest has there, its items go in at once, in a call of their
        own, and an engine that honours priorities runs them next. They are
        not mixed with others in a call, which is answered as a whole.
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
        """Adds held chunks to their streams' items: nobody else waits."""
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
        """Returns the part that fits; the rest is the stream's next unit."""
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
        """Tells whether an item still is to run; lets go of it if not.

        Guards against work for a caller that no longer waits: an item past
        its deadline would cost the engine as much as a useful one.
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
        """Lets the stream's next unit be queued."""
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
    """Returns an item cut into parts of at most `chunk` positions."""
    length = len(item.inputs)
    if length <= chunk:
        return [item]
    return [
        _slice_item(item, start, start + chunk)
        for start in range(0, length, chunk)
    ]


def _slice_item(item: EngineItem, start: int, end: int) -> EngineItem:
    """Returns the part of an item from one input to another."""
    return attrs.evolve(
        item,
        position=item.position + start,
        inputs=item.inputs[start:end],
    )
