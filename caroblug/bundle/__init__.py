"""Operators' command-line tool for signing and publishing bundles."""

from caroblug.bundle._parser import run

__all__ = ["run"]
