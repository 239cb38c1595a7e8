"""Tests for the report on error-budget burn."""

import json

import pytest

from caroblug.core.state import Objective
from caroblug.report import run
from caroblug.report._burn import compute_burn
from caroblug.report._snapshots import Snapshot, save_snapshot
from caroblug.utils import make_metrics

_OBJECTIVE = Objective(
    measure="call", service="booking", within_ms=100, share=0.99
)
_HOUR_S = 3600


def _count(metrics, ms, times, outcome="answered"):
    for _ in range(times):
        metrics.record_ms("call", ms, service="booking", group="schools")
        metrics.count(
            "calls", service="booking", group="schools", outcome=outcome
        )


def _snapshot(time_s, **pages):
    texts = {name: m.expose().decode() for name, m in pages.items()}
    return Snapshot(time_s, texts)


def test_merge_of_instances_loses_nothing():
    first, second = make_metrics(), make_metrics()
    _count(first, 50, 97)
    _count(second, 150, 2)
    _count(second, 20, 1, outcome="backend_failed")
    (burn,) = compute_burn([_snapshot(0, a=first, b=second)], [_OBJECTIVE])
    assert (burn.total, burn.bad) == (100, 3)
    assert burn.windows[0].long == pytest.approx(3.0)


def test_restart_is_not_negative():
    """Guards against an hour of failures that shows as no requests.

    The counters of an instance that restarts begin again at zero. Their
    decrease must not cancel what the instance counts afterwards.
    """
    before, after = make_metrics(), make_metrics()
    _count(before, 50, 90)
    _count(after, 150, 10)
    snapshots = [_snapshot(0, a=before), _snapshot(_HOUR_S, a=after)]
    (burn,) = compute_burn(snapshots, [_OBJECTIVE])
    assert (burn.total, burn.bad) == (10, 10)


def test_fast_window_needs_long_and_short():
    metrics = make_metrics()
    snapshots = [_snapshot(0, a=metrics)]
    _count(metrics, 150, 20)
    _count(metrics, 50, 20)
    snapshots.append(_snapshot(600, a=metrics))
    _count(metrics, 50, 100)
    snapshots.append(_snapshot(_HOUR_S, a=metrics))
    (burn,) = compute_burn(snapshots, [_OBJECTIVE])
    fast = burn.windows[0]
    assert fast.long == pytest.approx(20 / 140 / 0.01)
    assert fast.short == 0
    assert not fast.burning


def _write_bundle(folder):
    path = folder / "bundle.toml"
    path.write_text(
        "[services.booking]\n[[objectives]]\nmeasure = 'call'\n"
        "service = 'booking'\nwithin_ms = 100\nshare = 0.99\n"
    )
    return str(path)


@pytest.mark.parametrize("kind", ["text", "json", "html"])
def test_command_exits_1_when_burning(tmp_path, capsys, kind):
    metrics = make_metrics()
    _count(metrics, 500, 50)
    save_snapshot(_snapshot(0, a=make_metrics()), tmp_path)
    save_snapshot(_snapshot(60, a=metrics), tmp_path)
    arguments = ["--snapshots", str(tmp_path), "--format", kind]
    assert run([*arguments, "--bundle", _write_bundle(tmp_path)]) == 1
    output = capsys.readouterr().out
    if kind == "json":
        (burn,) = json.loads(output)["burns"]
        assert burn["windows"][0]["burning"]
    elif kind == "html":
        assert "<svg" in output
        assert 'src="http' not in output
    else:
        assert "fast" in output
        assert "BURNING" in output


def test_failures_without_a_latency_count():
    """Guards against a report without burn while all requests are refused."""
    metrics = make_metrics()
    for outcome, times in (("answered", 6), ("overloaded", 3), ("bad", 1)):
        name = "bad_request" if outcome == "bad" else outcome
        for _ in range(times):
            metrics.count(
                "calls", service="booking", group="schools", outcome=name
            )
    metrics.count_account_failure("school-7")
    snapshot = _snapshot(0, a=metrics)
    (burn,) = compute_burn([snapshot], [_OBJECTIVE])
    assert (burn.total, burn.bad) == (9, 3)
    assert snapshot.pages()["a"].accounts == {"school-7": 1}


def test_bad_input_is_named(tmp_path, capsys):
    assert run([]) == 2
    assert run(["nowhere"]) == 2
    assert "nowhere must be HOST:PORT" in capsys.readouterr().err
    (tmp_path / "1.snapshot.json").write_text("{}")
    assert run(["--snapshots", str(tmp_path)]) == 2
    assert "1.snapshot.json is not a snapshot" in capsys.readouterr().err
