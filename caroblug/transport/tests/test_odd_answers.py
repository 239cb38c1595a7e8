"""Tests of answers of outside systems that can't be decoded."""

import orjson
import pytest

from caroblug.transport import LogUnavailable, WeightsBusy
from caroblug.transport import _instances as instances
from caroblug.transport._http import HttpResponse
from caroblug.transport._instances import HttpInstanceList
from caroblug.transport._log import HttpLogService
from caroblug.transport._weight_store import HttpWeightStore

ADDRESS = ("127.0.0.1", 1, 100)
SOUND = {
    "instance": "entry-1",
    "role": "entry",
    "host": "10.0.0.1",
    "port": 70,
    "data_centre": "a",
    "state": "running",
}


class Answer:
    """Client that gives the same answer to each call."""

    def __init__(self, status: int, body: object, headers=()) -> None:
        self._response = HttpResponse(status, orjson.dumps(body), headers)

    def request(self, method, path, body=None):
        return self._response


@pytest.mark.parametrize(
    "odd",
    [
        7,
        None,
        [],
        {},
        {**SOUND, "port": 812000},
        {**SOUND, "port": "x"},
        {**SOUND, "port": None},
        {**SOUND, "http_port": -1},
    ],
)
def test_instances_beside_an_entry_that_names_none(odd, monkeypatch):
    # Guards against one entry that hides all instances or ends a program.
    lines = []
    monkeypatch.setattr(
        instances, "log_state", lambda kind, **fields: lines.append(kind)
    )
    client = HttpInstanceList(*ADDRESS)
    client._client = Answer(200, {"instances": [odd, SOUND]})

    for _ in range(3):
        assert [r.instance for r in client.fetch()] == ["entry-1"]
    assert lines == ["instances.entry_refused"]


@pytest.mark.parametrize("body", [7, {}, {"offset": None}, {"offset": "x"}])
def test_append_whose_answer_cannot_be_decoded_may_be_written(body):
    # Guards against a program that ends after a write to the log.
    log = HttpLogService(*ADDRESS)
    log._client = Answer(201, body)

    outcome = log.append("s", b"data")

    assert isinstance(outcome, LogUnavailable)
    assert outcome.maybe_written


def test_pause_of_the_weight_store_is_bounded():
    # Guards against a number that can't be converted to milliseconds.
    store = HttpWeightStore(*ADDRESS)
    store._client = Answer(429, {}, (("Retry-After", "1e308"),))

    assert store.reserve("m", "1", "") == WeightsBusy(3_600_000)
