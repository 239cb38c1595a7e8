"""Tests of the delivery of a session's frames."""

from hypothesis import given
from hypothesis import strategies as st

from caroblug.core.recovery import Delivery


@given(st.data())
def test_frames_arrive_once_in_order_over_any_connections(data):
    """A stream misses its next step for good after a connection broke.

    Connections break at any moment with whatever is under way; what was not
    acknowledged is sent again on the next one, and each frame is delivered
    once, in the order in which it was sent.
    """
    sender: Delivery[int] = Delivery()
    receiver: Delivery[int] = Delivery()
    flying, delivered, sent = [], [], 0
    for _ in range(data.draw(st.integers(1, 40))):
        action = data.draw(st.sampled_from(["send", "arrive", "break", "ack"]))
        if action == "send":
            flying.append(sender.next_number)
            sender.retain(str(sent).encode(), 0)
            sent += 1
        elif action == "arrive" and flying:
            number = flying.pop(0)
            delivered += receiver.on_received(number, number - 1)
        elif action == "break":
            first = sender.next_number - len(sender.unacknowledged(0))
            flying = list(range(first, sender.next_number))
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


def test_what_is_kept_is_bounded():
    delivery: Delivery[int] = Delivery(unacknowledged_bytes=10)
    delivery.retain(bytes(10), 0)
    assert not delivery.over_limit
    delivery.retain(b"x", 0)
    assert delivery.over_limit
