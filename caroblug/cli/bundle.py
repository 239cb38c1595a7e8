"""Entry point of `caroblug-bundle`, the operators' tool for bundles."""

from gevent import monkey

monkey.patch_all()

import sys

from caroblug.bundle import run


def main() -> int:
    """Runs the program and returns its exit code."""
    return run()


if __name__ == "__main__":
    sys.exit(main())
