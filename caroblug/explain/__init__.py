"""Reconstructs requests, instance states and losses from log lines."""

from caroblug.explain._commands import main
from caroblug.explain._lines import LogLine, read_lines
from caroblug.explain._losses import Loss, group_losses
from caroblug.explain._timelines import Belief, states_at, trace_request

__all__ = [
    "Belief",
    "LogLine",
    "Loss",
    "states_at",
    "main",
    "read_lines",
    "group_losses",
    "trace_request",
]
