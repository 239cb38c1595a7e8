"""Tests of connections that are kept between requests."""

import gevent
import pytest
from gevent import event

from caroblug.gateway import ExchangeFailure, HttpResponse
from caroblug.gateway._exchange_results import FailureKind
from caroblug.gateway._kept_connections import KeptConnections
from caroblug.gateway.tests.scripted_server import (
    ScriptedServer,
    make_read,
    make_response,
)
from caroblug.utils import ManualClock, MonotonicClock

TIMEOUT_S = 1.0
SHORT_TIMEOUT_S = 0.1


class Bed:
    """A server and the kept connections to it."""

    def __init__(self, respond=None, clock=None) -> None:
        self.server = ScriptedServer(respond)
        self.connections = KeptConnections(clock or MonotonicClock())

    def fetch(self, target="/-/report", timeout_s=TIMEOUT_S, **more):
        return self.connections.fetch(
            self.server.address, make_read(target), timeout_s, **more
        )

    def body(self, **more) -> bytes:
        response = self.fetch(**more)
        assert isinstance(response, HttpResponse), response
        return response.body


@pytest.fixture
def make_bed():
    beds = []

    def make(respond=None, clock=None) -> Bed:
        beds.append(Bed(respond, clock))
        return beds[-1]

    yield make
    for bed in beds:
        bed.server.stop()


def test_requests_share_one_connection(make_bed):
    # Guards against a new connection for each report.
    bed = make_bed()

    assert [bed.body() for _ in range(10)] == [
        b"1.%d" % n for n in range(1, 11)
    ]


def test_chunked_responses_share_one_connection(make_bed):
    # Guards against a new connection for each report of unknown length.
    def respond(sock, connection, request):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        sock.sendall(head + b"1\r\n%d\r\n" % request)
        sock.sendall(b"0\r\n\r\n")

    bed = make_bed(respond)

    assert [bed.body() for _ in range(3)] == [b"1", b"2", b"3"]
    assert bed.server.connections == 1


def test_requests_at_the_same_time_share_one_connection(make_bed):
    # Guards against one connection for each stream of an engine that pauses.
    bed = make_bed()
    targets = [f"/{number}" for number in range(20)]

    jobs = [gevent.spawn(bed.body, target=target) for target in targets]
    gevent.joinall(jobs)

    assert bed.server.connections == 1
    assert sorted(job.value for job in jobs) == sorted(
        b"1.%d" % n for n in range(1, 21)
    )


def test_equal_requests_that_wait_are_sent_once(make_bed):
    # Guards against one report for each stream of an engine that pauses.
    bed = make_bed()

    jobs = [gevent.spawn(bed.body) for _ in range(20)]
    gevent.joinall(jobs)

    assert [job.value for job in jobs] == [b"1.1"] + [b"1.2"] * 19


def test_request_does_not_get_a_response_that_began_before_it(make_bed):
    # Guards against layers placed by a report from before the latest order.
    sent = event.Event()
    reached = event.Event()

    def respond(sock, connection, request):
        reached.set()
        sent.wait()
        bed.server.send_number(sock, connection, request)

    bed = make_bed(respond)
    first = gevent.spawn(bed.body)
    reached.wait()
    second = gevent.spawn(bed.body)
    gevent.sleep(0)
    sent.set()

    assert (first.get(), second.get()) == (b"1.1", b"1.2")


def test_reader_that_was_ended_leaves_no_response_behind(make_bed):
    # Guards against the response to a caller that left, read by the next one.
    reached = event.Event()
    sent = event.Event()

    def respond(sock, connection, request):
        if connection == 1:
            reached.set()
            sent.wait()
        bed.server.send_number(sock, connection, request)

    bed = make_bed(respond)
    first = gevent.spawn(bed.fetch)
    reached.wait()
    waiting = gevent.spawn(bed.body)
    gevent.sleep(0)
    first.kill()
    sent.set()

    assert waiting.get() == b"2.1"
    assert bed.body() == b"2.2"


def test_equal_requests_survive_the_end_of_the_one_that_would_send(make_bed):
    # Guards against readers that wait forever for a caller that left.
    reached = event.Event()
    sent = event.Event()

    def respond(sock, connection, request):
        reached.set()
        sent.wait()
        bed.server.send_number(sock, connection, request)

    bed = make_bed(respond)
    first = gevent.spawn(bed.body, target="/other")
    reached.wait()
    second = gevent.spawn(bed.body)
    third = gevent.spawn(bed.body)
    gevent.sleep(0)
    second.kill()
    sent.set()

    assert (first.get(), third.get()) == (b"1.1", b"1.2")


def test_late_response_is_never_read(make_bed):
    # Guards against a report that is taken for the next one.
    late = event.Event()

    def respond(sock, connection, request):
        if (connection, request) == (1, 2):
            late.wait()
        bed.server.send_number(sock, connection, request)

    bed = make_bed(respond)
    assert bed.body() == b"1.1"

    second = bed.body(timeout_s=SHORT_TIMEOUT_S)
    late.set()
    gevent.sleep(0.01)

    assert second == b"2.1"
    assert bed.body() == b"2.2"


def test_late_response_on_a_new_connection_is_never_read(make_bed):
    # Guards against a report that is taken for the next one.
    late = event.Event()

    def respond(sock, connection, request):
        if connection == 1:
            late.wait()
        bed.server.send_number(sock, connection, request)

    bed = make_bed(respond)
    failure = bed.fetch(timeout_s=SHORT_TIMEOUT_S)
    late.set()
    gevent.sleep(0.01)

    assert failure == ExchangeFailure(FailureKind.SILENT, sent=True)
    assert bed.body() == b"2.1"


@pytest.mark.parametrize(
    "extra", [b"\r\n", b"x", make_response(b"other"), b"HTTP/1.1 200 OK\r\n"]
)
def test_bytes_after_a_response_end_the_connection(make_bed, extra):
    # Guards against bytes that are read as the next response.
    def respond(sock, connection, request):
        body = b"%d.%d" % (connection, request)
        sock.sendall(make_response(body) + extra)

    bed = make_bed(respond)
    bed.fetch()
    bed.fetch()

    assert bed.server.requests == {1: 1, 2: 1}


CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"
)


@pytest.mark.parametrize(
    "extra",
    [CHUNKED, b"\r\n0\r\n\r\n", b"HTTP/1.1 200 OK\r\n0\r\n\r\n"],
)
def test_bytes_that_end_like_a_chunked_response_are_noticed(make_bed, extra):
    # Guards against bytes that are read as the next response.
    def respond(sock, connection, request):
        sock.sendall(CHUNKED + extra)

    bed = make_bed(respond)
    bed.fetch()
    bed.fetch()

    assert bed.server.requests == {1: 1, 2: 1}


def test_bytes_that_have_just_arrived_end_the_connection(make_bed):
    # Guards against a late response that arrives right before a request.
    bed = make_bed()
    assert bed.body() == b"1.1"
    bed.server.sockets[0].sendall(make_response(b"other"))

    assert bed.body() == b"2.1"


@pytest.mark.parametrize("pause_s", [0, 0.01])
def test_bytes_that_follow_later_end_the_connection(make_bed, pause_s):
    # Guards against a second response to one request.
    def respond(sock, connection, request):
        bed.server.send_number(sock, connection, request)
        if connection == 1:
            gevent.sleep(0)
            sock.sendall(make_response(b"other"))

    bed = make_bed(respond)
    assert bed.body() == b"1.1"
    gevent.sleep(pause_s)

    assert bed.body() == b"2.1"


def test_second_response_on_a_kept_connection_is_asked_for_again(make_bed):
    # Guards against a response to an earlier request in the same packet.
    def respond(sock, connection, request):
        data = make_response(b"%d.%d" % (connection, request))
        if (connection, request) == (1, 2):
            data = make_response(b"other") + data
        sock.sendall(data)

    bed = make_bed(respond)
    assert bed.body() == b"1.1"

    assert bed.body() == b"2.1"


def test_response_to_something_else_is_asked_for_again(make_bed):
    # Guards against the ejection of an engine for another request's response.
    def respond(sock, connection, request):
        foreign = (connection, request) == (1, 2)
        body = b"foreign" if foreign else b"%d.%d" % (connection, request)
        sock.sendall(make_response(body))

    def is_expected(response):
        return response.body != b"foreign"

    bed = make_bed(respond)
    bodies = [bed.body(is_expected=is_expected) for _ in range(3)]

    assert bodies == [b"1.1", b"2.1", b"2.2"]


def test_unexpected_response_on_a_new_connection_is_the_result(make_bed):
    # Guards against endless requests to a server of another service.
    bed = make_bed()

    bodies = [bed.body(is_expected=lambda response: False) for _ in range(3)]

    assert bodies == [b"1.1", b"2.1", b"3.1"]
    assert bed.server.requests == {1: 1, 2: 1, 3: 1}


def test_announced_close_ends_the_connection(make_bed):
    # Guards against requests on the connection of an engine that leaves.
    def respond(sock, connection, request):
        body = b"%d.%d" % (connection, request)
        sock.sendall(make_response(body, b"Connection: close"))

    bed = make_bed(respond)

    assert [bed.body() for _ in range(3)] == [b"1.1", b"2.1", b"3.1"]


def test_closed_idle_connection_is_replaced(make_bed):
    # Guards against failed reports of an engine that closed an idle connection.
    bed = make_bed()
    assert bed.body() == b"1.1"
    bed.server.close_connections()

    assert bed.body() == b"2.1"


def test_request_is_sent_again_if_the_kept_connection_closes(make_bed):
    # Guards against failed reports while an engine closes an idle connection.
    def respond(sock, connection, request):
        if request > 1:
            return False
        return bed.server.send_number(sock, connection, request)

    bed = make_bed(respond)
    assert bed.body() == b"1.1"

    assert bed.body() == b"2.1"
    assert bed.server.requests == {1: 2, 2: 1}


def test_request_is_sent_again_only_once(make_bed):
    # Guards against endless requests to an engine that answers none.
    def respond(sock, connection, request):
        if (connection, request) != (1, 1):
            return False
        return bed.server.send_number(sock, connection, request)

    bed = make_bed(respond)
    assert bed.body() == b"1.1"

    failure = bed.fetch()

    assert failure == ExchangeFailure(FailureKind.RESET, sent=True)
    assert bed.server.requests == {1: 2, 2: 1}


def test_request_is_not_sent_again_after_the_first_byte(make_bed):
    # Guards against a second request to an engine that has answered.
    def respond(sock, connection, request):
        if request > 1:
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab")
            return False
        return bed.server.send_number(sock, connection, request)

    bed = make_bed(respond)
    assert bed.body() == b"1.1"

    failure = bed.fetch()

    assert failure == ExchangeFailure(FailureKind.CUT_SHORT, sent=True)
    assert bed.server.connections == 1


def test_silent_engine_fails_like_one_without_a_kept_connection(make_bed):
    # Guards against an engine that accepts connections and never answers.
    silent = event.Event()

    def respond(sock, connection, request):
        if (connection, request) != (1, 1):
            silent.wait()
        bed.server.send_number(sock, connection, request)

    bed = make_bed(respond)
    assert bed.body() == b"1.1"

    failure = bed.fetch(timeout_s=SHORT_TIMEOUT_S)

    assert failure == ExchangeFailure(FailureKind.SILENT, sent=True)
    assert bed.server.connections == 2
    silent.set()


def test_new_connection_has_time_left_after_a_silent_one(make_bed):
    # Guards against a kept connection to a live engine that was cut unnoticed.
    silent = event.Event()

    def respond(sock, connection, request):
        if (connection, request) == (1, 2):
            silent.wait()
        gevent.sleep(0.02)
        bed.server.send_number(sock, connection, request)

    bed = make_bed(respond)
    assert bed.body() == b"1.1"

    assert bed.body() == b"2.1"
    silent.set()


def test_request_does_not_wait_long_for_a_silent_one(make_bed):
    # Guards against reports held up by a request that isn't answered.
    silent = event.Event()

    def respond(sock, connection, request):
        if connection == 1:
            silent.wait()
        bed.server.send_number(sock, connection, request)

    bed = make_bed(respond)
    first = gevent.spawn(bed.fetch, target="/slow")
    gevent.sleep(0.01)

    assert bed.body() == b"2.1"
    assert not first.ready()
    silent.set()
    first.join()


def test_engine_that_restarts_at_the_same_address_answers(make_bed):
    # Guards against reports of a process that has ended.
    bed = make_bed()
    assert bed.body() == b"1.1"
    bed.server.stop()
    bed.server.respond = lambda sock, connection, request: sock.sendall(
        make_response(b"new process")
    )
    bed.server.restart()

    assert bed.body() == b"new process"


def test_ended_process_refuses_at_once(make_bed):
    # Guards against an ended process that counts as merely silent.
    bed = make_bed()
    assert bed.body() == b"1.1"
    bed.server.stop()

    assert bed.fetch().failure is FailureKind.REFUSED


@pytest.mark.parametrize(
    ("header", "unused_ms", "reused"),
    [
        (b"X: y", 3900, True),
        (b"X: y", 4000, False),
        (b"Keep-Alive: timeout=2, max=9", 1700, True),
        (b"Keep-Alive: timeout=2, max=9", 1750, False),
        (b"Keep-Alive: max=9, timeout=30", 29_000, True),
        (b"Keep-Alive: timeout=0", 0, False),
        (b"Keep-Alive: timeout=soon", 3900, True),
        (b"Keep-Alive: timeout=\xb2", 3900, True),
        (b"Keep-Alive: timeout=" + b"9" * 18, 60_000, True),
        (b"Keep-Alive: timeout=" + b"9" * 5000, 3900, True),
    ],
)
def test_unused_connection_is_closed_in_time(
    make_bed, header, unused_ms, reused
):
    # Guards against requests on a connection that the engine is closing.
    def respond(sock, connection, request):
        body = b"%d.%d" % (connection, request)
        sock.sendall(make_response(body, header))

    clock = ManualClock(1000)
    bed = make_bed(respond, clock)
    bed.fetch()
    clock.advance(unused_ms)

    bed.fetch()

    assert bed.server.connections == (1 if reused else 2)


def test_held_connection_stays_open_and_carries_requests(make_bed):
    # Guards against a second connection beside the one of a liveness watch.
    clock = ManualClock(1000)
    bed = make_bed(clock=clock)
    address = bed.server.address
    bed.connections.hold(address)
    assert bed.connections.open(address, TIMEOUT_S) is None
    clock.advance(60_000)

    assert bed.body() == b"1.1"
    assert bed.connections.open(address, TIMEOUT_S) is None
    assert not bed.connections.wait_absent(address, 0.01)
    assert bed.server.connections == 1


def test_end_of_a_held_connection_is_noticed(make_bed):
    # Guards against a watch that misses the end of a process.
    bed = make_bed()
    address = bed.server.address
    bed.connections.hold(address)
    bed.connections.open(address, TIMEOUT_S)
    waiter = gevent.spawn(bed.connections.wait_absent, address, TIMEOUT_S)
    bed.server.wait_for_connections(1)

    bed.server.stop()

    assert waiter.get()
    failure = bed.connections.open(address, TIMEOUT_S)
    assert failure is FailureKind.REFUSED


def test_end_during_a_request_is_noticed(make_bed):
    # Guards against a watch that misses the end of a process during a report.
    reached = event.Event()
    never = event.Event()

    def respond(sock, connection, request):
        reached.set()
        never.wait()

    bed = make_bed(respond)
    address = bed.server.address
    bed.connections.hold(address)
    bed.connections.open(address, TIMEOUT_S)
    waiter = gevent.spawn(bed.connections.wait_absent, address, TIMEOUT_S)
    report = gevent.spawn(bed.fetch)
    reached.wait()

    bed.server.stop()

    assert waiter.get()
    assert report.get().failure is FailureKind.REFUSED


def test_addresses_without_a_connection_are_forgotten(make_bed):
    # Guards against memory that grows with each address ever used.
    bed = make_bed()
    bed.server.stop()
    _, port = bed.server.address

    for number in range(2, 40):
        address = (f"127.0.0.{number}", port)
        failure = bed.connections.open(address, TIMEOUT_S)
        assert failure is FailureKind.REFUSED

    assert len(bed.connections._connections) == 1
