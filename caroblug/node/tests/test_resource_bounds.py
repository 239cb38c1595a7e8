"""Tests of what callers may make an entry or a side process hold."""

import resource
import types

import pytest

from caroblug import caller_resources
from caroblug.node import NodeSettings


@pytest.fixture(autouse=True)
def _forget_limit():
    caller_resources.count_process_sockets.cache_clear()
    yield
    caller_resources.count_process_sockets.cache_clear()


@pytest.mark.parametrize(
    ("limit", "connections"),
    [(264, 100), (resource.RLIM_INFINITY, 500), (10, 0.5)],
)
def test_limit_of_the_process_bounds_connections(
    monkeypatch, limit, connections
):
    # Guards against a limit of the process that is below the settings'.
    monkeypatch.setattr(resource, "getrlimit", lambda which: (limit, limit))
    settings = types.SimpleNamespace(memory_mb=256, max_sockets=1000)

    bounds = NodeSettings.make_resource_bounds(settings)

    assert bounds.connections == connections
