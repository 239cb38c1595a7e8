"""TCP relay that emulates network faults between two processes.

The relay reads the name of the connecting process from its hello message. It
can refuse, reset or silence the connections of that process, and delay all
traffic.
"""

from gevent import monkey

monkey.patch_all()

import argparse
import socket
import struct
from typing import Any

import attrs
import falcon
import gevent
from gevent import server

from caroblug.gen.wire import ttypes as wire
from caroblug.transport import _framing as framing
from standins._serve import HOST, make_app, serve

_LINGER_0 = struct.pack("ii", 1, 0)
_ALL = "*"


@attrs.define(eq=False)
class _RelayedConnection:
    """A client's connection and the matching connection to the target.

    Attributes:
        name: Instance name of the client.
        client_sock: Socket to the client.
        target_sock: Socket to the target.
        silent: Whether the relay forwards no more data on this connection,
            which stays open.
    """

    name: str
    client_sock: socket.socket
    target_sock: socket.socket
    silent: bool = False

    def reset(self) -> None:
        """Resets both sockets."""
        for sock in (self.client_sock, self.target_sock):
            _reset(sock)


class Relay:
    """Forwards bytes between clients and one target.

    Args:
        target: Port of the target on loopback.
    """

    def __init__(self, target: int) -> None:
        self.target = target
        self.delay_ms = 0.0
        self.cut: set[str] = set()
        self._connections: list[_RelayedConnection] = []

    def client_names(self) -> list[str]:
        """Returns the names of the clients with an open connection."""
        return sorted({connection.name for connection in self._connections})

    def matching_connections(self, name: str) -> list[_RelayedConnection]:
        """Returns the connections of one client, or all for `*`."""
        return [p for p in self._connections if name in (_ALL, p.name)]

    def accept(self, client_sock: socket.socket, address: Any) -> None:
        """Serves one connection until both directions have ended.

        Args:
            client_sock: Socket to the client.
            address: Address of the client; ignored.
        """
        del address
        received = framing.read_payload(client_sock)
        if received is None:
            client_sock.close()
            return
        name = framing.decode(wire.Hello, received[0]).instance
        if name in self.cut or _ALL in self.cut:
            _reset(client_sock)
            return
        target_sock = socket.create_connection((HOST, self.target))
        for sock in (client_sock, target_sock):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _RelayedConnection(name, client_sock, target_sock)
        self._connections.append(connection)
        target_sock.sendall(framing.pack_payload(*received))
        backward = gevent.spawn(
            self._forward, connection, target_sock, client_sock
        )
        self._forward(connection, client_sock, target_sock)
        backward.join()
        self._connections.remove(connection)
        client_sock.close()
        target_sock.close()

    def _forward(
        self,
        connection: _RelayedConnection,
        source: socket.socket,
        sink: socket.socket,
    ) -> None:
        try:
            while True:
                data = source.recv(1 << 16)
                if connection.silent:
                    gevent.sleep(3600)
                if not data:
                    break
                if self.delay_ms:
                    gevent.sleep(self.delay_ms / 1000)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            connection.reset()


def _reset(sock: socket.socket) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_0)
    except OSError:
        return
    sock.close()


class _ControlResource:
    """Sets faults for tests: `cut`, `heal`, `reset`, `silence`, `delay_ms`.

    `cut` resets the connections of a client and refuses new ones until
    `heal`. All keys but `delay_ms` take the name of a client, or `*`.
    """

    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    def on_post(self, request: falcon.Request, response: falcon.Response):
        body = request.get_media()
        relay = self._relay
        if "cut" in body:
            relay.cut.add(body["cut"])
        if "heal" in body:
            relay.cut.discard(body["heal"])
        for connection in relay.matching_connections(body.get("silence", "")):
            connection.silent = True
        for order in ("cut", "reset"):
            for connection in relay.matching_connections(body.get(order, "")):
                connection.reset()
        if "delay_ms" in body:
            relay.delay_ms = float(body["delay_ms"])
        response.media = {}

    def on_get(self, request: falcon.Request, response: falcon.Response):
        del request
        response.media = {"names": self._relay.client_names()}


def main() -> None:
    """Parses the command line and serves."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--listen", type=int, required=True)
    parser.add_argument("--target", type=int, required=True)
    options = parser.parse_args()
    relay = Relay(options.target)
    listener = server.StreamServer((HOST, options.listen), relay.accept)
    listener.start()
    app = make_app()
    app.add_route("/control", _ControlResource(relay))
    serve(app, options.port)


if __name__ == "__main__":
    main()
