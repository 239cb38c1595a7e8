"""Telling from log lines what happened to a request, or what was believed."""

from caroblug.explain._commands import main
from caroblug.explain._lines import LogLine, read_lines
from caroblug.explain._losses import Loss, sum_losses
from caroblug.explain._stories import Belief, believe, tell_request

__all__ = [
    "Belief",
    "LogLine",
    "Loss",
    "believe",
    "main",
    "read_lines",
    "sum_losses",
    "tell_request",
]
