"""A connection to one backend server that is kept between requests.

It is kept only after a complete response that nothing follows and that doesn't
announce the end of the connection. It is closed as soon as bytes arrive that
belong to no request.
"""

from collections.abc import Callable

import attrs
import gevent
from gevent import event

from caroblug.gateway._exchange_results import (
    ExchangeFailure,
    FailureKind,
    HttpResponse,
    ResponseHead,
)
from caroblug.gateway._http_client import (
    Address,
    Exchange,
    send_and_read,
)
from caroblug.utils import Clock, parse_digits

_MAX_IDLE_S = 3600
_IDLE_MS = 4000
"""Time without use after which a connection is closed, in ms, unless the
backend server names another one."""

_IDLE_MARGIN_MS = 250
"""Time before the end of the timeout that a backend server names, in ms, at
which the connection is closed, so that it isn't used while the server closes
it."""

_HOLD_CHECK_S = 1.0
"""Interval at which an idle connection that is held open is checked for its
release, in s."""

_SILENCE_SHARE = 0.4
"""Share of a request's timeout after which a kept connection without any byte
of a response is replaced by a new one. The rest is left for the new one."""

_MIN_TIMEOUT_S = 0.001
_MS_PER_S = 1000

ResponseCheck = Callable[[HttpResponse], bool]


@attrs.frozen
class ReadRequest:
    """An idempotent request, which may be sent a second time.

    Attributes:
        data: Head and body.
        timeout_s: Timeout for each wait, in s. A second attempt has what the
            first one has left of it.
        is_expected: Returns whether a response belongs to the request.
    """

    data: bytes
    timeout_s: float
    is_expected: ResponseCheck


@attrs.define(eq=False)
class _IdleConnection:
    """A connection that waits for its next use.

    Attributes:
        exchange: Owner of the connection.
        since_ms: End of its last use.
        guard: Greenlet that waits for the connection to end.
        ended: Whether the guard has seen it end.
    """

    exchange: Exchange
    since_ms: int
    guard: gevent.Greenlet | None = None
    ended: bool = False


class KeptConnection:
    """The connection to one address, which requests use one after another.

    Args:
        address: Host and port.
        clock: Source of time.

    Attributes:
        holders: Number of watches that hold the connection open.
        alive_ms: When the server last accepted a connection or answered; None
            if it hasn't yet.
    """

    def __init__(self, address: Address, clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._reserved = False
        self._released = event.Event()
        self._idle: _IdleConnection | None = None
        self._idle_ms = _IDLE_MS
        self._absent = event.Event()
        self._absent.set()
        self._opened = 0
        self.holders = 0
        self.alive_ms: int | None = None

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and waits for its next use."""
        return self._idle is not None

    @property
    def opened(self) -> int:
        """Number of connections that were opened, or tried to be."""
        return self._opened

    def acquire(self, timeout_s: float) -> bool:
        """Waits until no other request uses the connection.

        Args:
            timeout_s: Longest wait, in s.

        Returns:
            Whether the connection is reserved for the caller, which must call
            `release`.
        """
        with gevent.Timeout(timeout_s, False):
            while self._reserved:
                self._released.clear()
                self._released.wait()
            self._reserved = True
            return True
        return False

    def release(self) -> None:
        """Ends what `acquire` began."""
        self._reserved = False
        self._released.set()

    def wait_absent(self, timeout_s: float) -> bool:
        """Waits until no connection is open; returns whether none is."""
        return bool(self._absent.wait(timeout_s))

    def open(self, timeout_s: float) -> FailureKind | None:
        """Opens the connection unless it is open; `acquire` comes first.

        Args:
            timeout_s: Connect timeout, in s.

        Returns:
            The failure, or None if the connection is open.
        """
        if self._idle is not None:
            return None
        exchange = Exchange(self._address)
        problem = self._connect(exchange, timeout_s)
        if problem is not None:
            return problem.failure
        self._keep(exchange)
        return None

    def fetch(self, request: ReadRequest) -> HttpResponse | ExchangeFailure:
        """Sends a request and reads the response; `acquire` comes first.

        The connection is used if it is open. If nothing arrives on it, or
        anything but the response, the request is sent on a new connection.

        Returns:
            The response, or why there is none.
        """
        began_ms = self._clock.now_ms()
        exchange = self._take()
        timeout_s = request.timeout_s
        reused = exchange is not None
        if exchange is not None:
            head_s = timeout_s * _SILENCE_SHARE
            response = self._ask(exchange, request, head_s)
            if _is_final(response, exchange, request):
                return response
            spent_s = (self._clock.now_ms() - began_ms) / _MS_PER_S
            timeout_s = max(_MIN_TIMEOUT_S, timeout_s - spent_s)
        exchange = Exchange(self._address)
        problem = self._connect(exchange, timeout_s)
        if problem is not None:
            return ExchangeFailure(problem.failure, sent=reused)
        return self._ask(exchange, request, timeout_s)

    def _ask(
        self, exchange: Exchange, request: ReadRequest, head_s: float
    ) -> HttpResponse | ExchangeFailure:
        """Sends a request and keeps the connection if that is safe.

        Args:
            exchange: Owner of an open connection.
            request: The request.
            head_s: Timeout of each wait until the head is complete, in s.
        """
        kept = False
        try:
            response = send_and_read(
                exchange, request.data, head_s, request.timeout_s
            )
            if isinstance(response, HttpResponse):
                self.alive_ms = self._clock.now_ms()
                kept = self._keep_after(exchange, request, response)
            return response
        finally:
            if not kept:
                self._close(exchange)

    def _keep_after(
        self, exchange: Exchange, request: ReadRequest, response: HttpResponse
    ) -> bool:
        """Keeps a connection after a response; returns whether it did."""
        idle_ms = _decode_idle_ms(response.head)
        if not exchange.reusable or idle_ms <= 0:
            return False
        if not request.is_expected(response):
            return False
        self._idle_ms = idle_ms
        self._keep(exchange)
        return True

    def _connect(
        self, exchange: Exchange, timeout_s: float
    ) -> ExchangeFailure | None:
        self._opened += 1
        connected = False
        try:
            problem = exchange.connect(timeout_s)
            connected = problem is None
        finally:
            if not connected:
                self._close(exchange)
        if connected:
            self.alive_ms = self._clock.now_ms()
            self._absent.clear()
        return problem

    def _close(self, exchange: Exchange) -> None:
        exchange.close()
        self._absent.set()

    def _keep(self, exchange: Exchange) -> None:
        idle = _IdleConnection(exchange, self._clock.now_ms())
        self._idle = idle
        idle.guard = gevent.spawn(self._guard, idle)

    def _take(self) -> Exchange | None:
        """Returns the open connection, ready for a request, or None."""
        idle = self._idle
        if idle is None:
            return None
        self._idle = None
        usable = False
        try:
            # The guard must not read from the connection any more.
            idle.guard.kill()
            expired = not self.holders and self._left_ms(idle) <= 0
            usable = not idle.ended and not expired and idle.exchange.is_quiet()
        finally:
            if not usable:
                self._close(idle.exchange)
        if not usable:
            return None
        idle.exchange.begin_next()
        return idle.exchange

    def _guard(self, idle: _IdleConnection) -> None:
        """Closes an idle connection that ends, or that isn't used any more."""
        while not idle.ended:
            wait_s = _HOLD_CHECK_S
            if not self.holders:
                left_ms = self._left_ms(idle)
                if left_ms <= 0:
                    break
                wait_s = left_ms / _MS_PER_S
            idle.ended = not idle.exchange.is_open(wait_s)
        if self._idle is idle:
            self._idle = None
            self._close(idle.exchange)

    def _left_ms(self, idle: _IdleConnection) -> int:
        return idle.since_ms + self._idle_ms - self._clock.now_ms()


def _is_final(
    response: HttpResponse | ExchangeFailure,
    exchange: Exchange,
    request: ReadRequest,
) -> bool:
    """Returns whether the result on a kept connection is that of the request.

    It isn't if nothing has arrived, which may be due to the connection alone,
    or if bytes have arrived that belong to something else.
    """
    if isinstance(response, HttpResponse):
        return exchange.is_exact and request.is_expected(response)
    return exchange.received


def _decode_idle_ms(head: ResponseHead) -> int:
    """Returns the time for which a server keeps an idle connection, in ms."""
    for option in (head.get("keep-alive") or "").split(","):
        name, _, value = option.partition("=")
        if name.strip().lower() != "timeout":
            continue
        timeout_s = parse_digits(value.strip())
        if timeout_s is not None:
            return min(timeout_s, _MAX_IDLE_S) * _MS_PER_S - _IDLE_MARGIN_MS
    return _IDLE_MS
