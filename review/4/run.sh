#!/usr/bin/env bash
# Exit code: 1 if the system did not recover, 0 if it did, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || exit 2
exec python3 review/4/play.py
