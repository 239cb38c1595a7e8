"""Structured logs with Eliot: one JSON line for each change of state."""

import sys
from typing import Any

import eliot


def start_logging(program: str, instance: str) -> None:
    """Writes the log lines of the process to standard error.

    Args:
        program: Name of the program, added to each line.
        instance: Name of the instance, added to each line.
    """
    eliot.add_global_fields(program=program, instance=instance)
    eliot.to_file(sys.stderr)


def log_state(kind: str, /, **fields: Any) -> None:
    """Writes a log line for a change of state.

    Args:
        kind: Dotted name of the change.
        **fields: Values that describe the change; must not contain secrets.
    """
    eliot.log_message(message_type=kind, **fields)
