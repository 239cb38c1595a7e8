"""Tests of the minimum interval between probes of one backend server."""

from caroblug.gateway._throttle import Throttle


def test_interval_applies_to_each_name_separately():
    throttle = Throttle(400)

    assert throttle.allows("x", 0)
    assert not throttle.allows("x", 399)
    assert throttle.allows("y", 399)
    assert throttle.allows("x", 400)


def test_names_are_removed_once_their_interval_has_passed():
    # Guards against memory growth with each engine start, as every start has a
    # new name.
    throttle = Throttle(400)
    for number in range(1000):
        throttle.allows(f"engine-{number}", number * 1000)

    assert len(throttle._last_ms) == 1
