"""Connections between caroblug's own processes.

One connection serves a pair of processes in both directions. A writer sends
everything that waits for a peer in one frame, so that the cost of a frame is
shared by all steps that wait.
"""

import abc
import secrets
from collections.abc import Iterable

import attrs
import gevent
from gevent import event, server, socket

from caroblug.gen.wire import ttypes as wire
from caroblug.transport import _framing as framing
from caroblug.utils import Clock, Metrics, log_state

_DIAL_TIMEOUT_S = 1.0
_HANDSHAKE_TIMEOUT_S = 2.0
_MAX_OUTBOX_MESSAGES = 100_000
_SEND_TIMEOUT_S = 2.0

_FIELD_OF_MESSAGE = {
    wire.OpenStream: "opens",
    wire.Need: "needs",
    wire.Step: "steps",
    wire.Token: "tokens",
    wire.Cancel: "cancels",
    wire.StageRefusal: "refusals",
    wire.LoadReport: "reports",
    wire.PlainCall: "calls",
    wire.PlainReply: "replies",
    wire.Heartbeat: "heartbeats",
    wire.LinkProbe: "probes",
    wire.BundleAdvert: "bundle_adverts",
    wire.BundleFetch: "bundle_fetches",
    wire.BundleSections: "bundle_sections",
    wire.ShareDemand: "demands",
    wire.ShareGrant: "grants",
    wire.Suspicion: "suspicions",
    wire.RunRequest: "run_requests",
    wire.RunAdmitted: "run_admitted",
}


@attrs.frozen
class PeerAddress:
    """Where a process of the system listens for the others."""

    instance: str
    host: str
    port: int
    role: str = ""
    data_centre: str = ""


class PeerHandler(abc.ABC):
    """What a program does with its peers' messages; must not block."""

    @abc.abstractmethod
    def on_frame(self, peer: PeerAddress, frame: wire.Frame) -> None:
        """Takes a frame from a peer that has proved itself."""

    @abc.abstractmethod
    def on_peer_up(self, peer: PeerAddress) -> None:
        """Learns of the first connection with a peer."""

    @abc.abstractmethod
    def on_peer_lost(self, peer: PeerAddress, reason: str) -> None:
        """Learns that the last connection with a peer has ended."""


class _Link:
    """One authenticated connection."""

    def __init__(
        self,
        sock: socket.socket,
        peer: PeerAddress,
        sender: framing.Sealer,
        checker: framing.Sealer,
        now_ms: int,
    ) -> None:
        self.sock = sock
        self.peer = peer
        self.sender = sender
        self.checker = checker
        self.outbox: list[object] = []
        self.wake = event.Event()
        self.received_ms = now_ms
        self.sent_ms = now_ms
        self.closed = False

    def close(self) -> None:
        self.closed = True
        self.wake.set()
        self.sock.close()


class PeerNetwork:
    """All connections of one process.

    Args:
        hello: What this process says of itself; its nonce is not used.
        shared_key: Key by which processes prove themselves.
        handler: Takes what arrives.
        clock: Source of time.
        metrics: Where frames and refused peers are counted.
        heartbeat_ms: Silence on a connection after which one is sent.
        silence_ms: Silence after which a connection counts as lost.
    """

    def __init__(
        self,
        hello: wire.Hello,
        shared_key: bytes,
        handler: PeerHandler,
        clock: Clock,
        metrics: Metrics,
        heartbeat_ms: int,
        silence_ms: int,
    ) -> None:
        self._hello = hello
        self._shared_key = shared_key
        self._handler = handler
        self._clock = clock
        self._metrics = metrics
        self._heartbeat_ms = heartbeat_ms
        self._silence_ms = silence_ms
        self._links: dict[str, list[_Link]] = {}
        self._dialling: dict[str, list[object]] = {}
        self._server: server.StreamServer | None = None
        self._heartbeats = 0

    @property
    def peers(self) -> tuple[PeerAddress, ...]:
        """The peers connected now."""
        return tuple(links[-1].peer for links in self._links.values())

    def start(self, host: str, port: int) -> int:
        """Listens for peers and returns the port."""
        self._server = server.StreamServer((host, port), self._accept)
        self._server.start()
        self._hello.host = host
        self._hello.port = self._server.server_port
        gevent.spawn(self._watch)
        return self._server.server_port

    def stop(self) -> None:
        """Closes the listener and every connection."""
        if self._server is not None:
            self._server.stop(timeout=0)
        for links in list(self._links.values()):
            for link in list(links):
                link.close()

    def is_connected(self, instance: str) -> bool:
        """Tells whether a peer has a connection now."""
        return instance in self._links

    def send(self, to: PeerAddress, *messages: object) -> None:
        """Queues messages for a peer, dialling it if need be.

        Nothing is raised: a peer that cannot be reached is told to the
        handler by `on_peer_lost`.
        """
        links = self._links.get(to.instance)
        if links:
            self._queue(links[-1], messages)
            return
        waiting = self._dialling.get(to.instance)
        if waiting is not None:
            waiting.extend(messages)
            return
        self._dialling[to.instance] = list(messages)
        gevent.spawn(self._dial, to)

    def disconnect(self, instance: str) -> None:
        """Closes every connection with a peer."""
        for link in list(self._links.get(instance, ())):
            self._drop(link, "not needed")

    def broadcast(self, role: str, *messages: object) -> None:
        """Queues messages for every connected peer of a role."""
        for links in list(self._links.values()):
            if links[-1].peer.role == role:
                self._queue(links[-1], messages)

    def _queue(self, link: _Link, messages: Iterable[object]) -> None:
        link.outbox.extend(messages)
        if len(link.outbox) > _MAX_OUTBOX_MESSAGES:
            self._drop(link, "outbox full")
            return
        link.wake.set()

    def _dial(self, to: PeerAddress) -> None:
        try:
            sock = socket.create_connection(
                (to.host, to.port), timeout=_DIAL_TIMEOUT_S
            )
            link = self._shake(sock, dialled=True)
        except (OSError, framing.FrameError) as error:
            self._dialling.pop(to.instance, None)
            if to.instance not in self._links:
                self._handler.on_peer_lost(to, f"dial failed: {error}")
            return
        messages = self._dialling.pop(to.instance, [])
        if link.peer.instance != to.instance:
            link.close()
            self._handler.on_peer_lost(to, "another instance answered")
            return
        self._add(link)
        self._queue(link, messages)
        self._read(link)

    def _accept(self, sock: socket.socket, address: object) -> None:
        del address
        try:
            link = self._shake(sock, dialled=False)
        except (OSError, framing.FrameError):
            self._metrics.count("peers_refused")
            sock.close()
            return
        self._add(link)
        self._read(link)

    def _shake(self, sock: socket.socket, *, dialled: bool) -> _Link:
        """Exchanges hellos; each end then proves itself by its first frame.

        Both ends send a heartbeat at once and check the other's before the
        connection counts, so that a peer without the key is never added.
        """
        sock.settimeout(_HANDSHAKE_TIMEOUT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        mine = wire.Hello(
            self._hello.instance,
            self._hello.role,
            self._hello.data_centre,
            secrets.token_bytes(framing.NONCE_BYTES),
            framing.PROTOCOL,
            self._hello.host,
            self._hello.port,
        )
        sock.sendall(framing.pack_payload(framing.encode(mine)))
        theirs = framing.decode(wire.Hello, self._expect(sock)[0])
        if theirs.protocol != framing.PROTOCOL or not theirs.instance:
            raise framing.FrameError("another protocol")
        if theirs.instance == mine.instance:
            raise framing.FrameError("peer has this instance's name")
        pair = (mine, theirs) if dialled else (theirs, mine)
        key = framing.derive_key(self._shared_key, *pair)
        sender = framing.Sealer(key, mine.instance)
        checker = framing.Sealer(key, theirs.instance)
        proof = framing.encode(wire.Frame())
        sock.sendall(framing.pack_payload(proof, sender.code(proof)))
        checker.check(*self._expect(sock))
        sock.settimeout(_SEND_TIMEOUT_S)
        peer = PeerAddress(
            theirs.instance,
            theirs.host,
            theirs.port,
            theirs.role,
            theirs.data_centre,
        )
        return _Link(sock, peer, sender, checker, self._clock.now_ms())

    def _expect(self, sock: socket.socket) -> tuple[bytes, bytes]:
        received = framing.read_payload(sock)
        if received is None:
            raise framing.FrameError("peer closed in the handshake")
        return received

    def _add(self, link: _Link) -> None:
        links = self._links.setdefault(link.peer.instance, [])
        links.append(link)
        gevent.spawn(self._write, link)
        if len(links) == 1:
            self._handler.on_peer_up(link.peer)

    def _read(self, link: _Link) -> None:
        reason = "closed by peer"
        link.sock.settimeout(None)
        try:
            while True:
                received = framing.read_payload(link.sock)
                if received is None:
                    break
                link.checker.check(*received)
                link.received_ms = self._clock.now_ms()
                frame = framing.decode(wire.Frame, received[0])
                self._metrics.count("frames_received")
                self._handler.on_frame(link.peer, frame)
        except framing.FrameError as error:
            self._metrics.count("frames_refused")
            reason = str(error)
        except OSError as error:
            reason = str(error)
        self._drop(link, reason)

    def _write(self, link: _Link) -> None:
        while not link.closed:
            link.wake.wait()
            link.wake.clear()
            while link.outbox and not link.closed:
                messages, link.outbox = link.outbox, []
                try:
                    self._write_frame(link, messages)
                except OSError as error:
                    self._drop(link, f"send failed: {error}")
                    return

    def _write_frame(self, link: _Link, messages: list[object]) -> None:
        frame = wire.Frame()
        for message in messages:
            field = _FIELD_OF_MESSAGE[type(message)]
            waiting = getattr(frame, field)
            if waiting is None:
                setattr(frame, field, [message])
            else:
                waiting.append(message)
        payload = framing.encode(frame)
        link.sent_ms = self._clock.now_ms()
        link.sock.sendall(
            framing.pack_payload(payload, link.sender.code(payload))
        )
        self._metrics.count("frames_sent")
        self._metrics.count("frame_bytes_sent", len(payload))

    def _watch(self) -> None:
        """Sends heartbeats and drops connections that have gone silent.

        Guards against a connection that something between the two ends has
        lost track of: no reset arrives, sends seem to succeed, and nothing
        is ever received again.
        """
        while True:
            gevent.sleep(self._heartbeat_ms / 2000)
            now_ms = self._clock.now_ms()
            for links in list(self._links.values()):
                for link in list(links):
                    self._watch_link(link, now_ms)

    def _watch_link(self, link: _Link, now_ms: int) -> None:
        if now_ms - link.received_ms > self._silence_ms:
            self._drop(link, "silent")
        elif now_ms - link.sent_ms >= self._heartbeat_ms:
            self._heartbeats += 1
            self._queue(link, (wire.Heartbeat(self._heartbeats),))

    def _drop(self, link: _Link, reason: str) -> None:
        link.close()
        links = self._links.get(link.peer.instance, [])
        if link not in links:
            return
        links.remove(link)
        if links:
            return
        del self._links[link.peer.instance]
        log_state("peer.lost", peer=link.peer.instance, reason=reason)
        self._metrics.count("peers_lost")
        self._handler.on_peer_lost(link.peer, reason)


def make_peer_network(
    hello: wire.Hello,
    shared_key: bytes,
    handler: PeerHandler,
    clock: Clock,
    metrics: Metrics,
    heartbeat_ms: int = 100,
    silence_ms: int = 500,
) -> PeerNetwork:
    """Returns a network that is not yet listening."""
    return PeerNetwork(
        hello, shared_key, handler, clock, metrics, heartbeat_ms, silence_ms
    )
