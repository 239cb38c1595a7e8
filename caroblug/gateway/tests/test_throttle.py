"""Tests of the minimum interval between actions on one name."""

from caroblug.gateway._throttle import Throttle


def test_interval_applies_to_each_name_separately():
    throttle = Throttle(400)

    assert throttle.allows("x", 0)
    assert not throttle.allows("x", 399)
    assert throttle.allows("y", 399)
    assert throttle.allows("x", 400)


def test_expired_names_are_removed():
    # Guards against a table that grows with every start of an engine.
    throttle = Throttle(400)
    for number in range(1000):
        throttle.allows(f"engine-{number}", number * 1000)

    assert len(throttle._last_ms) == 1
