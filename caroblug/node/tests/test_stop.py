"""Tests of the last connections before a server stops."""

import socket

import falcon
import gevent
import pytest

from caroblug.caller_resources import CallerResources
from caroblug.core.access import RequestLimits
from caroblug.gateway._http_server import HttpServer
from caroblug.node import NodeHttpServer
from caroblug.utils import MonotonicClock

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
CONNECTIONS = 50
"""More than a server accepts at once."""


class _Resource:
    def on_get(self, request, response):
        response.text = "served"


def make_node_server():
    app = falcon.App()
    app.add_route("/x", _Resource())
    server = NodeHttpServer(
        "127.0.0.1", 0, app, CallerResources(MonotonicClock())
    )
    server.start()
    return server._server.server_port, server.stop


def make_gateway_server():
    server = HttpServer(
        ("127.0.0.1", 0),
        lambda request, reply: reply.send(200, [], b"served"),
        RequestLimits,
        MonotonicClock(),
    )
    server.start()

    def stop():
        server.stop_listening()
        gevent.sleep(0.2)

    return server.address[1], stop


@pytest.mark.parametrize("make", [make_node_server, make_gateway_server])
def test_connections_that_wait_to_be_accepted_are_served(make):
    # Guards against requests that are reset as the listening socket closes.
    port, stop = make()
    callers = [
        socket.create_connection(("127.0.0.1", port))
        for _ in range(CONNECTIONS)
    ]
    for caller in callers:
        caller.sendall(REQUEST)

    stop()

    for caller in callers:
        caller.settimeout(5)
        assert caller.recv(65536).startswith(b"HTTP/1.1 200 ")
        caller.close()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", port))
