"""Calls over one new connection each."""

import gevent
from gevent import server

from caroblug.gateway import ExchangeFailure, fetch, format_request
from caroblug.gateway._exchange_results import FailureKind


def test_answer_that_comes_byte_by_byte_without_an_end_is_given_up():
    # Guards against loops that one trickling answer holds up for good.
    def trickle(sock, peer):
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
        while True:
            sock.sendall(b"x")
            gevent.sleep(0.005)

    listener = server.StreamServer(("127.0.0.1", 0), trickle)
    listener.start()
    request = format_request("GET", "/", [("Host", "h")])

    answer = fetch(listener.address, request, timeout_s=0.02)

    assert answer == ExchangeFailure(FailureKind.SILENT, sent=True)
    listener.stop(timeout=0)
