"""State of one session with a peer, which outlives its connections.

A session ends when it is no longer needed, when a new connection to the peer
fails, when the peer names another session on a new connection, or when the
queued messages, the unacknowledged frames or the frames received out of order
exceed their limit.
"""

import secrets

import attrs

from caroblug.core.recovery import Delivery
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import _framing as framing
from caroblug.transport._links import Link, PeerAddress

SESSION_UNKNOWN = "peer does not know the session"
_SESSION_BYTES = 8
_RTT_GAIN = 0.25
_MAX_RTT_MS = 250.0

_FRAME_FIELD = {
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
class SessionTiming:
    """Heartbeat intervals and timeouts of a session.

    Attributes:
        heartbeat_ms: Time without traffic before a heartbeat, with work in
            flight.
        silence_ms: Time without an acknowledgement after which the peer is
            suspected and probed on a new connection, with work in flight.
        probe_ms: Timeout of the handshake on that connection.
        idle_heartbeat_ms: Time without traffic before a heartbeat, without
            work in flight.
        idle_silence_ms: Time without an acknowledgement after which the peer
            is suspected, without work in flight.
        max_ack_delay_ms: Maximum delay of an acknowledgement.
    """

    heartbeat_ms: int = 100
    silence_ms: int = 300
    probe_ms: int = 300
    idle_heartbeat_ms: int = 10_000
    idle_silence_ms: int = 2000
    max_ack_delay_ms: int = 400


class Session:
    """One session with a peer.

    Args:
        peer: Address of the peer.
        peer_session_id: Identifier that the peer gave the session; empty if
            unknown.
        now_ms: Current time.
    """

    def __init__(
        self, peer: PeerAddress, peer_session_id: str, now_ms: int
    ) -> None:
        self.peer = peer
        self.own_session_id = secrets.token_hex(_SESSION_BYTES)
        self.peer_session_id = peer_session_id
        self.delivery: Delivery[wire.Frame] = Delivery()
        self.links: list[Link] = []
        self.outbox: list[object] = []
        self.is_up = False
        self.dialling = False
        self.ack_due = False
        self._last_received_ms = now_ms
        self._unanswered_ping_ms = 0
        self._last_ping_ms = 0
        self._ping_frame_number = 0
        self._rtt_ms = 0.0
        self._ack_due_since_ms = 0
        self._heartbeat_number = 0

    @property
    def current(self) -> Link | None:
        """The connection to write to, which is the newest one."""
        return self.links[-1] if self.links else None

    @property
    def rtt_ms(self) -> float:
        """Smoothed round-trip time to the peer; 0 if unknown."""
        return self._rtt_ms

    def add_rtt(self, ms: float) -> None:
        """Updates the smoothed round-trip time with a measurement."""
        ms = min(ms, _MAX_RTT_MS)
        gain = _RTT_GAIN if self._rtt_ms else 1.0
        self._rtt_ms += gain * (ms - self._rtt_ms)

    def make_hello(self, own_hello: wire.Hello) -> wire.Hello:
        """Returns this instance's hello with the session identifier."""
        return wire.Hello(
            own_hello.instance,
            own_hello.role,
            own_hello.data_centre,
            b"",
            0,
            own_hello.host,
            own_hello.port,
            self.own_session_id,
        )

    def verify_link(self, link: Link) -> None:
        """Verifies that a dialled link belongs to this session.

        Raises:
            FrameError: If another instance or another session responded.
        """
        if link.peer.instance != self.peer.instance:
            raise framing.FrameError("another instance responded")
        if self.peer_session_id and self.peer_session_id != link.peer_session:
            raise framing.FrameError(SESSION_UNKNOWN)

    def queue(self, *messages: object) -> None:
        """Queues messages for the next frame."""
        self.outbox.extend(messages)
        self.wake()

    def wake(self) -> None:
        """Wakes the writer of the current connection."""
        if self.links:
            self.links[-1].wake.set()

    def next_payload(self, now_ms: int) -> bytes | None:
        """Returns the next frame to write, or None if nothing is queued."""
        if not self.outbox and not self.ack_due:
            return None
        frame = wire.Frame(
            number=0, acknowledged=self.delivery.received or None
        )
        self.ack_due = False
        self._ack_due_since_ms = 0
        messages, self.outbox = self.outbox, []
        if not messages:
            return framing.encode(frame)
        frame.number = self.delivery.next_number
        for message in messages:
            field = _FRAME_FIELD[type(message)]
            waiting = getattr(frame, field)
            if waiting is None:
                setattr(frame, field, [message])
            else:
                waiting.append(message)
        payload = framing.encode(frame)
        self.delivery.retain(payload, now_ms)
        return payload

    def on_frame(self, frame: wire.Frame, now_ms: int) -> list[wire.Frame]:
        """Handles a frame and returns the frames to deliver, in order."""
        self._last_received_ms = now_ms
        self._unanswered_ping_ms = 0
        if frame.acknowledged:
            self._on_acknowledged(frame.acknowledged, now_ms)
        if not frame.number:
            return []
        if not self._ack_due_since_ms:
            self._ack_due_since_ms = now_ms
        due = self.delivery.on_received(frame.number, frame)
        if frame.heartbeats:
            self.ack_due = True
            self.wake()
        return due

    def _on_acknowledged(self, number: int, now_ms: int) -> None:
        self.delivery.on_acknowledged(number, now_ms)
        if self._ping_frame_number and number >= self._ping_frame_number:
            self._ping_frame_number = 0
            self.add_rtt(now_ms - self._last_ping_ms)

    def restart_wait(self, now_ms: int) -> None:
        """Restarts all timeouts, after a pause of this process."""
        self._last_received_ms = now_ms
        self._unanswered_ping_ms = 0
        self.delivery.restart_wait(now_ms)

    def tick(
        self, timing: SessionTiming, *, in_flight: bool, now_ms: int
    ) -> bool:
        """Sends due heartbeats and acknowledgements and checks the timeouts.

        The timeouts also detect a connection that a device between the two
        ends has dropped from its state: no reset arrives and sends seem to
        succeed, but nothing is acknowledged any more.

        Args:
            timing: Heartbeat intervals and timeouts.
            in_flight: Whether work in flight depends on the peer.
            now_ms: Current time.

        Returns:
            Whether the peer is suspected.
        """
        if self._ack_due_since_ms and (
            now_ms - self._ack_due_since_ms >= timing.max_ack_delay_ms
        ):
            self.ack_due = True
            self.wake()
        quiet_ms = now_ms - self._last_received_ms
        waited_ms = self.delivery.waited_ms(now_ms)
        slack_ms = 2 * self._rtt_ms
        if not in_flight:
            if quiet_ms >= timing.idle_heartbeat_ms and not waited_ms:
                self._ping(now_ms)
            return waited_ms > timing.idle_silence_ms + slack_ms
        since_ping_ms = now_ms - self._last_ping_ms
        wait_ms = min(max(quiet_ms, waited_ms), since_ping_ms)
        if not self._unanswered_ping_ms and wait_ms >= timing.heartbeat_ms:
            self._ping(now_ms)
        limit_ms = timing.silence_ms + slack_ms
        unanswered = self._unanswered_ping_ms and quiet_ms > limit_ms
        return waited_ms > limit_ms or bool(unanswered)

    def _ping(self, now_ms: int) -> None:
        self._unanswered_ping_ms = now_ms
        self._last_ping_ms = now_ms
        self._ping_frame_number = self.delivery.next_number
        self._heartbeat_number += 1
        self.queue(wire.Heartbeat(self._heartbeat_number))
