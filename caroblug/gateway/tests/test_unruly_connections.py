"""Random callers, after whom a server holds nothing any more."""

import contextlib
import random

import gevent
import pytest
from gevent import socket

from caroblug.caller_resources import CallerResources
from caroblug.core.access import RequestLimits
from caroblug.core.limits import ResourceBounds
from caroblug.gateway._http_server import HttpServer
from caroblug.gateway._responses import RequestScreen
from caroblug.utils import MonotonicClock

LIMITS = RequestLimits(header_bytes=4000, body_bytes=200_000)
BOUNDS = ResourceBounds(memory_bytes=1_000_000, connections=20)
CALLERS = 60
_PIECES = (
    b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /fails HTTP/1.1\r\nHost: h\r\n\r\n",
    b"POST /x HTTP/1.1\r\nContent-Length: 150000\r\n\r\n" + bytes(149_999),
    b"POST /x HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
    b"POST /denied HTTP/1.1\r\nContent-Length: 90000\r\n\r\n" + bytes(50_000),
    b"POST /x HTTP/1.1\r\nContent-Length: 900000\r\n\r\n",
    b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
    b"0\r\nA: b\r\n",
    b"0\r\n\r\n",
    b"a: b\r\n" * 50,
    b"\r\n",
    b"\x00\xff",
)


class Screen(RequestScreen):
    """Refuses one path by its head."""

    def refuse_known(self, head, reply):
        if head.path != "/denied":
            return False
        reply.send(401, [], b"")
        return True

    def refuse_overload(self, head, reply):
        reply.send(503, [("Retry-After", "1")], b"")


def handle(request, reply):
    if request.path == "/slow":
        gevent.sleep(0.05)
    if request.path == "/fails":
        raise ZeroDivisionError
    reply.send(200, [], bytes(400_000) if request.path == "/large" else b"ok")


def call(address, rng):
    """Sends random pieces, reads or doesn't, and leaves in some way."""
    with (
        contextlib.suppress(OSError),
        socket.create_connection(address) as caller,
    ):
        caller.settimeout(0.3)
        for _ in range(rng.randrange(1, 8)):
            piece = rng.choice(_PIECES)
            caller.sendall(piece[: rng.randrange(1, 2 * len(piece))])
            if rng.random() < 0.3:
                caller.recv(rng.randrange(1, 5000))
            gevent.sleep(rng.random() * 0.02)
        if rng.random() < 0.3:
            caller.shutdown(socket.SHUT_WR)
            gevent.sleep(0.05)


@pytest.mark.parametrize("seed", range(8))
def test_nothing_is_held_after_random_callers(seed, capfd):
    # Guards against amounts that are never given back, or given back twice.
    rng = random.Random(seed)
    clock = MonotonicClock()
    resources = CallerResources(clock, lambda: BOUNDS)
    server = HttpServer(
        ("127.0.0.1", 0), handle, lambda: LIMITS, clock, resources, Screen()
    )
    server.start()
    callers = [
        gevent.spawn(call, server.address, random.Random(rng.random()))
        for _ in range(CALLERS)
    ]
    gevent.joinall(callers)
    with socket.create_connection(server.address) as caller:
        caller.sendall(_PIECES[0])
        assert caller.recv(1000).endswith(b"ok")
    while resources.held.connections:
        gevent.sleep(0.05)
    server.stop_listening()

    assert resources.held.held_bytes == 0
    assert resources.held._pinned_bytes == 0
    assert not server._connections
    failed = " failed with "
    errors = capfd.readouterr().err
    assert errors.count(failed) == errors.count(failed + "ZeroDivisionError")
