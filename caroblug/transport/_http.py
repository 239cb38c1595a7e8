"""HTTP clients with timeouts, for JSON requests to external systems."""

import dataclasses
import http.client
import socket
from collections.abc import Callable
from typing import Any

import orjson
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError

from caroblug.transport._checked_socket import (
    MAX_BODY_BYTES,
    CheckedSocket,
    ResponseMemory,
)

_JSON_HEADERS = {"Content-Type": "application/json"}
_HTTP_ERRORS = (OSError, http.client.HTTPException, ValueError)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpFailure:
    """A request that got no response.

    Attributes:
        message: Description of the failure.
        sent: Whether part of the request may have been sent.
        timed_out: Whether the request timed out, rather than failing with a
            connection error. Only `JsonHttpClient` sets it.
    """

    message: str
    sent: bool
    timed_out: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """An HTTP response.

    Attributes:
        status: Status code.
        body: Body as bytes.
        headers: Header names and values, in order.
    """

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()

    def json(self) -> Any:
        """Returns the body parsed as JSON.

        Raises:
            ValueError: If the body is not JSON.
        """
        return orjson.loads(self.body)


class _CheckedPool(ConnectionPool):
    """Connections whose responses are checked.

    Args:
        memory: Accounts for the bodies of all of them.
        host: IP address.
        port: Port.
        size: Maximum number of concurrent connections.
        timeout_s: Timeout for connecting and for each read.
    """

    def __init__(
        self,
        memory: ResponseMemory,
        host: str,
        port: int,
        size: int,
        timeout_s: float,
    ) -> None:
        super().__init__(
            host,
            port,
            host,
            port,
            size=size,
            connection_timeout=timeout_s,
            network_timeout=timeout_s,
        )
        self._memory = memory

    def return_socket(self, sock: CheckedSocket) -> None:
        """Keeps a connection, unless more than a response has arrived."""
        sock.give_back()
        if sock.reusable:
            super().return_socket(sock)
        else:
            self.release_socket(sock)

    def _create_tcp_socket(
        self, family: int, socktype: int, protocol: int
    ) -> CheckedSocket:
        return CheckedSocket(self._memory, family, socktype, protocol)


class _CheckedClient(HTTPClient):
    """Client whose connections check responses.

    Args:
        pool: Its connections.
        host: IP address.
        port: Port.
    """

    def __init__(self, pool: _CheckedPool, host: str, port: int) -> None:
        super().__init__(host, port)
        self._connection_pool = pool


class JsonHttpClient:
    """A keep-alive HTTP client for one address.

    Args:
        host: IP address.
        port: Port.
        timeout_ms: Timeout for connecting and for each read.
        connections: Maximum number of concurrent connections.
        memory: Accounts for the bodies of responses; by default, with twice
            the limit on one body.
    """

    def __init__(
        self,
        host: str,
        port: int,
        timeout_ms: int,
        connections: int = 4,
        memory: ResponseMemory | None = None,
    ) -> None:
        pool = _CheckedPool(
            memory or ResponseMemory(2 * MAX_BODY_BYTES),
            host,
            port,
            connections,
            timeout_ms / 1000,
        )
        self._client = _CheckedClient(pool, host, port)

    def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> HttpResponse | HttpFailure:
        """Sends a request and returns its response.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Bytes, or a dictionary or list to send as JSON.
            headers: Header names and values.
        """
        data = body if isinstance(body, bytes) else b""
        sent_headers = dict(headers or {})
        if isinstance(body, (dict, list)):
            data = orjson.dumps(body)
            sent_headers.update(_JSON_HEADERS)
        try:
            response = self._client.request(
                method, path, body=data, headers=sent_headers
            )
            content = bytes(response.read())
            fields = tuple((str(k), str(v)) for k, v in response.items())
            return HttpResponse(response.status_code, content, fields)
        except ConnectionRefusedError as error:
            return HttpFailure(str(error), sent=False)
        except (OSError, HTTPParseError, ValueError) as error:
            return HttpFailure(
                _format_error(error),
                sent=True,
                timed_out=isinstance(error, TimeoutError),
            )

    def close(self) -> None:
        """Closes every connection."""
        self._client.close()


def request_once(
    host: str,
    port: int,
    timeout_ms: int,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
    may_send: Callable[[], bool],
    memory: ResponseMemory | None = None,
) -> HttpResponse | HttpFailure:
    """Sends a request at most once, over a connection of its own.

    `JsonHttpClient` resends a PUT or DELETE by itself when a keep-alive
    connection breaks, so that a service may execute it twice. This function
    opens a new connection, which can't be a stale keep-alive connection, and
    `http.client` never resends.

    Args:
        host: IP address.
        port: Port.
        timeout_ms: Timeout for connecting and for each read.
        method: HTTP method.
        path: Path and query.
        body: Body as bytes.
        headers: Header names and values.
        may_send: Called when the connection is open, right before the first
            byte is sent. The request is sent only if it returns True.
        memory: Accounts for the body of the response; by default, with the
            limit on one body.
    """
    connection = http.client.HTTPConnection(host, port, timeout_ms / 1000)
    try:
        connection.sock = _connect(
            memory or ResponseMemory(MAX_BODY_BYTES),
            (host, port),
            timeout_ms / 1000,
        )
    except _HTTP_ERRORS as error:
        connection.close()
        return HttpFailure(_format_error(error), sent=False)
    try:
        if not may_send():
            return HttpFailure("the time to call has passed", sent=False)
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        content = response.read()
        return HttpResponse(
            response.status, content, tuple(response.getheaders())
        )
    except _HTTP_ERRORS as error:
        return HttpFailure(_format_error(error), sent=True)
    finally:
        connection.close()


def _connect(
    memory: ResponseMemory, address: tuple[str, int], timeout_s: float
) -> CheckedSocket:
    """Returns a connected socket, which sends without delay."""
    sock = CheckedSocket(memory)
    try:
        sock.settimeout(timeout_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.connect(address)
    except BaseException:
        sock.close()
        raise
    return sock


def _format_error(error: Exception) -> str:
    return str(error) or type(error).__name__
