"""Repeats of several gateways stay within one bound."""

import hypothesis
import hypothesis.strategies as st

from caroblug.core.limits import RepeatWindow

RATIO = 0.2
EXTRA = 50.0
WINDOW_MS = 10000


def make_window():
    return RepeatWindow(RATIO, EXTRA, WINDOW_MS)


def test_extra_is_divided_among_gateways():
    window = make_window()

    taken = sum(window.take("s", 4, 0) for _ in range(100))

    assert taken == 10


def test_requests_earn_repeats():
    window = make_window()
    for _ in range(100):
        window.on_first("s", 0)

    assert window.left("s", 1000, 0) > 16


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


sends = st.lists(
    st.tuples(st.integers(0, 3), st.booleans(), st.integers(0, 400)),
    max_size=400,
)


@hypothesis.given(sends)
def test_no_window_of_four_gateways_exceeds_the_bound(steps):
    windows = [make_window() for _ in range(4)]
    firsts, repeats = [], []
    now_ms = 0
    for gateway, repeat, pause_ms in steps:
        now_ms += pause_ms
        if not repeat:
            windows[gateway].on_first("s", now_ms)
            firsts.append(now_ms)
        elif windows[gateway].take("s", 4, now_ms):
            repeats.append(now_ms)

    for end_ms in repeats:
        begin_ms = end_ms - WINDOW_MS
        most = RATIO * sum(begin_ms - WINDOW_MS < t <= end_ms for t in firsts)
        assert sum(begin_ms < t <= end_ms for t in repeats) <= most + EXTRA
