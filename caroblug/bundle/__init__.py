"""The operators' tool: keys, checks, signatures, publishing."""

from caroblug.bundle._commands import run

__all__ = ["run"]
