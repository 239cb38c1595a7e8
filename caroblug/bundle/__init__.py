"""The operators' tool: keys, checks, signatures, publishing."""

from caroblug.bundle._parser import run

__all__ = ["run"]
