"""Callers' connections that are kept, idle and ended."""

import gevent
import pytest
from gevent import socket

from caroblug.core.access import RequestLimits
from caroblug.gateway._http_server import Connection
from caroblug.utils import ManualClock

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


@pytest.fixture
def kept():
    """A connection that is kept, the caller's end of it, and the clock."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    far = socket.create_connection(listener.getsockname())
    near, _ = listener.accept()
    clock = ManualClock(100_000)
    connection = Connection(
        near,
        lambda request, reply: reply.send(200, [], b"served"),
        RequestLimits,
        clock,
        lambda: False,
    )
    yield connection, far, clock
    far.close()
    listener.close()


def serve(connection):
    return gevent.spawn(connection.serve)


def test_request_that_came_while_the_process_stood_still_is_served(kept):
    # Guards against a reset of a request that waits when idle time is over.
    connection, far, clock = kept
    far.sendall(REQUEST)
    clock.advance(RequestLimits().idle_ms + 1000)

    connection._check_times()
    serve(connection)

    assert far.recv(1000).endswith(b"served")


def test_headers_that_came_while_the_process_stood_still_are_taken(kept):
    # Guards against 408 for a caller who was not slow.
    connection, far, clock = kept
    connection._feed(REQUEST[:9])
    far.sendall(REQUEST[9:])
    clock.advance(RequestLimits().header_ms + 1000)

    connection._check_times()
    serve(connection)

    assert far.recv(1000).endswith(b"served")


def test_connection_with_a_waiting_request_is_not_idle(kept):
    # Guards against a drain that resets a request which has just arrived.
    connection, far, _ = kept
    assert connection.idle

    far.sendall(REQUEST)

    assert not connection.idle


def test_idle_connection_is_ended_when_its_time_is_over(kept):
    connection, far, clock = kept
    clock.advance(RequestLimits().idle_ms + 1000)

    connection._check_times()
    serve(connection)

    assert far.recv(1000) == b""
