"""What an entry believes of backend servers: the list, and what it met."""

import collections
import random

import attrs

from caroblug.core.access import Service
from caroblug.core.placement import (
    Engine,
    EngineLoads,
    LayerRange,
    ModelShape,
    NoPath,
    Path,
    PathPart,
    choose_path,
)
from caroblug.gateway._exchange_results import FailureKind
from caroblug.gateway._interfaces import BackendServer, Listing

AVOID_MS = 500
"""How long a backend server that failed is left alone, in ms; doubled with
each failure in a row. An engine is then asked for a report before it gets
work again; a crashed one is back after some seconds."""

_AVOID_MOST_MS = 2000
_NO_ROOM_MS = 300
"""How long a full engine is not sent to, in which some of its streams end.
Doubled with each refusal in a row: each one counts against the repeats that
all gateways share."""

_NO_ROOM_MOST_MS = 1200

_PACE_KEPT_MS = 2000
"""How long a slow engine is priced as such before it is asked again; streams
avoid it, so that nothing else would show that it has recovered."""

_PACE_SPREAD_MS = 1000
"""Added at random, so that one gateway asks first and tells the others."""

_HEARD_KEPT_MS = 1500
"""A list that was read this much after an engine's own word on its layers goes
before it: a heartbeat, and what the list lags behind."""

_TELL_ON_MS = 4000
"""How long an engine's own word is told to other gateways."""

_BUSY_KEPT_MS = 1000
"""How long an engine that says it carries out an order counts as loading."""

_LATE_ORDER_MS = 13000
"""How long an order that got no answer may still be carried out: seconds, on
an engine that answers nobody for a while."""

_UNLISTED_KEPT_MS = 15000
"""How long what was met at a backend server outlives its place in the list."""


@attrs.define
class _Met:
    """What this entry met at one backend server."""

    in_flight: int = 0
    running: int = 0
    told_ms: int = -1_000_000
    avoid_until_ms: int = 0
    failed_since_ms: int = 0
    pace: float = 1.0
    pace_ms: int = -1_000_000
    pace_until_ms: int = 0
    full_until_ms: int = 0
    refusals: int = 0
    failures: int = 0
    ended: bool = False
    placed: LayerRange | None = None
    placed_until_ms: int = 0
    busy_until_ms: int = 0
    uncertain_until_ms: int = 0
    seen_ms: int = 0
    told_holds: LayerRange | None = None
    told_holds_ms: int = 0
    leaving_ms: int = -1


class Fleet:
    """Backend servers that may be used now.

    Args:
        data_centre: Where the entry runs.
        rng: Source of randomness.
    """

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._listing = Listing({}, -1)
        self._listed_ms = -1
        self._met: dict[str, _Met] = collections.defaultdict(_Met)
        self._loads = EngineLoads()

    @property
    def has_listing(self) -> bool:
        """Whether a list has been read."""
        return self._listed_ms >= 0

    @property
    def listing(self) -> Listing:
        """The newest list."""
        return self._listing

    @property
    def loads(self) -> EngineLoads:
        """Tokens on each engine."""
        return self._loads

    def listing_age_ms(self, now_ms: int) -> int:
        """Returns the age of the list, in ms."""
        return now_ms - self._listed_ms

    def update_listing(self, listing: Listing, now_ms: int) -> bool:
        """Takes a list; an older one than the last is left out.

        Guards against a store that answers from before: backend servers
        that have left would be sent to again.

        Returns:
            Whether it was taken.
        """
        if listing.end < self._listing.end:
            return False
        before = self._listing.backends
        self._listing = listing
        self._listed_ms = now_ms
        for name, backend in listing.backends.items():
            met = self._met[name]
            met.seen_ms = now_ms
            if name not in before or before[name].holds != backend.holds:
                met.told_holds = None
        for name, met in list(self._met.items()):
            if now_ms - met.seen_ms > _UNLISTED_KEPT_MS and not met.in_flight:
                del self._met[name]
        return True

    def confirm_listing(self, digest: str, end: int, listed_ms: int) -> None:
        """Notes that another gateway read the same list later."""
        if digest == self._listing.digest and listed_ms > self._listed_ms:
            self._listing = attrs.evolve(
                self._listing, end=max(end, self._listing.end)
            )
            self._listed_ms = listed_ms

    def backends(self, service: str) -> list[BackendServer]:
        """Returns the backend servers of a service that are not leaving."""
        return [
            b
            for b in self._listing.backends.values()
            if b.service == service and not self._is_leaving(b)
        ]

    def on_leaving(self, name: str, now_ms: int) -> None:
        """Notes that a backend server itself takes no new work.

        Guards against a list that can't be read: a backend server that
        leaves meanwhile turns each request away, and its layers look held.
        """
        met = self._met[name]
        met.leaving_ms = max(met.leaving_ms, now_ms)

    def recently_leaving(self, now_ms: int) -> dict[str, int]:
        """Returns backend servers found to leave, with the age in ms."""
        return {
            name: now_ms - met.leaving_ms
            for name, met in self._met.items()
            if met.leaving_ms >= 0 and now_ms - met.leaving_ms < _TELL_ON_MS
        }

    def _is_leaving(self, backend: BackendServer) -> bool:
        if backend.leaving:
            return True
        leaving_ms = self._met[backend.name].leaving_ms
        return leaving_ms >= 0 and self._listed_ms < leaving_ms + _HEARD_KEPT_MS

    def find(self, address: tuple[str, int]) -> BackendServer | None:
        """Returns the backend server that is listed at an address."""
        for backend in self._listing.backends.values():
            if backend.address == address:
                return backend
        return None

    def choose_backend(
        self, service: Service, tried: set[str], now_ms: int
    ) -> BackendServer | None:
        """Returns the least busy backend server of a plain service.

        Args:
            service: The service.
            tried: Backend servers that the request was sent to before.
            now_ms: Time now.
        """
        usable = [b for b in self.backends(service.name) if b.name not in tried]
        sound = [b for b in usable if not self.is_excluded(b.name, now_ms)]
        if not sound:
            # Everyone failed lately: the one whose failure is oldest may be
            # back, and asking costs a refused connection at most.
            usable.sort(key=lambda b: self._met[b.name].avoid_until_ms)
            return usable[0] if usable else None
        return min(sound, key=lambda b: self._busyness(b, now_ms))

    def choose_engines(
        self,
        service: Service,
        now_ms: int,
        avoid: frozenset[str] = frozenset(),
        excluded_first: frozenset[str] = frozenset(),
        after: PathPart | None = None,
    ) -> Path | NoPath:
        """Returns a path over the engines of a service.

        Args:
            service: The service; it has a model.
            now_ms: Time now.
            avoid: Engines that must not be on the path.
            excluded_first: Engines that it must not begin with.
            after: First part that is kept.
        """
        engines = [
            self._priced(e)
            for e in self.engines(service, now_ms)
            if e.name not in avoid
            and not self._met[e.name].failures
            and not self.is_excluded(e.name, now_ms)
        ]
        return choose_path(
            engines,
            service.model,
            self._loads,
            self._data_centre,
            self._rng,
            excluded_first,
            after,
        )

    def engines(self, service: Service, now_ms: int) -> list[Engine]:
        """Returns a service's engines with the layers they hold.

        An engine whose load this entry has ordered counts as loading until
        the list shows the layers, or the time for it is over; after that for
        as long as the engine says that it is busy.
        """
        found = []
        for backend in self.backends(service.name):
            kind = service.model.kinds.get(backend.kind)
            if kind is None or backend.holds is None:
                continue
            found.append(self._engine(backend, kind, now_ms))
        return found

    def _engine(self, backend: BackendServer, kind, now_ms: int) -> Engine:
        met = self._met[backend.name]
        holds = backend.holds
        if self._told_is_newer(met):
            holds = met.told_holds
        loading = met.busy_until_ms > now_ms
        if met.placed is not None:
            if met.placed == holds or now_ms >= met.placed_until_ms:
                met.placed = None
            else:
                holds = met.placed
                loading = True
        return Engine(
            backend.name,
            backend.address,
            backend.data_centre,
            kind,
            holds,
            loading,
            met.uncertain_until_ms > now_ms,
        )

    def on_placed(
        self, name: str, layers: LayerRange, now_ms: int, for_ms: int
    ) -> None:
        """Notes that an engine was ordered to hold layers.

        It has begun the order, so that an earlier one finds another number of
        orders and does nothing.
        """
        met = self._met[name]
        met.placed = layers
        met.placed_until_ms = now_ms + for_ms
        met.uncertain_until_ms = 0

    def on_busy(self, name: str, now_ms: int) -> None:
        """Notes that an engine says it is carrying out an order."""
        self._met[name].busy_until_ms = now_ms + _BUSY_KEPT_MS

    def on_order_unanswered(self, name: str, now_ms: int) -> None:
        """Notes that an order sent now, or some time ago, got no answer.

        Guards against relying on an engine for layers that it gives up later,
        when the order is carried out after all.
        """
        met = self._met[name]
        until_ms = now_ms + _LATE_ORDER_MS
        met.uncertain_until_ms = max(met.uncertain_until_ms, until_ms)

    def unanswered_orders(self, now_ms: int) -> dict[str, int]:
        """Returns engines with unanswered orders, with the age in ms."""
        return {
            name: now_ms - (met.uncertain_until_ms - _LATE_ORDER_MS)
            for name, met in self._met.items()
            if met.uncertain_until_ms > now_ms
        }

    def on_report(
        self, name: str, holds: LayerRange | None, now_ms: int
    ) -> None:
        """Takes what an engine itself says it holds.

        Guards against the list, which names the layers of before a crash
        until the next heartbeat: requests would be turned away.
        """
        backend = self._listing.backends.get(name)
        if holds is None or backend is None:
            return
        met = self._met[name]
        if now_ms < met.told_holds_ms:
            return
        met.told_holds = holds
        met.told_holds_ms = now_ms

    def recent_reports(self, now_ms: int) -> dict[str, tuple[LayerRange, int]]:
        """Returns layers that engines told lately, with the age in ms."""
        return {
            name: (met.told_holds, now_ms - met.told_holds_ms)
            for name, met in self._met.items()
            if met.told_holds is not None
            and now_ms - met.told_holds_ms < _TELL_ON_MS
        }

    def _told_is_newer(self, met: _Met) -> bool:
        """Returns whether an engine's own word goes before the list's."""
        if met.told_holds is None:
            return False
        return self._listed_ms < met.told_holds_ms + _HEARD_KEPT_MS

    def on_slowdown(self, name: str, pace: float, told_ms: int) -> bool:
        """Takes how many times slower than its kind an engine says it is.

        Args:
            name: The engine.
            pace: How many times slower; 1 if it isn't.
            told_ms: When it said so. What it said later goes before it.

        Returns:
            Whether that is news.
        """
        met = self._met[name]
        if told_ms < met.pace_ms:
            return False
        news = met.pace != pace
        met.pace = pace
        met.pace_ms = told_ms
        met.pace_until_ms = self._next_question_ms(told_ms)
        return news

    def recent_slowdowns(self, now_ms: int) -> dict[str, tuple[float, int]]:
        """Returns how slow engines said they are, with the age in ms."""
        return {
            name: (met.pace, now_ms - met.pace_ms)
            for name, met in self._met.items()
            if now_ms - met.pace_ms < _TELL_ON_MS
        }

    def _next_question_ms(self, now_ms: int) -> int:
        spread_ms = self._rng.randrange(_PACE_SPREAD_MS)
        return now_ms + _PACE_KEPT_MS + spread_ms

    def slowdown(self, name: str) -> float:
        """Returns how many times slower than its kind an engine is."""
        return self._met[name].pace

    def slow_engines_due(self, now_ms: int) -> list[str]:
        """Returns slow engines that are due to be asked again."""
        due = [
            name
            for name, met in self._met.items()
            if met.pace > 1.0 and met.pace_until_ms <= now_ms
        ]
        for name in due:
            self._met[name].pace_until_ms = self._next_question_ms(now_ms)
        return due

    def _priced(self, engine: Engine) -> Engine:
        """Returns an engine with the slowness that it told."""
        pace = self._met[engine.name].pace
        if pace <= 1.0:
            return engine
        kind = attrs.evolve(
            engine.kind,
            step_time_factor=engine.kind.step_time_factor * pace,
            prefill_time_factor=engine.kind.prefill_time_factor * pace,
        )
        return attrs.evolve(engine, kind=kind)

    def on_loaded(self, name: str) -> None:
        """Notes that an engine holds the layers that it was ordered to."""
        met = self._met[name]
        met.placed = None
        met.busy_until_ms = 0

    def is_excluded(self, name: str, now_ms: int) -> bool:
        """Returns whether a backend server failed lately."""
        met = self._met[name]
        return met.avoid_until_ms > now_ms or met.full_until_ms > now_ms

    def failed_for_ms(self, name: str, now_ms: int) -> int:
        """Returns for how long a backend server has only failed."""
        met = self._met[name]
        return now_ms - met.failed_since_ms if met.failures else 0

    def on_ended(self, name: str) -> None:
        """Notes that a backend server's process has ended.

        What it held is gone, also if it starts again: its layers needn't be
        waited for.
        """
        self._met[name].ended = True

    def has_ended(self, name: str) -> bool:
        """Returns whether a backend server's process ended and isn't back."""
        return self._met[name].ended

    def is_failing(self, name: str) -> bool:
        """Returns whether a backend server's last word was a failure."""
        return self._met[name].failures > 0

    def due_for_probe(self, now_ms: int) -> list[BackendServer]:
        """Returns backend servers whose failure is due to be looked into."""
        return [
            b
            for b in self._listing.backends.values()
            if self._met[b.name].failures
            and self._met[b.name].avoid_until_ms <= now_ms
        ]

    def ejected(self, now_ms: int) -> list[str]:
        """Returns the names of backend servers that seem gone."""
        return [
            name
            for name, met in self._met.items()
            if met.failures and met.avoid_until_ms > now_ms
        ]

    def eject(self, name: str, now_ms: int) -> int:
        """Notes a failure that says the backend server may be gone.

        Returns:
            How long it is not sent to, in ms.
        """
        met = self._met[name]
        if met.avoid_until_ms > now_ms:
            return met.avoid_until_ms - now_ms
        for_ms = min(_AVOID_MOST_MS, AVOID_MS << min(met.failures, 4))
        if not met.failures:
            met.failed_since_ms = now_ms
        met.failures += 1
        met.avoid_until_ms = now_ms + for_ms
        return for_ms

    def on_full(self, name: str, now_ms: int) -> None:
        """Notes that a backend server had no room."""
        met = self._met[name]
        if met.full_until_ms > now_ms:
            return
        for_ms = min(_NO_ROOM_MOST_MS, _NO_ROOM_MS << min(met.refusals, 4))
        met.refusals += 1
        met.full_until_ms = now_ms + for_ms

    def on_accepted(self, names: tuple[str, ...]) -> None:
        """Notes that backend servers took a request."""
        for name in names:
            self._met[name].refusals = 0

    def on_response(
        self, name: str, running: int | None, waiting: int, now_ms: int
    ) -> None:
        """Notes what an answer says of a backend server's load."""
        met = self._met[name]
        met.failures = 0
        met.ended = False
        met.avoid_until_ms = 0
        if running is not None:
            met.running = running + waiting
            met.told_ms = now_ms

    def begin_request(self, name: str) -> None:
        """Counts a request in flight."""
        self._met[name].in_flight += 1

    def end_request(self, name: str) -> None:
        """Takes a request in flight off again."""
        self._met[name].in_flight -= 1

    def _busyness(self, backend: BackendServer, now_ms: int) -> float:
        met = self._met[backend.name]
        told = met.running if now_ms - met.told_ms < 500 else 0
        load = max(met.in_flight, told) / max(1, backend.slots)
        away = backend.data_centre != self._data_centre
        return load + 0.1 * away + self._rng.random() * 0.05


def warrants_ejection(failure: FailureKind) -> bool:
    """Returns whether a failure says that the backend server may be gone."""
    return failure in (
        FailureKind.CONNECT,
        FailureKind.REFUSED,
        FailureKind.RESET,
        FailureKind.SILENT,
        FailureKind.CUT_SHORT,
    )


def require_model(service: Service) -> ModelShape:
    """Returns a service's model; the service must have one."""
    if service.model is None:
        raise AssertionError(f"service {service.name} has no model")
    return service.model
