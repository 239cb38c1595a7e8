"""Network of sessions between instances, which survive lost connections.

A session serves a pair of instances in both directions. All messages that are
queued for a peer are sent in one frame, so that they share the cost of a
frame. A connection that is reset or silent is replaced by a new one, on which
unacknowledged frames are sent again. A peer is lost only if it does not
respond on a new connection.
"""

import collections

import attrs
import gevent
from gevent import server, socket

from caroblug.caller_resources import CallerResources, ClosableConnection
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import _framing as framing
from caroblug.transport import _links
from caroblug.transport._handler import PeerHandler
from caroblug.transport._links import Link, PeerAddress
from caroblug.transport._pause_detector import PauseDetector
from caroblug.transport._sessions import SESSION_UNKNOWN, Session, SessionTiming
from caroblug.utils import Clock, Metrics, log_state

_DIAL_TIMEOUT_MS = 1000
_ADDRESS_ERRORS = (OverflowError, ValueError)
"""Raised for a host or a port of the list that can't exist."""

_HANDSHAKE_TIMEOUT_S = 5.0
_MAX_OUTBOX_MESSAGES = 100_000
_MAX_ACCEPT = 16
"""Connections that are accepted before other greenlets get their turn."""

_TICK_MS = 50
_SHORT_PAUSE_MS = 150
_MS_PER_S = 1000
_PAUSED_REASON = "this process was paused"


class _Newcomer(ClosableConnection):
    """A connection of a peer that is not authenticated yet.

    Args:
        sock: Its socket.
        resources: Accounts for all connections of the process.
    """

    def __init__(self, sock: socket.socket, resources: CallerResources) -> None:
        self._socket = sock
        self._resources = resources
        self._holding = resources.open(self)
        resources.make_room()

    def evict(self) -> None:
        """Closes the connection."""
        self.end_handshake()
        self._socket.close()

    def end_handshake(self) -> None:
        """Ends the accounting, as the peer is authenticated or refused."""
        self._resources.held.close(self._holding)


class PeerNetwork:
    """The sessions of one instance with its peers.

    Args:
        hello: Template of this instance's hello; its nonce is not used.
        shared_key: Key with which instances authenticate each other.
        handler: Receives frames and session events.
        clock: Source of time.
        metrics: Registry that counts frames, connections and lost peers.
        timing: Heartbeat intervals and timeouts of the sessions.
        resources: Accounts for connections of peers that are not
            authenticated yet.
    """

    def __init__(
        self,
        hello: wire.Hello,
        shared_key: bytes,
        handler: PeerHandler,
        clock: Clock,
        metrics: Metrics,
        timing: SessionTiming,
        resources: CallerResources | None = None,
    ) -> None:
        self._resources = resources or CallerResources(clock)
        self._hello = hello
        self._shared_key = shared_key
        self._handler = handler
        self._clock = clock
        self._metrics = metrics
        self._timing = timing
        self._sessions: dict[str, Session] = {}
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._server: server.StreamServer | None = None
        self._ticker: gevent.Greenlet | None = None
        self._stopped = False
        self._pause_detector = PauseDetector(
            clock,
            _TICK_MS,
            _SHORT_PAUSE_MS,
            timing.silence_ms + timing.probe_ms,
        )

    @property
    def peers(self) -> tuple[PeerAddress, ...]:
        """The peers that currently have a connection."""
        return tuple(
            s.current.peer for s in self._sessions.values() if s.current
        )

    def start(self, host: str, port: int) -> int:
        """Starts to listen for peers and returns the port."""
        self._server = server.StreamServer((host, port), self._accept)
        self._server.max_accept = _MAX_ACCEPT
        self._server.start()
        self._hello.host = self._hello.host or host
        self._hello.port = self._hello.port or self._server.server_port
        self._ticker = gevent.spawn(self._tick_forever)
        return self._server.server_port

    def stop(self) -> None:
        """Closes the listener and every connection, and ends the ticks."""
        self._stopped = True
        if self._ticker is not None:
            self._ticker.kill(block=False)
        if self._server is not None:
            self._server.stop(timeout=0)
        for session in self._sessions.values():
            for link in list(session.links):
                link.close()

    def is_connected(self, instance: str) -> bool:
        """Returns whether there is a session with a peer."""
        return instance in self._sessions

    def add_in_flight(self, instance: str, change: int = 1) -> None:
        """Changes the count of work in flight that depends on a peer.

        Heartbeats are frequent and timeouts short only while the count is
        above zero, so that idle connections stay cheap.

        Args:
            instance: Name of the peer.
            change: Amount to add to the count; may be negative.
        """
        self._in_flight[instance] += change
        if self._in_flight[instance] <= 0:
            del self._in_flight[instance]

    def send(self, to: PeerAddress, *messages: object) -> None:
        """Queues messages for a peer and connects to it if necessary.

        A peer that cannot be reached raises no error here; it is reported by
        `PeerHandler.on_peer_lost`.
        """
        session = self._sessions.get(to.instance)
        if session is None:
            session = Session(to, "", self._clock.now_ms())
            self._sessions[to.instance] = session
            self._begin_dial(session)
        self._queue(session, messages)

    def disconnect(self, instance: str) -> None:
        """Ends the session with a peer that is not needed any more."""
        session = self._sessions.get(instance)
        if session is not None:
            self._end_session(session, "not needed any more")

    def broadcast(self, role: str, *messages: object) -> None:
        """Queues messages for every connected peer of a role."""
        for session in list(self._sessions.values()):
            if session.current and session.current.peer.role == role:
                self._queue(session, messages)

    def _queue(self, session: Session, messages: tuple[object, ...]) -> None:
        session.queue(*messages)
        if len(session.outbox) > _MAX_OUTBOX_MESSAGES:
            self._end_session(session, "outbox full")

    def _begin_dial(self, session: Session) -> None:
        if not session.dialling and not self._stopped:
            session.dialling = True
            gevent.spawn(self._dial, session)

    def _dial(self, session: Session) -> None:
        """Opens a new connection; a peer that does not respond is lost.

        The kernel of a frozen process still accepts connections, so that only
        a completed handshake shows that the peer is alive. A peer that has
        acknowledged frames on the old connection in the meantime is slow, not
        lost.
        """
        before_ms = self._clock.now_ms()
        older = list(session.links)
        link = self._connect(session)
        session.dialling = False
        if self._sessions.get(session.peer.instance) is not session:
            if isinstance(link, Link):
                link.close()
            return
        if isinstance(link, str):
            now_ms = self._clock.now_ms()
            waited_ms = session.delivery.waited_ms(now_ms)
            slow = waited_ms < now_ms - before_ms
            if session.links and slow and link != SESSION_UNKNOWN:
                return
            self._end_session(session, link)
            return
        self._metrics.count("links_dialled")
        session.add_rtt((self._clock.now_ms() - before_ms) / 2)
        self._attach_link(session, link)
        for old in older:
            self._drop_link(session, old, "replaced")
        self._read_forever(session, link)

    def _connect(self, session: Session) -> Link | str:
        """Returns an authenticated connection, or why there is none."""
        sock = None
        timeout = gevent.Timeout(
            self._dial_timeout_ms(session) / _MS_PER_S,
            TimeoutError("no response"),
        )
        try:
            with timeout:
                sock = socket.create_connection(
                    (session.peer.host, session.peer.port)
                )
                link = _links.handshake_as_dialler(
                    sock,
                    session.make_hello(self._hello),
                    self._shared_key,
                    self._clock.now_ms(),
                )
                session.verify_link(link)
                _links.send_proof(link)
                return link
        except (
            OSError,
            OverflowError,
            ValueError,
            framing.FrameError,
        ) as error:
            # The address comes from the list; its host or port may not exist.
            if sock is not None:
                sock.close()
            return str(error)

    def _dial_timeout_ms(self, session: Session) -> float:
        if not session.is_up:
            return _DIAL_TIMEOUT_MS
        return self._timing.probe_ms + 4 * session.rtt_ms

    def _accept(self, sock: socket.socket, address: object) -> None:
        """Accepts a connection for the named session or for a new one.

        A process that was declared dead and resumes still belongs to the old
        session. Either its hello names a session that is unknown here, or the
        hello of this end names one that is unknown there. Each end then drops
        the state of the old session.
        """
        del address
        known: Session | None = None
        session: Session | None = None

        def _choose_session(peer_hello: wire.Hello) -> wire.Hello:
            nonlocal known, session
            known = self._sessions.get(peer_hello.instance)
            session = known
            if known is None or known.peer_session_id not in (
                "",
                peer_hello.session,
            ):
                to = PeerAddress(
                    peer_hello.instance, peer_hello.host, peer_hello.port
                )
                session = Session(to, peer_hello.session, self._clock.now_ms())
            return session.make_hello(self._hello)

        timeout = gevent.Timeout(_HANDSHAKE_TIMEOUT_S, TimeoutError("slow"))
        newcomer = _Newcomer(sock, self._resources)
        try:
            with timeout:
                link = _links.handshake_as_acceptor(
                    sock,
                    _choose_session,
                    self._shared_key,
                    self._clock.now_ms(),
                )
        except (OSError, framing.FrameError):
            self._metrics.count("peers_refused")
            sock.close()
            return
        finally:
            newcomer.end_handshake()
        if self._sessions.get(link.peer.instance) is not known:
            link.close()
            return
        if session is not known:
            if known is not None:
                self._end_session(known, "peer has started a new session")
            self._sessions[link.peer.instance] = session
        self._attach_link(session, link)
        self._read_forever(session, link)

    def _attach_link(self, session: Session, link: Link) -> None:
        first, session.is_up = not session.is_up, True
        session.peer_session_id = link.peer_session
        session.peer = attrs.evolve(
            session.peer,
            role=link.peer.role,
            data_centre=link.peer.data_centre,
        )
        session.links.append(link)
        session.restart_wait(self._clock.now_ms())
        link.wake.set()
        gevent.spawn(self._write_forever, session, link)
        if first:
            self._handler.on_peer_up(link.peer)

    def _read_forever(self, session: Session, link: Link) -> None:
        reason = "connection closed by peer"
        try:
            while True:
                payload = link.read()
                if payload is None:
                    break
                self._on_payload(session, link, payload)
        except framing.FrameError as error:
            self._metrics.count("frames_refused")
            reason = str(error)
        except OSError as error:
            reason = str(error)
        self._drop_link(session, link, reason)

    def _on_payload(self, session: Session, link: Link, payload: bytes) -> None:
        now_ms = self._clock.now_ms()
        if self._pause_detector.is_long_pause:
            raise framing.FrameError(_PAUSED_REASON)
        frame = framing.decode(wire.Frame, payload)
        self._metrics.count("frames_received")
        link.received_ms = now_ms
        if self._sessions.get(link.peer.instance) is not session:
            return
        for due in session.on_frame(frame, now_ms):
            self._handler.on_frame(link.peer, due)

    def _write_forever(self, session: Session, link: Link) -> None:
        try:
            while not link.closed:
                link.wake.wait()
                link.wake.clear()
                self._write_pending(session, link)
        except OSError as error:
            self._drop_link(session, link, f"send failed: {error}")

    def _write_pending(self, session: Session, link: Link) -> None:
        if link.resend:
            link.resend = False
            for payload in session.delivery.unacknowledged(
                self._clock.now_ms()
            ):
                self._metrics.count("frames_resent")
                link.write(payload)
        while session.current is link and not link.closed:
            payload = session.next_payload(self._clock.now_ms())
            if payload is None:
                return
            link.write(payload)
            self._metrics.count("frames_sent")
            self._metrics.count("frame_bytes_sent", len(payload))

    def _tick_forever(self) -> None:
        self._pause_detector.tick()
        while True:
            gevent.sleep(_TICK_MS / _MS_PER_S)
            now_ms = self._clock.now_ms()
            short, long = (
                self._pause_detector.is_short_pause,
                self._pause_detector.is_long_pause,
            )
            self._pause_detector.tick()
            for session in list(self._sessions.values()):
                if short:
                    self._resume_after_pause(session, now_ms, long=long)
                elif session.links:
                    self._tick(session, now_ms)

    def _resume_after_pause(
        self, session: Session, now_ms: int, *, long: bool
    ) -> None:
        """Restarts the timeouts of a session after a pause of this process.

        Otherwise a resumed process would suspect all its peers before it has
        read the frames that they sent during the pause.

        Args:
            session: The session.
            now_ms: Current time.
            long: Whether the pause was so long that peers may have declared
                this process lost; the connections are dropped then.
        """
        session.restart_wait(now_ms)
        if long:
            for link in list(session.links):
                self._drop_link(session, link, _PAUSED_REASON)

    def _tick(self, session: Session, now_ms: int) -> None:
        if session.delivery.over_limit:
            self._end_session(
                session, "unacknowledged or early frames exceed the limit"
            )
            return
        suspected = session.tick(
            self._timing,
            in_flight=session.peer.instance in self._in_flight,
            now_ms=now_ms,
        )
        if suspected and not session.dialling:
            self._metrics.count("peers_suspected")
            self._begin_dial(session)
        for link in session.links[:-1]:
            if now_ms - link.received_ms > self._timing.idle_heartbeat_ms:
                self._drop_link(session, link, "superseded")

    def _drop_link(self, session: Session, link: Link, reason: str) -> None:
        """Closes a connection and continues on another or a new one."""
        link.close()
        if link not in session.links:
            return
        was_current = session.current is link
        session.links.remove(link)
        if self._sessions.get(session.peer.instance) is not session:
            return
        self._metrics.count("links_dropped")
        log_state("peer.link", peer=session.peer.instance, reason=reason)
        if session.current is None:
            self._begin_dial(session)
            return
        if was_current:
            session.current.resend = True
            session.current.wake.set()

    def _end_session(self, session: Session, reason: str) -> None:
        if self._sessions.get(session.peer.instance) is not session:
            return
        del self._sessions[session.peer.instance]
        for link in session.links:
            link.close()
        session.links.clear()
        log_state("peer.lost", peer=session.peer.instance, reason=reason)
        self._metrics.count("peers_lost")
        self._handler.on_peer_lost(session.peer, reason)


def make_peer_network(
    hello: wire.Hello,
    shared_key: bytes,
    handler: PeerHandler,
    clock: Clock,
    metrics: Metrics,
    timing: SessionTiming | None = None,
    resources: CallerResources | None = None,
) -> PeerNetwork:
    """Returns a network that does not listen yet."""
    return PeerNetwork(
        hello,
        shared_key,
        handler,
        clock,
        metrics,
        timing or SessionTiming(),
        resources,
    )
