"""Forged, replayed, reflected and over-long frames, over raw sockets."""

import socket as plain_socket
import struct

import gevent
import pytest
from gevent import server, socket

from caroblug.gen.wire import ttypes as wire
from caroblug.transport import (
    PeerAddress,
    PeerHandler,
    make_peer_network,
)
from caroblug.transport._framing import MAX_FRAME_BYTES
from caroblug.utils import MonotonicClock, make_metrics

_HOST = "127.0.0.1"
_KEY = b"a key that both ends have been given"
_HEADER = struct.Struct(">I16s")
_BOUND_S = 20.0


class _End(PeerHandler):
    """One process's network; keeps the cancels that it is given."""

    def __init__(self, name, key=_KEY):
        self.metrics = make_metrics()
        self.streams = []
        self.ups = 0
        self.network = make_peer_network(
            wire.Hello(name, "side", "a"),
            key,
            self,
            MonotonicClock(),
            self.metrics,
        )
        self.port = self.network.start(_HOST, 0)
        self.address = PeerAddress(name, _HOST, self.port)

    def on_frame(self, peer, frame):
        self.streams.extend(c.stream for c in frame.cancels or ())

    def on_peer_up(self, peer):
        self.ups += 1

    def on_peer_lost(self, peer, reason):
        pass

    def refused(self):
        return self.metrics.value("frames_refused") + self.metrics.value(
            "peers_refused"
        )


class _Middle:
    """Stands between two ends and may repeat or turn round their frames."""

    def __init__(self, port):
        self._port = port
        self.to_server = None
        self.to_client = None
        self.sent = []
        self._server = server.StreamServer((_HOST, 0), self._accept)
        self._server.start()
        self.port = self._server.server_port

    def _accept(self, client, _):
        upstream = socket.create_connection((_HOST, self._port))
        self.to_server, self.to_client = upstream, client
        gevent.spawn(self._pump, upstream, client, None)
        self._pump(client, upstream, self.sent)

    def _pump(self, source, sink, kept):
        try:
            while True:
                header = _read(source, _HEADER.size)
                length, _ = _HEADER.unpack(header)
                frame = header + _read(source, length)
                sink.sendall(frame)
                if kept is not None:
                    kept.append(frame)
        except OSError:
            sink.close()

    def stop(self):
        self._server.stop(timeout=0)


def _read(source, length):
    data = b""
    while len(data) < length:
        part = source.recv(length - len(data))
        if not part:
            raise OSError("closed")
        data += part
    return data


def _wait(condition):
    with gevent.Timeout(_BOUND_S):
        while not condition():
            gevent.sleep(0.01)


@pytest.fixture
def ends():
    made = []

    def _make(name, key=_KEY):
        made.append(_End(name, key))
        return made[-1]

    yield _make
    for end in made:
        end.network.stop()


def _through(ends):
    """Returns (dialling end, accepting end, what stands between them)."""
    near, far = ends("near"), ends("far")
    middle = _Middle(far.port)
    address = PeerAddress("far", _HOST, middle.port)
    near.network.send(address, wire.Cancel("first", 1))
    _wait(lambda: far.streams == ["first"])
    return near, far, middle


def test_peer_with_another_key_is_never_taken(ends):
    """A machine that guesses the protocol cancels callers' streams."""
    near, far = ends("near", b"another key that somebody made up"), ends("far")
    near.network.send(far.address, wire.Cancel("first", 1))
    _wait(lambda: far.refused() >= 1)
    assert (far.ups, near.ups, far.streams) == (0, 0, [])


def test_replayed_frame_is_refused_and_counted(ends):
    """A stream ends twice, or a booking's call is sent again.

    Something between the two ends repeats a frame that it has seen.
    """
    _, far, middle = _through(ends)
    middle.to_server.sendall(middle.sent[-1])
    _wait(lambda: far.metrics.value("frames_refused") >= 1)
    assert far.streams == ["first"]
    middle.stop()


def test_reflected_frame_is_refused_and_counted(ends):
    """An end takes its own message for the other's."""
    near, _, middle = _through(ends)
    middle.to_client.sendall(middle.sent[-1])
    _wait(lambda: near.metrics.value("frames_refused") >= 1)
    assert near.streams == []
    middle.stop()


def test_frame_with_one_changed_bit_is_refused_and_counted(ends):
    _, far, middle = _through(ends)
    forged = bytearray(middle.sent[-1])
    forged[-1] ^= 1
    middle.to_server.sendall(bytes(forged))
    _wait(lambda: far.metrics.value("frames_refused") >= 1)
    assert far.streams == ["first"]
    middle.stop()


@pytest.mark.parametrize(
    "data",
    [
        _HEADER.pack(MAX_FRAME_BYTES + 1, bytes(16)),
        _HEADER.pack(0xFFFFFFFF, bytes(16)),
        _HEADER.pack(64, bytes(16)) + bytes(range(64)),
        _HEADER.pack(0, bytes(16)),
        b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    ],
    ids=["over-long", "largest", "garbage", "empty", "http"],
)
def test_garbage_hello_is_refused_and_counted(ends, data):
    """Memory fills up, or the process dies, at a port scanner's bytes."""
    far = ends("far")
    with plain_socket.create_connection((_HOST, far.port)) as raw:
        raw.sendall(data)
        _wait(lambda: far.refused() >= 1)
    near = ends("near")
    near.network.send(far.address, wire.Cancel("after", 1))
    _wait(lambda: far.streams == ["after"])


def test_over_long_frame_after_the_handshake_is_refused(ends):
    _, far, middle = _through(ends)
    middle.to_server.sendall(_HEADER.pack(MAX_FRAME_BYTES + 1, bytes(16)))
    _wait(lambda: far.metrics.value("frames_refused") >= 1)
    assert far.streams == ["first"]
    middle.stop()
