"""Repeats of several gateways stay within one bound."""

import hypothesis
import hypothesis.strategies as st

from caroblug.core.limits import WindowedRetryBudget

RATIO = 0.2
EXTRA = 50.0
WINDOW_MS = 10000


def make_window():
    return WindowedRetryBudget(RATIO, EXTRA, WINDOW_MS)


def test_extra_is_divided_among_gateways():
    window = make_window()

    taken = sum(window.take("s", 4, 0) for _ in range(100))

    assert taken == 10


def test_requests_earn_repeats():
    window = make_window()
    for _ in range(100):
        window.on_first_send("s", 0)

    assert window.remaining("s", 1000, 0) > 16


def test_repeats_come_back_after_the_window():
    window = make_window()
    while window.take("s", 4, 0):
        pass

    assert not window.take("s", 4, WINDOW_MS - 1)
    assert window.take("s", 4, WINDOW_MS)


def test_unknown_number_of_gateways_is_taken_for_many():
    # Guards against every gateway taking the whole extra after a common start.
    window = make_window()

    assert not window.take("s", 0, 0)


def test_services_do_not_share():
    window = make_window()
    while window.take("s", 1, 0):
        pass

    assert window.take("t", 1, 0)


def test_lent_repeats_are_the_borrower_s_and_no_longer_the_lender_s():
    lender, borrower = make_window(), make_window()
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


def test_loan_that_was_not_used_in_time_is_over():
    # Guards against two uses of one loan, by the lender and by the borrower.
    lender, borrower = make_window(), make_window()
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
    windows = [make_window() for _ in range(4)]
    firsts, repeats = [], []
    now_ms = 0
    for gateway, step, pause_ms in steps:
        now_ms += pause_ms
        if step == "first":
            windows[gateway].on_first_send("s", now_ms)
            firsts.append(now_ms)
        elif step == "borrow":
            lent = windows[gateway - 1].lend("s", 4, 4, now_ms)
            windows[gateway].borrow("s", lent, now_ms)
        elif windows[gateway].take("s", 4, now_ms):
            repeats.append(now_ms)

    for end_ms in repeats:
        begin_ms = end_ms - WINDOW_MS
        most = RATIO * sum(begin_ms - WINDOW_MS < t <= end_ms for t in firsts)
        assert sum(begin_ms < t <= end_ms for t in repeats) <= most + EXTRA
