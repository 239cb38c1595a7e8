"""Tests of the extra retries of a gateway that replaces another process."""

from caroblug.core.limits import WindowedRetryBudget

EXTRA = 50.0
WINDOW_MS = 10000
START_MS = 700_000


def make_budget(ramp_start_ms=START_MS):
    return WindowedRetryBudget(0.2, EXTRA, WINDOW_MS, ramp_start_ms)


def test_extra_begins_at_zero_and_is_whole_after_one_window():
    # Guards against a gateway that spends a whole new budget while what its
    # predecessor spent lies in the same window.
    budget = make_budget()
    times_ms = range(START_MS, START_MS + WINDOW_MS + 1, 500)

    extras = [budget.remaining("s", 1, t) for t in times_ms]

    assert extras[0] == 0
    assert extras == sorted(extras)
    assert extras[len(extras) // 2] < extras[-1] / 2
    assert extras[-1] == make_budget(None).remaining("s", 1, times_ms[-1])


def test_requests_add_retries_from_the_start():
    budget = make_budget()
    for _ in range(100):
        budget.on_first_send("s", START_MS)

    assert budget.remaining("s", 1, START_MS) >= 16


def test_loans_can_be_used_from_the_start():
    # Guards against streams that are cut at a gateway that has just started,
    # while other gateways have retries left.
    budget = make_budget()

    budget.borrow("s", 2, START_MS)

    assert [budget.take("s", 1, START_MS) for _ in range(3)] == [
        True,
        True,
        False,
    ]


def test_first_start_of_the_system_has_the_whole_extra():
    budget = make_budget(ramp_start_ms=None)

    assert budget.take("s", 1, START_MS)


def test_changed_bound_does_not_end_the_growth():
    # Guards against settings that are read again after a start and give the
    # whole budget at once.
    budget = make_budget()
    budget.set_bound(0.2, 2 * EXTRA, WINDOW_MS)

    assert not budget.take("s", 1, START_MS)
