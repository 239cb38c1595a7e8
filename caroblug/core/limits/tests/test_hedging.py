"""Tests of the delay and budget of hedged calls."""

from caroblug.core.limits import Hedging


def test_hedges_stop_when_everything_is_slow():
    """Hedging doubles the load of an overloaded service.

    Every call takes longer than the hedging delay; the budget allows a hedge
    for a tenth of the calls.
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
