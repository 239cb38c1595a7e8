#!/usr/bin/env bash
# Checks the stand-ins of the scripts, which need Python 3.11 and no library.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path("review").glob("*/play.py")):
    compile(path.read_text(), str(path), "exec")
for path in pathlib.Path("review").glob("*_2.py"):
    compile(path.read_text(), str(path), "exec")
CHECK
