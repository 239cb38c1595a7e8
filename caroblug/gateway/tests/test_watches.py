"""Tests of watches of engines, which share a connection with reports."""

import attrs
import gevent
import pytest

from caroblug.core.placement.tests.fleets import make_engine
from caroblug.gateway import EngineReport, HttpResponse, Unavailable
from caroblug.gateway._http_client import Exchange
from caroblug.gateway._kept_connections import KeptConnections
from caroblug.gateway._liveness import LivenessMonitor
from caroblug.gateway._running_streams import RunningStreams
from caroblug.gateway.tests.fakes import FakeDialect, make_context
from caroblug.gateway.tests.scripted_server import ScriptedServer, make_read
from caroblug.gateway.tests.test_liveness import FakeStream
from caroblug.utils import MonotonicClock

WAIT_S = 5.0
REPORT = EngineReport(None, False, 0, (), 1.0, "big", 0)


class ConnectedDialect(FakeDialect):
    """Dialect that reads reports over kept connections."""

    def __init__(self, connections: KeptConnections) -> None:
        super().__init__()
        self._connections = connections

    def read_report(self, address, name):
        answer = self._connections.fetch(address, make_read(), 0.25)
        if isinstance(answer, HttpResponse):
            return REPORT
        return Unavailable(answer.failure.value)


class WatchSite:
    """A gateway that watches engines with real connections."""

    def __init__(self) -> None:
        clock = MonotonicClock()
        self.context = make_context(clock=clock)
        self.context.connections = KeptConnections(clock)
        self.context.dialect = ConnectedDialect(self.context.connections)
        self.running = RunningStreams(self.context)
        self.liveness = LivenessMonitor(self.context, self.running)
        self.servers: list[ScriptedServer] = []

    @property
    def connections(self) -> int:
        return sum(server.connections for server in self.servers)

    def add_engine(self, respond=None) -> tuple[ScriptedServer, FakeStream]:
        """Adds a server and a stream that runs over it."""
        server = ScriptedServer(respond)
        self.servers.append(server)
        name = f"e{len(self.servers)}"
        stream = FakeStream(self.context.clock.now_ms() + 60_000, name)
        part = stream.path.parts[0]
        engine = attrs.evolve(make_engine(name), address=server.address)
        stream._path = attrs.evolve(
            stream.path, parts=(attrs.evolve(part, engine=engine),)
        )
        self.running.add(stream)
        return server, stream

    def check_once(self) -> None:
        self.liveness.check_once()
        for server in self.servers:
            server.wait_for_connections(1)

    def close(self) -> None:
        for stream in list(self.running._streams):
            self.running.remove(stream)
        for server in self.servers:
            server.stop()


@pytest.fixture
def site():
    made = WatchSite()
    yield made
    made.close()


def wait_until(condition) -> None:
    """Waits until a condition holds, or for as long as a test may take."""
    with gevent.Timeout(WAIT_S, False):
        while not condition():
            gevent.sleep(0.001)


def test_reports_use_the_connection_of_the_watch(site):
    # Guards against a connection for reports beside the one of the watch.
    server, _ = site.add_engine()
    site.check_once()

    for _ in range(5):
        assert site.context.dialect.read_report(server.address, "e1") is REPORT

    assert server.requests == {1: 5}


def test_end_of_the_process_is_noticed_by_the_watch(site):
    # Guards against streams that stay on an engine that has crashed.
    server, stream = site.add_engine()
    site.check_once()
    site.context.dialect.read_report(server.address, "e1")

    server.stop()
    wait_until(lambda: stream.lost)

    assert stream.lost == [("e1", True)]


def test_closed_idle_connection_is_not_the_end_of_the_process(site):
    # Guards against the ejection of an engine that closes idle connections.
    server, stream = site.add_engine()
    site.check_once()

    server.close_connections()
    wait_until(lambda: server.connections == 2)
    gevent.sleep(0.02)

    assert server.connections == 2
    assert stream.lost == []


def test_engine_that_closes_each_connection_is_not_flooded(site):
    # Guards against connections in an endless loop.
    server, _ = site.add_engine()
    site.check_once()
    for _ in range(60):
        server.close_connections()

    assert server.connections <= 10


def test_connections_of_one_gateway_stay_within_the_bound_per_request(site):
    # Load: customer A's day in small, with reports for each request, watches
    # and stalls. Bound: 1.5 connections for each request.
    requests = 60
    reports = 108
    stalls = 2
    engines = [site.add_engine() for _ in range(4)]
    site.check_once()

    for number in range(requests):
        server, _ = engines[number % len(engines)]
        exchange = Exchange(server.address)
        assert exchange.connect(WAIT_S) is None
        exchange.close()
    for number in range(reports):
        server, _ = engines[number % len(engines)]
        assert site.context.dialect.read_report(server.address, "e1") is REPORT
    watched = [s.path.parts[0].engine for _, s in engines]
    for _ in range(stalls):
        for engine in watched:
            healthy = [e for e in watched if e is not engine]
            site.liveness._probe_stalled([engine], healthy)
    gevent.sleep(0.02)

    assert site.connections <= 1.5 * requests
    assert all(stream.lost == [] for _, stream in engines)


def test_engine_that_restarts_at_another_address_is_watched_there(site):
    # Guards against a watch that stays at the address where it began.
    server, stream = site.add_engine()
    site.check_once()
    site.running.remove(stream)
    moved, later = site.add_engine()
    part = later.path.parts[0]
    engine = attrs.evolve(part.engine, name="e1")
    later._path = attrs.evolve(
        later.path, parts=(attrs.evolve(part, engine=engine),)
    )

    site.liveness.check_once()
    wait_until(lambda: moved.connections)

    assert moved.connections == 1
    assert server.connections == 1
