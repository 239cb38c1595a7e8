"""Tests of the HTTP client."""

import struct

import gevent
import pytest
from gevent import event, server, socket

from caroblug.gateway import ExchangeFailure, fetch, format_request
from caroblug.gateway._exchange_results import FailureKind
from caroblug.gateway._http_client import Exchange


def test_response_that_trickles_in_without_end_times_out():
    # Guards against a response that arrives byte by byte, resets the timeout
    # of each read, and blocks the loop that waits for it forever.
    def trickle(sock, peer):
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
        while True:
            sock.sendall(b"x")
            gevent.sleep(0.005)

    listener = server.StreamServer(("127.0.0.1", 0), trickle)
    listener.start()
    request = format_request("GET", "/", [("Host", "h")])

    response = fetch(listener.address, request, timeout_s=0.02)

    assert response == ExchangeFailure(FailureKind.SILENT, sent=True)
    listener.stop(timeout=0)


def test_request_on_a_closed_connection_counts_as_not_sent():
    # Guards against a request that counts as possibly run although the peer
    # had reset the connection before the first byte.
    accepted = event.Event()

    def reset(sock, peer):
        no_linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
        sock.close()
        accepted.set()

    listener = server.StreamServer(("127.0.0.1", 0), reset)
    listener.start()
    exchange = Exchange(listener.address)
    assert exchange.connect(5) is None
    accepted.wait()
    gevent.sleep(0.05)

    problem = exchange.send((b"request",), 5)

    assert problem == ExchangeFailure(FailureKind.RESET, sent=False)
    listener.stop(timeout=0)


@pytest.mark.parametrize(
    "address",
    [
        ("127.0.0.1", 812000),
        ("127.0.0.1", -1),
        ("127.0.0.1", 10**30),
        ("a\0b", 80),
        ("a" * 300, 80),
        ("\ud800", 80),
        ("", 0),
    ],
)
def test_address_that_can_not_exist_is_a_failed_connect(address):
    # Guards against an address of a peer or server that ends its caller.
    response = fetch(address, b"GET / HTTP/1.1\r\n\r\n", timeout_s=0.2)

    assert isinstance(response, ExchangeFailure)
    assert not response.sent
