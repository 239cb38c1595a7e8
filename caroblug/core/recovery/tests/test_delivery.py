"""Tests of exactly-once delivery of the frames of a session."""

from hypothesis import given
from hypothesis import strategies as st

from caroblug.core.recovery import Delivery


@given(st.data())
def test_frames_arrive_once_in_order_over_any_connections(data):
    """A stream never gets its next step after a connection broke.

    Connections break at any moment and lose the frames in flight. The
    unacknowledged frames are resent on the next connection, and each frame is
    delivered once, in the order of sending.
    """
    sender: Delivery[int] = Delivery()
    receiver: Delivery[int] = Delivery()
    in_flight, delivered, sent = [], [], 0
    for _ in range(data.draw(st.integers(1, 40))):
        action = data.draw(st.sampled_from(["send", "arrive", "break", "ack"]))
        if action == "send":
            in_flight.append(sender.next_number)
            sender.retain(str(sent).encode(), 0)
            sent += 1
        elif action == "arrive" and in_flight:
            number = in_flight.pop(0)
            delivered += receiver.on_received(number, number - 1)
        elif action == "break":
            first = sender.next_number - len(sender.unacknowledged(0))
            in_flight = list(range(first, sender.next_number))
        elif action == "ack":
            sender.on_acknowledged(receiver.received, 0)
    first = sender.next_number - len(sender.unacknowledged(0))
    for number in range(first, sender.next_number):
        delivered += receiver.on_received(number, number - 1)
    assert delivered == list(range(sent))


def test_wait_counts_from_the_last_progress():
    delivery: Delivery[int] = Delivery()
    delivery.retain(b"a", 100)
    delivery.retain(b"b", 110)
    assert delivery.waited_ms(400) == 300
    delivery.on_acknowledged(1, 390)
    assert delivery.waited_ms(400) == 10
    delivery.on_acknowledged(2, 395)
    assert delivery.waited_ms(900) == 0


def test_retained_frames_are_bounded():
    delivery: Delivery[int] = Delivery(max_unacknowledged_bytes=10)
    delivery.retain(bytes(10), 0)
    assert not delivery.over_limit
    delivery.retain(b"x", 0)
    assert delivery.over_limit
