"""Entry point of `caroblug-report`, which reports error-budget burn."""

from gevent import monkey

monkey.patch_all()

import sys

from caroblug.report import run


def main() -> int:
    """Runs the program and returns its exit code."""
    return run()


if __name__ == "__main__":
    sys.exit(main())
