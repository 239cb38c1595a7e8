"""One session with a peer: it outlives its connections.

A session is dead when the peer cannot be reached by a new connection, when
it says on a new connection that it has begun another session, or when more
is unacknowledged than may be kept.
"""

import secrets

import attrs

from caroblug.core.recovery import Delivery
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import _framing as framing
from caroblug.transport._links import Link, PeerAddress

FORGOTTEN = "peer has lost the session"
_SESSION_BYTES = 8
_RTT_GAIN = 0.25
_MAX_RTT_MS = 250.0

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
class SessionTiming:
    """How soon a session is asked whether it still lives.

    Attributes:
        heartbeat_ms: Quiet time before a heartbeat, with work in flight.
        silence_ms: Wait for an acknowledgement, with work in flight, after
            which a new connection asks the peer.
        probe_ms: Wait for the peer's answer on a new connection.
        idle_heartbeat_ms: Quiet time before a heartbeat without work.
        idle_silence_ms: Wait for an acknowledgement without work.
        acknowledge_ms: Longest time an acknowledgement is held back.
    """

    heartbeat_ms: int = 100
    silence_ms: int = 300
    probe_ms: int = 300
    idle_heartbeat_ms: int = 10_000
    idle_silence_ms: int = 2000
    acknowledge_ms: int = 400


class Session:
    """One session with a peer.

    Args:
        to: Where the peer listens.
        their_id: The peer's name of the session, empty if unknown.
        now_ms: The time.
    """

    def __init__(self, to: PeerAddress, their_id: str, now_ms: int) -> None:
        self.to = to
        self.own_id = secrets.token_hex(_SESSION_BYTES)
        self.their_id = their_id
        self.delivery: Delivery[wire.Frame] = Delivery()
        self.links: list[Link] = []
        self.outbox: list[object] = []
        self.is_up = False
        self.dialling = False
        self.acknowledge_now = False
        self._heard_ms = now_ms
        self._pinged_ms = 0
        self._last_ping_ms = 0
        self._ping_number = 0
        self._rtt_ms = 0.0
        self._owes_since_ms = 0
        self._heartbeats = 0

    @property
    def current(self) -> Link | None:
        """The connection that is written to: the newest."""
        return self.links[-1] if self.links else None

    @property
    def rtt_ms(self) -> float:
        """Smoothed round trip to the peer and back; 0 if not known."""
        return self._rtt_ms

    def add_rtt(self, ms: float) -> None:
        """Takes one measured round trip into the smoothed one."""
        ms = min(ms, _MAX_RTT_MS)
        gain = _RTT_GAIN if self._rtt_ms else 1.0
        self._rtt_ms += gain * (ms - self._rtt_ms)

    def hello_from(self, mine: wire.Hello) -> wire.Hello:
        """Returns this process's hello for the session."""
        return wire.Hello(
            mine.instance,
            mine.role,
            mine.data_centre,
            b"",
            0,
            mine.host,
            mine.port,
            self.own_id,
        )

    def check(self, link: Link) -> None:
        """Raises FrameError unless a dialled link serves this session."""
        if link.peer.instance != self.to.instance:
            raise framing.FrameError("another instance answered")
        if self.their_id and self.their_id != link.their_session:
            raise framing.FrameError(FORGOTTEN)

    def queue(self, *messages: object) -> None:
        """Queues messages for the next frame."""
        self.outbox.extend(messages)
        self.wake()

    def wake(self) -> None:
        """Lets the current connection write what waits."""
        if self.links:
            self.links[-1].wake.set()

    def next_payload(self, now_ms: int) -> bytes | None:
        """Returns the frame to write next, or None if nothing waits."""
        if not self.outbox and not self.acknowledge_now:
            return None
        frame = wire.Frame(
            number=0, acknowledged=self.delivery.received or None
        )
        self.acknowledge_now = False
        self._owes_since_ms = 0
        messages, self.outbox = self.outbox, []
        if not messages:
            return framing.encode(frame)
        frame.number = self.delivery.next_number
        for message in messages:
            field = _FIELD_OF_MESSAGE[type(message)]
            waiting = getattr(frame, field)
            if waiting is None:
                setattr(frame, field, [message])
            else:
                waiting.append(message)
        payload = framing.encode(frame)
        self.delivery.retain(payload, now_ms)
        return payload

    def on_frame(self, frame: wire.Frame, now_ms: int) -> list[wire.Frame]:
        """Takes a frame and returns those now due, in order."""
        self._heard_ms = now_ms
        self._pinged_ms = 0
        if frame.acknowledged:
            self._on_acknowledged(frame.acknowledged, now_ms)
        if not frame.number:
            return []
        if not self._owes_since_ms:
            self._owes_since_ms = now_ms
        due = self.delivery.on_received(frame.number, frame)
        if frame.heartbeats:
            self.acknowledge_now = True
            self.wake()
        return due

    def _on_acknowledged(self, number: int, now_ms: int) -> None:
        self.delivery.on_acknowledged(number, now_ms)
        if self._ping_number and number >= self._ping_number:
            self._ping_number = 0
            self.add_rtt(now_ms - self._last_ping_ms)

    def restart_wait(self, now_ms: int) -> None:
        """Counts every wait from now, after a pause of this process."""
        self._heard_ms = now_ms
        self._pinged_ms = 0
        self.delivery.restart_wait(now_ms)

    def tick(
        self, timing: SessionTiming, *, watched: bool, now_ms: int
    ) -> bool:
        """Sends what is due, and tells whether the peer is suspected.

        Guards against a connection that something between the two ends has
        lost track of: no reset arrives, sends seem to succeed, and nothing
        is acknowledged any more.
        """
        if self._owes_since_ms and (
            now_ms - self._owes_since_ms >= timing.acknowledge_ms
        ):
            self.acknowledge_now = True
            self.wake()
        quiet_ms = now_ms - self._heard_ms
        waited_ms = self.delivery.waited_ms(now_ms)
        slack_ms = 2 * self._rtt_ms
        if not watched:
            if quiet_ms >= timing.idle_heartbeat_ms and not waited_ms:
                self._ping(now_ms)
            return waited_ms > timing.idle_silence_ms + slack_ms
        since_ping_ms = now_ms - self._last_ping_ms
        wait_ms = min(max(quiet_ms, waited_ms), since_ping_ms)
        if not self._pinged_ms and wait_ms >= timing.heartbeat_ms:
            self._ping(now_ms)
        limit_ms = timing.silence_ms + slack_ms
        unanswered = self._pinged_ms and quiet_ms > limit_ms
        return waited_ms > limit_ms or bool(unanswered)

    def _ping(self, now_ms: int) -> None:
        self._pinged_ms = now_ms
        self._last_ping_ms = now_ms
        self._ping_number = self.delivery.next_number
        self._heartbeats += 1
        self.queue(wire.Heartbeat(self._heartbeats))
