"""Sessions between caroblug's own processes, over connections that may die.

One session serves a pair of processes in both directions. A writer sends
everything that waits for a peer in one frame, so that the cost of a frame is
shared by all steps that wait. A connection that is reset or goes silent is
replaced by a new one, on which what was not acknowledged is sent again; only
a peer that does not answer on a new connection is lost.
"""

import collections

import attrs
import gevent
from gevent import server, socket

from caroblug.gen.wire import ttypes as wire
from caroblug.transport import _framing as framing
from caroblug.transport import _links
from caroblug.transport._handler import PeerHandler
from caroblug.transport._links import Link, PeerAddress
from caroblug.transport._pause_detector import PauseDetector
from caroblug.transport._sessions import FORGOTTEN, Session, SessionTiming
from caroblug.utils import Clock, Metrics, log_state

_DIAL_TIMEOUT_MS = 1000
_HANDSHAKE_TIMEOUT_S = 5.0
_MAX_OUTBOX_MESSAGES = 100_000
_TICK_MS = 50
_PAUSE_MS = 150
_MS_PER_S = 1000
_PAUSED = "this process was paused"


class PeerNetwork:
    """All sessions of one process.

    Args:
        hello: What this process says of itself; its nonce is not used.
        shared_key: Key by which processes prove themselves.
        handler: Takes what arrives.
        clock: Source of time.
        metrics: Where frames and refused peers are counted.
        timing: How soon a peer is asked whether it still lives.
    """

    def __init__(
        self,
        hello: wire.Hello,
        shared_key: bytes,
        handler: PeerHandler,
        clock: Clock,
        metrics: Metrics,
        timing: SessionTiming,
    ) -> None:
        self._hello = hello
        self._shared_key = shared_key
        self._handler = handler
        self._clock = clock
        self._metrics = metrics
        self._timing = timing
        self._sessions: dict[str, Session] = {}
        self._watched: collections.Counter[str] = collections.Counter()
        self._server: server.StreamServer | None = None
        self._stopped = False
        self._pauses = PauseDetector(
            clock, _TICK_MS, _PAUSE_MS, timing.silence_ms + timing.probe_ms
        )

    @property
    def peers(self) -> tuple[PeerAddress, ...]:
        """The peers connected now."""
        return tuple(
            s.current.peer for s in self._sessions.values() if s.current
        )

    def start(self, host: str, port: int) -> int:
        """Listens for peers and returns the port."""
        self._server = server.StreamServer((host, port), self._accept)
        self._server.start()
        self._hello.host = self._hello.host or host
        self._hello.port = self._hello.port or self._server.server_port
        gevent.spawn(self._tick_forever)
        return self._server.server_port

    def stop(self) -> None:
        """Closes the listener and every connection."""
        self._stopped = True
        if self._server is not None:
            self._server.stop(timeout=0)
        for session in self._sessions.values():
            for link in list(session.links):
                link.close()

    def is_connected(self, instance: str) -> bool:
        """Tells whether there is a session with a peer."""
        return instance in self._sessions

    def add_in_flight(self, instance: str, change: int = 1) -> None:
        """Adds to the count of work in flight that needs a peer.

        Heartbeats are frequent, and silence is noticed soon, only while the
        count is above zero: idle connections must stay cheap.
        """
        self._watched[instance] += change
        if self._watched[instance] <= 0:
            del self._watched[instance]

    def send(self, to: PeerAddress, *messages: object) -> None:
        """Queues messages for a peer, dialling it if need be.

        Nothing is raised: a peer that cannot be reached is told to the
        handler by `on_peer_lost`.
        """
        session = self._sessions.get(to.instance)
        if session is None:
            session = Session(to, "", self._clock.now_ms())
            self._sessions[to.instance] = session
            self._begin_dial(session)
        self._queue(session, messages)

    def disconnect(self, instance: str) -> None:
        """Ends the session with a peer that is not needed now."""
        session = self._sessions.get(instance)
        if session is not None:
            self._lose(session, "not needed")

    def broadcast(self, role: str, *messages: object) -> None:
        """Queues messages for every connected peer of a role."""
        for session in list(self._sessions.values()):
            if session.current and session.current.peer.role == role:
                self._queue(session, messages)

    def _queue(self, session: Session, messages: tuple[object, ...]) -> None:
        session.queue(*messages)
        if len(session.outbox) > _MAX_OUTBOX_MESSAGES:
            self._lose(session, "outbox full")

    def _begin_dial(self, session: Session) -> None:
        if not session.dialling and not self._stopped:
            session.dialling = True
            gevent.spawn(self._dial, session)

    def _dial(self, session: Session) -> None:
        """Connects anew; a peer that does not answer in time is lost.

        Guards against a frozen process, whose kernel still accepts: only an
        answer of the process itself counts. A peer that acknowledged
        something on the old connection meanwhile was merely slow.
        """
        before_ms = self._clock.now_ms()
        older = list(session.links)
        link = self._connect(session)
        session.dialling = False
        if self._sessions.get(session.to.instance) is not session:
            if isinstance(link, Link):
                link.close()
            return
        if isinstance(link, str):
            now_ms = self._clock.now_ms()
            waited_ms = session.delivery.waited_ms(now_ms)
            slow = waited_ms < now_ms - before_ms
            if session.links and slow and link != FORGOTTEN:
                return
            self._lose(session, link)
            return
        self._metrics.count("links_dialled")
        session.add_rtt((self._clock.now_ms() - before_ms) / 2)
        self._add(session, link)
        for old in older:
            self._drop(session, old, "replaced")
        self._read(session, link)

    def _connect(self, session: Session) -> Link | str:
        """Returns a proved connection, or why there is none."""
        sock = None
        timeout = gevent.Timeout(
            self._dial_ms(session) / _MS_PER_S, TimeoutError("no answer")
        )
        try:
            with timeout:
                sock = socket.create_connection(
                    (session.to.host, session.to.port)
                )
                link = _links.greet(
                    sock,
                    session.hello_from(self._hello),
                    self._shared_key,
                    self._clock.now_ms(),
                )
                session.check(link)
                _links.prove(link)
                return link
        except (OSError, framing.FrameError) as error:
            if sock is not None:
                sock.close()
            return str(error)

    def _dial_ms(self, session: Session) -> float:
        if not session.is_up:
            return _DIAL_TIMEOUT_MS
        return self._timing.probe_ms + 4 * session.rtt_ms

    def _accept(self, sock: socket.socket, address: object) -> None:
        """Answers a connection, for the session it names or a new one.

        Guards against a process that was declared dead and wakes up: it
        names a session that is no longer known here, or is told one that it
        does not know, and each end then drops what belonged to the old one.
        """
        del address
        known: Session | None = None
        session: Session | None = None

        def _choose(theirs: wire.Hello) -> wire.Hello:
            nonlocal known, session
            known = self._sessions.get(theirs.instance)
            session = known
            if known is None or known.their_id not in ("", theirs.session):
                to = PeerAddress(theirs.instance, theirs.host, theirs.port)
                session = Session(to, theirs.session, self._clock.now_ms())
            return session.hello_from(self._hello)

        timeout = gevent.Timeout(_HANDSHAKE_TIMEOUT_S, TimeoutError("slow"))
        try:
            with timeout:
                link = _links.answer(
                    sock, _choose, self._shared_key, self._clock.now_ms()
                )
        except (OSError, framing.FrameError):
            self._metrics.count("peers_refused")
            sock.close()
            return
        if self._sessions.get(link.peer.instance) is not known:
            link.close()
            return
        if session is not known:
            if known is not None:
                self._lose(known, "peer has begun a new session")
            self._sessions[link.peer.instance] = session
        self._add(session, link)
        self._read(session, link)

    def _add(self, session: Session, link: Link) -> None:
        first, session.is_up = not session.is_up, True
        session.their_id = link.their_session
        session.to = attrs.evolve(
            session.to,
            role=link.peer.role,
            data_centre=link.peer.data_centre,
        )
        session.links.append(link)
        session.restart_wait(self._clock.now_ms())
        link.wake.set()
        gevent.spawn(self._write, session, link)
        if first:
            self._handler.on_peer_up(link.peer)

    def _read(self, session: Session, link: Link) -> None:
        reason = "closed by peer"
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
        self._drop(session, link, reason)

    def _on_payload(self, session: Session, link: Link, payload: bytes) -> None:
        now_ms = self._clock.now_ms()
        if self._pauses.long:
            raise framing.FrameError(_PAUSED)
        frame = framing.decode(wire.Frame, payload)
        self._metrics.count("frames_received")
        link.received_ms = now_ms
        if self._sessions.get(link.peer.instance) is not session:
            return
        for due in session.on_frame(frame, now_ms):
            self._handler.on_frame(link.peer, due)

    def _write(self, session: Session, link: Link) -> None:
        try:
            while not link.closed:
                link.wake.wait()
                link.wake.clear()
                self._write_waiting(session, link)
        except OSError as error:
            self._drop(session, link, f"send failed: {error}")

    def _write_waiting(self, session: Session, link: Link) -> None:
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
        self._pauses.tick()
        while True:
            gevent.sleep(_TICK_MS / _MS_PER_S)
            now_ms = self._clock.now_ms()
            short, long = self._pauses.short, self._pauses.long
            self._pauses.tick()
            for session in list(self._sessions.values()):
                if short:
                    self._after_pause(session, now_ms, long=long)
                elif session.links:
                    self._tick(session, now_ms)

    def _after_pause(
        self, session: Session, now_ms: int, *, long: bool
    ) -> None:
        """Makes up for a pause of this process, short or long.

        Guards against a process that, awake again, takes all its peers for
        silent before it has read what they sent.
        """
        session.restart_wait(now_ms)
        if long:
            for link in list(session.links):
                self._drop(session, link, _PAUSED)

    def _tick(self, session: Session, now_ms: int) -> None:
        if session.delivery.over_limit:
            self._lose(session, "too much unacknowledged")
            return
        suspected = session.tick(
            self._timing,
            watched=session.to.instance in self._watched,
            now_ms=now_ms,
        )
        if suspected and not session.dialling:
            self._metrics.count("peers_suspected")
            self._begin_dial(session)
        for link in session.links[:-1]:
            if now_ms - link.received_ms > self._timing.idle_heartbeat_ms:
                self._drop(session, link, "superseded")

    def _drop(self, session: Session, link: Link, reason: str) -> None:
        """Ends a connection and goes on with another, or dials one."""
        link.close()
        if link not in session.links:
            return
        was_current = session.current is link
        session.links.remove(link)
        if self._sessions.get(session.to.instance) is not session:
            return
        self._metrics.count("links_dropped")
        log_state("peer.link", peer=session.to.instance, reason=reason)
        if session.current is None:
            self._begin_dial(session)
            return
        if was_current:
            session.current.resend = True
            session.current.wake.set()

    def _lose(self, session: Session, reason: str) -> None:
        if self._sessions.get(session.to.instance) is not session:
            return
        del self._sessions[session.to.instance]
        for link in session.links:
            link.close()
        session.links.clear()
        log_state("peer.lost", peer=session.to.instance, reason=reason)
        self._metrics.count("peers_lost")
        self._handler.on_peer_lost(session.to, reason)


def make_peer_network(
    hello: wire.Hello,
    shared_key: bytes,
    handler: PeerHandler,
    clock: Clock,
    metrics: Metrics,
    timing: SessionTiming | None = None,
) -> PeerNetwork:
    """Returns a network that is not yet listening."""
    return PeerNetwork(
        hello, shared_key, handler, clock, metrics, timing or SessionTiming()
    )
