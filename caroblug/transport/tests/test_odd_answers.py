"""Tests of answers of outside systems that can't be decoded."""

import orjson
import pytest
from gevent import event

from caroblug.gen.wire import ttypes as wire
from caroblug.transport import (
    EngineFailure,
    LogUnavailable,
    PeerAddress,
    PeerHandler,
    WeightsBusy,
    WeightsUnavailable,
    make_peer_network,
)
from caroblug.transport import _instances as instances
from caroblug.transport._engine import HttpEngineClient
from caroblug.transport._engine_orders import HttpEngineOrderClient, OrderFailed
from caroblug.transport._http import HttpResponse
from caroblug.transport._instances import HttpInstanceList
from caroblug.transport._log import HttpLogService
from caroblug.transport._weight_store import HttpWeightStore
from caroblug.utils import MonotonicClock, make_metrics

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
        data = body if isinstance(body, bytes) else orjson.dumps(body)
        self._response = HttpResponse(status, data, headers)

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


ODD_BODIES = [
    b"[" * 100_000,
    b'{"layers": 1e999}',
    b"[]",
    b"null",
    b"7",
    b"\xff",
    b"",
]
DESCRIPTION = {
    "model": "m",
    "first_layer": 0,
    "end_layer": 4,
    "layers": 8,
    "tokens_per_s": 100.0,
    "batch": 8,
}


@pytest.mark.parametrize("body", ODD_BODIES)
def test_odd_answers_of_engines_log_and_weight_store_are_failures(body):
    # Guards against an odd answer that ends the process which reads it.
    clients = [HttpEngineClient(*ADDRESS), HttpEngineOrderClient(*ADDRESS)]
    log, store = HttpLogService(*ADDRESS), HttpWeightStore(*ADDRESS)
    for client in [*clients, log]:
        client._client = Answer(200, body)
    store._client = Answer(201, body)

    assert isinstance(clients[0].describe(), EngineFailure)
    assert isinstance(clients[0].run((), ()), EngineFailure)
    assert isinstance(clients[1].state(), OrderFailed)
    assert isinstance(log.read("s", 0), LogUnavailable)
    assert isinstance(store.reserve("m", "1", ""), WeightsUnavailable)


@pytest.mark.parametrize(
    "odd",
    [{name: 1e30} for name in ("first_layer", "end_layer", "layers", "batch")]
    + [{"layers": 1 << 40}, {"layers": "x"}, {"tokens_per_s": "nan"}],
)
def test_number_that_fits_into_no_message_is_a_failure(odd):
    # Guards against a number of an engine that ends its side process.
    client = HttpEngineClient(*ADDRESS)
    client._client = Answer(200, {**DESCRIPTION, **odd})

    assert isinstance(client.describe(), EngineFailure)


def test_number_in_a_result_that_fits_into_no_message_is_a_failure():
    client = HttpEngineClient(*ADDRESS)
    result = {"session": "s", "position": 1e30, "length": 1, "token": 5}
    client._client = Answer(200, {"results": [result]})

    assert isinstance(client.run((), ()), EngineFailure)


@pytest.mark.parametrize("host", ["a\0b", "a" * 300, "\ud800", "", "x y"])
def test_instance_whose_host_can_not_exist_is_lost(host):
    # Guards against one entry of the list that ends all who dial it.
    lost = event.AsyncResult()

    class Handler(PeerHandler):
        def on_frame(self, peer, frame):
            raise NotImplementedError

        def on_peer_up(self, peer):
            raise NotImplementedError

        def on_peer_lost(self, peer, reason):
            lost.set(peer.instance)

    network = make_peer_network(
        wire.Hello("entry-1", "entry", "a", host="127.0.0.1"),
        b"key",
        Handler(),
        MonotonicClock(),
        make_metrics(),
    )

    network.send(PeerAddress("odd", host, 70), wire.Heartbeat(1))

    assert lost.get(timeout=20) == "odd"
    network.stop()
