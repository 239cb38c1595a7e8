"""Tests for structured logging."""

import eliot

from caroblug.utils import log_state


def test_any_field_name_may_be_used():
    """Guards against a TypeError for a field that is named like a parameter.

    The line about a lost engine has a field `message`. The error ended the
    greenlet that monitors the engine, and the side process went on without it.
    """
    lines = []
    eliot.add_destinations(lines.append)
    try:
        log_state("engine.lost", message="reset", kind="engine")
    finally:
        eliot.remove_destination(lines.append)
    # Eliot also delivers lines that were logged before its first destination.
    (line,) = [x for x in lines if x["message_type"] == "engine.lost"]
    assert line["message"] == "reset"
