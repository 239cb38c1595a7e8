"""Tests that classes of retries leave reserves for the classes before them."""

import hypothesis
import hypothesis.strategies as st
import pytest

from caroblug.core.limits import (
    RetryClass,
    WindowedRetryBudget,
    classify_retry,
    find_retry_classes,
)

BEGUN, URGENT, OTHER = RetryClass
RATIO = 0.2
EXTRA = 50.0
WINDOW_MS = 10000
GATEWAYS = 4
RANKS = (0, 1, 2)


def make_budget(classes=(BEGUN, URGENT)):
    budget = WindowedRetryBudget(RATIO, EXTRA, WINDOW_MS)
    budget.set_classes({"s": frozenset(classes)})
    return budget


def take_all(budget, retry_class, gateways=1, now_ms=0):
    """Takes retries of a class until one is denied; returns how many."""
    count = 0
    while budget.take("s", gateways, now_ms, retry_class):
        count += 1
    return count


def test_each_class_leaves_a_quarter_for_each_class_before_it():
    # Guards against a flood of rejected requests of lower ranks that spends
    # the retries of urgent requests and of responses that have begun.
    budget = make_budget()

    assert take_all(budget, OTHER) == 20
    assert take_all(budget, URGENT) == 10
    assert take_all(budget, BEGUN) == 10


def test_single_class_has_the_whole_budget():
    # Guards against a service of plain calls that loses a part of its retries
    # to reserves which nothing can use.
    budget = make_budget(classes=())

    assert take_all(budget, OTHER) == 40


def test_unused_reserve_grows_with_the_requests():
    budget = make_budget()
    for _ in range(1000):
        budget.on_first_send("s", 0)

    take_all(budget, OTHER)

    assert budget.remaining("s", 1, 0) >= (1000 * RATIO * 0.85 + 40) / 2


def test_lender_keeps_the_reserve_that_the_class_must_leave():
    # Guards against newcomers at many gateways that together borrow what
    # streams that have begun need.
    lender = make_budget()

    while lender.lend("s", 8, 1, 0, OTHER):
        pass

    assert lender.remaining("s", 1, 0) >= 20
    assert lender.lend("s", 8, 1, 0, BEGUN) == 8


@pytest.mark.parametrize("lent_to", RetryClass)
@pytest.mark.parametrize("taken_by", RetryClass)
def test_loan_serves_its_class_and_those_before_it(lent_to, taken_by):
    # Guards against newcomers that use a loan which the lender took from its
    # reserve for streams that have begun.
    borrower = make_budget()
    take_all(borrower, BEGUN)

    borrower.borrow("s", 1, 0, lent_to)

    assert borrower.take("s", 1, 0, taken_by) == (taken_by <= lent_to)


def test_loan_that_the_fewest_classes_can_use_is_used_first():
    borrower = make_budget()
    take_all(borrower, BEGUN)
    borrower.borrow("s", 1, 0, OTHER)
    borrower.borrow("s", 1, 0, BEGUN)

    assert borrower.take("s", 1, 0, BEGUN)
    assert borrower.take("s", 1, 0, OTHER)


def test_begun_stream_comes_first_whatever_its_rank():
    assert classify_retry(True, 2, RANKS) is BEGUN
    assert classify_retry(False, 0, RANKS) is URGENT
    assert classify_retry(False, 1, RANKS) is OTHER


def test_requests_of_a_single_rank_form_one_class():
    assert classify_retry(False, 5, (5,)) is URGENT
    assert find_retry_classes((5,), resumable=True) == {BEGUN, URGENT}


def test_streams_that_can_not_resume_need_no_reserve():
    assert find_retry_classes((5,), resumable=False) == {URGENT}


steps = st.lists(
    st.tuples(
        st.integers(0, GATEWAYS - 1),
        st.sampled_from(["first", "retry", "borrow"]),
        st.sampled_from(RetryClass),
        st.integers(0, 400),
    ),
    max_size=400,
)


@hypothesis.given(steps)
def test_no_mix_of_classes_and_loans_exceeds_the_bound(steps):
    # Guards against retries that are counted neither by the lender nor by the
    # borrower because they belong to different classes.
    budgets = [make_budget() for _ in range(GATEWAYS)]
    firsts, retries = [], []
    now_ms = 0
    for gateway, step, retry_class, pause_ms in steps:
        now_ms += pause_ms
        budget = budgets[gateway]
        if step == "first":
            budget.on_first_send("s", now_ms)
            firsts.append(now_ms)
        elif step == "borrow":
            lender = budgets[gateway - 1]
            lent = lender.lend("s", 4, GATEWAYS, now_ms, retry_class)
            budget.borrow("s", lent, now_ms, retry_class)
        elif budget.take("s", GATEWAYS, now_ms, retry_class):
            retries.append(now_ms)

    for end_ms in retries:
        begin_ms = end_ms - WINDOW_MS
        most = RATIO * sum(begin_ms - WINDOW_MS < t <= end_ms for t in firsts)
        assert sum(begin_ms < t <= end_ms for t in retries) <= most + EXTRA
