"""Tests for grouping late, refused and failed requests."""

import json

from caroblug.explain import LogLine, group_losses, main
from caroblug.explain._losses import PauseSummary


def answered(at_s, instance="g1", kind="request", **fields):
    return LogLine(at_s, instance, kind, {"status": 200, **fields})


LINES = [
    answered(1.0),
    answered(
        2.1, late="pause", cause="path changed", engine="e1", pause_ms=310
    ),
    answered(
        2.9, "g2", late="pause", cause="path changed", engine="e1", pause_ms=330
    ),
    answered(4.0, late="first_event", cause=""),
    answered(
        5.0, kind="request.failed", status=503, reason="no engine for layer 7"
    ),
    answered(
        6.0, kind="request.failed", status=503, reason="no engine for layer 74"
    ),
    answered(7.0, kind="request.failed", status=502, reason="reset"),
    answered(
        8.0, kind="request.failed", cut=True, reason="no event for 1400 ms"
    ),
    LogLine(9.0, "g1", "placement.order", {}),
]


def test_losses_are_grouped_by_outcome_and_cause():
    losses = {(x.outcome, x.cause): x for x in group_losses(LINES)}

    paused = losses["late", "pause: path changed"]
    assert paused.requests == 2
    assert paused.engines == {"e1": 2}
    assert paused.instances == {"g1": 1, "g2": 1}
    assert paused.seconds == {2: 2}
    assert losses["refused", "no engine for *"].requests == 2
    assert losses["late", "first_event: nothing seen"].requests == 1
    assert losses["cut", "no event for *"].requests == 1
    assert losses["failed", "reset"].requests == 1
    assert len(losses) == 5


def test_refusals_by_admission_are_told_apart_from_faults_by_rank():
    # Guards against a lack of memory taken for a fault of engines.
    refusals = [
        answered(
            1.0 + n,
            kind="request.failed",
            status=503,
            priority=rank,
            reason=reason,
        )
        for n, (rank, reason) in enumerate(
            [
                (2, "no room in time"),
                (2, "no room in time"),
                (0, "no room after a wait"),
                (0, "no engine for layer 7"),
            ]
        )
    ]

    losses = {(x.outcome, x.cause): x.requests for x in group_losses(refusals)}

    assert losses == {
        ("not admitted", "rank 2: no room in time"): 2,
        ("not admitted", "rank 0: no room after a wait"): 1,
        ("refused", "no engine for *"): 1,
    }


def test_losses_have_their_pauses_and_their_time():
    paused = [
        answered(10.0 + n / 100, late="pause", cause="path changed", pause_ms=n)
        for n in range(301, 401)
    ]

    (loss,) = group_losses(paused)

    assert (loss.first_s, loss.last_s) == (13.01, 14.0)
    assert loss.pauses == PauseSummary(350, 395, 400)


def test_losses_without_a_pause_have_none():
    (loss,) = group_losses([answered(1.0, late="first_event", pause_ms=0)])

    assert loss.pauses is None


def test_command_prints_losses(tmp_path, capsys):
    path = tmp_path / "log"
    tables = [
        {
            "timestamp": line.at_s,
            "instance": line.instance,
            "message_type": line.kind,
            **line.fields,
        }
        for line in LINES
    ]
    path.write_text("\n".join(json.dumps(table) for table in tables))

    assert main(["losses", str(path)]) == 0
    printed = capsys.readouterr().out
    assert "2 late: pause: path changed" in printed
    assert "from 00:00:02.100 to 00:00:02.900" in printed
    assert "longest pause, ms: p50=310 p95=330 max=330" in printed
    assert main(["--json", "losses", str(path)]) == 0
    assert len(json.loads(capsys.readouterr().out)) == 5
