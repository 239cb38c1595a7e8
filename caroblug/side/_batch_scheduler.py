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
from caroblug.side._engine_occupancy import NORMAL, OVERTAKING, EngineOccupancy
from caroblug.transport import (
    EngineClient,
    EngineFailure,
    EngineItem,
    EngineResult,
)
from caroblug.utils import Clock, Metrics

NEVER_MS = sys.maxsize

_CHUNKS_PER_BATCH = 2
_BATCHES_AHEAD = 2
_OVERTAKING_CALLS = 16
_PAID_COST = 1e-9
_EAGER_CALLS = 4
_GATHER_S = 0.002
_STEP_POSITIONS = 2


@attrs.define
class _Waiting:
    item: EngineItem
    client_account: str
    cost: float
    weight: float
    since_ms: int
    end_ms: int
    alone: bool


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
        self._queue: ItemQueue[_Waiting] = make_queue(queue)
        self._suspects: IsolationQueue[_Waiting] = IsolationQueue()
        self._weights = AccountWeights()
        self._inside = EngineOccupancy()
        self._held: dict[str, collections.deque[_Waiting]] = {}
        self._ended: list[str] = []
        self._dropped: set[str] = set()
        self._wake = event.Event()
        self._calls = 0
        self._positions_waiting = 0

    @property
    def waiting(self) -> int:
        """Items that wait."""
        queued = len(self._queue) + len(self._suspects)
        return queued + sum(len(h) for h in self._held.values())

    @property
    def running(self) -> int:
        """Items in the engine."""
        return self._inside.items

    @property
    def backlog(self) -> int:
        """Positions that wait or are in the engine."""
        return self._positions_waiting + self._inside.positions

    @property
    def chunk(self) -> int:
        """Positions of one stream that go to the engine at once."""
        return max(1, self.batch // _CHUNKS_PER_BATCH)

    @property
    def in_engine(self) -> Mapping[str, int]:
        """Sessions in the engine, with one past their last position there."""
        return self._inside.sessions

    @property
    def client_accounts(self) -> int:
        """Accounts with streams here."""
        return len(self._weights)

    def start(self) -> None:
        """Starts one greenlet for each call that may be under way."""
        for _ in range(self.batches + _OVERTAKING_CALLS):
            gevent.spawn(self._work)

    def submit(
        self,
        client_account: str,
        item: EngineItem,
        cost: float,
        weight: float,
        end_ms: int = NEVER_MS,
        *,
        most_weight: float = 1.0,
        alone: bool = False,
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
            end_ms: Time after which it is of no use.
            most_weight: The account's own weight, > 0.
            alone: Whether nothing else may be in the engine with it.
        """
        account_weight = self._weights.on_stream(
            client_account, item.session, weight, most_weight
        )
        length = len(item.inputs)
        self._positions_waiting += length
        now_ms = self._clock.now_ms()
        for part in _parts_of(item, self.chunk):
            self._hold(
                _Waiting(
                    part,
                    client_account,
                    cost * len(part.inputs) / length,
                    account_weight,
                    now_ms,
                    end_ms,
                    alone,
                )
            )

    def end(self, session: str) -> None:
        """Drops what waits of a stream and lets the engine free its cache."""
        held = self._held.get(session)
        if held is not None:
            self._dropped.add(session)
            self._positions_waiting -= sum(len(w.item.inputs) for w in held)
            held.clear()
        self._weights.on_end(session)
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
        if waiting.alone:
            self._suspects.put(waiting)
        else:
            self._queue.put(
                waiting.client_account, waiting, waiting.cost, waiting.weight
            )
        self._wake.set()

    def _work(self) -> None:
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
            if self._calls >= _EAGER_CALLS:
                gevent.sleep(_GATHER_S)
            items = self._take()
            if not items and not self._ended:
                self._wake.clear()
                continue
            # Counted before any other greenlet takes more.
            self._inside.begin(items)
            steps = [i for i in items if len(i.inputs) <= _STEP_POSITIONS]
            chunks = [i for i in items if len(i.inputs) > _STEP_POSITIONS]
            if chunks:
                gevent.spawn(self._call, chunks)
            if steps or self._ended:
                self._call(steps)

    def _call(self, items: Sequence[EngineItem]) -> None:
        self._calls += 1
        self._run(items)
        self._calls -= 1
        self._wake.set()

    def _run(self, items: Sequence[EngineItem]) -> None:
        ended, self._ended = self._ended, []
        positions = sum(len(item.inputs) for item in items)
        outcome = self._engine.run(items, ended)
        in_engine = self.in_engine
        self._inside.end(items)
        self._metrics.count("engine_batches")
        self._metrics.count("engine_items", len(items))
        self._metrics.count("engine_positions", positions)
        if items:
            # A call that only ends sessions may return while a suspect runs.
            self._suspects.on_done()
        if isinstance(outcome, EngineFailure):
            self._fail(items, in_engine, outcome)
        else:
            self._finish(items, outcome)

    def _take(self) -> list[EngineItem]:
        """Takes a batch in fair order, or a suspect's item alone."""
        source = self._suspects.next_source(
            self._inside.items, len(self._queue)
        )
        if source is BatchSource.NONE:
            return []
        if source is BatchSource.SUSPECT:
            return self._take_suspect()
        return self._take_batch()

    def _take_suspect(self) -> list[EngineItem]:
        waiting = self._suspects.get()
        if self._is_wanted(waiting):
            return [waiting.item]
        self._suspects.on_done()
        return []

    def _take_batch(self) -> list[EngineItem]:
        """Takes what fits into one batch and into the engine.

        An item that does not fit whole is cut: were it sent whole, the engine
        would run its end in another batch, and the call's other results would
        wait for that.
        """
        ahead = self.batch * _BATCHES_AHEAD
        if self._inside.positions_of(NORMAL):
            room = ahead - self._inside.positions_of(OVERTAKING)
            room = min(self.batch, room)
            items = self._take_items(room, OVERTAKING)
            if items:
                return items
        room = min(self.batch, ahead - self._inside.positions_of(NORMAL))
        return self._take_items(room, NORMAL)

    def _take_items(self, room: int, priority: int) -> list[EngineItem]:
        """Takes items in fair order.

        Guards against a light account that waits behind the batches which a
        heavy one has in the engine already: while it has less than half of
        what the heaviest has there, its items go in at once, in a call of their
        own, and an engine that honours priorities runs them next. They are
        not mixed with others in a call, which is answered as a whole.
        """
        items: list[EngineItem] = []
        while len(self._queue) and room > 0:
            if priority == OVERTAKING:
                waiting = self._queue.get_excluding(
                    self._inside.has_half_of_heaviest
                )
            else:
                waiting = self._queue.get()
            if waiting is None:
                break
            if not self._is_wanted(waiting):
                continue
            item = waiting.item
            if len(item.inputs) > room:
                item = self._cut(waiting, room)
            self._inside.take(
                waiting.client_account, item.session, len(item.inputs)
            )
            items.append(attrs.evolve(item, priority=priority))
            room -= len(item.inputs)
        if room > 0 and priority == NORMAL:
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
                self._inside.extend(item.session, len(more))
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

    def _is_wanted(self, waiting: _Waiting) -> bool:
        """Tells whether an item still is to run; lets go of it if not.

        Guards against work for a caller that no longer waits: an item past
        its deadline would cost the engine as much as a useful one.
        """
        now_ms = self._clock.now_ms()
        self._record_wait_ms(now_ms - waiting.since_ms)
        self._positions_waiting -= len(waiting.item.inputs)
        session = waiting.item.session
        if session in self._dropped:
            self._release(session)
            return False
        if now_ms >= waiting.end_ms:
            self._metrics.count("items_expired")
            self._drop_held(session)
            return False
        return True

    def _finish(
        self, items: Sequence[EngineItem], results: Sequence[EngineResult]
    ) -> None:
        wanted = [r for r in results if r.session not in self._dropped]
        for item in items:
            self._release(item.session)
        self._on_results(wanted)

    def _fail(
        self,
        items: Sequence[EngineItem],
        in_engine: Mapping[str, int],
        failed: EngineFailure,
    ) -> None:
        for item in items:
            self._drop_held(item.session)
        self._on_failed(in_engine, failed)

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


def _parts_of(item: EngineItem, chunk: int) -> list[EngineItem]:
    """Returns an item cut into parts of at most `chunk` positions."""
    length = len(item.inputs)
    if length <= chunk:
        return [item]
    return [
        _part_of(item, start, start + chunk)
        for start in range(0, length, chunk)
    ]


def _part_of(item: EngineItem, start: int, end: int) -> EngineItem:
    """Returns the part of an item from one input to another."""
    return attrs.evolve(
        item,
        position=item.position + start,
        inputs=item.inputs[start:end],
    )
