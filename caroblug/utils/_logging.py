"""Eliot logs: one JSON line for each change of state."""

import sys
from typing import Any

import eliot


def start_logging(program: str, instance: str) -> None:
    """Sends log lines to standard error.

    Args:
        program: Name of the program, added to each line.
        instance: Name of the instance, added to each line.
    """
    eliot.add_global_fields(program=program, instance=instance)
    eliot.to_file(sys.stderr)


def log_state(message: str, **fields: Any) -> None:
    """Writes one line for a change of state.

    Args:
        message: Dotted name of the change.
        **fields: Values of the change; never a secret.
    """
    eliot.log_message(message_type=message, **fields)
