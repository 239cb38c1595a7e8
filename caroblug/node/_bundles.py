"""Tracks the newest bundle through the log and through peer exchange."""

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
    IncomingHead,
    SectionServer,
    advert_from_wire,
    advert_to_wire,
    select_valid_sections,
)
from caroblug.node._members import Members, make_peer_address
from caroblug.transport import (
    LogService,
    LogUnavailable,
    PeerAddress,
    PeerNetwork,
)
from caroblug.utils import Clock, Metrics, log_state

BUNDLE_STREAM = "caroblug.bundles"

_READ_WAIT_MS = 1000
_RETRY_S = 0.2
_RETRY_JITTER_S = 0.2
_TICK_INTERVAL_S = 0.1
_VIEW_INTERVAL_TICKS = 5
_HEARTBEAT_INTERVAL_TICKS = 20
_FIRST_HEAD_TIMEOUT_MS = 1000
_MAX_HEAD_WAIT_MS = 200
_MS_PER_S = 1000


class BundleFollower:
    """Keeps the newest known bundle in force on one instance.

    Args:
        log: The log service.
        fold: Folds the log's records into the head.
        dissemination: Decides which peers to fetch from and when to read
            the log.
        members: The current members of the fleet.
        network: Connections to peers.
        clock: Source of time.
        metrics: Counts records and messages.
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
        self._incoming: IncomingHead | None = None
        self._peers: dict[str, PeerAddress] = {}
        self._queried_peers: set[str] = set()
        self._tick_count = rng.randrange(_HEARTBEAT_INTERVAL_TICKS)
        self._in_force_since_ms = clock.now_ms()
        self._up_to_date = event.Event()
        self._up_to_date.set()

    @property
    def head(self) -> Head | None:
        """The bundle in force; None before the first one."""
        return self._fold.head

    @property
    def fold(self) -> BundleFold:
        """The fold that computes the head from the log's records."""
        return self._fold

    @property
    def is_reader(self) -> bool:
        """Whether this instance is one of the log readers."""
        return self._dissemination.is_reader

    @property
    def should_read(self) -> bool:
        """Whether this instance should read the log now."""
        return self._dissemination.should_read(self._clock.now_ms())

    @property
    def at_log_end(self) -> bool:
        """Whether this instance has read the log to its end at least once."""
        return self._dissemination.has_read_log

    @property
    def ready(self) -> bool:
        """Whether there is enough evidence that the head is the newest one."""
        return self._dissemination.is_ready(self._clock.now_ms())

    @property
    def in_force_ms(self) -> int:
        """Milliseconds since the head came into force on this instance."""
        return self._clock.now_ms() - self._in_force_since_ms

    def wait_for_newest_head(self) -> Head | None:
        """Returns the head, waiting up to 200 ms for an advertised newer one.

        If no peer delivers the newer head by then, the instance continues
        with the head it has.
        """
        if self._dissemination.newer_head_known:
            self._up_to_date.wait(_MAX_HEAD_WAIT_MS / _MS_PER_S)
            if self._dissemination.newer_head_known:
                self._metrics.count("bundle_waits_in_vain")
        return self.head

    def run(self) -> None:
        """Tracks the bundle until the process ends."""
        gevent.spawn(self._members.run)
        gevent.spawn(self._tick_forever)
        self._wait_for_first_head()
        while True:
            if not self.should_read:
                gevent.sleep(_TICK_INTERVAL_S)
            elif not self.read_log():
                gevent.sleep(_RETRY_S + self._rng.random() * _RETRY_JITTER_S)

    def on_frame(self, peer: PeerAddress, frame: wire.Frame) -> None:
        """Handles the bundle messages of a frame."""
        now_ms = self._clock.now_ms()
        for advert in frame.bundle_adverts or ():
            self._send_fetch(
                self._dissemination.on_advert(
                    peer.instance, advert_from_wire(advert), now_ms
                )
            )
        for fetch in frame.bundle_fetches or ():
            self._send(peer, self._server.answer(fetch))
        for sections in frame.bundle_sections or ():
            self._handle_sections(peer, sections)
        self._refresh_up_to_date_event()

    def on_peer_up(self, peer: PeerAddress) -> None:
        """Sends the advert of the head to a new peer."""
        self._peers[peer.instance] = peer
        self._members.on_peer_up(peer)
        self._send(
            peer,
            advert_to_wire(self._dissemination.advert(self._clock.now_ms())),
        )

    def on_peer_lost(self, peer: PeerAddress) -> None:
        """Removes a peer and moves a pending fetch to another one."""
        self._peers.pop(peer.instance, None)
        self._members.on_peer_lost(peer)
        now_ms = self._clock.now_ms()
        self._send_fetch(
            self._dissemination.on_peer_lost(peer.instance, now_ms)
        )
        self._refresh_up_to_date_event()

    def _wait_for_first_head(self) -> None:
        """Waits for a head from a peer, which saves reading the whole log."""
        self._members.wait_for_list(_FIRST_HEAD_TIMEOUT_MS)
        self._dissemination.on_view(self._members.view)
        self._members.connect(list(self._dissemination.neighbours))
        end_ms = self._clock.now_ms() + _FIRST_HEAD_TIMEOUT_MS
        while self._dissemination.neighbours and self._clock.now_ms() < end_ms:
            if (
                self.head is not None
                and not self._dissemination.newer_head_known
            ):
                return
            gevent.sleep(_TICK_INTERVAL_S)

    def read_log(self) -> bool:
        """Reads the log once.

        Returns:
            Whether the log service responded.
        """
        wait_ms = _READ_WAIT_MS if self._dissemination.is_reader else 0
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
        self._apply_outcomes(outcomes)
        return True

    def _apply_outcomes(self, outcomes: Iterable[object]) -> None:
        """Counts outcomes and brings the last applied head into force."""
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
            self._activate(applied)
        if self._fold.missing is not None:
            self._fetch_missing_sections()

    def _activate(self, head: Head) -> None:
        """Brings a head into force and sends its advert to every peer.

        The advert is queued before any message that depends on the new head.
        Connections preserve order, so a peer that reads such a message has
        already received the advert.
        """
        self._in_force_since_ms = self._clock.now_ms()
        self._incoming = None
        self._server.on_head(head)
        self._dissemination.on_head(head.version, head.digest, head.offset)
        self._metrics.gauge("bundle_version", head.version)
        log_state("bundle.applied", version=head.version, digest=head.digest)
        advert = advert_to_wire(
            self._dissemination.advert(self._in_force_since_ms)
        )
        for peer in list(self._peers.values()):
            self._send(peer, advert)
        self._refresh_up_to_date_event()
        self._on_head(head)

    def _send_fetch(self, fetch: Fetch | None) -> None:
        if fetch is None:
            return
        peer = self._peers.get(fetch.peer)
        if peer is None:
            return
        held = self.head.bodies() if self.head else {}
        self._incoming = IncomingHead(fetch.peer, frozenset(held))
        base = self.head.digest if self.head else ""
        self._metrics.count("bundle_fetches")
        self._send(peer, wire.BundleFetch(fetch.digest, base, []))

    def _handle_sections(
        self, peer: PeerAddress, message: wire.BundleSections
    ) -> None:
        if self._fold.missing is not None and not message.record:
            self._handle_missing_sections(peer, message)
        incoming = self._incoming
        if incoming is None or incoming.peer != peer.instance:
            return
        now_ms = self._clock.now_ms()
        if not incoming.add_part(message):
            self._metrics.count("bundle_fetches_failed")
            self._incoming = None
            self._send_fetch(
                self._dissemination.on_fetch_failed(peer.instance, now_ms)
            )
            return
        missing_hashes = incoming.missing_hashes()
        if missing_hashes:
            self._dissemination.on_progress(peer.instance, now_ms)
            digest = incoming.record.digest
            self._send(peer, wire.BundleFetch(digest, "", missing_hashes))
            return
        outcome = self._fold.on_peer_head(
            incoming.record, incoming.offset, incoming.sections
        )
        self._incoming = None
        self._apply_outcomes([outcome])
        if isinstance(outcome, Applied | Ignored):
            return
        self._send_fetch(
            self._dissemination.on_fetch_failed(peer.instance, now_ms)
        )

    def _fetch_missing_sections(self) -> None:
        """Requests sections that the log no longer holds from another peer."""
        missing = self._fold.missing
        fresh = [p for p in self._peers if p not in self._queried_peers]
        if missing is None or not fresh:
            return
        self._queried_peers.add(fresh[0])
        hashes = list(missing.hashes)
        fetch = wire.BundleFetch(missing.digest, "", hashes)
        self._send(self._peers[fresh[0]], fetch)

    def _handle_missing_sections(
        self, peer: PeerAddress, message: wire.BundleSections
    ) -> None:
        valid_sections = select_valid_sections(message.sections or {})
        if valid_sections:
            self._queried_peers.discard(peer.instance)
            self._apply_outcomes(self._fold.on_sections(valid_sections))
        elif self._queried_peers >= self._peers.keys():
            self._queried_peers.clear()
            self._apply_outcomes(self._fold.discard_missing())
        else:
            self._fetch_missing_sections()

    def _send(self, peer: PeerAddress, message: object) -> None:
        kind = type(message).__name__
        self._metrics.count("bundle_messages", kind=kind)
        self._network.send(peer, message)

    def _refresh_up_to_date_event(self) -> None:
        if self._dissemination.newer_head_known:
            self._up_to_date.clear()
        else:
            self._up_to_date.set()

    def _tick_forever(self) -> None:
        while True:
            gevent.sleep(_TICK_INTERVAL_S)
            self.tick()

    def tick(self) -> None:
        """Handles fetch timeouts; refreshes neighbours and sends heartbeats.

        Neighbours are refreshed every 5 ticks, heartbeats sent every 20.
        """
        self._tick_count += 1
        now_ms = self._clock.now_ms()
        self._send_fetch(self._dissemination.on_tick(now_ms))
        self._refresh_up_to_date_event()
        if self._tick_count % _VIEW_INTERVAL_TICKS == 0:
            self._dissemination.on_view(self._members.view)
            self._members.connect(list(self._dissemination.neighbours))
        if self._tick_count % _HEARTBEAT_INTERVAL_TICKS == 0:
            self._send_heartbeats(now_ms)

    def _send_heartbeats(self, now_ms: int) -> None:
        """Sends neighbours an advert with the age of this instance's log view.

        Also restarts the requests for sections that the log no longer holds.
        """
        advert = advert_to_wire(self._dissemination.advert(now_ms))
        for member in self._dissemination.neighbours:
            if self._network.is_connected(member.instance):
                self._send(make_peer_address(member), advert)
        if self._fold.missing is not None:
            self._queried_peers.clear()
            self._fetch_missing_sections()
