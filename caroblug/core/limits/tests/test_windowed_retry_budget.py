"""Tests that the retries of several gateways stay within one bound."""

import hypothesis
import hypothesis.strategies as st

from caroblug.core.limits import WindowedRetryBudget

RATIO = 0.2
EXTRA = 50.0
WINDOW_MS = 10000


def make_budget():
    return WindowedRetryBudget(RATIO, EXTRA, WINDOW_MS)


def test_extra_is_divided_among_gateways():
    budget = make_budget()

    taken = sum(budget.take("s", 4, 0) for _ in range(100))

    assert taken == 10


def test_requests_add_retries():
    budget = make_budget()
    for _ in range(100):
        budget.on_first_send("s", 0)

    assert budget.remaining("s", 1000, 0) > 16


def test_retries_are_available_again_after_the_window():
    budget = make_budget()
    while budget.take("s", 4, 0):
        pass

    assert not budget.take("s", 4, WINDOW_MS - 1)
    assert budget.take("s", 4, WINDOW_MS)


def test_unknown_number_of_gateways_is_assumed_to_be_large():
    # Guards against each gateway using all extra retries after a common start.
    budget = make_budget()

    assert not budget.take("s", 0, 0)


def test_services_have_separate_budgets():
    budget = make_budget()
    while budget.take("s", 1, 0):
        pass

    assert budget.take("t", 1, 0)


def test_loan_moves_retries_from_lender_to_borrower():
    lender, borrower = make_budget(), make_budget()
    while borrower.take("s", 10, 0):
        pass

    lent = lender.lend("s", 10, 10, 0)
    borrower.borrow("s", lent, 0)

    assert lent == 2
    assert [borrower.take("s", 10, 500) for _ in range(3)] == [
        True,
        True,
        False,
    ]
    assert lender.remaining("s", 10, WINDOW_MS) == 2


def test_unused_loan_expires():
    # Guards against a loan that both the lender and the borrower use.
    lender, borrower = make_budget(), make_budget()
    while borrower.take("s", 10, 0):
        pass
    borrower.borrow("s", lender.lend("s", 1, 10, 0), 0)

    assert not borrower.take("s", 10, 1000)


steps = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.sampled_from(["first", "repeat", "borrow"]),
        st.integers(0, 400),
    ),
    max_size=400,
)


@hypothesis.given(steps)
def test_no_window_of_four_gateways_exceeds_the_bound(steps):
    budgets = [make_budget() for _ in range(4)]
    firsts, retries = [], []
    now_ms = 0
    for gateway, step, pause_ms in steps:
        now_ms += pause_ms
        if step == "first":
            budgets[gateway].on_first_send("s", now_ms)
            firsts.append(now_ms)
        elif step == "borrow":
            lent = budgets[gateway - 1].lend("s", 4, 4, now_ms)
            budgets[gateway].borrow("s", lent, now_ms)
        elif budgets[gateway].take("s", 4, now_ms):
            retries.append(now_ms)

    for end_ms in retries:
        begin_ms = end_ms - WINDOW_MS
        most = RATIO * sum(begin_ms - WINDOW_MS < t <= end_ms for t in firsts)
        assert sum(begin_ms < t <= end_ms for t in retries) <= most + EXTRA
