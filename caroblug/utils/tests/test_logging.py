"""Tests of logs."""

import eliot

from caroblug.utils import log_state


def test_any_field_name_may_be_used():
    """A side process goes on without its watch on the engine.

    The engine is lost, the line about it has a field called `message`, and
    the watching greenlet ended with a TypeError for it.
    """
    lines = []
    eliot.add_destinations(lines.append)
    try:
        log_state("engine.lost", message="reset", kind="engine")
    finally:
        eliot.remove_destination(lines.append)
    # Eliot also hands over what was logged before its first destination.
    (line,) = [x for x in lines if x["message_type"] == "engine.lost"]
    assert line["message"] == "reset"
