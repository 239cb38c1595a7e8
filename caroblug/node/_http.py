"""The HTTP server of a program, with health and metrics."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

import attrs
import falcon
from gevent import pool, pywsgi, socket

from caroblug.node._lifetime import report_broken_invariant
from caroblug.utils import Metrics

_BACKLOG = 1024
_METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@attrs.frozen
class NodeStatus:
    """What an instance says of itself.

    Attributes:
        instance: Its name.
        version: Version of the bundle in force; 0 if none.
        digest: Its digest.
        in_force_ms: For how long it has been in force.
        reader: Whether this instance reads the log.
        members: How many members it knows.
        ready: Whether it takes new work.
        running: Requests that run here.
    """

    instance: str
    version: int
    digest: str
    in_force_ms: int
    reader: bool
    members: int
    ready: bool
    running: int


class _Health:
    def on_get(self, request: falcon.Request, response: falcon.Response):
        del request
        response.media = {"status": "ok"}


class _Ready:
    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    def on_get(self, request: falcon.Request, response: falcon.Response):
        del request
        ready = self._ready()
        response.media = {"status": "ready" if ready else "not ready"}
        response.status = (
            falcon.HTTP_OK if ready else falcon.HTTP_SERVICE_UNAVAILABLE
        )


class _MetricsText:
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def on_get(self, request: falcon.Request, response: falcon.Response):
        del request
        response.data = self._metrics.expose()
        response.content_type = _METRICS_TYPE


def add_node_routes(
    app: falcon.App, metrics: Metrics, ready: Callable[[], bool]
) -> None:
    """Adds `/healthz`, `/readyz` and `/metrics`."""
    app.add_route("/healthz", _Health())
    app.add_route("/readyz", _Ready(ready))
    app.add_route("/metrics", _MetricsText(metrics))
    app.add_error_handler(AssertionError, _stop)


def _stop(request, response, error, params) -> None:
    del request, response, params
    report_broken_invariant(error)


class _Status:
    def __init__(self, status: Callable[[], NodeStatus]) -> None:
        self._status = status

    def on_get(self, request: falcon.Request, response: falcon.Response):
        del request
        response.media = attrs.asdict(self._status())


def add_status_route(app: falcon.App, status: Callable[[], NodeStatus]) -> None:
    """Adds `/status`, which `caroblug-bundle` reads."""
    app.add_route("/status", _Status(status))


class _Handler(pywsgi.WSGIHandler):
    """Sends small pieces by one call.

    `sendall` of a gevent socket asks the kernel for the buffer's size and
    cuts the data each time, which doubles the cost of a streamed token.
    """

    def _sendall(self, data: bytearray) -> None:
        """Sends a piece; what does not fit or fails is left to gevent."""
        try:
            sent = self.socket.send(data)
        except OSError:
            sent = 0
        self.response_length += sent
        if sent < len(data):
            super()._sendall(data[sent:])


class _Counted:
    """Counts the requests that are not wholly answered yet.

    Guards against an instance that exits while a request is only about to
    become work: it may still wait for its turn at its account's home, and no
    stream or call of it is to be seen elsewhere.
    """

    def __init__(self, app: falcon.App) -> None:
        self._app = app
        self.in_flight = 0

    def __call__(self, environ: dict, start_response: Any) -> "_CountedBody":
        self.in_flight += 1
        try:
            body = self._app(environ, start_response)
        except BaseException:
            self.in_flight -= 1
            raise
        return _CountedBody(body, self)


class _CountedBody:
    """The body of an answer; the server closes it once all is sent."""

    def __init__(self, body: Iterable[bytes], counted: _Counted) -> None:
        self._body = body
        self._counted = counted
        self._closed = False

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._body)

    def close(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._counted.in_flight -= 1
        close = getattr(self._body, "close", None)
        if close is not None:
            close()


class NodeHttpServer:
    """A WSGI server of one program.

    Args:
        host: IP address to listen on.
        port: Port.
        app: The application.
    """

    def __init__(self, host: str, port: int, app: falcon.App) -> None:
        self._app = _Counted(app)
        self._server = pywsgi.WSGIServer(
            listen(host, port),
            self._app,
            log=None,
            error_log=None,
            handler_class=_Handler,
            spawn=pool.Pool(),
        )

    @property
    def in_flight(self) -> int:
        """Requests that are not wholly answered yet."""
        return self._app.in_flight

    def start(self) -> None:
        """Starts to accept."""
        self._server.start()

    def stop(self) -> None:
        """Stops to accept and lets the last answers reach their callers.

        Guards against an answer that is cut although its work is done: the
        server waits only for handlers that run in a pool of its own.
        """
        self._server.stop(timeout=1)


def listen(host: str, port: int) -> socket.socket:
    """Returns a listening socket whose connections send at once.

    Guards against a streamed token that waits for the caller's delayed
    acknowledgement of the one before it (40 ms on Linux): accepted sockets
    take over TCP_NODELAY from the listener.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((host, port))
    listener.listen(_BACKLOG)
    return listener
