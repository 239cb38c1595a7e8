"""Connections to backend servers that are kept between requests.

At most one connection to an address is kept. The idempotent requests of the
gateway itself (reports and health checks) share it, and a liveness watch holds
it open while streams run over the engine. A request opens another connection
only if none is kept, or if the kept one is closed, doesn't answer, or carries
anything but the response to the request. Requests of callers and orders don't
use these connections: after a failure on one, they couldn't be sent again.
"""

import contextlib
from collections.abc import Iterator

import attrs
import gevent
from gevent import event

from caroblug.gateway._exchange_results import (
    ExchangeFailure,
    FailureKind,
    HttpResponse,
)
from caroblug.gateway._http_client import MAX_WAITS, Address, fetch
from caroblug.gateway._kept_connection import (
    KeptConnection,
    ReadRequest,
    ResponseCheck,
)
from caroblug.utils import BoottimeClock, Clock

_SHARING_WAIT_S = 0.04
"""Longest wait for a request that uses the kept connection, in s. A healthy
backend server answers in a few ms; one that takes longer counts as silent."""

_MIN_TIMEOUT_S = 0.001
_MS_PER_S = 1000

Answer = HttpResponse | ExchangeFailure


class KeptConnections:
    """Keeps at most one connection to each backend server.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._connections: dict[Address, KeptConnection] = {}
        self._users: dict[Address, int] = {}
        self._waiting: dict[tuple[Address, bytes], event.AsyncResult] = {}

    def fetch(
        self,
        address: Address,
        request: bytes,
        timeout_s: float,
        is_expected: ResponseCheck = lambda response: True,
    ) -> Answer:
        """Sends an idempotent request and reads the complete response.

        Equal requests that wait for the connection at the same time are sent
        once: the response to a request that is sent later than all of them
        came is as new as each could get.

        Args:
            address: Host and port.
            request: Head and body. It may be sent a second time.
            timeout_s: Timeout for each wait, as for `fetch` of the module
                `_http_client`.
            is_expected: Returns whether a response belongs to the request. If
                not, its connection is closed, and a response on a kept
                connection is requested again on a new one.

        Returns:
            The response, or why there is none.
        """
        key = (address, request)
        while True:
            shared = self._waiting.get(key)
            if shared is None:
                return self._fetch_first(
                    key, ReadRequest(request, timeout_s, is_expected)
                )
            answer = shared.get()
            if answer is not None:
                return answer

    def hold(self, address: Address) -> None:
        """Keeps the connection to an address open until `release`."""
        self._connection(address).holders += 1

    def release(self, address: Address) -> None:
        """Ends one `hold`. The connection is closed once it is idle enough."""
        self._connection(address).holders -= 1

    def open(self, address: Address, timeout_s: float) -> FailureKind | None:
        """Opens a connection unless one is kept.

        Args:
            address: Host and port.
            timeout_s: Connect timeout, and longest wait for a request in
                progress, in s.

        Returns:
            The failure, or None if a connection is kept or in use.
        """
        with self._use(address) as connection:
            if not connection.acquire(timeout_s):
                return None
            try:
                return connection.open(timeout_s)
            finally:
                connection.release()

    def wait_absent(self, address: Address, wait_s: float) -> bool:
        """Waits until no connection to an address is open.

        Returns:
            Whether there is none; False if one is left after `wait_s`.
        """
        with self._use(address) as connection:
            return connection.wait_absent(wait_s)

    def alive_ms(self, address: Address) -> int | None:
        """Returns when an address last accepted a connection or answered.

        None is returned if it hasn't since it was last forgotten.
        """
        connection = self._connections.get(address)
        return connection.alive_ms if connection is not None else None

    def is_idle(self, address: Address) -> bool:
        """Returns whether a connection is open and waits for its next use."""
        connection = self._connections.get(address)
        return connection is not None and connection.is_idle

    def _fetch_first(
        self, key: tuple[Address, bytes], request: ReadRequest
    ) -> Answer:
        """Waits for the connection and sends a request.

        Equal requests that come during the wait get the same answer.
        """
        address, _ = key
        shared = self._waiting[key] = event.AsyncResult()
        answer = None
        try:
            with self._use(address) as connection:
                began_ms = self._clock.now_ms()
                acquired = connection.acquire(
                    min(_SHARING_WAIT_S, request.timeout_s)
                )
                # A request that comes later must not get an older answer.
                del self._waiting[key]
                waited_s = (self._clock.now_ms() - began_ms) / _MS_PER_S
                left_s = max(_MIN_TIMEOUT_S, request.timeout_s - waited_s)
                if acquired:
                    request = attrs.evolve(request, timeout_s=left_s)
                    answer = _fetch_on(connection, request)
                else:
                    answer = fetch(address, request.data, left_s)
            return answer
        finally:
            if self._waiting.get(key) is shared:
                del self._waiting[key]
            # None makes the others try again after this greenlet was ended.
            shared.set(answer)

    def _connection(self, address: Address) -> KeptConnection:
        connection = self._connections.get(address)
        if connection is None:
            self._remove_unused()
            connection = KeptConnection(address, self._clock)
            self._connections[address] = connection
        return connection

    @contextlib.contextmanager
    def _use(self, address: Address) -> Iterator[KeptConnection]:
        """Yields the connection to an address, which is not forgotten."""
        connection = self._connection(address)
        self._users[address] = self._users.get(address, 0) + 1
        try:
            yield connection
        finally:
            self._users[address] -= 1
            if not self._users[address]:
                del self._users[address]

    def _remove_unused(self) -> None:
        """Forgets the addresses that have no connection, watch or user."""
        for address, connection in list(self._connections.items()):
            in_use = connection.is_idle or connection.holders
            if not in_use and address not in self._users:
                del self._connections[address]


def make_kept_connections(clock: Clock | None = None) -> KeptConnections:
    """Returns an empty set of kept connections.

    Args:
        clock: Source of time; the clock of the gateway if it is None.
    """
    return KeptConnections(clock or BoottimeClock())


def _fetch_on(connection: KeptConnection, request: ReadRequest) -> Answer:
    """Sends a request on an acquired connection and releases that."""
    try:
        with gevent.Timeout(request.timeout_s * MAX_WAITS, False):
            return connection.fetch(request)
        return ExchangeFailure(FailureKind.SILENT, sent=True)
    finally:
        connection.release()
