"""Tests of keep-alive, idle and closing connections."""

import gevent
import pytest
from gevent import socket

from caroblug.core.access import RequestLimits
from caroblug.gateway._http_server import Connection
from caroblug.utils import ManualClock

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


@pytest.fixture
def keep_alive():
    """Yields an open connection, the caller's socket, and the clock."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    caller = socket.create_connection(listener.getsockname())
    accepted, _ = listener.accept()
    clock = ManualClock(100_000)
    connection = Connection(
        accepted,
        lambda request, reply: reply.send(200, [], b"served"),
        RequestLimits,
        clock,
        lambda: False,
    )
    yield connection, caller, clock
    caller.close()
    listener.close()


def serve(connection):
    return gevent.spawn(connection.serve)


def test_request_received_while_the_process_was_suspended_is_served(keep_alive):
    # Guards against a reset of a request that arrived before the suspended
    # process found the idle timeout expired.
    connection, caller, clock = keep_alive
    caller.sendall(REQUEST)
    clock.advance(RequestLimits().idle_ms + 1000)

    connection._check_timeouts()
    serve(connection)

    assert caller.recv(1000).endswith(b"served")


def test_headers_received_while_the_process_was_suspended_are_accepted(
    keep_alive,
):
    # Guards against status 408 for a caller that was on time while the gateway
    # was suspended.
    connection, caller, clock = keep_alive
    connection._feed(REQUEST[:9])
    caller.sendall(REQUEST[9:])
    clock.advance(RequestLimits().header_ms + 1000)

    connection._check_timeouts()
    serve(connection)

    assert caller.recv(1000).endswith(b"served")


def test_connection_with_an_unread_request_is_not_idle(keep_alive):
    # Guards against draining that resets a request which has just arrived.
    connection, caller, _ = keep_alive
    assert connection.idle

    caller.sendall(REQUEST)

    assert not connection.idle


def test_idle_connection_is_closed_after_its_timeout(keep_alive):
    connection, caller, clock = keep_alive
    clock.advance(RequestLimits().idle_ms + 1000)

    connection._check_timeouts()
    serve(connection)

    assert caller.recv(1000) == b""


def read_all(caller) -> bytes:
    caller.settimeout(5)
    data = b""
    while chunk := caller.recv(1000):
        data += chunk
    return data


def test_request_whose_handler_fails_is_answered_and_its_connection_ends(
    keep_alive,
):
    # Guards against a caller that waits for an answer until its deadline.
    connection, caller, _ = keep_alive

    def fail(request, reply):
        raise OverflowError

    connection._handler = fail
    caller.sendall(REQUEST)
    serve(connection)
    answer = read_all(caller)

    assert answer.startswith(b"HTTP/1.1 500 ")
    assert b"Connection: close" in answer


def test_response_that_an_error_cuts_short_does_not_look_complete(keep_alive):
    # Guards against half an answer that a caller takes for the whole one.
    connection, caller, _ = keep_alive

    def fail(request, reply):
        reply.begin(200, [])
        reply.send_chunk(b"half")
        raise OverflowError

    connection._handler = fail
    caller.sendall(REQUEST)
    serve(connection)
    answer = read_all(caller)

    assert answer.endswith(b"half\r\n")
    assert answer.count(b"HTTP/1.1") == 1
