"""Tests of broken, early and endless responses to the clients of a program.

The forms are those of the test of the check itself.
"""

import gevent
import pytest
from gevent import server

from caroblug.core.responses.tests.test_response_filter import (
    BROKEN,
    EARLY,
    LENGTH,
    OK,
    SOUND,
)
from caroblug.gateway.tests.raw_server import End, RawServer
from caroblug.gateway.tests.test_endless_answers import ALL, EndlessServer
from caroblug.transport import _checked_socket as checked_socket
from caroblug.transport._checked_socket import ResponseError, ResponseMemory
from caroblug.transport._http import (
    HttpFailure,
    HttpResponse,
    JsonHttpClient,
    request_once,
)
from caroblug.utils import ManualClock

TIMEOUT_MS = 3000
UPLOAD = b"x" * (12 << 20)
MAX_BYTES = 1 << 20
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\npart"


def request_kept(address, method="GET", body=b"", memory=None):
    """Sends a request as clients do that keep connections."""
    client = JsonHttpClient(*address, TIMEOUT_MS, memory=memory)
    try:
        return client.request(method, "/", body)
    finally:
        client.close()


def request_single(address, method="GET", body=b"", memory=None):
    """Sends a request as clients do that never send one twice."""
    return request_once(
        *address, TIMEOUT_MS, method, "/", body, {}, lambda: True, memory
    )


each_client = pytest.mark.parametrize(
    "request_", [request_kept, request_single]
)


def exchange(request_, answer, end, **arguments):
    """Sends a request to a server that answers with given bytes."""
    raw = RawServer(answer, end)
    try:
        with gevent.Timeout(20):
            return raw, request_(raw.address, **arguments)
    finally:
        raw.stop()


@each_client
@pytest.mark.parametrize("name", BROKEN | EARLY)
def test_broken_response_is_a_failure(request_, name):
    # Guards against a broken answer of a service that its caller gets.
    answer = (BROKEN | EARLY)[name]
    end = End.CLOSE if name in EARLY else End.OPEN

    raw, response = exchange(request_, answer, end)

    assert isinstance(response, HttpFailure)
    assert response.sent
    assert raw.requests == 1


@each_client
@pytest.mark.parametrize("name", SOUND)
def test_sound_response_is_returned(request_, name):
    answer, body = SOUND[name]

    _, response = exchange(request_, answer, End.OPEN)

    assert isinstance(response, HttpResponse)
    assert response.body == body


@each_client
@pytest.mark.parametrize("lines", [LENGTH, b"Transfer-Encoding: chunked\r\n"])
def test_response_to_head_has_no_body(request_, lines):
    _, response = exchange(
        request_, OK + lines + b"\r\n", End.OPEN, method="HEAD"
    )

    assert (response.status, response.body) == (200, b"")


@each_client
@pytest.mark.parametrize("end", [End.CLOSE, End.RESET])
@pytest.mark.parametrize("method", ["POST", "PUT"])
def test_part_of_a_response_to_a_request_that_was_not_read(
    request_, end, method
):
    # Guards against a part of an answer that is taken for all of it.
    for _ in range(3):
        raw, response = exchange(
            request_, UNFRAMED, end, method=method, body=UPLOAD
        )

        assert isinstance(response, HttpFailure)
        assert response.sent
        assert raw.requests == 1


@each_client
def test_response_that_ends_with_its_connection_is_returned(request_):
    _, response = exchange(
        request_, UNFRAMED, End.DRAIN, method="POST", body=UPLOAD
    )

    assert (response.status, response.body) == (200, b"part")


@each_client
@pytest.mark.parametrize("form", ALL)
def test_response_without_end_is_bounded(request_, form):
    # Guards against a process that runs out of memory by one service.
    endless = EndlessServer(form)
    memory = ResponseMemory(2 * MAX_BYTES, MAX_BYTES)
    with gevent.Timeout(20):
        response = request_(endless.address, memory=memory)
        while endless.open:
            gevent.sleep(0.001)

    endless.close()
    assert isinstance(response, HttpFailure)
    assert response.sent
    memory.hold(0, MAX_BYTES)


def test_responses_share_a_bound():
    # Guards against many endless responses at the same time.
    endless = EndlessServer("chunks")
    memory = ResponseMemory(2 * MAX_BYTES, MAX_BYTES)
    held = []
    hold = memory.hold

    def record(before_bytes, size_bytes):
        try:
            hold(before_bytes, size_bytes)
        finally:
            held.append(memory._held_bytes)

    memory.hold = record
    jobs = [
        gevent.spawn(request_kept, endless.address, memory=memory)
        for _ in range(16)
    ]
    gevent.joinall(jobs, timeout=20)

    endless.close()
    assert all(isinstance(job.value, HttpFailure) for job in jobs)
    assert max(held) <= 2 * MAX_BYTES + 16 * 65536
    assert not memory._held_bytes


def test_memory_is_given_back_at_the_end():
    memory = ResponseMemory(2, 2)
    memory.hold(0, 2)

    with pytest.raises(ResponseError):
        memory.hold(0, 1)

    memory.hold(3, 0)
    memory.hold(0, 2)


@each_client
def test_response_that_trickles_in_is_bounded_in_time(request_, monkeypatch):
    # Guards against a connection that is in use for ever.
    clock = ManualClock(0)
    monkeypatch.setattr(checked_socket, "_CLOCK", clock)

    def trickle(sock, peer):
        sock.recv(65536)
        sock.sendall(OK + b"Content-Length: 1000000\r\n\r\n")
        while True:
            clock.advance(1000)
            sock.sendall(b"x")
            gevent.sleep(0.001)

    listener = server.StreamServer(("127.0.0.1", 0), trickle)
    listener.start()

    with gevent.Timeout(20):
        response = request_(("127.0.0.1", listener.server_port))

    listener.stop(timeout=0)
    assert isinstance(response, HttpFailure)
    assert clock.now_ms() <= 13 * TIMEOUT_MS


def test_bytes_behind_a_response_do_not_begin_the_next_one():
    # Guards against the answer to another request on a kept connection.
    extra = OK + b"Content-Length: 5\r\n\r\nextra"
    raw = RawServer(OK + LENGTH + b"\r\nab" + extra)
    client = JsonHttpClient(*raw.address, TIMEOUT_MS)

    bodies = [client.request("GET", "/").body for _ in range(3)]

    client.close()
    raw.stop()
    assert bodies == [b"ab"] * 3
    assert raw.requests == 3


def test_connections_are_kept_after_sound_responses():
    # Guards against a new connection for each request.
    opened = []

    def serve(sock, peer):
        opened.append(peer)
        while sock.recv(65536):
            sock.sendall(OK + LENGTH + b"\r\nab")

    listener = server.StreamServer(("127.0.0.1", 0), serve)
    listener.start()
    client = JsonHttpClient("127.0.0.1", listener.server_port, TIMEOUT_MS)

    bodies = [client.request("POST", "/", b"x").body for _ in range(3)]

    client.close()
    listener.stop(timeout=0)
    assert bodies == [b"ab"] * 3
    assert len(opened) == 1


@pytest.mark.parametrize("method", ["GET", "PUT"])
def test_request_is_sent_again_only_after_an_idle_connection(method):
    # Guards against dozens of sends of one request to a service that closes.
    requests = []

    def serve(sock, peer):
        while sock.recv(65536):
            requests.append(peer)
            if len(requests) > 1:
                break
            sock.sendall(OK + LENGTH + b"\r\nab")
        sock.close()

    listener = server.StreamServer(("127.0.0.1", 0), serve)
    listener.start()
    client = JsonHttpClient("127.0.0.1", listener.server_port, TIMEOUT_MS, 64)

    first = client.request(method, "/")
    second = client.request(method, "/")

    client.close()
    listener.stop(timeout=0)
    assert first.body == b"ab"
    assert isinstance(second, HttpFailure)
    assert len(requests) == 3
