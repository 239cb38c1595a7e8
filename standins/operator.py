"""Publishes bundles repeatedly from one process, as an operator would.

Reads commands from standard input, one per line: `sign VALUE` signs a bundle
with that `max_tokens` on top of the log's head, `publish` appends it. After
each command it prints one line: the exit code of `caroblug-bundle`, a tab and
the output.
"""

from gevent import monkey

monkey.patch_all()

import contextlib
import io
import pathlib
import sys

import tomli_w

from caroblug.bundle import run


def _run_command(arguments: list[str]) -> str:
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        code = run(arguments)
    return f"{code}\t{' '.join(output.getvalue().split())}"


def main() -> None:
    """Runs the commands; arguments: folder, key file and log options."""
    folder, key, *options = sys.argv[1:]
    bundle = pathlib.Path(folder, f"{pathlib.Path(key).stem}.toml")
    record = bundle.with_suffix(".record")
    for line in sys.stdin:
        order, _, value = line.strip().partition(" ")
        if order == "sign":
            record.unlink(missing_ok=True)
            table = {"limits": {"max_tokens": int(value)}}
            bundle.write_text(tomli_w.dumps(table))
            command = ["sign", str(bundle), "--key", key, "--out", str(record)]
        else:
            command = ["publish", str(record)]
        print(_run_command([*command, *options]), flush=True)


if __name__ == "__main__":
    main()
