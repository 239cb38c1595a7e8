"""Tests of the budget of second sendings."""

from caroblug.core.limits import Hedging


def test_hedges_stop_when_everything_is_slow():
    """An overloaded service gets twice the calls because it is slow.

    Every call waits past the delay; the budget lets a tenth of them be sent
    again, and no more.
    """
    hedging = Hedging()
    sent = 0
    for _ in range(1000):
        hedging.on_call()
        sent += hedging.take()
    assert sent <= 1000 * 0.1 + 10


def test_delay_is_that_of_the_slowest_recent_calls():
    hedging = Hedging()
    for took_ms in range(19):
        hedging.on_answer(took_ms)
    assert hedging.delay_ms is None
    for took_ms in range(200):
        hedging.on_answer(took_ms)
    assert hedging.delay_ms == 190
