"""Tests of the minimum interval between actions on one name."""

from caroblug.gateway._throttle import ProbeSpacing, Throttle


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


def test_intervals_grow_only_for_engines_found_alive():
    # Guards against a dead engine that is probed too late.
    spacing = ProbeSpacing(400, 2000)

    assert spacing.allows("a", 0, 1000)
    assert not spacing.allows("a", 0, 1399)
    assert spacing.allows("a", 0, 1400)
    spacing.on_alive("a")
    assert not spacing.allows("a", 0, 2199)
    assert spacing.allows("a", 0, 2200)


def test_event_resets_the_interval():
    # Guards against a late probe of an engine that dies after a long stall.
    spacing = ProbeSpacing(400, 2000)
    now_ms = 0
    for _ in range(9):
        assert spacing.allows("a", 5, now_ms)
        spacing.on_alive("a")
        now_ms += 2000

    assert not spacing.allows("a", 5, now_ms - 1)
    assert spacing.allows("a", 6, now_ms - 1)


def test_spacing_forgets_engines_that_are_not_probed():
    # Guards against a table that grows with each engine ever probed.
    spacing = ProbeSpacing(400, 2000)
    for number in range(100):
        spacing.allows(f"e{number}", 0, number * 1000)

    assert len(spacing._probes) <= 5
