"""Tests of chunked request bodies, with a server in this process."""

import gevent
import pytest
from gevent import socket

from caroblug.caller_resources import CallerResources
from caroblug.node._accounted_connections import AccountedServer
from caroblug.node._chunked_input import read_to_limit
from caroblug.node._http import make_listener
from caroblug.utils import MonotonicClock

_HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
_LIMIT = 300_000
_PIECES = 200
_TIMEOUT_S = 20


def _echo_length(environ, start_response):
    """Responds with the length of the body."""
    try:
        body = read_to_limit(environ["wsgi.input"].read, _LIMIT)
    except OSError as error:
        start_response("400 Bad Request", [])
        return [type(error).__name__.encode()]
    start_response("200 OK", [])
    return [b"length %d;" % len(body)]


@pytest.fixture
def address():
    server = AccountedServer(
        make_listener("127.0.0.1", 0),
        _echo_length,
        CallerResources(MonotonicClock()),
        log=None,
        error_log=None,
    )
    server.start()
    yield "127.0.0.1", server.server_port
    server.stop(timeout=1)


def _connect(address):
    return socket.create_connection(address, timeout=_TIMEOUT_S)


def _chunks(body, size):
    parts = (body[at : at + size] for at in range(0, len(body), size))
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)


def _receive_until(caller, end):
    answer = b""
    while end not in answer:
        piece = caller.recv(4096)
        assert piece, answer
        answer += piece
    return answer


@pytest.mark.parametrize("size", [1, 2, 4095, 4096, 4097, 300_000])
def test_body_in_chunks_is_read_whole(address, size):
    # Guards against bodies without a length that are read as empty.
    caller = _connect(address)
    caller.sendall(_HEAD + _chunks(b"x" * 300_000, size) + b"0\r\n\r\n")

    assert b"length 300000;" in _receive_until(caller, b";")


def test_connection_is_used_again_after_a_body_in_chunks(address):
    # Guards against requests that are lost behind a trailer.
    caller = _connect(address)
    request = _HEAD + b"2\r\nxy\r\n0\r\nX-Checksum: 5\r\n\r\n"
    caller.sendall(request * 2)
    answer = b""
    while answer.count(b"length 2;") < 2:
        answer += _receive_until(caller, b";")

    assert answer.count(b"HTTP/1.1 200 ") == 2


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"0\r\n", b"abc:d\r\n" * 1000),
        (
            b"1;" + b"e" * 8000 + b"\r\nx\r\n",
            b"1;" + b"e" * 8000 + b"\r\nx\r\n",
        ),
    ],
)
def test_framing_without_end_is_refused(address, start, piece):
    # Guards against trailers and extensions, which no limit on bodies counts.
    caller = _connect(address)
    caller.sendall(_HEAD + start)

    def send():
        for _ in range(_PIECES):
            caller.sendall(piece)

    sender = gevent.spawn(send)
    answer = _receive_until(caller, b"Error")
    sender.kill()

    assert answer.startswith(b"HTTP/1.1 400 ")
    assert b"FramingTooLongError" in answer


@pytest.mark.parametrize(
    "rest", [b"\r\nxy\r\n", b"zz\r\n", b"-1\r\n", b"2\r\nxyz\r\n"]
)
def test_invalid_chunk_is_refused(address, rest):
    # Guards against an error that is logged for each odd caller.
    caller = _connect(address)
    caller.sendall(_HEAD + rest)

    assert _receive_until(caller, b"\n").startswith(b"HTTP/1.1 400 ")


def test_body_over_the_limit_ends_the_connection(address):
    # Guards against a body that is parsed to its end although it is refused.
    caller = _connect(address)
    caller.sendall(_HEAD + _chunks(b"x" * (_LIMIT + 10_000), 4096))

    assert b"length 300001;" in _receive_until(caller, b";")
    assert caller.recv(4096) == b""
