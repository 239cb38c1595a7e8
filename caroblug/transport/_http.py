"""JSON over HTTP to the systems outside, with a bounded time."""

import dataclasses
import http.client
from collections.abc import Callable
from typing import Any

import orjson
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

_JSON_HEADERS = {"Content-Type": "application/json"}
_HttpErrors = (OSError, http.client.HTTPException, ValueError)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpFailure:
    """A call without an answer.

    Attributes:
        message: What was seen.
        sent: Whether any byte of the call may have left.
        timed_out: Whether the other end stayed silent, rather than gone.
    """

    message: str
    sent: bool
    timed_out: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """An answer.

    Attributes:
        status: HTTP status.
        body: Body bytes.
        headers: Header names and values, in order.
    """

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()

    def json(self) -> Any:
        """Returns the body parsed as JSON; raises ValueError."""
        return orjson.loads(self.body)


class JsonHttpClient:
    """A keep-alive HTTP client for one address.

    Args:
        host: IP address.
        port: Port.
        timeout_ms: Bound on connecting and on each wait for bytes.
        connections: Connections kept open.
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
        """Makes one call; a dictionary or list is sent as JSON."""
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
                _describe(error),
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
    """Makes one call over a connection of its own; sends it once at most.

    Guards against a hidden resend: `JsonHttpClient` sends a PUT or DELETE
    again by itself when a kept connection breaks, so that a service that has
    run it runs it twice. A new connection is never a broken kept one, and
    http.client sends nothing again.

    Args:
        host: IP address.
        port: Port.
        timeout_ms: Bound on connecting and on each wait for bytes.
        method: HTTP method.
        path: Path and query.
        body: Body bytes.
        headers: Header names and values.
        may_send: Asked once the connection is open, right before the first
            byte leaves.
    """
    connection = http.client.HTTPConnection(host, port, timeout_ms / 1000)
    try:
        connection.connect()
    except _HttpErrors as error:
        connection.close()
        return HttpFailure(_describe(error), sent=False)
    try:
        if not may_send():
            return HttpFailure("the time to call has passed", sent=False)
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        content = response.read()
        return HttpResponse(
            response.status, content, tuple(response.getheaders())
        )
    except _HttpErrors as error:
        return HttpFailure(_describe(error), sent=True)
    finally:
        connection.close()


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__
