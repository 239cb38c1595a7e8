"""Responses to callers, and refusals of requests that aren't complete."""

import abc
from collections.abc import Callable

from caroblug.gateway._caller_requests import RawRequest

_WRITE_TIMEOUT_S = 5.0
"""Timeout for writing to a caller that doesn't read its response."""

_LARGE_WRITE_BYTES = 16384
"""Size from which a response that is being written is accounted for. Smaller
ones are part of what a running request is taken for."""

_OVERLOAD_RETRY_AFTER_S = 1

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


class ShutdownError(Exception):
    """The process exits before the request is answered."""


class Reply:
    """Writer of the response to one request, which is sent once.

    Args:
        sock: Socket of the caller's connection.
        request: The request.
        closing: Function that returns whether to close the connection after
            the response; called when the response begins.
        on_unsent: Called with the size of a large part of the response that is
            about to be written, and with 0 afterwards.
        timeout_s: Timeout of each write.
    """

    def __init__(
        self,
        sock,
        request: RawRequest,
        closing: Callable[[], bool],
        on_unsent: Callable[[int], None] = lambda unsent_bytes: None,
        timeout_s: float = _WRITE_TIMEOUT_S,
    ) -> None:
        self._socket = sock
        self._on_unsent = on_unsent
        self._timeout_s = timeout_s
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
        if self._bodiless:
            self._write(data)
        elif len(body) < _LARGE_WRITE_BYTES:
            self._write(data + body)
        else:
            self._write(data)
            self._write(body)
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
        large = len(data) >= _LARGE_WRITE_BYTES
        try:
            if large:
                self._on_unsent(len(data))
            self._socket.settimeout(self._timeout_s)
            self._socket.sendall(data)
        except OSError as error:
            self._keep_alive = False
            raise CallerDisconnectedError(str(error)) from error
        finally:
            if large:
                self._on_unsent(0)


class RequestScreen(abc.ABC):
    """Refuses requests before they are complete."""

    @abc.abstractmethod
    def refuse_known(self, head: RawRequest, reply: Reply) -> bool:
        """Refuses a request of which the head shows that it is not served.

        Returns:
            Whether it was refused.
        """

    @abc.abstractmethod
    def refuse_overload(self, head: RawRequest, reply: Reply) -> None:
        """Refuses a request for which the process has no memory left.

        Args:
            head: The request as far as it is known; it has not run.
            reply: Writer of the response.
        """


class OpenScreen(RequestScreen):
    """Refuses nothing by its head."""

    def refuse_known(self, head: RawRequest, reply: Reply) -> bool:
        del head, reply
        return False

    def refuse_overload(self, head: RawRequest, reply: Reply) -> None:
        del head
        retry_after = ("Retry-After", str(_OVERLOAD_RETRY_AFTER_S))
        reply.send(503, [retry_after], b"out of memory")
