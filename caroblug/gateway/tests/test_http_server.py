"""Tests of keep-alive, idle and closing connections."""

import contextlib

import gevent
import pytest
from gevent import event, socket

from caroblug.caller_resources import CallerResources
from caroblug.core.access import RequestLimits
from caroblug.core.limits import ResourceBounds
from caroblug.gateway._http_server import Connection
from caroblug.gateway._responses import RequestScreen
from caroblug.utils import ManualClock

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


@contextlib.contextmanager
def open_connection(limits, **more):
    """Provides an open connection, the caller's socket, and the clock."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    caller = socket.create_connection(listener.getsockname())
    accepted, _ = listener.accept()
    clock = ManualClock(100_000)
    connection = Connection(
        accepted,
        lambda request, reply: reply.send(200, [], b"served"),
        limits,
        clock,
        lambda: False,
        **more,
    )
    yield connection, caller, clock
    caller.close()
    listener.close()


@pytest.fixture
def keep_alive():
    """Yields an open connection, the caller's socket, and the clock."""
    with open_connection(RequestLimits) as opened:
        yield opened


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


def post(size):
    head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
    return head % size + b"x" * size


def exchange(caller, data):
    caller.sendall(data)
    return caller.recv(1000)


def test_open_connection_follows_larger_limits():
    # Guards against requests denied by limits that are no longer in force.
    limits = [RequestLimits(header_bytes=100, body_bytes=10)]
    padding = b"GET /x HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 2000
    with open_connection(lambda: limits[0]) as (connection, caller, _):
        serve(connection)
        assert exchange(caller, post(10)).endswith(b"served")

        limits[0] = RequestLimits(header_bytes=4000, body_bytes=1000)

        assert exchange(caller, post(1000)).endswith(b"served")
        assert exchange(caller, padding + b"\r\n\r\n").endswith(b"served")


def test_open_connection_follows_smaller_limits():
    # Guards against limits that long-lived connections never obey.
    limits = [RequestLimits(body_bytes=1000)]
    with open_connection(lambda: limits[0]) as (connection, caller, _):
        serve(connection)
        assert exchange(caller, post(1000)).endswith(b"served")

        limits[0] = RequestLimits(body_bytes=10)

        assert exchange(caller, post(1000)).startswith(b"HTTP/1.1 413 ")


def test_request_that_begins_before_the_limits_shrink_is_served():
    # Guards against a denial of what was allowed as the caller sent it.
    limits = [RequestLimits(body_bytes=1000)]
    with open_connection(lambda: limits[0]) as (connection, caller, _):
        connection._feed(post(1000)[:500])
        limits[0] = RequestLimits(body_bytes=10)
        serve(connection)

        assert exchange(caller, post(1000)[500:]).endswith(b"served")


def test_response_that_begins_while_draining_ends_its_connection(keep_alive):
    # Guards against a request on a connection that the drain is about to close.
    connection, caller, _ = keep_alive
    closing = [False]
    connection._closing = lambda: closing[0]

    def begin_to_drain(request, reply):
        closing[0] = True
        reply.send(200, [], b"served")

    connection._handler = begin_to_drain
    caller.sendall(REQUEST)
    serve(connection)

    assert b"Connection: close" in read_all(caller)


def test_requests_behind_a_slow_one_wait_unread(keep_alive):
    # Guards against requests that are kept in memory long before their turn.
    connection, caller, _ = keep_alive
    go_on = event.Event()
    served = []

    def handle(request, reply):
        served.append(request.target)
        go_on.wait()
        reply.send(200, [], request.target.encode())

    connection._handler = handle
    serve(connection)
    for number in range(3000):
        caller.sendall(REQUEST.replace(b"/x", b"/%d" % number))
        if number % 100 == 0:
            gevent.sleep(0)
    gevent.sleep(0.05)
    held_bytes = connection._resources.held.held_bytes
    go_on.set()
    caller.shutdown(socket.SHUT_WR)
    answers = read_all(caller)

    assert held_bytes < 200_000
    assert served == [f"/{number}" for number in range(len(served))]
    assert answers.startswith(b"HTTP/1.1 200 ")


def test_caller_that_leaves_behind_unread_data_stops_its_request(keep_alive):
    # Guards against work for a closed connection whose unread data hides it.
    connection, caller, _ = keep_alive
    ended = event.Event()

    def handle(request, reply):
        try:
            gevent.sleep(60)
        finally:
            ended.set()

    connection._handler = handle
    serve(connection)
    caller.sendall(REQUEST)
    gevent.sleep(0.01)
    caller.sendall(REQUEST * 3)
    gevent.sleep(0.01)
    caller.close()

    assert ended.wait(10)


def test_connection_that_takes_too_much_is_refused():
    # Guards against a promise that an evicted request has not run, unkept.
    resources = CallerResources(
        ManualClock(100_000), lambda: ResourceBounds(100_000, 10)
    )
    with open_connection(RequestLimits, resources=resources) as opened:
        connection, caller, _ = opened
        serve(connection)
        caller.sendall(b"POST /x HTTP/1.1\r\nContent-Length: 200000\r\n\r\n")
        caller.sendall(b"x" * 150_000)
        answer = read_all(caller)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: " in answer
    assert b"Connection: close" in answer


class _RefuseAll(RequestScreen):
    def refuse_known(self, head, reply):
        reply.send(401, [], b"")
        return True

    def refuse_overload(self, head, reply):
        raise NotImplementedError


def test_request_that_is_known_to_be_refused_is_not_read():
    # Guards against bodies that are received for nothing.
    with open_connection(RequestLimits, screen=_RefuseAll()) as opened:
        connection, caller, _ = opened
        serve(connection)
        caller.sendall(
            b"POST /x HTTP/1.1\r\nExpect: 100-continue\r\n"
            b"Content-Length: 200000\r\n\r\n"
        )
        assert read_all(caller).startswith(b"HTTP/1.1 401 ")


def test_endless_sender_leaves_turns_to_others():
    # Guards against a connection that is read without a pause.
    limits = RequestLimits(body_bytes=1 << 50)
    pieces = [b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"]
    with open_connection(lambda: limits) as opened:
        connection, _, _ = opened
        connection._receive = lambda: pieces.pop() if pieces else b"1\r\nx\r\n"
        greenlet = serve(connection)
        for _ in range(3):
            gevent.sleep(0)
        assert not greenlet.dead
        greenlet.kill()


def test_connections_beyond_the_bound_close_the_oldest():
    # Guards against newcomers that find no place beside idle connections.
    clock = ManualClock(100_000)
    resources = CallerResources(clock, lambda: ResourceBounds(10**9, 2))
    with contextlib.ExitStack() as stack:
        callers = []
        for _ in range(4):
            opened = stack.enter_context(
                open_connection(RequestLimits, resources=resources)
            )
            serve(opened[0])
            callers.append(opened[1])
            clock.advance(10)
        gevent.sleep(0.01)
        assert resources.held.connections == 2
        assert [read_all(caller) for caller in callers[:2]] == [b"", b""]
        callers[3].sendall(REQUEST)
        assert callers[3].recv(1000).endswith(b"served")


def test_requests_that_wait_count_with_their_objects(keep_alive):
    # Guards against tiny requests that take many times their bytes.
    connection, _, _ = keep_alive
    connection._handler = lambda request, reply: gevent.sleep(60)
    before = connection._resources.held.held_bytes

    connection._feed(b"GET / HTTP/1.1\r\n\r\n" * 400)
    gevent.sleep(0)

    taken = connection._resources.held.held_bytes - before
    assert taken > 400 * 400
    assert not connection._holding.pinned
    connection.close()
