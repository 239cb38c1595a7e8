"""Tests of fairness between accounts, deadlines and isolated runs."""

import collections

import gevent

from caroblug.side import BatchScheduler
from caroblug.side.tests.test_batch_scheduler import _BATCH, _FakeEngine
from caroblug.transport import EngineItem
from caroblug.utils import ManualClock, make_metrics


class _Harness:
    """A scheduler on a fake engine, with the results of finished calls."""

    def __init__(self, queue="fair"):
        self.engine = _FakeEngine()
        self.clock = ManualClock(1000)
        self.metrics = make_metrics()
        self.results = []
        self.scheduler = BatchScheduler(
            self.engine,
            self.clock,
            self.metrics,
            self.results.extend,
            lambda sessions, failed: None,
            _BATCH,
            4,
            queue,
        )
        self.scheduler.start()

    def submit(self, account, number, **options):
        item = EngineItem(f"{account}.{number}", 0, 4, 0, (number,), 1)
        self.scheduler.submit(account, item, 1.0, 1.0, **options)

    def settle(self):
        for _ in range(3):
            gevent.sleep(0)

    def running(self):
        return [item for items, _ in self.engine.calls for item in items]

    def end_call(self):
        self.engine.calls.pop(0)[1].set()
        self.settle()


def test_light_account_overtakes_what_a_heavy_one_has_in_the_engine():
    """Guards against a light account that waits for two batches of a heavy one.

    The queue is fair, but these batches are already in the engine. The item of
    the light account must be sent at once in a call of its own, with a
    priority that lets the engine run it next.
    """
    harness = _Harness()
    for number in range(10 * _BATCH):
        harness.submit("heavy", number)
    harness.settle()
    assert harness.engine.positions == 2 * _BATCH
    harness.submit("light", 0)
    harness.settle()
    (item,) = harness.engine.calls[-1][0]
    assert item.session == "light.0"
    assert item.priority < harness.engine.calls[0][0][0].priority


def test_overtaking_is_bounded_over_many_accounts():
    """Guards against an engine's memory growing with the number of accounts."""
    harness = _Harness()
    for number in range(2 * _BATCH):
        harness.submit("heavy", number)
    harness.settle()
    for account in range(20 * _BATCH):
        harness.submit(f"light-{account}", 0)
        harness.settle()
    assert harness.engine.positions <= 4 * _BATCH


def test_backlogged_accounts_get_equal_service():
    harness = _Harness()
    for number in range(400):
        harness.submit("heavy", number)
    for number in range(100):
        harness.submit("light", number)
    harness.settle()
    for _ in range(20):
        harness.end_call()
    served = collections.Counter(
        r.session.split(".")[0] for r in harness.results
    )
    assert abs(served["heavy"] - served["light"]) <= 4 * _BATCH


def test_item_past_its_deadline_is_not_run():
    """Guards against an engine that generates tokens for absent callers."""
    harness = _Harness()
    for number in range(2 * _BATCH):
        harness.submit("school-1", number)
    harness.submit("school-1", 100, expires_ms=2000)
    harness.settle()
    harness.clock.advance(1000)
    while harness.engine.calls:
        harness.end_call()
    assert len(harness.results) == 2 * _BATCH
    assert harness.metrics.value("items_expired") == 1


def test_suspect_is_alone_in_the_engine():
    """Guards against streams that fail with one that crashes the engine."""
    harness = _Harness()
    harness.submit("school-1", 0)
    harness.settle()
    harness.submit("poisoner", 1, isolated=True)
    harness.submit("school-1", 2)
    harness.settle()
    assert [i.session for i in harness.running()] == ["school-1.0"]
    harness.end_call()
    assert [i.session for i in harness.running()] == ["poisoner.1"]
    harness.end_call()
    assert [i.session for i in harness.running()] == ["school-1.2"]
