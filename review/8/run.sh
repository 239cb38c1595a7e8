#!/usr/bin/env bash
# Exit code: 1 if too many proper requests were denied, 0 if not, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || exit 2
exec python3 review/8/play.py
