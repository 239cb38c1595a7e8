"""The pump: bounded batches, order inside a stream, chunks of prompts."""

import random

import gevent
from gevent import event

from caroblug.side import BatchScheduler
from caroblug.transport import EngineClient, EngineItem, EngineResult
from caroblug.utils import ManualClock, make_metrics

_BATCH = 8


class _Engine(EngineClient):
    """An engine whose calls end when the test says so."""

    def __init__(self):
        self.calls = []
        self.positions = 0

    def describe(self):
        raise NotImplementedError

    def run(self, items, ended):
        size = sum(len(item.inputs) for item in items)
        done = event.Event()
        self.positions += size
        self.calls.append((list(items), done))
        done.wait()
        self.positions -= size
        return tuple(
            EngineResult(i.session, i.position, len(i.inputs), i.inputs)
            for i in items
        )


class _Bench:
    def __init__(self):
        self.engine = _Engine()
        self.results = []
        self.pump = BatchScheduler(
            self.engine,
            ManualClock(),
            make_metrics(),
            self.results.extend,
            lambda sessions, message: None,
            _BATCH,
            4,
            "fair",
        )
        self.pump.start()

    def submit(self, session, position, length, *, alone=False):
        inputs = tuple(range(position, position + length))
        item = EngineItem(session, 0, 4, position, inputs, 1)
        self.pump.submit("account", item, float(length), 1.0, alone=alone)

    def settle(self):
        for _ in range(3):
            gevent.sleep(0)

    def end_call(self, rng=None):
        number = rng.randrange(len(self.engine.calls)) if rng else 0
        items, done = self.engine.calls.pop(number)
        done.set()
        self.settle()
        return items


def test_engine_never_holds_more_than_two_batches_and_order_is_kept():
    """A slow engine's memory grows with every caller who waits.

    Steps come faster than the engine runs them, long prompts among them; the
    pump keeps them back, cuts them and sends a stream's parts in order.
    """
    rng = random.Random(7)
    bench = _Bench()
    wanted = {}
    for number in range(40):
        session = f"s{number % 13}"
        start = wanted.get(session, 0)
        length = rng.choice([1, 1, 1, 3, 21])
        bench.submit(session, start, length)
        wanted[session] = start + length
    bench.settle()
    assert bench.pump.backlog == sum(wanted.values())
    largest = 0
    while bench.engine.calls:
        assert bench.engine.positions <= 2 * _BATCH
        sessions = [i.session for items, _ in bench.engine.calls for i in items]
        assert len(sessions) == len(set(sessions))
        items = bench.end_call(rng)
        largest = max(largest, sum(len(i.inputs) for i in items))
    assert largest == _BATCH
    assert bench.pump.backlog == 0
    done = {}
    for result in bench.results:
        assert result.position == done.get(result.session, 0)
        done[result.session] = result.position + result.length
    assert done == wanted


def test_long_prompt_does_not_hold_up_other_streams():
    """A caller's next word waits for a stranger's whole prompt.

    The prompt of 400 positions came first; without chunks it would be in the
    engine alone for fifty batches.
    """
    bench = _Bench()
    bench.submit("long", 0, 400)
    bench.settle()
    bench.submit("short", 0, 1)
    bench.settle()
    before = 0
    while not any(r.session == "short" for r in bench.results):
        before += sum(len(item.inputs) for item in bench.end_call())
    assert before <= 2 * _BATCH


def test_ended_stream_frees_its_backlog():
    bench = _Bench()
    bench.submit("long", 0, 400)
    bench.submit("other", 0, 2)
    bench.settle()
    bench.pump.end("long")
    while bench.engine.calls:
        bench.end_call()
    assert bench.pump.backlog == 0
    assert {r.session for r in bench.results} == {"other"}


def test_call_that_only_ends_sessions_lets_nobody_beside_a_suspect():
    """A caller's request is refused as one that crashes engines, wrongly.

    A suspect runs alone; a call that only frees caches returns meanwhile and
    counted as the suspect's own, so that others joined it in the engine and
    were suspected of its next crash.
    """
    bench = _Bench()
    bench.submit("suspect", 0, 1, alone=True)
    bench.settle()
    bench.pump.end("forgotten")
    bench.settle()
    bench.submit("innocent", 0, 1)
    bench.settle()
    ((suspects, _), (ended, done)) = bench.engine.calls
    assert [item.session for item in suspects] == ["suspect"]
    assert ended == []
    done.set()
    bench.settle()
    assert list(bench.pump.in_engine) == ["suspect"]


def test_step_is_not_called_together_with_a_chunk():
    """A caller's next word comes a whole batch late, though its step has run.

    The engine left the chunk that went with it for its next batch, and a
    call is answered when its last item has run.
    """
    bench = _Bench()
    bench.submit("long", 0, 4)
    bench.submit("short", 0, 1)
    bench.settle()
    called = [
        {item.session for item in items} for items, _ in bench.engine.calls
    ]
    assert sorted(called, key=sorted) == [{"long"}, {"short"}]
    while bench.engine.calls:
        bench.end_call()
    assert bench.pump.backlog == 0
