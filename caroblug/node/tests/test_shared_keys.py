"""Tests of the sources of the shared key and of its secrecy in output."""

import pytest
import tomli_w

from caroblug.entry import EntrySettings
from caroblug.node import run_program
from caroblug.utils import load_settings

_SECRET = "a-secret-that-is-long-enough-for-the-rule"
_ADDRESS = {"host": "127.0.0.1", "port": 1}


def _check(directory, capsys, **changes):
    table = {
        "instance": "entry-a",
        "data_centre": "a",
        "peer_port": 1,
        "http_port": 2,
        "operators": [],
        "log": _ADDRESS,
        "instance_list": _ADDRESS,
        **changes,
    }
    path = directory / "entry.toml"
    path.write_text(tomli_w.dumps(table))
    arguments = ["--config", str(path), "--check-config"]
    code = run_program("entry", "", EntrySettings, print, arguments)
    captured = capsys.readouterr()
    return code, captured.out + captured.err, str(path)


def test_key_file_may_contain_the_next_key(tmp_path, capsys):
    (tmp_path / "key").write_text(f"{_SECRET}\n{_SECRET}-next\n")
    code, _, path = _check(
        tmp_path, capsys, shared_key_file=str(tmp_path / "key")
    )
    assert code == 0
    settings = load_settings(path, EntrySettings)
    assert settings.shared_keys == (_SECRET, f"{_SECRET}-next")


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"shared_key": "secret-too-short"},
        {"shared_key": 424242},
        {"shared_key": _SECRET, "shared_key_file": "both"},
        {"shared_key_file": "no-such-file"},
    ],
)
def test_problem_with_the_key_does_not_reveal_it(tmp_path, capsys, changes):
    """Guards against a key that leaks into the output of `--check-config`."""
    code, output, _ = _check(tmp_path, capsys, **changes)
    assert code == 2
    assert "shared_key" in output
    for secret in ("secret-too-short", "424242", _SECRET):
        assert secret not in output


def test_settings_do_not_reveal_the_key(tmp_path, capsys):
    code, output, path = _check(tmp_path, capsys, shared_key=_SECRET)
    assert code == 0
    assert _SECRET not in output
    assert _SECRET not in repr(load_settings(path, EntrySettings))
