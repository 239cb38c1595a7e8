"""HTTP clients with timeouts, for JSON requests to external systems."""

import dataclasses
import http.client
from collections.abc import Callable
from typing import Any

import orjson
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

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


class JsonHttpClient:
    """A keep-alive HTTP client for one address.

    Args:
        host: IP address.
        port: Port.
        timeout_ms: Timeout for connecting and for each read.
        connections: Maximum number of concurrent connections.
    """

    def __init__(
        self, host: str, port: int, timeout_ms: int, connections: int = 4
    ) -> None:
        self._client = HTTPClient(
            host,
            port,
            concurrency=connections,
            connection_timeout=timeout_ms / 1000,
            network_timeout=timeout_ms / 1000,
        )

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
    """
    connection = http.client.HTTPConnection(host, port, timeout_ms / 1000)
    try:
        connection.connect()
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


def _format_error(error: Exception) -> str:
    return str(error) or type(error).__name__
