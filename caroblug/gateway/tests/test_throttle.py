"""A distance between questions, for each name."""

from caroblug.gateway._throttle import Throttle


def test_names_wait_for_themselves_only():
    spacing = Throttle(400)

    assert spacing.allows("x", 0)
    assert not spacing.allows("x", 399)
    assert spacing.allows("y", 399)
    assert spacing.allows("x", 400)


def test_names_of_the_past_are_forgotten():
    # Guards against memory that grows with every start of an engine.
    spacing = Throttle(400)
    for number in range(1000):
        spacing.allows(f"engine-{number}", number * 1000)

    assert len(spacing._last_ms) == 1
