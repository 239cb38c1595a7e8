"""Tests of `caroblug-bundle`, run in process on a fake log."""

import pytest
import tomli_w

from caroblug.bundle import _commands, _fleet, run
from caroblug.core.state import decode_record, hash_key
from caroblug.node.tests.fakes import FakeLog
from caroblug.transport import InstanceRecord

_BUNDLE = {
    "models": {"dome-7b": {"layers": 24, "vocabulary": 512}},
    "services": {"booking": {}},
    "client_accounts": {
        "school-1": {"key_hashes": [hash_key("school-1:x", "00" * 8)]},
    },
    "limits": {"max_tokens": 100},
}


class _Workspace:
    """Directory with the keys of two operators, and a fake log."""

    def __init__(self, directory, capsys):
        self.directory = directory
        self.log = FakeLog()
        self._capsys = capsys
        self.public_keys = []
        for number in range(2):
            assert self.run("keygen", "--out", self.path(f"{number}.key")) == 0
            self.public_keys.append(self.output.strip())

    def path(self, name):
        return str(self.directory / name)

    def write(self, name, **changes):
        path = self.directory / name
        path.write_text(tomli_w.dumps(_BUNDLE | changes))
        return str(path)

    def run(self, *arguments):
        code = run(list(arguments))
        captured = self._capsys.readouterr()
        self.output, self.errors = captured.out, captured.err
        return code

    def on_log(self, *arguments, signatures=1):
        options = ["--log", "127.0.0.1:9", "--signatures", str(signatures)]
        for key in self.public_keys:
            options += ["--operator", key]
        return self.run(*arguments, *options)

    def sign(self, bundle, record, operator=0, signatures=1):
        key = self.path(f"{operator}.key")
        return self.on_log(
            "sign",
            bundle,
            "--key",
            key,
            "--out",
            self.path(record),
            signatures=signatures,
        )

    def publish(self, record, signatures=1, wait_s=3):
        return self.on_log(
            "publish",
            self.path(record),
            "--wait-s",
            str(wait_s),
            signatures=signatures,
        )


@pytest.fixture
def workspace(tmp_path, capsys, monkeypatch):
    created = _Workspace(tmp_path, capsys)
    monkeypatch.setattr(
        _commands, "make_log_service", lambda host, port: created.log
    )
    return created


def test_check_reports_every_problem_with_its_key_path(workspace):
    path = workspace.write(
        "wrong.toml",
        models={"dome-7b": {"layers": 0, "vocabulary": 512, "shape": 1}},
        services={"booking": {"idempotent_methods": ["GET", "get"]}},
        client_accounts={
            "school-1": {"key_hashes": ["plain-key"], "streams": "many"},
            "School 2": {"key_hashes": [hash_key("b:x", "00" * 8)]},
            "school-3": {"key_hashes": [hash_key("b:x", "00" * 8)]},
        },
        objectives=[
            {
                "measure": "first_token",
                "service": "no-such",
                "within_ms": 500,
                "share": 0.95,
            },
            {
                "measure": "first_token",
                "service": "booking",
                "within_ms": 500,
                "share": 0.95,
            },
        ],
    )
    assert workspace.run("check", path) == 2
    for key_path in (
        "models.dome-7b.layers: ",
        "models.dome-7b.shape: is unknown",
        "client_accounts.school-1.streams: ",
        "client_accounts.school-1.key_hashes.0: is not a key hash",
        "client_accounts.School 2: a name must be",
        "client_accounts.school-3.key_hashes.0: is a key hash of School 2",
        "services.booking.idempotent_methods.1: must be one of",
        "objectives.0.service: 'no-such' is neither a model nor a service",
        "objectives.1.measure: 'first_token' is not measured for a service",
    ):
        assert f"wrong.toml: {key_path}" in workspace.errors
    assert len(workspace.errors.splitlines()) == 9


@pytest.mark.parametrize(
    "arguments",
    [
        ["check", "{missing}"],
        ["check", "{binary}"],
        ["check", "{directory}"],
        ["check", "{broken}"],
        ["publish", "{good}", "--log", "127.0.0.1:9", "--operator", "{key}"],
        ["publish", "{binary}", "--log", "127.0.0.1:9", "--operator", "{key}"],
        ["status", "--log", "nowhere", "--operator", "{key}"],
        ["status", "--log", "127.0.0.1:99999", "--operator", "{key}"],
        ["status", "--log", "127.0.0.1:9", "--operator", "zz"],
        ["diff", "{good}"],
        ["keygen", "--out", "{good}"],
        ["keygen", "--out", "{missing}/deeper/key"],
        ["withdraw", "a", "--instances", "127.0.0.1:9", "--wait-s", "0"],
        [
            "sign",
            "{good}",
            "--key",
            "{good}",
            "--out",
            "{missing}",
            "--log",
            "127.0.0.1:9",
            "--operator",
            "{key}",
        ],
    ],
)
def test_bad_input_gets_a_clear_error(workspace, arguments):
    """Guards against tracebacks instead of errors that name the bad input."""
    (workspace.directory / "binary").write_bytes(b"\xff\xfe\x00")
    (workspace.directory / "broken").write_text("a = = 1")
    paths = {
        "good": workspace.write("good.toml"),
        "missing": workspace.path("missing"),
        "binary": workspace.path("binary"),
        "broken": workspace.path("broken"),
        "directory": str(workspace.directory),
        "key": workspace.public_keys[0],
    }
    try:
        code = workspace.run(*[a.format(**paths) for a in arguments])
    except SystemExit as stopped:
        code = stopped.code
    assert code == 2


def test_bytes_are_the_same_for_the_same_bundle(workspace):
    one = workspace.write("one.toml")
    backwards = dict(reversed(_BUNDLE.items()))
    (workspace.directory / "two.toml").write_text(tomli_w.dumps(backwards))
    assert workspace.sign(one, "one.record") == 0
    assert workspace.sign(workspace.path("two.toml"), "two.record") == 0
    first = (workspace.directory / "one.record").read_bytes()
    assert (workspace.directory / "two.record").read_bytes() == first


def test_record_needs_enough_signatures_of_the_same_bundle(workspace):
    """Guards against a bundle in force that too few operators reviewed.

    Two of two operators must sign. The second operator's `sign` rejects a
    record that was not made from the bundle that this operator reviewed.
    """
    bundle = workspace.write("one.toml")
    other = workspace.write("other.toml", limits={"max_tokens": 99})
    assert workspace.sign(bundle, "a.record", 0, signatures=2) == 0
    assert "1 of 2 signatures" in workspace.output
    assert workspace.publish("a.record", signatures=2) == 2
    assert workspace.log.records == []
    assert workspace.sign(other, "a.record", 1, signatures=2) == 2
    assert "is not made from" in workspace.errors
    assert workspace.sign(bundle, "a.record", 1, signatures=2) == 0
    assert workspace.publish("a.record", signatures=2) == 0


def test_publish_with_a_lost_reply_appends_once(workspace):
    """Guards against appending the same record twice.

    The append takes effect but its reply is lost, so that `publish` has to
    look up the record before it retries.
    """
    assert workspace.sign(workspace.write("one.toml"), "a.record") == 0
    workspace.log.lose_answers = 1
    assert workspace.publish("a.record") == 0
    assert "version 1 is accepted" in workspace.output
    assert len(workspace.log.records) == 1
    assert workspace.publish("a.record") == 0
    assert len(workspace.log.records) == 1


def test_publish_in_an_outage_reports_that_nothing_was_written(workspace):
    assert workspace.sign(workspace.write("one.toml"), "a.record") == 0
    workspace.log.down = True
    assert workspace.publish("a.record", wait_s=1) == 1
    assert "nothing was written" in workspace.errors
    workspace.log.down = False
    assert workspace.publish("a.record") == 0


def test_superseded_operator_sees_the_new_head_and_rebases(workspace):
    """Guards against concurrent changes that overwrite each other.

    Both records have version 1 as their parent. The second `publish` fails
    before it appends, and `rebase` applies its changes to the new head.
    """
    assert workspace.sign(workspace.write("base.toml"), "base.record") == 0
    assert workspace.publish("base.record") == 0
    limits = workspace.write("limits.toml", limits={"max_tokens": 50})
    accounts = _BUNDLE["client_accounts"] | {
        "school-2": {"key_hashes": [], "streams": 3}
    }
    new_account = workspace.write("new_account.toml", client_accounts=accounts)
    assert workspace.sign(limits, "a.record") == 0
    assert workspace.sign(new_account, "b.record", 1) == 0
    assert workspace.publish("a.record") == 0
    assert workspace.publish("b.record") == 1
    winner = decode_record((workspace.directory / "a.record").read_bytes())
    assert f"version 2 digest {winner.digest} won" in workspace.errors
    assert "caroblug-bundle rebase" in workspace.errors
    assert len(workspace.log.records) == 2
    merged = workspace.path("merged.toml")
    assert (
        workspace.on_log("rebase", workspace.path("b.record"), "--out", merged)
        == 0
    )
    assert workspace.on_log("diff", merged) == 0
    assert workspace.output.splitlines() == [
        "client_accounts.school-2: (not set) -> added "
        "[client account school-2]",
        "1 changes",
    ]
    assert workspace.sign(merged, "c.record", 1) == 0
    assert workspace.publish("c.record") == 0


def test_rebase_reports_conflicting_changes(workspace):
    assert workspace.sign(workspace.write("base.toml"), "base.record") == 0
    assert workspace.publish("base.record") == 0
    for name, tokens in (("a", 50), ("b", 60)):
        path = workspace.write(f"{name}.toml", limits={"max_tokens": tokens})
        assert workspace.sign(path, f"{name}.record") == 0
    assert workspace.publish("a.record") == 0
    merged = workspace.path("merged.toml")
    assert (
        workspace.on_log("rebase", workspace.path("b.record"), "--out", merged)
        == 1
    )
    assert "limits.max_tokens: both changed it" in workspace.output


def test_diff_reports_changes_and_affected_callers(workspace):
    old = workspace.write("old.toml")
    new = workspace.write(
        "new.toml",
        client_accounts={
            "school-1": {"key_hashes": [], "streams": 9},
            "school-2": {"key_hashes": []},
        },
        limits={"max_tokens": 100, "deadline_ms": 9},
        services={},
    )
    assert workspace.run("diff", new, "--against", old) == 0
    assert workspace.output.splitlines() == [
        "client_accounts.school-1.key_hashes: 1 keys removed -> 0 keys added "
        "[client account school-1]",
        "client_accounts.school-1.streams: (not set) -> 9 "
        "[client account school-1]",
        "client_accounts.school-2: (not set) -> added "
        "[client account school-2]",
        "limits.deadline_ms: (not set) -> 9 [every caller]",
        "services.booking: present -> removed [callers of service booking]",
        "5 changes",
    ]
    assert "x" * 8 not in workspace.output


def test_status_line_contains_the_start_time():
    record = InstanceRecord("entry-a", "entry", "h", 1, "a", False, 2)
    status = _fleet.InstanceStatus(record, True, 7, 1500, True, 0)
    line = _fleet.format_status_line(status)
    assert line.startswith("entry-a (entry, a): version 7 since 20")
    assert line.endswith("(1.5 s), ready")
