"""Follows the bundles: on the log, and by what peers say."""

import random
from collections.abc import Callable, Iterable

import gevent
from gevent import event

from caroblug.core.state import (
    Applied,
    BundleDissemination,
    BundleFold,
    Fetch,
    Head,
    Ignored,
    LogEntry,
    Lost,
    Rejected,
)
from caroblug.gen.wire import ttypes as wire
from caroblug.node._exchange import (
    Incoming,
    SectionServer,
    checked_sections,
    from_wire,
    to_wire,
)
from caroblug.node._members import Members, address_of
from caroblug.transport import (
    LogService,
    LogUnavailable,
    PeerAddress,
    PeerNetwork,
)
from caroblug.utils import Clock, Metrics, log_state

BUNDLE_STREAM = "caroblug.bundles"

_WAIT_MS = 1000
_RETRY_S = 0.2
_RETRY_JITTER_S = 0.2
_TICK_S = 0.1
_VIEW_TICKS = 5
_BEAT_TICKS = 20
_LISTEN_MS = 1000
_NEWEST_MS = 200
_MS_PER_S = 1000


class BundleFollower:
    """Keeps the newest bundle in force at one instance.

    Args:
        log: The log service.
        fold: The fold of the records.
        dissemination: Decides whom to ask and when to read the log.
        members: The view of the members.
        network: Connections with peers.
        clock: Source of time.
        metrics: Where records and messages are counted.
        on_head: Called with each new head.
        rng: Source of jitter.
    """

    def __init__(
        self,
        log: LogService,
        fold: BundleFold,
        dissemination: BundleDissemination,
        members: Members,
        network: PeerNetwork,
        clock: Clock,
        metrics: Metrics,
        on_head: Callable[[Head], None],
        rng: random.Random,
    ) -> None:
        self._log = log
        self._fold = fold
        self._dissemination = dissemination
        self._members = members
        self._network = network
        self._clock = clock
        self._metrics = metrics
        self._on_head = on_head
        self._rng = rng
        self._server = SectionServer()
        self._incoming: Incoming | None = None
        self._peers: dict[str, PeerAddress] = {}
        self._asked: set[str] = set()
        self._ticks = rng.randrange(_BEAT_TICKS)
        self._since_ms = clock.now_ms()
        self._up_to_date = event.Event()
        self._up_to_date.set()

    @property
    def head(self) -> Head | None:
        """The bundle in force."""
        return self._fold.head

    @property
    def fold(self) -> BundleFold:
        """The fold of the records."""
        return self._fold

    @property
    def is_reader(self) -> bool:
        """Whether this instance is one of those that read the log."""
        return self._dissemination.is_reader

    @property
    def should_read(self) -> bool:
        """Whether it is for this instance to read the log now."""
        return self._dissemination.should_read(self._clock.now_ms())

    @property
    def at_log_end(self) -> bool:
        """Whether this instance has read the log to its end once."""
        return self._dissemination.has_read_log

    @property
    def ready(self) -> bool:
        """Whether the head is known to be the newest within reach."""
        return self._dissemination.is_ready(self._clock.now_ms())

    @property
    def in_force_ms(self) -> int:
        """How long the head has been in force here."""
        return self._clock.now_ms() - self._since_ms

    def newest_head(self) -> Head | None:
        """Returns the head, after a newer one that is on its way.

        Waits a fifth of a second at most: an instance whose peers cannot
        give what they have told of goes on with what it has.
        """
        if self._dissemination.newer_head_known:
            self._up_to_date.wait(_NEWEST_MS / _MS_PER_S)
            if self._dissemination.newer_head_known:
                self._metrics.count("bundle_waits_in_vain")
        return self.head

    def run(self) -> None:
        """Follows for ever."""
        gevent.spawn(self._members.run)
        gevent.spawn(self._tick_forever)
        self._listen()
        while True:
            if not self.should_read:
                gevent.sleep(_TICK_S)
            elif not self.read_log():
                gevent.sleep(_RETRY_S + self._rng.random() * _RETRY_JITTER_S)

    def on_frame(self, peer: PeerAddress, frame: wire.Frame) -> None:
        """Takes a frame's messages about bundles."""
        now_ms = self._clock.now_ms()
        for advert in frame.bundle_adverts or ():
            self._ask(
                self._dissemination.on_advert(
                    peer.instance, from_wire(advert), now_ms
                )
            )
        for fetch in frame.bundle_fetches or ():
            self._send(peer, self._server.answer(fetch))
        for sections in frame.bundle_sections or ():
            self._on_sections(peer, sections)
        self._note_pending()

    def on_peer_up(self, peer: PeerAddress) -> None:
        """Tells a new peer about the head."""
        self._peers[peer.instance] = peer
        self._members.on_peer_up(peer)
        self._send(
            peer, to_wire(self._dissemination.advert(self._clock.now_ms()))
        )

    def on_peer_lost(self, peer: PeerAddress) -> None:
        """Turns to another peer."""
        self._peers.pop(peer.instance, None)
        self._members.on_peer_lost(peer)
        now_ms = self._clock.now_ms()
        self._ask(self._dissemination.on_peer_lost(peer.instance, now_ms))
        self._note_pending()

    def _listen(self) -> None:
        """Lets peers speak first: their head saves reading the whole log."""
        self._members.wait_listed(_LISTEN_MS)
        self._dissemination.on_view(self._members.view)
        self._members.connect(list(self._dissemination.neighbours))
        end_ms = self._clock.now_ms() + _LISTEN_MS
        while self._dissemination.neighbours and self._clock.now_ms() < end_ms:
            if (
                self.head is not None
                and not self._dissemination.newer_head_known
            ):
                return
            gevent.sleep(_TICK_S)

    def read_log(self) -> bool:
        """Reads the log once; returns whether it gave an answer."""
        wait_ms = _WAIT_MS if self._dissemination.is_reader else 0
        records = self._log.read(
            BUNDLE_STREAM, self._fold.next_offset, wait_ms=wait_ms
        )
        now_ms = self._clock.now_ms()
        self._metrics.count("bundle_log_reads")
        if isinstance(records, LogUnavailable):
            self._metrics.count("log_failures", operation="read")
            self._dissemination.on_log_failure(now_ms)
            return False
        entries = [LogEntry(r.offset, r.data) for r in records.records]
        outcomes = self._fold.on_page(
            entries, records.next_offset, records.end_offset
        )
        if records.next_offset >= records.end_offset:
            self._dissemination.on_log_end(now_ms)
        self._take(outcomes)
        return True

    def _take(self, outcomes: Iterable[object]) -> None:
        """Counts outcomes, and brings the last head into force."""
        applied: Head | None = None
        for outcome in outcomes:
            kind = type(outcome).__name__.lower()
            self._metrics.count("bundle_records", outcome=kind)
            if isinstance(outcome, Applied):
                applied = outcome.head
            elif isinstance(outcome, Lost):
                log_state("bundle.lost", digest=outcome.digest)
            elif isinstance(outcome, Rejected):
                log_state("bundle.rejected", reason=outcome.reason)
        if applied is not None:
            self._bring_into_force(applied)
        if self._fold.missing is not None:
            self._ask_missing()

    def _bring_into_force(self, head: Head) -> None:
        """Puts a head into force and tells every peer at once.

        The advert is queued before anything that is decided under the new
        head, and a connection keeps its order: a peer that reads such a
        message has heard of the head before.
        """
        self._since_ms = self._clock.now_ms()
        self._incoming = None
        self._server.on_head(head)
        self._dissemination.on_head(head.version, head.digest, head.offset)
        self._metrics.gauge("bundle_version", head.version)
        log_state("bundle.applied", version=head.version, digest=head.digest)
        advert = to_wire(self._dissemination.advert(self._since_ms))
        for peer in list(self._peers.values()):
            self._send(peer, advert)
        self._note_pending()
        self._on_head(head)

    def _ask(self, fetch: Fetch | None) -> None:
        if fetch is None:
            return
        peer = self._peers.get(fetch.peer)
        if peer is None:
            return
        held = self.head.bodies() if self.head else {}
        self._incoming = Incoming(fetch.peer, frozenset(held))
        base = self.head.digest if self.head else ""
        self._metrics.count("bundle_fetches")
        self._send(peer, wire.BundleFetch(fetch.digest, base, []))

    def _on_sections(
        self, peer: PeerAddress, message: wire.BundleSections
    ) -> None:
        if self._fold.missing is not None and not message.record:
            self._on_missing_sections(peer, message)
        incoming = self._incoming
        if incoming is None or incoming.peer != peer.instance:
            return
        now_ms = self._clock.now_ms()
        if not incoming.take(message):
            self._metrics.count("bundle_fetches_failed")
            self._incoming = None
            self._ask(
                self._dissemination.on_fetch_failed(peer.instance, now_ms)
            )
            return
        lacking = incoming.lacking()
        if lacking:
            self._dissemination.on_progress(peer.instance, now_ms)
            digest = incoming.record.digest
            self._send(peer, wire.BundleFetch(digest, "", lacking))
            return
        outcome = self._fold.on_peer_head(
            incoming.record, incoming.offset, incoming.sections
        )
        self._incoming = None
        self._take([outcome])
        if isinstance(outcome, Applied | Ignored):
            return
        self._ask(self._dissemination.on_fetch_failed(peer.instance, now_ms))

    def _ask_missing(self) -> None:
        """Asks one more peer for sections that the log no longer holds."""
        missing = self._fold.missing
        fresh = [p for p in self._peers if p not in self._asked]
        if missing is None or not fresh:
            return
        self._asked.add(fresh[0])
        hashes = list(missing.hashes)
        fetch = wire.BundleFetch(missing.digest, "", hashes)
        self._send(self._peers[fresh[0]], fetch)

    def _on_missing_sections(
        self, peer: PeerAddress, message: wire.BundleSections
    ) -> None:
        found = checked_sections(message.sections or {})
        if found:
            self._asked.discard(peer.instance)
            self._take(self._fold.on_sections(found))
        elif self._asked >= self._peers.keys():
            self._asked.clear()
            self._take(self._fold.discard_missing())
        else:
            self._ask_missing()

    def _send(self, peer: PeerAddress, message: object) -> None:
        kind = type(message).__name__
        self._metrics.count("bundle_messages", kind=kind)
        self._network.send(peer, message)

    def _note_pending(self) -> None:
        if self._dissemination.newer_head_known:
            self._up_to_date.clear()
        else:
            self._up_to_date.set()

    def _tick_forever(self) -> None:
        while True:
            gevent.sleep(_TICK_S)
            self.tick()

    def tick(self) -> None:
        """Looks for late answers; now and then for members and neighbours."""
        self._ticks += 1
        now_ms = self._clock.now_ms()
        self._ask(self._dissemination.on_tick(now_ms))
        self._note_pending()
        if self._ticks % _VIEW_TICKS == 0:
            self._dissemination.on_view(self._members.view)
            self._members.connect(list(self._dissemination.neighbours))
        if self._ticks % _BEAT_TICKS == 0:
            self._beat(now_ms)

    def _beat(self, now_ms: int) -> None:
        """Tells neighbours how old this instance's sight of the log is."""
        advert = to_wire(self._dissemination.advert(now_ms))
        for member in self._dissemination.neighbours:
            if self._network.is_connected(member.instance):
                self._send(address_of(member), advert)
        if self._fold.missing is not None:
            self._asked.clear()
            self._ask_missing()
