"""Tests of the minimum interval between probes of one backend server."""

from caroblug.gateway._spacing import Spacing


def test_interval_applies_to_each_name_separately():
    spacing = Spacing(400)

    assert spacing.allows("x", 0)
    assert not spacing.allows("x", 399)
    assert spacing.allows("y", 399)
    assert spacing.allows("x", 400)


def test_names_are_removed_once_their_interval_has_passed():
    # Guards against memory growth with each engine start, as every start has a
    # new name.
    spacing = Spacing(400)
    for number in range(1000):
        spacing.allows(f"engine-{number}", number * 1000)

    assert len(spacing._last_ms) == 1
