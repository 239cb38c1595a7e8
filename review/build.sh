#!/bin/sh
# Builds the stand-ins of review/, which need the standard library alone.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review
