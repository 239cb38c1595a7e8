"""Tests of connections that arrive while the program is starting."""

import socket

from caroblug import listening
from caroblug.core.access import RequestLimits
from caroblug.gateway._http_server import HttpServer
from caroblug.utils import MonotonicClock
from standins._ports import Ports

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


def make_server(address):
    return HttpServer(
        address,
        lambda request, reply: reply.send(200, [], b"served"),
        RequestLimits,
        MonotonicClock(),
    )


def test_caller_that_connected_before_the_server_started_is_answered():
    # Guards against refused connections while a gateway loads its modules.
    address = ("127.0.0.1", Ports().take())
    listening.open_listener(address)
    with socket.create_connection(address, timeout=5) as caller:
        caller.sendall(REQUEST)
        server = make_server(address)
        server.start()
        caller.setblocking(False)
        answer = _read(caller)

    assert b"200 OK" in answer
    assert answer.endswith(b"served")
    assert server.address == address
    server.stop_listening()


def test_server_opens_its_own_socket_if_none_was_held():
    server = make_server(("127.0.0.1", 0))
    server.start()

    assert listening.take_listener(server.address) is None
    assert server.address[1]
    server.stop_listening()


def test_caller_can_connect_before_the_server_answers():
    # Guards against refused connections just after a gateway reports that it is
    # ready.
    address = ("127.0.0.1", Ports().take())
    server = make_server(address)
    server.listen()
    with socket.create_connection(address, timeout=5) as caller:
        caller.sendall(REQUEST)
        server.start()
        caller.setblocking(False)
        answer = _read(caller)

    assert answer.endswith(b"served")
    server.stop_listening()


def _read(caller: socket.socket) -> bytes:
    from gevent import socket as cooperative

    with cooperative.socket(fileno=caller.detach()) as sock:
        sock.settimeout(5)
        answer = b""
        while piece := sock.recv(65536):
            answer += piece
    return answer
