#!/usr/bin/env bash
# Exit code: 1 if a request ran at an engine of another service, 0 if none did, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || exit 2
exec python3 review/5/play.py
