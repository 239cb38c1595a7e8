"""Entry point of `caroblug-side`, the process beside one backend server."""

from gevent import monkey

monkey.patch_all()

import sys

from caroblug.node import run_program
from caroblug.side import SideSettings, serve


def main() -> int:
    """Runs the program and returns its exit code."""
    return run_program(
        "caroblug-side",
        "The side process beside one backend server.",
        SideSettings,
        serve,
    )


if __name__ == "__main__":
    sys.exit(main())
