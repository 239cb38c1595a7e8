"""Dissemination of new bundles to all instances of the fleet.

A few instances of each data centre read the log. Each instance keeps
connections with a few neighbours, advertises its head to all of its peers when
it changes, and fetches changed sections from the first peer that advertised a
newer one. Connections are ordered, so that everything that arrives after an
advert was sent by an instance that had that version.
"""

import random
from collections.abc import Iterable

import attrs

from caroblug.core.state._membership import (
    Member,
    MemberView,
    rank_members,
)

READERS_PER_DATA_CENTRE = 3
_LOCAL_NEIGHBOURS = 4
_MIN_REMOTE_NEIGHBOURS = 1
_FETCH_TIMEOUT_MS = 500
_STALE_LOG_MS = 15_000
_STALE_LOG_STEP_MS = 100
_MAX_STALE_STEPS = 50
_MAX_BACKOFF_MS = 30_000
_OUTAGE_MIN_PEERS = 3
_FIRST_ADVERT_WAIT_MS = 3000
_UNKNOWN_AGE_MS = 10**12


@attrs.frozen
class Advert:
    """An advertisement of an instance's head.

    Attributes:
        version: Version of the head; 0 if there is none.
        digest: Digest of the head.
        offset: Log offset at which the head was accepted.
        log_age_ms: Time since the instance or a peer of it last read the log
            to its end, as far as it knows.
    """

    version: int
    digest: str = ""
    offset: int = 0
    log_age_ms: int = _UNKNOWN_AGE_MS

    def is_newer_than(self, other: "Advert") -> bool:
        """Returns whether this head ranks above another one."""
        if self.digest == other.digest:
            return False
        return (self.version, -self.offset) > (other.version, -other.offset)


@attrs.frozen
class Fetch:
    """A request to fetch the head of a peer.

    Attributes:
        peer: Name of the peer.
        digest: Digest of the head that the peer advertised.
    """

    peer: str
    digest: str


def choose_log_readers(view: MemberView, data_centre: str) -> list[Member]:
    """Returns the members of a data centre that read the log."""
    members = view.live(data_centre=data_centre)
    return rank_members("log readers", members)[:READERS_PER_DATA_CENTRE]


def choose_neighbours(view: MemberView, own: Member) -> list[Member]:
    """Returns the members that an instance keeps connections with.

    Four neighbours are in the instance's own data centre. Connections work in
    both directions, so a group is isolated only if all of its members choose
    neighbours within it. For eight instances in two halves, the probability
    is below 1e-10. One more neighbour is in another data centre, or more if
    the instance would otherwise have fewer peers than it needs in an outage of
    the log. All neighbours have the same role, because entries connect to
    side processes anyway and close the connections that they do not need.
    """
    others = [m for m in view.live(role=own.role) if m.instance != own.instance]
    local = [m for m in others if m.data_centre == own.data_centre]
    chosen = rank_members(own.instance, local)[:_LOCAL_NEIGHBOURS]
    remote = [m for m in others if m.data_centre != own.data_centre]
    remote_count = max(_MIN_REMOTE_NEIGHBOURS, _OUTAGE_MIN_PEERS - len(chosen))
    return chosen + rank_members(own.instance, remote)[:remote_count]


class BundleDissemination:
    """Decides from which peer to fetch the head and when to read the log.

    Args:
        own: This instance.
        rng: Source of randomness for the backoff.
        now_ms: Current time.
    """

    def __init__(self, own: Member, rng: random.Random, now_ms: int) -> None:
        self._own = own
        self._rng = rng
        self._started_ms = now_ms
        self._rank = 0
        self._other_members = 0
        self._neighbours: tuple[Member, ...] = ()
        self._adverts: dict[str, Advert] = {}
        self._head = Advert(0)
        self._fetching_peer = ""
        self._last_progress_ms = 0
        self._tried_peers: set[str] = set()
        self._log_read_ms = now_ms - _UNKNOWN_AGE_MS
        self._has_read_log = False
        self._log_failed = False
        self._next_read_ms = now_ms
        self._backoff_ms = _STALE_LOG_MS

    @property
    def neighbours(self) -> tuple[Member, ...]:
        """Members to keep connections with."""
        return self._neighbours

    @property
    def is_reader(self) -> bool:
        """Whether this instance is a log reader of its data centre."""
        return self._rank < READERS_PER_DATA_CENTRE

    @property
    def has_read_log(self) -> bool:
        """Whether this instance has read the log to its end at least once."""
        return self._has_read_log

    @property
    def newer_head_known(self) -> bool:
        """Whether a peer has advertised a newer head than the one in force."""
        return any(a.is_newer_than(self._head) for a in self._adverts.values())

    def advert(self, now_ms: int) -> Advert:
        """Returns the advert to send to peers."""
        age_ms = min(now_ms - self._log_read_ms, _UNKNOWN_AGE_MS)
        return attrs.evolve(self._head, log_age_ms=age_ms)

    def is_ready(self, now_ms: int) -> bool:
        """Returns whether the head is the newest one that can be found.

        A new instance could take an old, replayed record for the head. It
        must therefore have read the log to its end and have received an advert
        or waited for some time. In an outage of the log, it must have received
        adverts from several peers.
        """
        if self._head.version == 0 or self.newer_head_known:
            return False
        adverts_received = sum(a.version > 0 for a in self._adverts.values())
        if self._has_read_log:
            waited = now_ms - self._started_ms >= _FIRST_ADVERT_WAIT_MS
            return adverts_received > 0 or waited
        needed = min(_OUTAGE_MIN_PEERS, self._other_members)
        return self._log_failed and 0 < needed <= adverts_received

    def on_view(self, view: MemberView) -> None:
        """Updates the neighbours and the reader rank from a new view."""
        self._neighbours = tuple(choose_neighbours(view, self._own))
        local = view.live(data_centre=self._own.data_centre)
        names = [m.instance for m in rank_members("log readers", local)]
        self._rank = names.index(self._own.instance)
        self._other_members = len(view.members) - 1

    def on_head(self, version: int, digest: str, offset: int) -> None:
        """Notes the head that is now in force at this instance."""
        self._head = Advert(version, digest, offset)
        self._fetching_peer = ""
        self._tried_peers.clear()

    def on_advert(self, peer: str, advert: Advert, now_ms: int) -> Fetch | None:
        """Notes the advert of a peer; returns the next fetch, if any."""
        self._adverts[peer] = advert
        self._log_read_ms = max(
            self._log_read_ms, now_ms - max(0, advert.log_age_ms)
        )
        return self._next_fetch(now_ms)

    def on_fetch_failed(self, peer: str, now_ms: int) -> Fetch | None:
        """Notes that a fetch failed; returns the next fetch, if any."""
        self._tried_peers.add(peer)
        if self._fetching_peer == peer:
            self._fetching_peer = ""
        return self._next_fetch(now_ms)

    def on_peer_lost(self, peer: str, now_ms: int) -> Fetch | None:
        """Removes the advert of a lost peer; returns the next fetch, if any."""
        self._adverts.pop(peer, None)
        if self._fetching_peer == peer:
            self._fetching_peer = ""
        return self._next_fetch(now_ms)

    def on_progress(self, peer: str, now_ms: int) -> None:
        """Restarts the fetch timeout after a part of the answer arrived."""
        if self._fetching_peer == peer:
            self._last_progress_ms = now_ms

    def on_tick(self, now_ms: int) -> Fetch | None:
        """Checks the fetch timeout; returns the next fetch, if any."""
        timed_out = now_ms - self._last_progress_ms >= _FETCH_TIMEOUT_MS
        if self._fetching_peer and timed_out:
            return self.on_fetch_failed(self._fetching_peer, now_ms)
        return self._next_fetch(now_ms)

    def on_log_end(self, now_ms: int) -> None:
        """Notes that this instance has read the log to its end."""
        self._has_read_log = True
        self._log_failed = False
        self._log_read_ms = now_ms
        self._backoff_ms = _STALE_LOG_MS
        self._next_read_ms = now_ms

    def on_log_failure(self, now_ms: int) -> None:
        """Schedules the next read after the log did not respond."""
        self._log_failed = True
        jitter_ms = self._rng.uniform(0, self._backoff_ms)
        self._next_read_ms = now_ms + int(self._backoff_ms + jitter_ms)
        self._backoff_ms = min(2 * self._backoff_ms, _MAX_BACKOFF_MS)

    def should_read(self, now_ms: int) -> bool:
        """Returns whether this instance should read the log now.

        The instances' views may differ, so that all expected readers of a data
        centre may be gone. The time since the last known read then grows, and
        other instances start to read in the order of their rank. Backoff
        limits the load on a log that is unavailable.
        """
        if self.is_reader or not self._has_read_log and not self._log_failed:
            return True
        if now_ms < self._next_read_ms:
            return False
        steps = min(self._rank, _MAX_STALE_STEPS)
        age_ms = now_ms - self._log_read_ms
        return age_ms >= _STALE_LOG_MS + steps * _STALE_LOG_STEP_MS

    def _next_fetch(self, now_ms: int) -> Fetch | None:
        if self._fetching_peer:
            return None
        newer = {
            peer: advert
            for peer, advert in self._adverts.items()
            if advert.is_newer_than(self._head)
        }
        if not newer:
            return None
        if newer.keys() <= self._tried_peers:
            self._tried_peers.clear()
            return None
        peer = self._choose_newest(
            p for p in newer if p not in self._tried_peers
        )
        self._fetching_peer = peer
        self._last_progress_ms = now_ms
        return Fetch(peer, newer[peer].digest)

    def _choose_newest(self, peers: Iterable[str]) -> str:
        def _order(peer: str) -> tuple[int, int]:
            advert = self._adverts[peer]
            return (advert.version, -advert.offset)

        return max(sorted(peers), key=_order)
