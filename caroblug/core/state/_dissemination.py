"""How a new bundle reaches every instance: who reads, who tells whom.

A few instances of each data centre read the log. Each instance keeps
connections with a few neighbours, tells all of its peers when its head
changes, and fetches changed sections from whoever first told it of a newer
one. Connections are ordered, so that whatever arrives after an advert was
sent by an instance that had that version.
"""

import random
from collections.abc import Iterable

import attrs

from caroblug.core.state._membership import (
    Member,
    MemberView,
    rank_members,
)

READERS = 3
_NEAR = 4
_FAR = 1
_FETCH_TIMEOUT_MS = 500
_STALE_MS = 15_000
_STALE_STEP_MS = 100
_MAX_STALE_STEPS = 50
_MAX_BACKOFF_MS = 30_000
_NEEDED_PEERS = 3
_LISTEN_MS = 3000
_LONG_AGO_MS = 10**12


@attrs.frozen
class Advert:
    """What an instance says about its head.

    Attributes:
        version: Version of its head; 0 if it has none.
        digest: Digest of its head.
        offset: Where in the log that was accepted.
        log_age_ms: How long ago the log's end was reached, as far as known.
    """

    version: int
    digest: str = ""
    offset: int = 0
    log_age_ms: int = _LONG_AGO_MS

    def is_newer_than(self, other: "Advert") -> bool:
        """Tells whether this head comes after another one."""
        if self.digest == other.digest:
            return False
        return (self.version, -self.offset) > (other.version, -other.offset)


@attrs.frozen
class Fetch:
    """Ask a peer for its head.

    Attributes:
        peer: Name of the peer.
        digest: The head that it has said it has.
    """

    peer: str
    digest: str


def choose_log_readers(view: MemberView, data_centre: str) -> list[Member]:
    """Returns the members of a data centre that read the log."""
    members = view.live(data_centre=data_centre)
    return rank_members("log readers", members)[:READERS]


def choose_neighbours(view: MemberView, own: Member) -> list[Member]:
    """Returns the members that an instance keeps a connection with.

    Four are of its own data centre. Connections carry both ways, so that a
    group apart needs all of its members to choose within it: for eight
    instances in two halves that is a chance under 1e-10. One more lies in
    another data centre, or as many as make up the peers that an instance
    must hear in an outage. All have the same role: entries are connected
    with side processes anyhow, and drop those that they do not need.
    """
    others = [m for m in view.live(role=own.role) if m.instance != own.instance]
    near = [m for m in others if m.data_centre == own.data_centre]
    chosen = rank_members(own.instance, near)[:_NEAR]
    far = [m for m in others if m.data_centre != own.data_centre]
    fewest = max(_FAR, _NEEDED_PEERS - len(chosen))
    return chosen + rank_members(own.instance, far)[:fewest]


class BundleDissemination:
    """Decides whom to fetch from and when to read the log.

    Args:
        own: This instance.
        rng: Source of jitter.
        now_ms: Current time.
    """

    def __init__(self, own: Member, rng: random.Random, now_ms: int) -> None:
        self._own = own
        self._rng = rng
        self._started_ms = now_ms
        self._rank = 0
        self._others = 0
        self._neighbours: tuple[Member, ...] = ()
        self._adverts: dict[str, Advert] = {}
        self._head = Advert(0)
        self._fetching = ""
        self._fetch_ms = 0
        self._tried: set[str] = set()
        self._log_seen_ms = now_ms - _LONG_AGO_MS
        self._own_end = False
        self._log_failed = False
        self._retry_ms = now_ms
        self._backoff_ms = _STALE_MS

    @property
    def neighbours(self) -> tuple[Member, ...]:
        """The members to keep a connection with."""
        return self._neighbours

    @property
    def is_reader(self) -> bool:
        """Whether this instance is one of those that read the log."""
        return self._rank < READERS

    @property
    def has_read_log(self) -> bool:
        """Whether this instance has read the log to its end once."""
        return self._own_end

    @property
    def newer_head_known(self) -> bool:
        """Whether a newer head is known than the one in force."""
        return any(a.is_newer_than(self._head) for a in self._adverts.values())

    def advert(self, now_ms: int) -> Advert:
        """Returns what to tell others."""
        age_ms = min(now_ms - self._log_seen_ms, _LONG_AGO_MS)
        return attrs.evolve(self._head, log_age_ms=age_ms)

    def is_ready(self, now_ms: int) -> bool:
        """Tells whether the head is known to be the newest within reach.

        Guards against a new instance that takes an old, replayed record for
        the head: it must have read the log to its end and have heard a peer
        or listened for a while, and in an outage have heard several peers.
        """
        if self._head.version == 0 or self.newer_head_known:
            return False
        heard = sum(a.version > 0 for a in self._adverts.values())
        if self._own_end:
            listened = now_ms - self._started_ms >= _LISTEN_MS
            return heard > 0 or listened
        needed = min(_NEEDED_PEERS, self._others)
        return self._log_failed and 0 < needed <= heard

    def on_view(self, view: MemberView) -> None:
        """Takes a new view of the members."""
        self._neighbours = tuple(choose_neighbours(view, self._own))
        near = view.live(data_centre=self._own.data_centre)
        names = [m.instance for m in rank_members("log readers", near)]
        self._rank = names.index(self._own.instance)
        self._others = len(view.members) - 1

    def on_head(self, version: int, digest: str, offset: int) -> None:
        """Learns which head is in force here."""
        self._head = Advert(version, digest, offset)
        self._fetching = ""
        self._tried.clear()

    def on_advert(self, peer: str, advert: Advert, now_ms: int) -> Fetch | None:
        """Takes what a peer says; asks it if that is newer."""
        self._adverts[peer] = advert
        self._log_seen_ms = max(
            self._log_seen_ms, now_ms - max(0, advert.log_age_ms)
        )
        return self._next_fetch(now_ms)

    def on_fetch_failed(self, peer: str, now_ms: int) -> Fetch | None:
        """Learns that a peer could not give what it was asked for."""
        self._tried.add(peer)
        if self._fetching == peer:
            self._fetching = ""
        return self._next_fetch(now_ms)

    def on_peer_lost(self, peer: str, now_ms: int) -> Fetch | None:
        """Learns that a peer is gone."""
        self._adverts.pop(peer, None)
        if self._fetching == peer:
            self._fetching = ""
        return self._next_fetch(now_ms)

    def on_progress(self, peer: str, now_ms: int) -> None:
        """Learns that a part of what was fetched has arrived."""
        if self._fetching == peer:
            self._fetch_ms = now_ms

    def on_tick(self, now_ms: int) -> Fetch | None:
        """Asks another peer if one gives no answer."""
        late = now_ms - self._fetch_ms >= _FETCH_TIMEOUT_MS
        if self._fetching and late:
            return self.on_fetch_failed(self._fetching, now_ms)
        return self._next_fetch(now_ms)

    def on_log_end(self, now_ms: int) -> None:
        """Learns that this instance has read the log to its end."""
        self._own_end = True
        self._log_failed = False
        self._log_seen_ms = now_ms
        self._backoff_ms = _STALE_MS
        self._retry_ms = now_ms

    def on_log_failure(self, now_ms: int) -> None:
        """Learns that the log gave no answer."""
        self._log_failed = True
        jitter_ms = self._rng.uniform(0, self._backoff_ms)
        self._retry_ms = now_ms + int(self._backoff_ms + jitter_ms)
        self._backoff_ms = min(2 * self._backoff_ms, _MAX_BACKOFF_MS)

    def should_read(self, now_ms: int) -> bool:
        """Tells whether to read the log now.

        Guards against views that differ: where all whom an instance takes
        for readers are gone, the age of the log's last sighting grows, and
        instances step in by rank. Back-off keeps them from storming a log
        that is down.
        """
        if self.is_reader or not self._own_end and not self._log_failed:
            return True
        if now_ms < self._retry_ms:
            return False
        steps = min(self._rank, _MAX_STALE_STEPS)
        age_ms = now_ms - self._log_seen_ms
        return age_ms >= _STALE_MS + steps * _STALE_STEP_MS

    def _next_fetch(self, now_ms: int) -> Fetch | None:
        if self._fetching:
            return None
        newer = {
            peer: advert
            for peer, advert in self._adverts.items()
            if advert.is_newer_than(self._head)
        }
        if not newer:
            return None
        if newer.keys() <= self._tried:
            self._tried.clear()
            return None
        peer = self._best(p for p in newer if p not in self._tried)
        self._fetching = peer
        self._fetch_ms = now_ms
        return Fetch(peer, newer[peer].digest)

    def _best(self, peers: Iterable[str]) -> str:
        def _order(peer: str) -> tuple[int, int]:
            advert = self._adverts[peer]
            return (advert.version, -advert.offset)

        return max(sorted(peers), key=_order)
