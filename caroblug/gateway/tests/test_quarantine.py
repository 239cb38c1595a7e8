"""Tests that a quarantined request reaches no engine, whatever led there."""

import types

from caroblug.gateway._stream_path_repair import StreamPathRepair
from caroblug.gateway.tests.crash_model import make_process
from caroblug.gateway.tests.test_fleet import make_engine
from caroblug.gateway.tests.test_stream_rejections import (
    LAYERS,
    EngineExchange,
    Gateway,
)

QUARANTINE_MEAN_MS = 60_000
ENGINES = ("e1", "e2")


def make_gateway(monkeypatch):
    engines = [make_engine(name, 0, LAYERS) for name in ENGINES]
    return Gateway(monkeypatch, *engines)


def crash_elsewhere(gateway, pending):
    """Reports as many crashes as quarantine a request answered before."""
    for number in range(6):
        gateway.crashes.on_process_ended(
            pending, make_process(f"elsewhere{number}")
        )


def test_stream_that_was_rejected_is_not_sent_once_quarantined(monkeypatch):
    # Guards against another send after a rejection without a new check.
    gateway = make_gateway(monkeypatch)
    first = gateway.stream()
    gateway.engines.requests.clear()
    gateway.fill("e2", 0.3)
    read_head = EngineExchange.read_head

    def reject_and_crash(self, timeout_s):
        crash_elsewhere(gateway, first)
        return read_head(self, timeout_s)

    monkeypatch.setattr(EngineExchange, "read_head", reject_and_crash)
    gateway.answer("e1", "full")

    refused = gateway.stream()

    assert len(gateway.engines.requests) == 1
    assert refused.reply.status == 503
    assert refused.reply.headers["after"] >= QUARANTINE_MEAN_MS / 2


def test_stream_is_not_sent_that_is_quarantined_while_it_connects(monkeypatch):
    # Guards against a send although a third crash was reported meanwhile.
    gateway = make_gateway(monkeypatch)
    first = gateway.stream()
    gateway.engines.requests.clear()
    monkeypatch.setattr(
        EngineExchange,
        "connect",
        lambda self, timeout_s: crash_elsewhere(gateway, first),
    )

    refused = gateway.stream()

    assert not gateway.engines.requests
    assert refused.reply.status == 503


def test_path_of_a_quarantined_stream_is_not_repaired():
    # Guards against a repair that hands a request to the next engine.
    policy = types.SimpleNamespace(is_quarantined=lambda: True)
    state = types.SimpleNamespace(exchange=None)

    assert StreamPathRepair(state, policy).replace("e1") == "quarantined"
