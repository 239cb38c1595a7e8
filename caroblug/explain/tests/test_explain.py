"""Tests for timelines and states from the log lines of several instances."""

import json

import pytest

from caroblug.explain import main, read_lines, states_at, trace_request


def line(at, instance, kind, **fields):
    table = {"timestamp": at, "instance": instance, "message_type": kind}
    return json.dumps({**table, **fields})


LINES = [
    line(1.0, "g1", "program.started"),
    line(1.1, "g1", "configuration.taken", version=4),
    line(2.0, "g2", "configuration.taken", version=5),
    line(
        3.0, "g1", "backend_server.avoided", backend_server="e1", reason="reset"
    ),
    line(3.1, "g1", "stream.run_failed", request="r1", path=["e1", "e2"]),
    line(3.9, "g1", "request", request="r1", status=200, took_ms=1200),
    line(4.0, "g1", "request", request="r2", status=200, took_ms=10),
    line(5.0, "g1", "backend_server.back", backend_server="e1"),
    line(6.0, "g1", "store.lost", what="backends", reason="busy"),
    line(7.0, "g1", "store.regained", what="backends"),
    "something else",
    '{"cut',
]


def parsed():
    return list(read_lines(LINES))


def test_timeline_of_a_request_includes_ejections():
    story = trace_request(parsed(), "r1")

    assert [s.kind for s in story] == [
        "backend_server.avoided",
        "stream.run_failed",
        "request",
    ]


def test_unknown_request_has_no_timeline():
    assert trace_request(parsed(), "r9") == []


def test_states_at_a_point_in_time():
    before = states_at(parsed(), 3.5)
    assert before["g1"].values["configuration"] == 4
    assert before["g2"].values["configuration"] == 5
    assert before["g1"].avoided == {"e1": "reset"}
    assert before["g1"].lost == {}
    assert states_at(parsed(), 6.5)["g1"].lost == {"backends": "busy"}
    assert states_at(parsed(), 9.0)["g1"].lost == {}
    assert states_at(parsed(), 9.0)["g1"].avoided == {}


def test_text_before_a_line_is_ignored():
    (found,) = read_lines([f"  12.5 front-a {LINES[0]}"])

    assert found.instance == "g1"


@pytest.mark.parametrize("as_json", [False, True])
def test_command_line(tmp_path, capsys, as_json):
    path = tmp_path / "log"
    path.write_text("\n".join(LINES))
    flags = ["--json"] if as_json else []

    assert main([*flags, "request", "r1", str(path)]) == 0
    out = capsys.readouterr().out
    assert "stream.run_failed" in out
    if as_json:
        assert len(json.loads(out)) == 3
    assert main([*flags, "moment", "6.5", str(path)]) == 0
    assert "busy" in capsys.readouterr().out
    assert main(["request", "none", str(path)]) == 1
