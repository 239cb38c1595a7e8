"""Tests of the weight of an account at one engine."""

from caroblug.core.limits import AccountWeights


def test_streams_share_the_account_weight_and_never_exceed_it():
    """A burst gets many times the account's share of an engine.

    It comes about when two entries open streams before they know of each
    other's, and assign each stream too high a weight.
    """
    weights = AccountWeights()
    first = weights.on_stream("heavy", "stream-0", 1 / 40, 1.0)
    assert first == 1 / 40
    for number in range(1, 250):
        weight = weights.on_stream("heavy", f"stream-{number}", 1 / 40, 1.0)
    assert weight == 1.0
    assert weights.on_stream("heavy", "stream-9", 1.0, 1.0) == 1.0


def test_ended_streams_leave_no_state():
    weights = AccountWeights()
    weights.on_stream("school-1", "stream-0", 0.5, 1.0)
    weights.on_end("stream-0")
    weights.on_end("stream-0")
    assert len(weights) == 0
