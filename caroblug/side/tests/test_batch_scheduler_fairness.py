"""The pump between accounts: overtaking, deadlines, suspects alone."""

import collections

import gevent

from caroblug.side import BatchScheduler
from caroblug.side.tests.test_batch_scheduler import _BATCH, _Engine
from caroblug.transport import EngineItem
from caroblug.utils import ManualClock, make_metrics


class _Bench:
    def __init__(self, queue="fair"):
        self.engine = _Engine()
        self.clock = ManualClock(1000)
        self.metrics = make_metrics()
        self.results = []
        self.pump = BatchScheduler(
            self.engine,
            self.clock,
            self.metrics,
            self.results.extend,
            lambda sessions, failed: None,
            _BATCH,
            4,
            queue,
        )
        self.pump.start()

    def submit(self, account, number, **options):
        item = EngineItem(f"{account}.{number}", 0, 4, 0, (number,), 1)
        self.pump.submit(account, item, 1.0, 1.0, **options)

    def settle(self):
        for _ in range(3):
            gevent.sleep(0)

    def running(self):
        return [item for items, _ in self.engine.calls for item in items]

    def end_call(self):
        self.engine.calls.pop(0)[1].set()
        self.settle()


def test_light_account_overtakes_what_a_heavy_one_has_in_the_engine():
    """A light account's first token waits for a heavy one's two batches.

    The queue is fair, but the batches are in the engine already; the light
    item goes in at once, in a call of its own, for the engine to run next.
    """
    bench = _Bench()
    for number in range(10 * _BATCH):
        bench.submit("heavy", number)
    bench.settle()
    assert bench.engine.positions == 2 * _BATCH
    bench.submit("light", 0)
    bench.settle()
    (item,) = bench.engine.calls[-1][0]
    assert item.session == "light.0"
    assert item.priority < bench.engine.calls[0][0][0].priority


def test_overtaking_is_bounded_over_many_accounts():
    """An engine's memory grows with each account that has something."""
    bench = _Bench()
    for number in range(2 * _BATCH):
        bench.submit("heavy", number)
    bench.settle()
    for account in range(20 * _BATCH):
        bench.submit(f"light-{account}", 0)
        bench.settle()
    assert bench.engine.positions <= 4 * _BATCH


def test_backlogged_accounts_get_equal_service_in_the_end():
    bench = _Bench()
    for number in range(400):
        bench.submit("heavy", number)
    for number in range(100):
        bench.submit("light", number)
    bench.settle()
    for _ in range(20):
        bench.end_call()
    served = collections.Counter(r.session.split(".")[0] for r in bench.results)
    assert abs(served["heavy"] - served["light"]) <= 4 * _BATCH


def test_item_past_its_deadline_costs_the_engine_nothing():
    """Engines are busy with tokens for callers that have long gone."""
    bench = _Bench()
    for number in range(2 * _BATCH):
        bench.submit("school-1", number)
    bench.submit("school-1", 100, end_ms=2000)
    bench.settle()
    bench.clock.advance(1000)
    while bench.engine.calls:
        bench.end_call()
    assert len(bench.results) == 2 * _BATCH
    assert bench.metrics.value("items_expired") == 1


def test_suspect_is_alone_in_the_engine():
    """Innocent streams go down with a request that crashes the engine."""
    bench = _Bench()
    bench.submit("school-1", 0)
    bench.settle()
    bench.submit("poisoner", 1, alone=True)
    bench.submit("school-1", 2)
    bench.settle()
    assert [i.session for i in bench.running()] == ["school-1.0"]
    bench.end_call()
    assert [i.session for i in bench.running()] == ["poisoner.1"]
    bench.end_call()
    assert [i.session for i in bench.running()] == ["school-1.2"]
