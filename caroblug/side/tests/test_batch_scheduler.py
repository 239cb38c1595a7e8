"""Tests of batch bounds, order within a stream, and chunked prompts."""

import random

import gevent
from gevent import event

from caroblug.side import BatchScheduler
from caroblug.transport import EngineClient, EngineItem, EngineResult
from caroblug.utils import ManualClock, make_metrics

_BATCH = 8


class _FakeEngine(EngineClient):
    """An engine whose calls block until the test ends them."""

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


class _Harness:
    """A scheduler on a fake engine, with the results of finished calls."""

    def __init__(self):
        self.engine = _FakeEngine()
        self.results = []
        self.scheduler = BatchScheduler(
            self.engine,
            ManualClock(),
            make_metrics(),
            self.results.extend,
            lambda sessions, message: None,
            _BATCH,
            4,
            "fair",
        )
        self.scheduler.start()

    def submit(self, session, position, length, *, isolated=False):
        inputs = tuple(range(position, position + length))
        item = EngineItem(session, 0, 4, position, inputs, 1)
        self.scheduler.submit(
            "account", item, float(length), 1.0, isolated=isolated
        )

    def settle(self):
        for _ in range(3):
            gevent.sleep(0)

    def end_call(self, rng=None):
        number = rng.randrange(len(self.engine.calls)) if rng else 0
        items, done = self.engine.calls.pop(number)
        done.set()
        self.settle()
        return items


def test_engine_has_at_most_two_batches_and_order_is_preserved():
    """Guards against the memory of a slow engine growing with its backlog.

    Steps and long prompts arrive faster than the engine runs them. The
    scheduler must hold them back, split them and preserve the order within a
    stream.
    """
    rng = random.Random(7)
    harness = _Harness()
    wanted = {}
    for number in range(40):
        session = f"s{number % 13}"
        start = wanted.get(session, 0)
        length = rng.choice([1, 1, 1, 3, 21])
        harness.submit(session, start, length)
        wanted[session] = start + length
    harness.settle()
    assert harness.scheduler.backlog == sum(wanted.values())
    largest = 0
    while harness.engine.calls:
        assert harness.engine.positions <= 2 * _BATCH
        sessions = [
            i.session for items, _ in harness.engine.calls for i in items
        ]
        assert len(sessions) == len(set(sessions))
        items = harness.end_call(rng)
        largest = max(largest, sum(len(i.inputs) for i in items))
    assert largest == _BATCH
    assert harness.scheduler.backlog == 0
    done = {}
    for result in harness.results:
        assert result.position == done.get(result.session, 0)
        done[result.session] = result.position + result.length
    assert done == wanted


def test_long_prompt_does_not_delay_other_streams():
    """Guards against a token that waits for the whole prompt of another stream.

    The prompt of 400 positions is submitted first. Without chunks it would
    occupy the engine for fifty batches.
    """
    harness = _Harness()
    harness.submit("long", 0, 400)
    harness.settle()
    harness.submit("short", 0, 1)
    harness.settle()
    before = 0
    while not any(r.session == "short" for r in harness.results):
        before += sum(len(item.inputs) for item in harness.end_call())
    assert before <= 2 * _BATCH


def test_ended_stream_frees_its_backlog():
    harness = _Harness()
    harness.submit("long", 0, 400)
    harness.submit("other", 0, 2)
    harness.settle()
    harness.scheduler.end("long")
    while harness.engine.calls:
        harness.end_call()
    assert harness.scheduler.backlog == 0
    assert {r.session for r in harness.results} == {"other"}


def test_call_that_only_ends_sessions_does_not_end_isolation():
    """Guards against innocent requests that are suspected of a crash.

    A call that only frees caches returned during the isolated run of a suspect
    and was taken for the end of that run. Other items then joined the suspect
    in the engine and were suspected of its next crash.
    """
    harness = _Harness()
    harness.submit("suspect", 0, 1, isolated=True)
    harness.settle()
    harness.scheduler.end("forgotten")
    harness.settle()
    harness.submit("innocent", 0, 1)
    harness.settle()
    ((suspects, _), (ended, done)) = harness.engine.calls
    assert [item.session for item in suspects] == ["suspect"]
    assert ended == []
    done.set()
    harness.settle()
    assert list(harness.scheduler.sessions_in_engine) == ["suspect"]


def test_step_and_chunk_are_sent_in_separate_calls():
    """Guards against a token that is delayed by a whole batch.

    An engine may defer a chunk to its next batch, and a call returns when its
    last item has run. A step in the same call would wait for the chunk.
    """
    harness = _Harness()
    harness.submit("long", 0, 4)
    harness.submit("short", 0, 1)
    harness.settle()
    called = [
        {item.session for item in items} for items, _ in harness.engine.calls
    ]
    assert sorted(called, key=sorted) == [{"long"}, {"short"}]
    while harness.engine.calls:
        harness.end_call()
    assert harness.scheduler.backlog == 0
