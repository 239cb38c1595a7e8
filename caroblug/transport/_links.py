"""One authenticated connection between two processes, and its handshake."""

import secrets
from collections.abc import Callable

import attrs
from gevent import event, socket

from caroblug.gen.wire import ttypes as wire
from caroblug.transport import _framing as framing


@attrs.frozen
class PeerAddress:
    """Where a process of the system listens for the others."""

    instance: str
    host: str
    port: int
    role: str = ""
    data_centre: str = ""


class Link:
    """One authenticated connection.

    Attributes:
        sock: The connection's socket.
        peer: What the other end says of itself.
        peer_session: The session that the other end named.
        wake: Set when there is something to write.
        resend: Whether unacknowledged frames go first.
        received_ms: When a frame last arrived.
        closed: Whether this end has closed it.
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
        """Sends a payload; raises OSError."""
        self.sock.sendall(
            framing.pack_payload(payload, self._outgoing.compute_mac(payload))
        )

    def read(self) -> bytes | None:
        """Returns the next payload, None at the end; raises FrameError."""
        received = framing.read_payload(self.sock)
        if received is None:
            return None
        self._incoming.verify(*received)
        return received[0]

    def close(self) -> None:
        """Closes the connection, also under a write that is blocked."""
        self.closed = True
        self.wake.set()
        self.sock.close()


def handshake_as_dialler(
    sock: socket.socket, own_hello: wire.Hello, shared_key: bytes, now_ms: int
) -> Link:
    """Does the handshake of the end that dialled, up to its own proof.

    The proof is sent by `send_proof`, so that the caller can look at the other
    end's session first. Raises FrameError or OSError.
    """
    _configure_socket(sock)
    own_hello = _add_nonce(own_hello)
    sock.sendall(framing.pack_payload(framing.encode(own_hello)))
    peer_hello = _read_hello(sock, own_hello)
    key = framing.derive_key(shared_key, own_hello, peer_hello)
    link = _make_link(sock, own_hello, peer_hello, key, now_ms)
    if link.read() is None:
        raise framing.FrameError("peer closed in the handshake")
    return link


def handshake_as_acceptor(
    sock: socket.socket,
    make_hello: Callable[[wire.Hello], wire.Hello],
    shared_key: bytes,
    now_ms: int,
) -> Link:
    """Does the handshake of the end that accepted.

    Guards against a peer without the shared key: the link is returned only
    after the other end's first sealed frame has been checked.

    Args:
        sock: The connection.
        make_hello: Called with the other end's hello, not yet proved.
        shared_key: Key by which processes prove themselves.
        now_ms: The time.
    """
    _configure_socket(sock)
    peer_hello = _read_hello(sock, None)
    own_hello = _add_nonce(make_hello(peer_hello))
    if peer_hello.instance == own_hello.instance:
        raise framing.FrameError("peer has this instance's name")
    sock.sendall(framing.pack_payload(framing.encode(own_hello)))
    key = framing.derive_key(shared_key, peer_hello, own_hello)
    link = _make_link(sock, own_hello, peer_hello, key, now_ms)
    send_proof(link)
    if link.read() is None:
        raise framing.FrameError("peer closed in the handshake")
    return link


def send_proof(link: Link) -> None:
    """Sends the first sealed frame, which shows knowledge of the key."""
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
    received = framing.read_payload(sock)
    if received is None:
        raise framing.FrameError("peer closed in the handshake")
    peer_hello = framing.decode(wire.Hello, received[0])
    if (
        peer_hello.protocol != framing.PROTOCOL_VERSION
        or not peer_hello.instance
    ):
        raise framing.FrameError("another protocol")
    if own_hello is not None and peer_hello.instance == own_hello.instance:
        raise framing.FrameError("peer has this instance's name")
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
