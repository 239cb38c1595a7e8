"""Entry point of `caroblug-explain`, which analyses log lines."""

import sys

from caroblug.explain import main

if __name__ == "__main__":
    sys.exit(main())
