"""HTTP connections of entry and side whose memory is accounted for."""

import contextlib
import errno
import io

import gevent
from gevent import pywsgi, socket

from caroblug.caller_resources import CallerResources, ClosableConnection
from caroblug.core.limits import RUN_BYTES
from caroblug.node._chunked_input import ChunkedInput

_MAX_HEAD_BYTES = 65_536
"""Limit on the request line and the headers together."""

_LARGE_WRITE_BYTES = 16_384
_WRITE_TIMEOUT_S = 30.0
"""Timeout for writing to a caller that doesn't read its response."""

_MAX_SKIPPED_BYTES = 65_536
"""Rest of a body that is skipped so that the connection can be used again."""

_LINGER_S = 1.0
"""Time for which a connection is read on after its last response."""

_READS_PER_TURN = 8
"""Reads after which other greenlets get their turn. A caller that sends all the
time never makes its connection wait."""

_OVERLOADED = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Content-Type: application/json\r\nContent-Length: 98\r\n"
    b"Retry-After: 1\r\nConnection: close\r\n\r\n"
    b'{"error": {"type": "overloaded", "message": "out of memory", '
    b'"ran": "no", "retry_after_ms": 1000}}'
)
"""Response to a request for which there is no memory left."""


class HeadTooLongError(ValueError):
    """Raised for a head that exceeds its limit."""


class NodeConnection(ClosableConnection):
    """What one HTTP connection makes the process hold.

    Args:
        sock: Socket of the connection.
        resources: Accounts for all connections of the process.
    """

    def __init__(self, sock: socket.socket, resources: CallerResources):
        self._socket = sock
        self._resources = resources
        self._received_bytes = 0
        self._head_bytes = 0
        self._unsent_bytes = 0
        self._in_head = False
        self._running = False
        self._reading = False
        self._responded = False
        self._holding = resources.open(self)
        resources.make_room()

    @property
    def body_bytes(self) -> int:
        """Bytes received since the head of the request, framing included."""
        return self._received_bytes - self._head_bytes

    def begin_request(self) -> None:
        """Begins to read a request."""
        self._received_bytes = 0
        self._in_head = True
        self._responded = False
        self._account()

    def end_head(self) -> None:
        """Records that the head of the request is complete."""
        self._in_head = False
        self._head_bytes = self._received_bytes
        self._running = True
        self._account()

    def end_request(self) -> None:
        """Records that the request has been answered."""
        self._running = False
        self._account()

    def begin_read(self) -> None:
        """Records that the connection waits for its caller."""
        self._reading = True
        self._account()

    def end_read(self, count: int) -> None:
        """Adds received bytes.

        Raises:
            HeadTooLongError: If the head exceeds its limit.
        """
        if not self._received_bytes:
            self._resources.restart(self._holding)
        if not self._responded:
            self._received_bytes += count
        # The connection may still be closed for what it has just received.
        self._account()
        self._reading = False
        self._account()
        if self._in_head and self._received_bytes > _MAX_HEAD_BYTES:
            raise HeadTooLongError(f"head is over {_MAX_HEAD_BYTES} bytes")

    def on_response(self) -> None:
        """Records that a part of the response was sent."""
        self._responded = True

    def on_unsent(self, count: int) -> None:
        """Accounts for a part of the response that is being written."""
        self._unsent_bytes = count
        self._account()

    def evict(self) -> None:
        """Refuses a request that has not run, and closes the connection."""
        if self._received_bytes and not self._responded:
            self._socket.settimeout(0.0)
            # The caller may have closed the connection.
            with contextlib.suppress(OSError):
                self._socket.send(_OVERLOADED)
        self.close()

    def close(self) -> None:
        """Closes the connection."""
        self._resources.held.close(self._holding)
        self._socket.close()

    def _account(self) -> None:
        """Reports what the connection holds.

        A request that runs is not interrupted, unless it waits for its caller
        to send or to read.
        """
        waits = self._reading or self._unsent_bytes > 0
        self._resources.held.set_pinned(
            self._holding, self._running and not waits
        )
        run_bytes = RUN_BYTES if self._running else 0
        self._resources.set_bytes(
            self._holding, self._received_bytes + self._unsent_bytes + run_bytes
        )


class _AccountedReader(io.RawIOBase):
    """Reads from a socket and counts the bytes where they are taken."""

    def __init__(self, sock: socket.socket, connection: NodeConnection):
        super().__init__()
        self._socket = sock
        self._connection = connection
        self._reads = 0
        self.chunked_input: ChunkedInput | None = None

    def readable(self) -> bool:
        """Returns that data can be read."""
        return True

    def readinto(self, buffer) -> int:
        """Reads once into a buffer."""
        self._connection.begin_read()
        self._reads += 1
        chunked_input = self.chunked_input
        # The framing of chunks is parsed byte by byte.
        if chunked_input is not None or self._reads % _READS_PER_TURN == 0:
            gevent.sleep(0)
        count = self._socket.recv_into(buffer)
        self._connection.end_read(count)
        if chunked_input is not None:
            chunked_input.check_framing(self._connection.body_bytes)
        return count


class _AbandonedInput:
    """Body of a request that is not read to its end."""

    def _discard(self) -> None:
        """Skips nothing; the server calls this after the application."""


class AccountedHandler(pywsgi.WSGIHandler):
    """Handles the requests of an accounted connection.

    Small chunks are sent with a single `send` call. `sendall` of a gevent
    socket queries the kernel's buffer size and slices the data on each call,
    which doubles the cost of a streamed token.
    """

    def __init__(self, sock, address, server) -> None:
        self._connection = server.take_connection(sock)
        self._reader = _AccountedReader(sock, self._connection)
        super().__init__(sock, address, server, io.BufferedReader(self._reader))

    def handle(self) -> None:
        """Handles requests until the connection ends."""
        try:
            super().handle()
        except (HeadTooLongError, OSError):
            # The connection was closed, or its request line exceeds the limit.
            return
        finally:
            self._connection.close()

    def read_requestline(self) -> str:
        """Reads the first line of the next request."""
        self._connection.begin_request()
        return super().read_requestline()

    def read_request(self, raw_requestline: str) -> bool:
        """Reads the head of a request."""
        valid = super().read_request(raw_requestline)
        self._connection.end_head()
        return valid

    def get_environ(self) -> dict:
        """Returns the environment of a request, with its body."""
        environ = super().get_environ()
        if self.wsgi_input.chunked_input:
            self.wsgi_input = ChunkedInput(self.rfile, self.wsgi_input.socket)
            self._reader.chunked_input = self.wsgi_input
            environ["wsgi.input"] = self.wsgi_input
        return environ

    def handle_one_response(self) -> None:
        """Runs the application for one request."""
        try:
            super().handle_one_response()
        finally:
            self._connection.end_request()
        if isinstance(self.wsgi_input, _AbandonedInput):
            self._linger()

    def run_application(self) -> None:
        """Runs the application, and gives up a body that it didn't read.

        The server would parse all of it to find the next request.
        """
        try:
            super().run_application()
        finally:
            self._reader.chunked_input = None
            body = self.wsgi_input
            if isinstance(body, ChunkedInput):
                abandoned = not body.complete
            else:
                rest = (body.content_length or 0) - body.position
                abandoned = rest > _MAX_SKIPPED_BYTES
            if abandoned:
                self.close_connection = True
                self.wsgi_input = _AbandonedInput()

    def _linger(self) -> None:
        """Reads on for a short time, and discards what arrives.

        A close with unread data would take the response from the caller.
        """
        self._connection.begin_read()
        with gevent.Timeout(_LINGER_S, False), contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            while self.socket.recv(_MAX_SKIPPED_BYTES):
                gevent.sleep(0)

    def _sendall(self, data: bytearray) -> None:
        """Sends a chunk; falls back to gevent for a partial or failed send."""
        self._connection.on_response()
        if len(data) >= _LARGE_WRITE_BYTES:
            self._send_large(data)
            return
        try:
            sent = self.socket.send(data)
        except OSError:
            sent = 0
        self.response_length += sent
        if sent < len(data):
            self._send_rest(data[sent:])

    def _send_large(self, data: bytearray) -> None:
        self._connection.on_unsent(len(data))
        try:
            self._send_rest(data)
        finally:
            self._connection.on_unsent(0)

    def _send_rest(self, data: bytearray) -> None:
        self.socket.settimeout(_WRITE_TIMEOUT_S)
        try:
            super()._sendall(data)
        except OSError as error:
            # The server logs a traceback for errors other than this one.
            raise ConnectionResetError(
                errno.ECONNRESET, f"response not sent: {error}"
            ) from error
        finally:
            self.socket.settimeout(None)


class AccountedServer(pywsgi.WSGIServer):
    """Server whose connections are counted as they are accepted.

    Args:
        listener: Listening socket.
        app: The application.
        resources: Accounts for all connections of the process.
        **options: Further arguments of the server.
    """

    max_accept = 16
    """Connections that are accepted before other greenlets get their turn."""

    def __init__(
        self, listener, app, resources: CallerResources, **options
    ) -> None:
        super().__init__(
            listener, app, handler_class=AccountedHandler, **options
        )
        self._resources = resources
        self._opened: dict[socket.socket, NodeConnection] = {}

    def do_handle(self, *args) -> None:
        """Starts to handle an accepted socket; gevent calls this."""
        self._opened[args[0]] = NodeConnection(args[0], self._resources)
        super().do_handle(*args)

    def take_connection(self, sock: socket.socket) -> NodeConnection:
        """Removes and returns the connection of an accepted socket."""
        return self._opened.pop(sock)
