"""Tests with forged, replayed, reflected and oversized frames."""

import socket as plain_socket
import struct

import gevent
import pytest
from gevent import pool, server, socket

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
_TIMEOUT_S = 20.0


class _Endpoint(PeerHandler):
    """A network of one instance; records the cancels that it receives."""

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


class _Proxy:
    """Forwards frames between two endpoints and records those of the client."""

    def __init__(self, port):
        self._port = port
        self.to_server = None
        self.to_client = None
        self.sent = []
        self._forwarders = pool.Group()
        self._server = server.StreamServer((_HOST, 0), self._accept)
        self._server.start()
        self.port = self._server.server_port

    def _accept(self, client, _):
        upstream = socket.create_connection((_HOST, self._port))
        self.to_server, self.to_client = upstream, client
        self._forwarders.spawn(self._forward, upstream, client, None)
        self._forward(client, upstream, self.sent)

    def _forward(self, source, sink, recorded):
        try:
            while True:
                header = _read(source, _HEADER.size)
                length, _ = _HEADER.unpack(header)
                frame = header + _read(source, length)
                sink.sendall(frame)
                if recorded is not None:
                    recorded.append(frame)
        except OSError:
            sink.close()

    def stop(self):
        self._server.stop(timeout=0)
        self._forwarders.kill()
        for sock in (self.to_server, self.to_client):
            sock.close()


def _read(source, length):
    data = b""
    while len(data) < length:
        part = source.recv(length - len(data))
        if not part:
            raise OSError("closed")
        data += part
    return data


def _wait(condition):
    with gevent.Timeout(_TIMEOUT_S):
        while not condition():
            gevent.sleep(0.01)


@pytest.fixture
def make_endpoint():
    made = []

    def _make(name, key=_KEY):
        made.append(_Endpoint(name, key))
        return made[-1]

    yield _make
    for end in made:
        end.network.stop()


def _connect_through_proxy(make_endpoint):
    """Returns a dialling endpoint, an accepting one and a proxy in between."""
    dialler, acceptor = make_endpoint("near"), make_endpoint("far")
    proxy = _Proxy(acceptor.port)
    address = PeerAddress("far", _HOST, proxy.port)
    dialler.network.send(address, wire.Cancel("first", 1))
    _wait(lambda: acceptor.streams == ["first"])
    return dialler, acceptor, proxy


def test_peer_with_another_key_is_rejected(make_endpoint):
    """Guards against a peer without the shared key that cancels streams."""
    dialler, acceptor = (
        make_endpoint("near", b"another key that somebody made up"),
        make_endpoint("far"),
    )
    dialler.network.send(acceptor.address, wire.Cancel("first", 1))
    _wait(lambda: acceptor.refused() >= 1)
    assert (acceptor.ups, dialler.ups, acceptor.streams) == (0, 0, [])


def test_replayed_frame_is_refused_and_counted(make_endpoint):
    """Guards against a frame that is handled twice.

    A device between the two endpoints repeats a frame that it has seen, which
    would for example run a call again.
    """
    _, acceptor, proxy = _connect_through_proxy(make_endpoint)
    proxy.to_server.sendall(proxy.sent[-1])
    _wait(lambda: acceptor.metrics.value("frames_refused") >= 1)
    assert acceptor.streams == ["first"]
    proxy.stop()


def test_reflected_frame_is_refused_and_counted(make_endpoint):
    """Guards against an endpoint that accepts its own frame from the peer."""
    dialler, _, proxy = _connect_through_proxy(make_endpoint)
    proxy.to_client.sendall(proxy.sent[-1])
    _wait(lambda: dialler.metrics.value("frames_refused") >= 1)
    assert dialler.streams == []
    proxy.stop()


def test_frame_with_one_changed_bit_is_refused_and_counted(make_endpoint):
    _, acceptor, proxy = _connect_through_proxy(make_endpoint)
    forged = bytearray(proxy.sent[-1])
    forged[-1] ^= 1
    proxy.to_server.sendall(bytes(forged))
    _wait(lambda: acceptor.metrics.value("frames_refused") >= 1)
    assert acceptor.streams == ["first"]
    proxy.stop()


@pytest.mark.parametrize(
    "data",
    [
        _HEADER.pack(MAX_FRAME_BYTES + 1, bytes(16)),
        _HEADER.pack(0xFFFFFFFF, bytes(16)),
        _HEADER.pack(64, bytes(16)) + bytes(range(64)),
        _HEADER.pack(0, bytes(16)),
        b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    ],
    ids=["oversized", "largest", "garbage", "empty", "http"],
)
def test_garbage_hello_is_refused_and_counted(make_endpoint, data):
    """Guards against arbitrary bytes that exhaust memory or cause a crash."""
    acceptor = make_endpoint("far")
    with plain_socket.create_connection((_HOST, acceptor.port)) as raw:
        raw.sendall(data)
        _wait(lambda: acceptor.refused() >= 1)
    dialler = make_endpoint("near")
    dialler.network.send(acceptor.address, wire.Cancel("after", 1))
    _wait(lambda: acceptor.streams == ["after"])


def test_oversized_frame_after_the_handshake_is_refused(make_endpoint):
    _, acceptor, proxy = _connect_through_proxy(make_endpoint)
    proxy.to_server.sendall(_HEADER.pack(MAX_FRAME_BYTES + 1, bytes(16)))
    _wait(lambda: acceptor.metrics.value("frames_refused") >= 1)
    assert acceptor.streams == ["first"]
    proxy.stop()
