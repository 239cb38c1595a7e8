"""Reports error-budget burn from the metrics of instances."""

from caroblug.report._commands import run

__all__ = ["run"]
