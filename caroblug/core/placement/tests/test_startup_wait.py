"""Tests the wait for the first engines of a service."""

from caroblug.core.placement import StartupWait
from caroblug.core.placement._startup_wait import MAX_WAIT_MS, SETTLING_MS
from caroblug.core.placement.tests.fleets import make_engine

ROUND_MS = 400


def empty(*names):
    return [make_engine(name) for name in names]


def first_plan_ms(fleet_at):
    """Returns when layers are first placed on a fleet that changes."""
    wait = StartupWait()
    for now_ms in range(0, 60_000, ROUND_MS):
        if wait.is_over(fleet_at(now_ms), now_ms):
            return now_ms
    return None


def test_new_engine_extends_the_wait():
    # Guards against layers on the first engines that fill their memory.
    planned_ms = first_plan_ms(
        lambda now_ms: empty("e1", "e2") if now_ms > 1000 else empty("e1")
    )

    assert planned_ms >= 1000 + SETTLING_MS


def test_engine_that_flaps_does_not_extend_the_wait():
    # Guards against a fleet that stays empty while one engine goes down and up.
    planned_ms = first_plan_ms(
        lambda now_ms: (
            empty("e1", "e2") if now_ms // ROUND_MS % 2 else empty("e1")
        )
    )

    assert planned_ms <= SETTLING_MS + 2 * ROUND_MS


def test_engines_that_are_replaced_all_the_time_end_the_wait():
    # Guards against a fleet that stays empty while engines start under new
    # names.
    planned_ms = first_plan_ms(lambda now_ms: empty("e1", f"new{now_ms}"))

    assert planned_ms <= MAX_WAIT_MS + ROUND_MS


def test_wait_begins_again_after_the_layers_are_lost():
    # Guards against a plan for the first engines that are back after a power
    # loss.
    wait = StartupWait()
    assert not wait.is_over(empty("e1", "e2"), 0)
    assert wait.is_over([make_engine("e1", end=16)], 10_000)

    assert not wait.is_over(empty("e1"), 20_000)
    assert wait.is_over(empty("e1"), 20_000 + SETTLING_MS)
