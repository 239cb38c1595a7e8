"""Server that answers with bytes set by the test, and ends as it says."""

import enum
import struct

import gevent
from gevent import server, socket

_READ_BYTES = 20_000
"""What is read of a request that is longer."""

_REPORT = (
    b'{"Layers": {"From": 0, "Target": 16, "Version": 1}, "Seq": 1, "born": 1}'
)


class End(enum.Enum):
    """How the connection ends after the answer.

    With `CLOSE`, a request that has not been read is reset by the kernel. With
    `FINISH`, the server says that it has sent everything, and then closes.
    With `DRAIN`, it reads the whole request before.
    """

    CLOSE = "close"
    RESET = "reset"
    FINISH = "finish"
    DRAIN = "drain"
    OPEN = "open"


class RawServer:
    """A server on a free port.

    Reports are sound, so that its process counts as alive.

    Args:
        answer: Bytes that it sends for each request.
        end: How it ends the connection.
        stops: Whether it listens no more once it has answered.

    Attributes:
        requests: Number of requests that it has answered.
    """

    def __init__(
        self, answer: bytes, end: End = End.OPEN, stops: bool = False
    ) -> None:
        self._answer = answer
        self._stops = stops
        self._end = end
        self.requests = 0
        self._server = server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = ("127.0.0.1", self._server.address[1])

    def stop(self) -> None:
        """Stops to listen."""
        self._server.stop(timeout=0)

    def _serve(self, sock, peer) -> None:
        del peer
        try:
            request = sock.recv(_READ_BYTES, socket.MSG_PEEK)
            if not request:
                return
            if request.startswith(b"GET /-/report "):
                sock.sendall(
                    b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (len(_REPORT), _REPORT)
                )
                return
            self.requests += 1
            self._read(sock)
            if self._stops:
                self._server.close()
            sock.sendall(self._answer)
            self._finish(sock)
        except OSError:
            return
        finally:
            sock.close()

    def _read(self, sock) -> None:
        """Reads the head of a request and a part of a long body."""
        received = b""
        while b"\r\n\r\n" not in received:
            received += self._receive(sock, _READ_BYTES)
        head, _, body = received.partition(b"\r\n\r\n")
        wanted = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                wanted = int(line.partition(b":")[2])
        if self._end is not End.DRAIN:
            wanted = min(wanted, _READ_BYTES)
        count = len(body)
        while count < wanted:
            count += len(self._receive(sock, min(65536, wanted - count)))

    def _receive(self, sock, size: int) -> bytes:
        data = sock.recv(size)
        if not data:
            raise ConnectionError("the client has closed the connection")
        return data

    def _finish(self, sock) -> None:
        if self._end is End.RESET:
            no_linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
        elif self._end in (End.FINISH, End.DRAIN):
            sock.shutdown(socket.SHUT_WR)
            gevent.sleep(0.02)
        elif self._end is End.OPEN:
            gevent.sleep(60)
