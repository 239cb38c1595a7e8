"""Tests that a stream's events are complete, ordered and unique over runs."""

import hypothesis
import hypothesis.strategies as st
import pytest

from caroblug.gateway._events import EventPace, EventSequence, OutOfOrderEvent


def event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def test_only_complete_events_are_forwarded():
    events = EventSequence()

    assert events.feed(event(1) + b"id: 2\nda") == [event(1)]
    assert events.mid_event
    assert events.feed(b"ta: token 2\n\n") == [event(2)]
    assert not events.mid_event
    assert events.last_id == 2


def test_incomplete_event_of_a_failed_run_is_discarded():
    # Guards against a partial or duplicate event after an engine has crashed
    # in the middle of one.
    events = EventSequence()
    events.feed(event(1) + b"id: 2\nda")

    events.begin_run()

    assert events.feed(event(2)) == [event(2)]


def test_events_that_the_caller_already_has_are_skipped():
    events = EventSequence(last_id=3)

    assert events.feed(event(2) + event(3) + event(4)) == [event(4)]


def test_missing_event_is_detected():
    events = EventSequence(last_id=3)

    assert events.feed(event(5)) == OutOfOrderEvent(expected=4, found=5)


runs = st.tuples(st.integers(0, 3), st.integers(0, 300), st.integers(0, 300))


@hypothesis.given(st.lists(runs, max_size=6))
def test_any_split_and_resumed_runs_give_each_event_once(failed_runs):
    total = 12
    events = EventSequence()
    forwarded = []
    for back, first_cut, second_cut in [*failed_runs, (0, 0, 10_000)]:
        events.begin_run()
        start = max(1, (events.last_id or 0) + 1 - back)
        stream = b"".join(event(n) for n in range(start, total + 1))
        cut = min(first_cut, second_cut)
        for part in (stream[:cut], stream[cut : max(first_cut, second_cut)]):
            forwarded.extend(events.feed(part))

    assert forwarded == [event(n) for n in range(1, total + 1)]


@pytest.mark.parametrize("digits", [19, 5000])
def test_id_with_too_many_digits_is_out_of_order(digits):
    # Guards against an event of a server that ends its stream with an error.
    events = EventSequence()
    events.feed(event(1))

    found = events.feed(b"id: %b\ndata: x\n\n" % (b"9" * digits))

    assert found == OutOfOrderEvent(2, None)


def test_mean_gap_is_reported_after_enough_events():
    pace = EventPace()
    for _ in range(11):
        pace.add(1, 30)
    assert pace.gap_ms == 0.0

    for _ in range(30):
        pace.add(1, 30)
    assert 29.0 < pace.gap_ms < 30.5


def test_gap_is_divided_among_events_that_arrived_together():
    pace = EventPace()
    for _ in range(40):
        pace.add(2, 60)

    assert 29.0 < pace.gap_ms < 30.5


def test_time_written_begins_with_the_first_event():
    # Guards against counting the wait for the first event as writing.
    pace = EventPace()
    pace.add(1, 900)
    assert pace.written_ms == 0

    pace.add(2, 60)
    pace.add(1, 30)

    assert pace.written_ms == 90
