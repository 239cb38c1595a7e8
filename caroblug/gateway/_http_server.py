"""Callers' connections: reading, one answer after the other, closing."""

import collections
import contextlib
import select
from collections.abc import Callable

import attrs
import gevent
from gevent import server, socket

from caroblug import listening
from caroblug.core.access import RequestLimits
from caroblug.gateway._caller_requests import (
    BadRequest,
    RawRequest,
    RequestReader,
)
from caroblug.gateway._http_client import set_socket_options
from caroblug.utils import Clock

_RECEIVE_BYTES = 65536
_WRITE_S = 5.0
"""Longest wait for a caller that does not read its answer, in seconds."""

_TICK_S = 0.5
"""How often a connection without traffic looks at its time limits."""

_REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class CallerDisconnectedError(Exception):
    """The caller has closed its connection or takes no more bytes."""


class Reply:
    """The answer to one request; it is sent once.

    Args:
        sock: The caller's connection.
        request: The request.
        closing: Whether the connection is to end after the answer.
    """

    def __init__(self, sock, request: RawRequest, closing: bool) -> None:
        self._socket = sock
        self._bodiless = request.method == "HEAD"
        self._keep = request.keep_alive and not closing
        self._begun = False
        self._ended = False

    @property
    def begun(self) -> bool:
        """Whether the head has been sent."""
        return self._begun

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return self._ended and self._keep

    def end_connection(self) -> None:
        """Lets the connection end after this answer."""
        self._keep = False

    def send(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes = b"",
    ) -> None:
        """Sends a whole answer."""
        framing = [("Content-Length", str(len(body)))]
        data = self._head(status, headers + framing)
        self._begun = True
        self._write(data if self._bodiless else data + body)
        self._ended = True

    def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Sends the head of an answer that comes in pieces."""
        framing = [("Transfer-Encoding", "chunked")]
        self._begun = True
        self._write(self._head(status, headers + framing))

    def send_chunk(self, data: bytes) -> None:
        """Sends a piece of the body."""
        self._write(b"%x\r\n%b\r\n" % (len(data), data))

    def finish(self) -> None:
        """Marks the answer as whole."""
        self._write(b"0\r\n\r\n")
        self._ended = True

    def _head(self, status: int, headers: list[tuple[str, str]]) -> bytes:
        lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        if not self._keep:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _write(self, data: bytes) -> None:
        self._socket.settimeout(_WRITE_S)
        try:
            self._socket.sendall(data)
        except OSError as error:
            self._keep = False
            raise CallerDisconnectedError(str(error)) from error


@attrs.frozen
class IdleTimeout:
    """A connection that has waited too long for a request."""


Handler = Callable[[RawRequest, Reply], None]


class Connection:
    """One caller's connection.

    Reading goes on while a request is answered, so that a caller's close is
    seen at once and the work for it is stopped.

    Args:
        sock: The connection.
        handler: Answers one request.
        limits: Returns the limits now in force.
        clock: Source of time.
        closing: Tells whether connections are to end after their answer.
    """

    def __init__(
        self,
        sock,
        handler: Handler,
        limits: Callable[[], RequestLimits],
        clock: Clock,
        closing: Callable[[], bool],
    ) -> None:
        self._socket = sock
        self._handler = handler
        self._limits = limits
        self._clock = clock
        self._closing = closing
        self._waiting: collections.deque[RawRequest] = collections.deque()
        self._worker: gevent.Greenlet | None = None
        self._idle_since_ms = clock.now_ms()
        self._over = False
        now = limits()
        self._reader = RequestReader(now.header_bytes, now.body_bytes)

    @property
    def busy(self) -> bool:
        """Whether a request is being answered."""
        return self._worker is not None and not self._worker.dead

    @property
    def idle(self) -> bool:
        """Whether no byte of a request is waiting or being answered."""
        if self.busy or self._reader.partial:
            return False
        return not self._over and not self._has_arrived()

    def serve(self) -> None:
        """Reads until the connection ends."""
        set_socket_options(self._socket)
        try:
            while not self._over:
                data = self._receive()
                if data is None:
                    continue
                if not data:
                    break
                self._feed(data)
        finally:
            if self._worker is not None and not self._over:
                self._worker.kill(block=False)
            self._socket.close()

    def close(self) -> None:
        """Ends a connection that waits for a request."""
        self._over = True
        self._socket.close()

    def _receive(self) -> bytes | None:
        """Returns bytes, nothing at the end, None to look again."""
        self._socket.settimeout(_TICK_S)
        try:
            return self._socket.recv(_RECEIVE_BYTES)
        except TimeoutError:
            self._check_times()
            return None
        except OSError:
            return b""

    def _check_times(self) -> None:
        """Ends a connection that takes too long, unless bytes have arrived.

        Guards against a process that stood still: it wakes when the time is
        over, and a request that came meanwhile would be reset unread.
        """
        overdue = self._find_overdue()
        if overdue is None or self._has_arrived():
            return
        if isinstance(overdue, BadRequest):
            self._refuse(overdue)
        else:
            self._over = True

    def _find_overdue(self) -> BadRequest | IdleTimeout | None:
        """Returns which of the caller's time limits is over, if any."""
        if self.busy or self._over:
            return None
        now_ms = self._clock.now_ms()
        limits = self._limits()
        if not self._reader.partial and not self._reader.in_head:
            idle_ms = now_ms - self._idle_since_ms
            return IdleTimeout() if idle_ms > limits.idle_ms else None
        took_ms = now_ms - self._reader.began_ms
        if self._reader.in_head:
            late = took_ms > limits.header_ms
            what = "headers"
        else:
            late = took_ms > limits.idle_ms
            what = "body"
        return BadRequest(408, f"{what} came too slowly") if late else None

    def _has_arrived(self) -> bool:
        """Returns whether bytes, or the caller's end, wait to be read."""
        ready = select.poll()
        ready.register(self._socket.fileno(), select.POLLIN)
        return bool(ready.poll(0))

    def _feed(self, data: bytes) -> None:
        found = self._reader.feed(data, self._clock.now_ms())
        if isinstance(found, BadRequest):
            self._refuse(found)
            return
        if self._reader.wants_continue and self._reader.partial:
            self._reader.wants_continue = False
            self._socket.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._waiting.extend(found)
        if self._waiting and not self.busy:
            self._worker = gevent.spawn(self._work)

    def _work(self) -> None:
        """Answers requests until none is waiting."""
        while self._waiting:
            request = self._waiting.popleft()
            reply = Reply(self._socket, request, self._closing())
            # A caller that is gone needs no answer; its connection ends.
            with contextlib.suppress(CallerDisconnectedError):
                self._handler(request, reply)
            if not reply.reusable:
                self._over = True
                self._shut()
                return
            self._idle_since_ms = self._clock.now_ms()

    def _shut(self) -> None:
        """Ends the connection after the last byte of the answer.

        Guards against a reset: closing while bytes of the caller are unread
        would make its end drop the answer that it has not read yet.
        """
        try:
            self._socket.shutdown(1)
        except OSError:
            return

    def _refuse(self, problem: BadRequest) -> None:
        while self.busy:
            self._worker.join()
        request = RawRequest("GET", "", [], b"", False, 0)
        reply = Reply(self._socket, request, closing=True)
        with contextlib.suppress(CallerDisconnectedError):
            reply.send(problem.status, [], problem.message.encode())
        self._over = True
        self._shut()


def _make_server(address: tuple[str, int], serve) -> server.StreamServer:
    """Returns a server on the socket that listens already, or on its own."""
    held = listening.take(address)
    if held is None:
        return server.StreamServer(address, serve, backlog=listening.BACKLOG)
    return server.StreamServer(socket.socket(fileno=held.detach()), serve)


class HttpServer:
    """Listens for callers.

    Args:
        address: Host and port.
        handler: Answers one request.
        limits: Returns the limits now in force.
        clock: Source of time.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handler: Handler,
        limits: Callable[[], RequestLimits],
        clock: Clock,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._clock = clock
        self._connections: set[Connection] = set()
        self._closing = False
        self._server = _make_server(address, self._serve)

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return self._server.address

    @property
    def busy(self) -> int:
        """Requests that are being answered."""
        return sum(c.busy for c in self._connections)

    def listen(self) -> None:
        """Begins to listen; connections wait until the server starts."""
        self._server.init_socket()

    def start(self) -> None:
        """Begins to answer."""
        self._server.start()

    def close_after_responses(self) -> None:
        """Lets each connection end after its answer."""
        self._closing = True

    def close_idle(self) -> None:
        """Ends connections that wait for a request."""
        for connection in list(self._connections):
            if connection.idle:
                connection.close()

    def stop_listening(self) -> None:
        """Takes no more connections; those that are open go on."""
        self._server.close()

    def _serve(self, sock, peer) -> None:
        del peer
        connection = Connection(
            sock,
            self._handler,
            self._limits,
            self._clock,
            lambda: self._closing,
        )
        self._connections.add(connection)
        try:
            connection.serve()
        except OSError:
            # The caller reset the connection while it was set up.
            return
        finally:
            self._connections.discard(connection)
