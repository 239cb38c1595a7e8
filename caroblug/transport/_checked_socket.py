"""Sockets whose HTTP responses are checked before a library parses them."""

from gevent import socket

from caroblug.connection_state import has_peer_received_all
from caroblug.core.responses import MalformedResponse, ResponseFilter
from caroblug.utils import MonotonicClock

MAX_BODY_BYTES = 16 << 20
"""Limit on a body: what one frame between instances can hold."""

_MAX_HEAD_BYTES = 65_536
_MAX_FRAMING_RATIO = 16
"""Limit on the bytes of chunk sizes and trailers beyond `_MAX_HEAD_BYTES`, for
each byte of the body. A chunk of one byte has five of them."""

_MAX_WAITS = 12
"""Bound on a whole response, as a multiple of the timeout of each wait."""

_MS_PER_S = 1000
_HEAD_METHOD = b"HEAD "
_CLOCK = MonotonicClock()


class ResponseError(ValueError):
    """Raised for a response that is broken, incomplete or too long.

    Libraries send a request again after some errors of their own or of the
    connection, but not after this one.
    """


class ResponseMemory:
    """Memory of the bodies that are being received.

    Args:
        max_bytes: Limit on all of them together.
        max_body_bytes: Limit on each.
    """

    def __init__(
        self, max_bytes: int, max_body_bytes: int = MAX_BODY_BYTES
    ) -> None:
        self._max_bytes = max_bytes
        self._max_body_bytes = max_body_bytes
        self._held_bytes = 0

    def hold(self, before_bytes: int, size_bytes: int) -> None:
        """Changes what one body takes.

        Args:
            before_bytes: What it took before.
            size_bytes: What it takes now; 0 gives all of it back.

        Raises:
            ResponseError: If that exceeds a limit.
        """
        self._held_bytes += size_bytes - before_bytes
        if size_bytes > self._max_body_bytes:
            raise ResponseError(f"body is over {self._max_body_bytes} bytes")
        if size_bytes > before_bytes and self._held_bytes > self._max_bytes:
            raise ResponseError(
                f"responses take over {self._max_bytes} bytes together"
            )


class CheckedSocket(socket.socket):
    """A client's socket that passes on only sound responses.

    Args:
        memory: Accounts for the bodies.
        family: As for `socket.socket`.
        kind: As for `socket.socket`.
        protocol: As for `socket.socket`.
    """

    def __init__(
        self,
        memory: ResponseMemory,
        family: int = socket.AF_INET,
        kind: int = socket.SOCK_STREAM,
        protocol: int = 0,
    ) -> None:
        super().__init__(family, kind, protocol)
        self._memory = memory
        self._held_bytes = 0
        self._filter = ResponseFilter()
        self._passed = b""
        self._requests = 0
        self._sent_in_full = True
        self._end_ms = 0

    @property
    def reusable(self) -> bool:
        """Whether exactly one response has arrived for each request."""
        return self._filter.is_exact

    def sendall(self, data, flags: int = 0) -> None:
        """Sends a request, or a part of it."""
        self._begin(data)
        try:
            super().sendall(data, flags)
        except OSError:
            self._sent_in_full = False
            raise

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Returns checked bytes of the response; none at its end.

        Raises:
            ResponseError: If the response is broken or too long.
            TimeoutError: If it takes too long as a whole.
        """
        while not self._passed and not self._filter.ended:
            data = super().recv(size, flags)
            if not data:
                self._check_end()
                return b""
            passed = self._filter.feed(data)
            if isinstance(passed, MalformedResponse):
                raise ResponseError(passed.message)
            self._check_limits()
            self._passed = passed
        passed, self._passed = self._passed[:size], self._passed[size:]
        return passed

    def recv_into(self, buffer, nbytes: int = 0, flags: int = 0) -> int:
        """Reads checked bytes of the response into a buffer."""
        data = self.recv(nbytes or len(buffer), flags)
        buffer[: len(data)] = data
        return len(data)

    def give_back(self) -> None:
        """Gives back the memory of a response that has been read."""
        held_bytes, self._held_bytes = self._held_bytes, 0
        self._memory.hold(held_bytes, 0)

    def close(self) -> None:
        """Closes the connection."""
        self.give_back()
        super().close()

    def _begin(self, data) -> None:
        """Resets the state of the response before the first byte is sent."""
        if self._requests and not self._filter.received:
            return
        self.give_back()
        self._requests += 1
        self._filter = ResponseFilter(
            bytes(data[: len(_HEAD_METHOD)]) == _HEAD_METHOD
        )
        self._passed = b""
        self._sent_in_full = True
        wait_ms = (self.gettimeout() or 0.0) * _MS_PER_S
        self._end_ms = _CLOCK.now_ms() + wait_ms * _MAX_WAITS

    def _check_limits(self) -> None:
        if self._filter.ended:
            return
        body_bytes = self._filter.body_bytes
        # Libraries take memory for what is announced.
        held_bytes = self._filter.announced_bytes
        before_bytes, self._held_bytes = self._held_bytes, held_bytes
        self._memory.hold(before_bytes, held_bytes)
        max_framing_bytes = _MAX_HEAD_BYTES + body_bytes * _MAX_FRAMING_RATIO
        if self._filter.framing_bytes > max_framing_bytes:
            raise ResponseError(
                f"head or chunk sizes are over {max_framing_bytes} bytes"
            )
        if self.gettimeout() and _CLOCK.now_ms() > self._end_ms:
            raise TimeoutError("response takes too long")

    def _check_end(self) -> None:
        """Checks what the peer had sent before it closed the connection."""
        if self._requests > 1 and not self._filter.received:
            # The peer closed an idle connection, as it may.
            return
        problem = self._filter.close()
        if problem is not None:
            raise ResponseError(problem.message)
        if not self._sent_in_full or not has_peer_received_all(self):
            raise ResponseError("connection ended before the request was read")
