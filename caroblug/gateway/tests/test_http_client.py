"""Tests of the HTTP client."""

import gevent
from gevent import server

from caroblug.gateway import ExchangeFailure, fetch, format_request
from caroblug.gateway._exchange_results import FailureKind


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
