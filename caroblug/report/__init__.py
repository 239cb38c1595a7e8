"""The report on service-level burn, from the instances' metrics."""

from caroblug.report._commands import run

__all__ = ["run"]
