"""HTTP server of entry and side, with health, metrics and status routes."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

import attrs
import falcon
from gevent import pool, socket

from caroblug import listening
from caroblug.caller_resources import CallerResources
from caroblug.node._accounted_connections import AccountedServer
from caroblug.node._lifetime import report_broken_invariant
from caroblug.utils import Metrics

_BACKLOG = 1024
_METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@attrs.frozen
class NodeStatus:
    """Status that an instance reports about itself on `/status`.

    Attributes:
        instance: Name of the instance.
        version: Version of the bundle in force; 0 if none.
        digest: Digest of the bundle in force; empty if none.
        in_force_ms: Time since that bundle came into force.
        reader: Whether this instance is a log reader.
        members: Number of fleet members it knows.
        ready: Whether it accepts new work.
        running: Number of requests running on it.
    """

    instance: str
    version: int
    digest: str
    in_force_ms: int
    reader: bool
    members: int
    ready: bool
    running: int


class _HealthResource:
    def on_get(self, request: falcon.Request, response: falcon.Response):
        del request
        response.media = {"status": "ok"}


class _ReadinessResource:
    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    def on_get(self, request: falcon.Request, response: falcon.Response):
        del request
        ready = self._ready()
        response.media = {"status": "ready" if ready else "not ready"}
        response.status = (
            falcon.HTTP_OK if ready else falcon.HTTP_SERVICE_UNAVAILABLE
        )


class _MetricsResource:
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def on_get(self, request: falcon.Request, response: falcon.Response):
        del request
        response.data = self._metrics.expose()
        response.content_type = _METRICS_CONTENT_TYPE


def add_node_routes(
    app: falcon.App, metrics: Metrics, ready: Callable[[], bool]
) -> None:
    """Adds the routes `/healthz`, `/readyz` and `/metrics`.

    An AssertionError in any handler of the application ends the process.

    Args:
        app: The application.
        metrics: Metrics to expose.
        ready: Returns whether the instance accepts new work.
    """
    app.add_route("/healthz", _HealthResource())
    app.add_route("/readyz", _ReadinessResource(ready))
    app.add_route("/metrics", _MetricsResource(metrics))
    app.add_error_handler(AssertionError, _handle_broken_invariant)


def _handle_broken_invariant(request, response, error, params) -> None:
    del request, response, params
    report_broken_invariant(error)


class _StatusResource:
    def __init__(self, status: Callable[[], NodeStatus]) -> None:
        self._status = status

    def on_get(self, request: falcon.Request, response: falcon.Response):
        del request
        response.media = attrs.asdict(self._status())


def add_status_route(app: falcon.App, status: Callable[[], NodeStatus]) -> None:
    """Adds the route `/status`, which `caroblug-bundle` reads."""
    app.add_route("/status", _StatusResource(status))


class _InFlightCounter:
    """Counts the requests whose response is not complete yet.

    Guards against an instance that exits before a request has opened a stream
    or a call. Such a request, for example one that is queued at its account's
    home entry, is visible nowhere else.
    """

    def __init__(self, app: falcon.App) -> None:
        self._app = app
        self.in_flight = 0

    def __call__(
        self, environ: dict, start_response: Any
    ) -> "_CountedResponseBody":
        self.in_flight += 1
        try:
            body = self._app(environ, start_response)
        except BaseException:
            self.in_flight -= 1
            raise
        return _CountedResponseBody(body, self)


class _CountedResponseBody:
    """Response body that ends the request's count when it is closed.

    The server closes it after the last chunk is sent.
    """

    def __init__(self, body: Iterable[bytes], owner: _InFlightCounter) -> None:
        self._body = body
        self._owner = owner
        self._closed = False

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._body)

    def close(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._owner.in_flight -= 1
        close = getattr(self._body, "close", None)
        if close is not None:
            close()


class NodeHttpServer:
    """WSGI server that counts the requests in flight.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on.
        app: The application.
        resources: Accounts for the connections of the process.
    """

    def __init__(
        self,
        host: str,
        port: int,
        app: falcon.App,
        resources: CallerResources,
    ) -> None:
        self._app = _InFlightCounter(app)
        self._server = AccountedServer(
            make_listener(host, port),
            self._app,
            resources,
            log=None,
            error_log=None,
            spawn=pool.Pool(),
        )

    @property
    def in_flight(self) -> int:
        """Number of requests whose response is not complete yet."""
        return self._app.in_flight

    def start(self) -> None:
        """Starts accepting connections."""
        self._server.start()

    def stop(self) -> None:
        """Stops accepting connections and waits up to 1 s for open responses.

        Guards against a response that is cut although its work is done. The
        server waits only for handlers in its own pool, so it is given one.
        """
        listening.accept_waiting(self._server)
        self._server.stop(timeout=1)


def make_listener(host: str, port: int) -> socket.socket:
    """Returns a listening socket whose connections send without delay.

    Accepted sockets inherit TCP_NODELAY from the listener. Without it, a
    streamed token waits for the caller's delayed acknowledgement of the
    previous one (40 ms on Linux).
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # Accepted connections inherit the size of the buffer.
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, listening.RECEIVE_BUFFER_BYTES
    )
    listener.bind((host, port))
    listener.listen(_BACKLOG)
    return listener
