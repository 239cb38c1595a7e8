"""HTTP server with keep-alive, pipelining and graceful shutdown."""

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
_WRITE_TIMEOUT_S = 5.0
"""Timeout for writing to a caller that doesn't read its response."""

_CHECK_INTERVAL_S = 0.5
"""Interval at which a connection without traffic checks its timeouts."""

_REASON_PHRASES = {
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
    """The caller closed its connection or stopped reading."""


class Reply:
    """Writer of the response to one request, which is sent once.

    Args:
        sock: Socket of the caller's connection.
        request: The request.
        closing: Function that returns whether to close the connection after
            the response; called when the response begins.
    """

    def __init__(
        self, sock, request: RawRequest, closing: Callable[[], bool]
    ) -> None:
        self._socket = sock
        self._bodiless = request.method == "HEAD"
        self._keep_alive = request.keep_alive
        self._closing = closing
        self._begun = False
        self._ended = False

    @property
    def begun(self) -> bool:
        """Whether the head has been sent."""
        return self._begun

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return self._ended and self._keep_alive

    def end_connection(self) -> None:
        """Makes the connection close after this response."""
        self._keep_alive = False

    def send(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes = b"",
    ) -> None:
        """Sends a complete response.

        Args:
            status: Status code.
            headers: Pairs of name and value, without framing.
            body: Body; left out in a response to HEAD.
        """
        framing = [("Content-Length", str(len(body)))]
        data = self._head(status, headers + framing)
        self._begun = True
        self._write(data if self._bodiless else data + body)
        self._ended = True

    def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Sends the head of a response with a chunked body."""
        framing = [("Transfer-Encoding", "chunked")]
        self._begun = True
        self._write(self._head(status, headers + framing))

    def send_chunk(self, data: bytes) -> None:
        """Sends a chunk of the body."""
        self._write(b"%x\r\n%b\r\n" % (len(data), data))

    def finish(self) -> None:
        """Sends the final chunk, which marks the response as complete."""
        self._write(b"0\r\n\r\n")
        self._ended = True

    def _head(self, status: int, headers: list[tuple[str, str]]) -> bytes:
        lines = [f"HTTP/1.1 {status} {_REASON_PHRASES.get(status, 'Status')}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        if self._closing():
            self._keep_alive = False
        if not self._keep_alive:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _write(self, data: bytes) -> None:
        self._socket.settimeout(_WRITE_TIMEOUT_S)
        try:
            self._socket.sendall(data)
        except OSError as error:
            self._keep_alive = False
            raise CallerDisconnectedError(str(error)) from error


@attrs.frozen
class IdleTimeout:
    """A connection that has been idle for too long."""


Handler = Callable[[RawRequest, Reply], None]


class Connection:
    """A caller's connection.

    Reading continues while a request is handled, so that a close by the caller
    is detected at once and stops the work on its request.

    Args:
        sock: Socket of the connection.
        handler: Function that responds to one request.
        limits: Function that returns the limits in force.
        clock: Source of time.
        closing: Function that returns whether connections close after their
            response.
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
        self._queue: collections.deque[RawRequest] = collections.deque()
        self._worker: gevent.Greenlet | None = None
        self._idle_since_ms = clock.now_ms()
        self._ended = False
        self._reader = RequestReader(limits)

    @property
    def busy(self) -> bool:
        """Whether a request is being handled."""
        return self._worker is not None and not self._worker.dead

    @property
    def idle(self) -> bool:
        """Whether no request is being received or handled."""
        if self.busy or self._reader.partial:
            return False
        return not self._ended and not self._has_readable_data()

    def serve(self) -> None:
        """Reads and handles requests until the connection ends."""
        set_socket_options(self._socket)
        try:
            while not self._ended:
                data = self._receive()
                if data is None:
                    continue
                if not data:
                    break
                self._feed(data)
        finally:
            if self._worker is not None and not self._ended:
                self._worker.kill(block=False)
            self._socket.close()

    def close(self) -> None:
        """Makes an idle connection close at its next check."""
        self._ended = True
        self._socket.close()

    def _receive(self) -> bytes | None:
        """Reads once.

        Returns:
            The data, empty at the end of the stream, or None if none arrived
            within the check interval.
        """
        self._socket.settimeout(_CHECK_INTERVAL_S)
        try:
            return self._socket.recv(_RECEIVE_BYTES)
        except TimeoutError:
            self._check_timeouts()
            return None
        except OSError:
            return b""

    def _check_timeouts(self) -> None:
        """Ends a connection whose timeout expired, unless data has arrived.

        After the process was suspended, timeouts may have expired although a
        request arrived meanwhile. Closing the connection would reset that
        request unread.
        """
        overdue = self._find_overdue()
        if overdue is None or self._has_readable_data():
            return
        if isinstance(overdue, BadRequest):
            self._refuse(overdue)
        else:
            self._ended = True

    def _find_overdue(self) -> BadRequest | IdleTimeout | None:
        """Returns the timeout that has expired, or None."""
        if self.busy or self._ended:
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

    def _has_readable_data(self) -> bool:
        """Returns whether data or an end of stream is ready to be read."""
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
        self._queue.extend(found)
        if self._queue and not self.busy:
            self._worker = gevent.spawn(self._work)

    def _work(self) -> None:
        """Handles queued requests until the queue is empty."""
        while self._queue:
            request = self._queue.popleft()
            reply = Reply(self._socket, request, self._closing)
            try:
                self._handler(request, reply)
            except CallerDisconnectedError:
                # The caller needs no response, and its connection ends.
                reply.end_connection()
            except Exception:
                self._end_after_error(reply)
                raise
            if not reply.reusable:
                self._ended = True
                self._shut_down_writing()
                return
            self._idle_since_ms = self._clock.now_ms()

    def _end_after_error(self, reply: Reply) -> None:
        """Ends the connection of a request whose handler has raised an error.

        The caller gets a response at once, or one that ends early.
        """
        reply.end_connection()
        if not reply.begun:
            with contextlib.suppress(CallerDisconnectedError):
                reply.send(500, [], b"unexpected error")
        self._ended = True
        self._shut_down_writing()

    def _shut_down_writing(self) -> None:
        """Shuts down the sending direction after the response.

        Closing a socket with unread data sends a reset, and the caller's
        kernel would then discard the part of the response not yet read.
        """
        try:
            self._socket.shutdown(1)
        except OSError:
            return

    def _refuse(self, problem: BadRequest) -> None:
        while self.busy:
            self._worker.join()
        request = RawRequest("GET", "", [], b"", False, 0)
        reply = Reply(self._socket, request, closing=lambda: True)
        with contextlib.suppress(CallerDisconnectedError):
            reply.send(problem.status, [], problem.message.encode())
        self._ended = True
        self._shut_down_writing()


def _make_server(address: tuple[str, int], serve) -> server.StreamServer:
    """Returns a server on the address.

    Uses the socket that was opened while the program was loading, if any.
    """
    early_socket = listening.take_listener(address)
    if early_socket is None:
        return server.StreamServer(address, serve, backlog=listening.BACKLOG)
    return server.StreamServer(
        socket.socket(fileno=early_socket.detach()), serve
    )


class HttpServer:
    """HTTP server on one address.

    Args:
        address: Host and port.
        handler: Function that responds to one request.
        limits: Function that returns the limits in force.
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
        """Host and port of the listening socket."""
        return self._server.address

    @property
    def busy(self) -> int:
        """Number of connections whose request is being handled."""
        return sum(c.busy for c in self._connections)

    def listen(self) -> None:
        """Opens the listening socket; connections queue until `start`."""
        self._server.init_socket()

    def start(self) -> None:
        """Begins to accept connections."""
        self._server.start()

    def close_after_responses(self) -> None:
        """Makes each connection close after its next response."""
        self._closing = True

    def close_idle(self) -> None:
        """Closes connections without a request in progress."""
        for connection in list(self._connections):
            if connection.idle:
                connection.close()

    def stop_listening(self) -> None:
        """Closes the listening socket; open connections stay open."""
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
            # The caller reset the connection during setup.
            return
        finally:
            self._connections.discard(connection)
