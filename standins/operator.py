"""An operator who publishes round after round, as one process.

Reads orders from standard input, one a line: `sign VALUE` makes a record on
the log's head, `publish` appends it. After each it prints the exit code of
`caroblug-bundle` and, after a tab, what that printed, on one line.
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
    """Takes a folder, a key and the options for the log."""
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
