"""Authenticated connections between two instances, and their handshake."""

import secrets
from collections.abc import Callable

import attrs
from gevent import event, socket

from caroblug.gen.wire import ttypes as wire
from caroblug.transport import _framing as framing


@attrs.frozen
class PeerAddress:
    """The name of an instance and the address on which it accepts peers."""

    instance: str
    host: str
    port: int
    role: str = ""
    data_centre: str = ""


class Link:
    """One authenticated connection.

    Attributes:
        sock: The connection's socket.
        peer: Address from the hello of the peer.
        peer_session: Session identifier from the hello of the peer.
        wake: Set when there is something to write.
        resend: Whether to write the unacknowledged frames first.
        received_ms: Time at which the last frame was received.
        closed: Whether this end has closed the connection.
    """

    def __init__(
        self,
        sock: socket.socket,
        peer_hello: wire.Hello,
        outgoing: framing.FrameAuthenticator,
        incoming: framing.FrameAuthenticator,
        now_ms: int,
    ) -> None:
        self.peer = PeerAddress(
            peer_hello.instance,
            peer_hello.host,
            peer_hello.port,
            peer_hello.role,
            peer_hello.data_centre,
        )
        self.peer_session = peer_hello.session
        self.wake = event.Event()
        self.resend = True
        self.received_ms = now_ms
        self.closed = False
        self.sock = sock
        self._outgoing = outgoing
        self._incoming = incoming

    def write(self, payload: bytes) -> None:
        """Sends a payload as a frame.

        Raises:
            OSError: If the connection fails.
        """
        self.sock.sendall(
            framing.pack_payload(payload, self._outgoing.compute_mac(payload))
        )

    def read(self, max_bytes: int = framing.MAX_FRAME_BYTES) -> bytes | None:
        """Returns the next payload, or None if the connection has ended.

        Args:
            max_bytes: Limit on the length of the payload.

        Raises:
            FrameError: If the frame is too long or not authentic.
            OSError: If the connection fails.
        """
        received = framing.read_payload(self.sock, max_bytes)
        if received is None:
            return None
        self._incoming.verify(*received)
        return received[0]

    def close(self) -> None:
        """Closes the connection; a blocked write fails."""
        self.closed = True
        self.wake.set()
        self.sock.close()


def handshake_as_dialler(
    sock: socket.socket, own_hello: wire.Hello, shared_key: bytes, now_ms: int
) -> Link:
    """Performs the dialling end's handshake, except for its proof.

    The caller sends the proof with `send_proof` after it has checked the
    session identifier of the peer.

    Raises:
        FrameError: If the peer is not authentic or speaks another protocol.
        OSError: If the connection fails.
    """
    _configure_socket(sock)
    own_hello = _add_nonce(own_hello)
    sock.sendall(framing.pack_payload(framing.encode(own_hello)))
    peer_hello = _read_hello(sock, own_hello)
    key = framing.derive_key(shared_key, own_hello, peer_hello)
    link = _make_link(sock, own_hello, peer_hello, key, now_ms)
    if link.read(framing.MAX_HANDSHAKE_BYTES) is None:
        raise framing.FrameError(
            "peer closed the connection during the handshake"
        )
    return link


def handshake_as_acceptor(
    sock: socket.socket,
    make_hello: Callable[[wire.Hello], wire.Hello],
    shared_key: bytes,
    now_ms: int,
) -> Link:
    """Performs the accepting end's handshake.

    The link is returned only after the first authenticated frame of the peer
    has been verified, so that a peer without the shared key is rejected.

    Args:
        sock: Socket of the connection.
        make_hello: Returns this end's hello. It is called with the hello of
            the peer, which is not authenticated yet.
        shared_key: Key with which instances authenticate each other.
        now_ms: Current time.

    Raises:
        FrameError: If the peer is not authentic or speaks another protocol.
        OSError: If the connection fails.
    """
    _configure_socket(sock)
    peer_hello = _read_hello(sock, None)
    own_hello = _add_nonce(make_hello(peer_hello))
    if peer_hello.instance == own_hello.instance:
        raise framing.FrameError("peer has the same instance name")
    sock.sendall(framing.pack_payload(framing.encode(own_hello)))
    key = framing.derive_key(shared_key, peer_hello, own_hello)
    link = _make_link(sock, own_hello, peer_hello, key, now_ms)
    send_proof(link)
    if link.read(framing.MAX_HANDSHAKE_BYTES) is None:
        raise framing.FrameError(
            "peer closed the connection during the handshake"
        )
    return link


def send_proof(link: Link) -> None:
    """Sends the first authenticated frame, proving knowledge of the key."""
    link.write(framing.encode(wire.Frame()))


def _configure_socket(sock: socket.socket) -> None:
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _add_nonce(hello: wire.Hello) -> wire.Hello:
    return wire.Hello(
        hello.instance,
        hello.role,
        hello.data_centre,
        secrets.token_bytes(framing.NONCE_BYTES),
        framing.PROTOCOL_VERSION,
        hello.host,
        hello.port,
        hello.session,
    )


def _read_hello(
    sock: socket.socket, own_hello: wire.Hello | None
) -> wire.Hello:
    received = framing.read_payload(sock, framing.MAX_HANDSHAKE_BYTES)
    if received is None:
        raise framing.FrameError(
            "peer closed the connection during the handshake"
        )
    peer_hello = framing.decode(wire.Hello, received[0])
    if (
        peer_hello.protocol != framing.PROTOCOL_VERSION
        or not peer_hello.instance
    ):
        raise framing.FrameError(
            "hello has another protocol version or no instance"
        )
    if own_hello is not None and peer_hello.instance == own_hello.instance:
        raise framing.FrameError("peer has the same instance name")
    return peer_hello


def _make_link(
    sock: socket.socket,
    own_hello: wire.Hello,
    peer_hello: wire.Hello,
    key: bytes,
    now_ms: int,
) -> Link:
    outgoing = framing.FrameAuthenticator(key, own_hello.instance)
    incoming = framing.FrameAuthenticator(key, peer_hello.instance)
    return Link(sock, peer_hello, outgoing, incoming, now_ms)
