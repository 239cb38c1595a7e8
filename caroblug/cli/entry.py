"""Entry point of `caroblug-entry`, an instance between callers and engines."""

from gevent import monkey

monkey.patch_all()

import sys

from caroblug.entry import EntrySettings, serve
from caroblug.node import run_program


def main() -> int:
    """Runs the program and returns its exit code."""
    return run_program(
        "caroblug-entry",
        "An instance between callers and engines.",
        EntrySettings,
        serve,
    )


if __name__ == "__main__":
    sys.exit(main())
