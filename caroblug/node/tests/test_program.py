"""Tests of the command line and of the exit on a broken invariant."""

import subprocess
import sys

import pytest

import caroblug
from caroblug.entry import EntrySettings
from caroblug.node import run_program

_VALID_SETTINGS = """
instance = "entry-a"
data_centre = "muscat-a"
peer_port = 7001
http_port = 8001
shared_key = "a key of at least thirty-two characters"
operators = []
[log]
host = "127.0.0.1"
port = 9001
[instance_list]
host = "127.0.0.1"
port = 9002
"""

_FAILING_PROGRAM = """
from gevent import monkey; monkey.patch_all()
import gevent
from caroblug.node._lifetime import stop_on_broken_invariant

def broken():
    raise AssertionError("two tokens for position 3")

stop_on_broken_invariant()
gevent.spawn(broken)
gevent.sleep(30)
"""


def _run(tmp_path, text, *arguments):
    path = tmp_path / "entry.toml"
    path.write_text(text)

    def _serve(settings):
        raise AssertionError(f"served {settings.instance}")

    return run_program(
        "caroblug-entry",
        "An entry.",
        EntrySettings,
        _serve,
        ["--config", str(path), *arguments],
    )


def test_valid_settings_are_checked_and_not_served(tmp_path, capsys):
    assert _run(tmp_path, _VALID_SETTINGS, "--check-config") == 0
    output = capsys.readouterr().out
    assert "ok" in output
    assert "thirty-two" not in output


def test_every_problem_is_reported_with_its_key(tmp_path, capsys):
    text = _VALID_SETTINGS.replace("7001", "70010").replace(
        "[log]", "colour=1\n[log]"
    )
    assert _run(tmp_path, text) == 2
    errors = capsys.readouterr().err
    assert "entry.toml: peer_port: must be a whole number" in errors
    assert "entry.toml: colour: is unknown" in errors


def test_version(capsys):
    with pytest.raises(SystemExit) as exit_info:
        run_program("x", "x", EntrySettings, print, ["--version"])
    assert exit_info.value.code == 0
    assert caroblug.__version__ in capsys.readouterr().out


def test_broken_invariant_stops_the_process():
    """Guards against wrong results from an instance that looks healthy.

    When an invariant breaks in one greenlet, gevent by default prints the
    traceback while the others continue to serve from inconsistent state.
    """
    completed = subprocess.run(
        [sys.executable, "-c", _FAILING_PROGRAM],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 70
