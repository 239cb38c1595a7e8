"""Server whose response to each request is set by the test."""

import gevent
from gevent import server

from caroblug.gateway import format_request

HEAD_END = b"\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s"


def make_read(target: str = "/-/report") -> bytes:
    """Returns a request that leaves its connection open."""
    return format_request("GET", target, [("Host", "h")])


def make_response(body: bytes, *headers: bytes) -> bytes:
    """Returns the bytes of a response with a length."""
    lines = b"".join(header + b"\r\n" for header in headers)
    return OK % (len(body), lines, body)


class ScriptedServer:
    """A server on a free port that records connections and requests.

    Attributes:
        connections: Number of connections that it has accepted.
        requests: Number of requests by connection, counted from 1.
        respond: Called with the socket, the number of the connection and the
            number of the request on it; sends the response. It returns False to
            close the connection.
    """

    def __init__(self, respond=None) -> None:
        self.connections = 0
        self.requests: dict[int, int] = {}
        self.respond = respond or self.send_number
        self.sockets: list = []
        self._server = server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = ("127.0.0.1", self._server.address[1])

    def send_number(self, sock, connection: int, request: int) -> None:
        """Sends the number of the connection and that of the request."""
        sock.sendall(make_response(b"%d.%d" % (connection, request)))

    def wait_for_connections(self, count: int) -> None:
        """Waits until the server has accepted a number of connections."""
        while len(self.sockets) < count:
            gevent.sleep(0.001)

    def close_connections(self) -> None:
        """Closes all open connections."""
        for sock in self.sockets:
            sock.close()
        self.sockets.clear()
        gevent.sleep(0.01)

    def stop(self) -> None:
        """Ends like a process: nothing listens and no connection is left."""
        self._server.stop(timeout=0)
        self.close_connections()

    def restart(self) -> None:
        """Listens on the same address again."""
        self._server = server.StreamServer(self.address, self._serve)
        self._server.start()

    def _serve(self, sock, peer) -> None:
        del peer
        self.connections += 1
        number = self.connections
        self.sockets.append(sock)
        data = b""
        try:
            while True:
                received = sock.recv(65536)
                if not received:
                    break
                data += received
                while HEAD_END in data:
                    _, _, data = data.partition(HEAD_END)
                    count = self.requests.get(number, 0) + 1
                    self.requests[number] = count
                    if self.respond(sock, number, count) is False:
                        return
        except OSError:
            return
        finally:
            sock.close()
