"""Tests of errors that no part of the gateway expects."""

import gevent
import pytest

from caroblug.gateway import _unexpected_errors
from caroblug.gateway._unexpected_errors import UnexpectedErrors
from caroblug.gateway.tests.fakes import make_context


@pytest.fixture
def errors(monkeypatch):
    monkeypatch.setattr(_unexpected_errors, "_MIN_PAUSE_MS", 0)
    made = UnexpectedErrors(make_context())
    made.lines = []
    made._context.log.write = lambda kind, **fields: made.lines.append(fields)
    return made


@pytest.mark.parametrize(
    "error", [OverflowError("inf"), AssertionError(), gevent.Timeout(1)]
)
def test_loop_goes_on_after_an_error_that_nobody_expected(errors, error):
    # Guards against a process that says it is ready while a loop has ended.
    failures = [error] * 3

    def loop():
        if failures:
            raise failures.pop()

    errors.run_loop("backends", loop)

    assert not failures
    count = errors._context.telemetry.value(
        "unexpected_errors", part="backends"
    )
    assert count == 3


def test_each_cause_is_logged_once_with_its_place(errors):
    # Guards against a log that a failing loop fills.
    for _ in range(5):
        with pytest.raises(ValueError) as caught:
            int("x" * 1000)
        errors.record("list", caught.value)
        errors.record("plan", KeyError("k"))

    assert [line["part"] for line in errors.lines] == ["list", "plan"]
    assert "test_each_cause" in errors.lines[0]["trace"][-1]
    assert len(errors.lines[0]["reason"]) < 200


def test_pause_grows_while_a_loop_keeps_failing(errors, monkeypatch):
    # Guards against a loop that takes the processor by failing at once.
    monkeypatch.setattr(_unexpected_errors, "_MIN_PAUSE_MS", 100)
    pauses_s = []
    monkeypatch.setattr(_unexpected_errors.gevent, "sleep", pauses_s.append)
    left = [1] * 7

    def loop():
        if left:
            left.pop()
            raise ValueError

    errors.run_loop("backends", loop)

    assert pauses_s == [0.1, 0.2, 0.4, 0.8, 1.6, 2.0, 2.0]


def test_killed_loop_ends(errors):
    job = gevent.spawn(errors.run_loop, "backends", lambda: gevent.sleep(60))
    gevent.idle()
    job.kill()

    assert job.dead
