"""Events of a stream: whole, in order, once each, over several runs."""

import hypothesis
import hypothesis.strategies as st

from caroblug.gateway._events import EventPace, EventSequence, Misordered


def event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def test_only_whole_events_are_passed_on():
    events = EventSequence()

    assert events.feed(event(1) + b"id: 2\nda") == [event(1)]
    assert events.mid_event
    assert events.feed(b"ta: token 2\n\n") == [event(2)]
    assert not events.mid_event
    assert events.last_id == 2


def test_half_an_event_of_a_broken_run_is_dropped():
    # Guards against half an event, or one sent twice, after an engine's death.
    events = EventSequence()
    events.feed(event(1) + b"id: 2\nda")

    events.begin_run()

    assert events.feed(event(2)) == [event(2)]


def test_events_that_the_caller_has_are_left_out():
    events = EventSequence(last_id=3)

    assert events.feed(event(2) + event(3) + event(4)) == [event(4)]


def test_gap_is_seen():
    events = EventSequence(last_id=3)

    assert events.feed(event(5)) == Misordered(expected=4, found=5)


runs = st.tuples(st.integers(0, 3), st.integers(0, 300), st.integers(0, 300))


@hypothesis.given(st.lists(runs, max_size=6))
def test_any_cuts_and_resumed_runs_give_each_event_once(broken_runs):
    total = 12
    events = EventSequence()
    passed = []
    for back, first_cut, second_cut in [*broken_runs, (0, 0, 10_000)]:
        events.begin_run()
        start = max(1, (events.last_id or 0) + 1 - back)
        stream = b"".join(event(n) for n in range(start, total + 1))
        cut = min(first_cut, second_cut)
        for part in (stream[:cut], stream[cut : max(first_cut, second_cut)]):
            passed.extend(events.feed(part))

    assert passed == [event(n) for n in range(1, total + 1)]


def test_gap_is_told_once_a_run_has_shown_it():
    pace = EventPace()
    for _ in range(11):
        pace.add(1, 30)
    assert pace.gap_ms == 0.0

    for _ in range(30):
        pace.add(1, 30)
    assert 29.0 < pace.gap_ms < 30.5


def test_events_that_came_together_count_for_their_number():
    pace = EventPace()
    for _ in range(40):
        pace.add(2, 60)

    assert 29.0 < pace.gap_ms < 30.5
