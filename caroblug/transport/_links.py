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
        their_session: The session that the other end named.
        wake: Set when there is something to write.
        resend: Whether unacknowledged frames go first.
        received_ms: When a frame last arrived.
        closed: Whether this end has closed it.
    """

    def __init__(
        self,
        sock: socket.socket,
        theirs: wire.Hello,
        sender: framing.FrameAuthenticator,
        checker: framing.FrameAuthenticator,
        now_ms: int,
    ) -> None:
        self.peer = PeerAddress(
            theirs.instance,
            theirs.host,
            theirs.port,
            theirs.role,
            theirs.data_centre,
        )
        self.their_session = theirs.session
        self.wake = event.Event()
        self.resend = True
        self.received_ms = now_ms
        self.closed = False
        self.sock = sock
        self._sender = sender
        self._checker = checker

    def write(self, payload: bytes) -> None:
        """Sends a payload; raises OSError."""
        self.sock.sendall(
            framing.pack_payload(payload, self._sender.code(payload))
        )

    def read(self) -> bytes | None:
        """Returns the next payload, None at the end; raises FrameError."""
        received = framing.read_payload(self.sock)
        if received is None:
            return None
        self._checker.check(*received)
        return received[0]

    def close(self) -> None:
        """Closes the connection, also under a write that is blocked."""
        self.closed = True
        self.wake.set()
        self.sock.close()


def greet(
    sock: socket.socket, mine: wire.Hello, shared_key: bytes, now_ms: int
) -> Link:
    """Does the handshake of the end that dialled, up to its own proof.

    The proof is sent by `prove`, so that the caller can look at the other
    end's session first. Raises FrameError or OSError.
    """
    _prepare(sock)
    mine = _with_nonce(mine)
    sock.sendall(framing.pack_payload(framing.encode(mine)))
    theirs = _read_hello(sock, mine)
    key = framing.derive_key(shared_key, mine, theirs)
    link = _make_link(sock, mine, theirs, key, now_ms)
    if link.read() is None:
        raise framing.FrameError("peer closed in the handshake")
    return link


def answer(
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
    _prepare(sock)
    theirs = _read_hello(sock, None)
    mine = _with_nonce(make_hello(theirs))
    if theirs.instance == mine.instance:
        raise framing.FrameError("peer has this instance's name")
    sock.sendall(framing.pack_payload(framing.encode(mine)))
    key = framing.derive_key(shared_key, theirs, mine)
    link = _make_link(sock, mine, theirs, key, now_ms)
    prove(link)
    if link.read() is None:
        raise framing.FrameError("peer closed in the handshake")
    return link


def prove(link: Link) -> None:
    """Sends the first sealed frame, which shows knowledge of the key."""
    link.write(framing.encode(wire.Frame()))


def _prepare(sock: socket.socket) -> None:
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _with_nonce(hello: wire.Hello) -> wire.Hello:
    return wire.Hello(
        hello.instance,
        hello.role,
        hello.data_centre,
        secrets.token_bytes(framing.NONCE_BYTES),
        framing.PROTOCOL,
        hello.host,
        hello.port,
        hello.session,
    )


def _read_hello(sock: socket.socket, mine: wire.Hello | None) -> wire.Hello:
    received = framing.read_payload(sock)
    if received is None:
        raise framing.FrameError("peer closed in the handshake")
    theirs = framing.decode(wire.Hello, received[0])
    if theirs.protocol != framing.PROTOCOL or not theirs.instance:
        raise framing.FrameError("another protocol")
    if mine is not None and theirs.instance == mine.instance:
        raise framing.FrameError("peer has this instance's name")
    return theirs


def _make_link(
    sock: socket.socket,
    mine: wire.Hello,
    theirs: wire.Hello,
    key: bytes,
    now_ms: int,
) -> Link:
    sender = framing.FrameAuthenticator(key, mine.instance)
    checker = framing.FrameAuthenticator(key, theirs.instance)
    return Link(sock, theirs, sender, checker, now_ms)
