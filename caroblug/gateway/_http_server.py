"""HTTP server with keep-alive, pipelining and graceful shutdown."""

import collections
import contextlib
import fcntl
import select
import struct
import sys
import termios
from collections.abc import Callable

import attrs
import gevent
from gevent import server, socket

from caroblug import listening
from caroblug.caller_resources import (
    CallerResources,
    ClosableConnection,
)
from caroblug.core.access import RequestLimits
from caroblug.core.limits import RUN_BYTES
from caroblug.gateway._caller_requests import (
    BadRequest,
    RawRequest,
    RequestReader,
)
from caroblug.gateway._http_client import set_socket_options
from caroblug.gateway._responses import (
    CallerDisconnectedError,
    OpenScreen,
    Reply,
    RequestScreen,
    ShutdownError,
)
from caroblug.utils import Clock

_RECEIVE_BYTES = 16384
_PIECE_BYTES = 8192
"""Bytes that are parsed at once. It bounds the requests that one read adds."""

_PIECES_PER_TURN = 4
"""Pieces after which other connections get their turn. A caller that sends all
the time never makes its connection wait."""

_LINGER_S = 1.0
"""Time for which a connection is read on after its last response. A close with
unread data would take the response from the caller."""

_MAX_WAITING_BYTES = 65536
"""What may wait behind a running request without its interruption."""

_UNREAD_CHECK_S = 0.1
"""Interval at which a connection whose caller has sent more than the request
that runs is checked for its end. What it has sent stays unread meanwhile."""

_NEW_CONNECTION_MS = 300
"""Time for which a connection that has sent nothing yet isn't closed as idle.
Its first request may be on the way."""

_CHECK_INTERVAL_S = 0.5
"""Interval at which a connection without traffic checks its timeouts."""


@attrs.frozen
class IdleTimeout:
    """A connection that has been idle for too long."""


Handler = Callable[[RawRequest, Reply], None]


def _make_kernel_poll():
    """Returns a poll object of the kernel.

    Where gevent has patched the process, `select.poll` knows no POLLRDHUP. An
    unpatched one need not import what patches it.
    """
    patches = sys.modules.get("gevent.monkey")
    if patches is None:
        return select.poll()
    return patches.get_original("select", "poll")()


class Connection(ClosableConnection):
    """A caller's connection.

    Reading continues while a request is handled, so that a close by the caller
    is detected at once and stops the work on its request. Once more data has
    arrived, it stays unread until that request has been answered, and the
    kernel is asked for the close.

    Args:
        sock: Socket of the connection.
        handler: Function that responds to one request.
        limits: Function that returns the limits in force.
        clock: Source of time.
        closing: Function that returns whether connections close after their
            response.
        resources: Accounts for what the connection holds.
        screen: Refuses requests before they are complete.
    """

    def __init__(
        self,
        sock,
        handler: Handler,
        limits: Callable[[], RequestLimits],
        clock: Clock,
        closing: Callable[[], bool],
        resources: CallerResources | None = None,
        screen: RequestScreen | None = None,
    ) -> None:
        self._socket = sock
        self._handler = handler
        self._limits = limits
        self._clock = clock
        self._closing = closing
        self._screen = screen or OpenScreen()
        self._queue: collections.deque[RawRequest] = collections.deque()
        self._worker: gevent.Greenlet | None = None
        self._idle_since_ms = clock.now_ms()
        self._is_unused = True
        self._ended = False
        self._responded = False
        self._reader = RequestReader(limits)
        self._unparsed = b""
        self._queued_bytes = 0
        self._running_bytes = 0
        self._unsent_bytes = 0
        self._unread_bytes = 0
        self._turn_s = 0.0
        self._pieces = 0
        self._resources = resources or CallerResources(clock)
        self._holding = self._resources.open(self)
        self._resources.make_room()

    @property
    def busy(self) -> bool:
        """Whether a request is being handled."""
        return self._worker is not None and not self._worker.dead

    @property
    def idle(self) -> bool:
        """Whether no request is being received or handled."""
        if self.busy or self._reader.partial or self._unparsed:
            return False
        return not self._ended and not self._has_readable_data()

    @property
    def is_new(self) -> bool:
        """Whether the first request may still be on the way."""
        idle_ms = self._clock.now_ms() - self._idle_since_ms
        return self._is_unused and idle_ms < _NEW_CONNECTION_MS

    def serve(self) -> None:
        """Reads and handles requests until the connection ends."""
        try:
            set_socket_options(self._socket)
            while not self._ended:
                if not self._advance():
                    break
            if self._responded:
                self._linger()
        finally:
            if self.busy:
                self._worker.kill(block=False)
            self._reader.close()
            self._resources.held.close(self._holding)
            self._socket.close()

    def close(self) -> None:
        """Closes the connection."""
        self._ended = True
        self._resources.held.close(self._holding)
        self._socket.close()

    def interrupt(self) -> None:
        """Raises `ShutdownError` in the handler of the request that runs."""
        if self.busy:
            self._worker.kill(ShutdownError(), block=False)

    def evict(self) -> None:
        """Releases what the connection holds and closes it."""
        if self._ended or self.busy or not self._reader.partial:
            self.close()
            return
        head = self._reader.head
        self._ended = True
        self._forget_input()
        # The response fits into the empty buffer of the socket. Waiting here
        # would delay the connection that needs the memory.
        reply = Reply(self._socket, head, lambda: True, timeout_s=0.0)
        with contextlib.suppress(CallerDisconnectedError):
            self._screen.refuse_overload(head, reply)
        self._shut_down_writing()

    def _advance(self) -> bool:
        """Does the next step of receiving.

        Returns:
            Whether the caller may send more.
        """
        if self._unparsed and self.busy:
            return self._await_response()
        if self._unparsed:
            piece = self._unparsed[:_PIECE_BYTES]
            self._unparsed = self._unparsed[_PIECE_BYTES:]
            self._take_turns()
            if not self._ended:
                self._feed(piece)
            return True
        data = self._receive()
        if data is None:
            return True
        self._unparsed = data
        return bool(data)

    def _await_response(self) -> bool:
        """Waits for the request that runs, for a short time.

        Returns:
            Whether the caller's end of the connection is open.
        """
        self._worker.join(_UNREAD_CHECK_S)
        if self._ended or not self.busy:
            self._unread_bytes = 0
            return True
        self._unread_bytes = self._count_unread()
        self._account()
        return not self._has_caller_left()

    def _take_turns(self) -> None:
        """Lets other greenlets run if this one has not waited for long."""
        now_s = gevent.get_hub().loop.now()
        if now_s != self._turn_s:
            self._turn_s = now_s
            self._pieces = 0
        self._pieces += 1
        if self._pieces > _PIECES_PER_TURN:
            gevent.sleep(0)

    def _account(self) -> None:
        """Reports what the connection holds.

        A request that runs is not interrupted, unless its response is complete
        and not read, or its caller has sent much more behind it.
        """
        waiting_bytes = (
            len(self._unparsed) + self._queued_bytes + self._unread_bytes
        )
        self._resources.held.set_pinned(
            self._holding,
            self._running_bytes > 0
            and not self._unsent_bytes
            and waiting_bytes <= _MAX_WAITING_BYTES,
        )
        self._resources.set_bytes(
            self._holding,
            waiting_bytes
            + self._reader.held_bytes
            + self._running_bytes
            + self._unsent_bytes,
        )

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
        return bool(self._poll(select.POLLIN))

    def _has_caller_left(self) -> bool:
        """Returns whether the caller has closed, behind unread data."""
        ended = select.POLLRDHUP | select.POLLHUP | select.POLLERR
        return any(state & ended for _, state in self._poll(select.POLLRDHUP))

    def _poll(self, events: int) -> list[tuple[int, int]]:
        ready = _make_kernel_poll()
        ready.register(self._socket.fileno(), events)
        return ready.poll(0)

    def _count_unread(self) -> int:
        """Returns the bytes that the kernel keeps for this connection."""
        size = struct.pack("i", 0)
        try:
            size = fcntl.ioctl(self._socket.fileno(), termios.FIONREAD, size)
        except OSError:
            # The kernel doesn't report it: the buffer may be full.
            return listening.RECEIVE_BUFFER_BYTES
        return struct.unpack("i", size)[0]

    def _feed(self, data: bytes) -> None:
        self._is_unused = False
        if not self._reader.partial:
            self._resources.restart(self._holding)
        found = self._reader.feed(data, self._clock.now_ms())
        if isinstance(found, BadRequest):
            self._refuse(found)
            return
        self._queue.extend(found)
        self._queued_bytes += sum(request.held_bytes for request in found)
        if self._queue and not self.busy:
            self._worker = gevent.spawn(self._work)
        elif self._reader.partial and not self._reader.in_head:
            self._screen_head()
        if not self._ended:
            self._account()

    def _screen_head(self) -> None:
        """Refuses a request by its head, or asks for its body if need be."""
        reader = self._reader
        if not reader.screened and not self.busy:
            reader.screened = True
            head = reader.head
            reply = Reply(self._socket, head, lambda: True)
            try:
                refused = self._screen.refuse_known(head, reply)
            except CallerDisconnectedError:
                refused = True
            if refused:
                self._end()
                return
        if reader.wants_continue:
            reader.wants_continue = False
            self._socket.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _work(self) -> None:
        """Handles queued requests until the queue is empty."""
        while self._queue:
            request = self._queue.popleft()
            self._queued_bytes -= request.held_bytes
            reply = Reply(self._socket, request, self._closing, self._on_unsent)
            try:
                self._run(request, reply)
            except CallerDisconnectedError:
                # The caller needs no response, and its connection ends.
                reply.end_connection()
            except Exception:
                self._end_after_error(reply)
                raise
            if not reply.reusable:
                self._ended = True
                self._queue.clear()
                self._queued_bytes = 0
                self._shut_down_writing()
                return
            self._idle_since_ms = self._clock.now_ms()
            if self._queue:
                gevent.sleep(0)

    def _run(self, request: RawRequest, reply: Reply) -> None:
        """Handles a request, or refuses it if there is no memory for it."""
        held = self._resources.held
        request_bytes = request.held_bytes + RUN_BYTES
        if not held.may_run(request_bytes):
            reply.end_connection()
            self._screen.refuse_overload(request, reply)
            return
        self._running_bytes = request_bytes
        self._account()
        try:
            self._handler(request, reply)
        finally:
            self._running_bytes = 0
            self._account()
            self._resources.restart(self._holding)

    def _on_unsent(self, unsent_bytes: int) -> None:
        """Accounts for a response that the caller has not read."""
        self._unsent_bytes = unsent_bytes
        self._account()

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
        self._responded = True
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
        self._end()

    def _end(self) -> None:
        """Ends the connection after a response, and forgets its input."""
        self._ended = True
        self._forget_input()
        self._shut_down_writing()

    def _forget_input(self) -> None:
        """Releases what has been received; nothing more is parsed."""
        self._reader.close()
        self._unparsed = b""
        self._account()

    def _linger(self) -> None:
        """Reads on for a short time, and discards what arrives."""
        self._unparsed = b""
        with gevent.Timeout(_LINGER_S, False):
            while self._socket.recv(_RECEIVE_BYTES):
                self._take_turns()


class _StreamServer(server.StreamServer):
    """Server whose connections are opened, and counted, as they are accepted.

    Args:
        address: Host and port, or a listening socket.
        open_connection: Returns the connection of an accepted socket.
        serve: Serves that connection, in a greenlet of its own.
    """

    max_accept = 16
    """Connections that are accepted before other greenlets get their turn."""

    def __init__(self, address, open_connection, serve) -> None:
        super().__init__(address, serve)
        self._open_connection = open_connection

    def do_handle(self, sock, peer) -> None:
        """Starts to serve an accepted socket; gevent calls this."""
        super().do_handle(self._open_connection(sock), peer)

    @classmethod
    def get_listener(cls, address, backlog=None, family=None):
        """Returns a listening socket; gevent calls this to open it."""
        del backlog, family
        return _adopt(listening.make_listener(address))


def _make_server(address: tuple[str, int], open_connection, serve):
    """Returns a server on the address.

    Uses the socket that was opened while the program was loading, if any.
    """
    early_socket = listening.take_listener(address)
    listener = address if early_socket is None else _adopt(early_socket)
    return _StreamServer(listener, open_connection, serve)


def _adopt(listener) -> socket.socket:
    """Returns the socket of a listener as one of gevent."""
    return socket.socket(fileno=listener.detach())


class HttpServer:
    """HTTP server on one address.

    Args:
        address: Host and port.
        handler: Function that responds to one request.
        limits: Function that returns the limits in force.
        clock: Source of time.
        resources: Accounts for the connections of all servers of the process;
            without bounds if None.
        screen: Refuses requests before they are complete.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handler: Handler,
        limits: Callable[[], RequestLimits],
        clock: Clock,
        resources: CallerResources | None = None,
        screen: RequestScreen | None = None,
    ) -> None:
        self._resources = resources or CallerResources(clock)
        self._screen = screen
        self._handler = handler
        self._limits = limits
        self._clock = clock
        self._connections: set[Connection] = set()
        self._closing = False
        self._server = _make_server(address, self._open, self._serve)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the listening socket."""
        return self._server.address

    @property
    def busy(self) -> int:
        """Number of connections whose request is being handled."""
        return sum(c.busy for c in self._connections)

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

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
        """Closes connections without a request in progress or on the way."""
        for connection in list(self._connections):
            if connection.idle and not connection.is_new:
                connection.close()

    def stop_listening(self) -> None:
        """Closes the listening socket; open connections stay open."""
        if self._server.started:
            listening.accept_waiting(self._server)
        self._server.close()

    def interrupt(self) -> None:
        """Raises `ShutdownError` in the handlers of all requests that run."""
        for connection in list(self._connections):
            connection.interrupt()

    def _open(self, sock) -> Connection:
        """Returns the connection of an accepted socket."""
        connection = Connection(
            sock,
            self._handler,
            self._limits,
            self._clock,
            lambda: self._closing,
            self._resources,
            self._screen,
        )
        self._connections.add(connection)
        return connection

    def _serve(self, connection: Connection, peer) -> None:
        del peer
        try:
            connection.serve()
        except OSError:
            # The caller reset the connection during setup.
            return
        finally:
            self._connections.discard(connection)
