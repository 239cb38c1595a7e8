"""State of the backend servers, as one gateway sees them.

It combines the listing of the platform with what the gateway itself observes:
responses, failures, rejections and the reports of engines.
"""

import random

import attrs

from caroblug.core.access import Service
from caroblug.core.limits import ServerAvailability, ServerLimits
from caroblug.core.placement import (
    Engine,
    EngineLoads,
    EngineRooms,
    LayerRange,
    ModelShape,
    NoPath,
    NoRoom,
    Path,
    PathPart,
    RoomNeed,
    choose_path,
)
from caroblug.gateway._backend_states import BackendState, BackendStates
from caroblug.gateway._exchange_results import FailureKind
from caroblug.gateway._interfaces import BackendServer, Listing

_LISTING_LAG_MS = 1500
"""How much later than an engine's own report the listing must have been read
to override it, in ms: one heartbeat interval plus the delay of the list."""

_RESTORED_LISTING_AGE_MS = 900_000
"""Age that a restored listing counts as, in ms. Each listing that was read from
the store counts as newer."""

_UNLISTED_RETENTION_MS = 15000
"""Time for which the state of a backend server is retained after it has left
the listing, in ms."""


class Fleet(BackendStates):
    """Tracks the state of all listed backend servers and selects among them.

    Args:
        data_centre: Data centre of this gateway.
        rng: Source of randomness.
        limits: Limits that backend servers name in their responses.
    """

    def __init__(
        self, data_centre: str, rng: random.Random, limits: ServerLimits
    ) -> None:
        super().__init__(rng)
        self._data_centre = data_centre
        self._listing = Listing({}, -1)
        self._listed_ms = -1
        self._restored = False
        self._superseded: frozenset[str] = frozenset()
        self._loads = EngineLoads()
        self._rooms = EngineRooms(self._loads, data_centre, rng)
        self._limits = limits
        self._availability = ServerAvailability()

    @property
    def has_listing(self) -> bool:
        """Whether a listing is known."""
        return self._listing.end >= 0

    @property
    def has_confirmed_listing(self) -> bool:
        """Whether the listing was read from the store, by some gateway."""
        return self.has_listing and not self._restored

    @property
    def listing(self) -> Listing:
        """The newest listing."""
        return self._listing

    @property
    def loads(self) -> EngineLoads:
        """Estimated load of each engine, in tokens."""
        return self._loads

    @property
    def rooms(self) -> EngineRooms:
        """Free memory of each engine."""
        return self._rooms

    @property
    def limits(self) -> ServerLimits:
        """Request rates that backend servers ask all gateways to keep."""
        return self._limits

    @property
    def availability(self) -> ServerAvailability:
        """Times in which backend servers accept no requests."""
        return self._availability

    def listing_age_ms(self, now_ms: int) -> int:
        """Returns the age of the listing, in ms."""
        return now_ms - self._listed_ms

    def update_listing(self, listing: Listing, now_ms: int) -> bool:
        """Replaces the listing, unless the new one is older.

        A stale read from the store would otherwise bring back backend servers
        that have left, and requests would be sent to them.

        Args:
            listing: The listing that was read.
            now_ms: When it was read.

        Returns:
            Whether the listing was replaced.
        """
        if listing.end < self._listing.end:
            return False
        before = self._listing.backends
        self._listing = listing
        self._listed_ms = now_ms
        self._restored = False
        self._superseded = _find_superseded(listing)
        for name in self._superseded:
            self.on_ended(name)
        for name, backend in listing.backends.items():
            state = self._states[name]
            state.listed_ms = now_ms
            self.on_started(name, backend.started_ms)
            if name not in before or before[name].holds != backend.holds:
                state.reported_layers = None
        for name, state in list(self._states.items()):
            if (
                now_ms - state.listed_ms > _UNLISTED_RETENTION_MS
                and not state.in_flight
            ):
                del self._states[name]
        self._limits.retain(self._states.keys())
        self._rooms.retain(self._states.keys())
        self._loads.retain(self._states.keys())
        return True

    def restore_listing(self, listing: Listing, now_ms: int) -> bool:
        """Adopts a saved copy of the listing if no listing is known.

        Args:
            listing: The copy.
            now_ms: Current time.

        Returns:
            Whether the copy was adopted.
        """
        if self.has_listing:
            return False
        self.update_listing(listing, now_ms - _RESTORED_LISTING_AGE_MS)
        self._restored = True
        return True

    def confirm_listing(self, digest: str, end: int, listed_ms: int) -> None:
        """Records that another gateway has read the same listing more recently.

        Args:
            digest: Digest of the other gateway's listing.
            end: Version of the other gateway's listing.
            listed_ms: When the other gateway read it.
        """
        if digest == self._listing.digest and listed_ms > self._listed_ms:
            self._listing = attrs.evolve(
                self._listing, end=max(end, self._listing.end)
            )
            self._listed_ms = listed_ms
            self._restored = False

    def backends(self, service: str) -> list[BackendServer]:
        """Returns the backend servers of a service that are not draining."""
        return [
            b
            for b in self._listing.backends.values()
            if b.service == service
            and b.name not in self._superseded
            and not self._is_leaving(b)
        ]

    def on_exit_announced(self, name: str, now_ms: int) -> bool:
        """Records that a server says in a response that it is draining.

        Unlike `on_leaving` this holds whatever the listing says, until another
        process of that name is listed.

        Returns:
            Whether this is new.
        """
        backend = self._listing.backends.get(name)
        started_ms = backend.started_ms if backend else 0
        return self._availability.on_exit_announced(name, started_ms, now_ms)

    def announced_exits(self) -> dict[str, int]:
        """Returns the listed servers that have announced their exit.

        Returns:
            Start of the process that is going to exit, by name.
        """
        return {
            name: started_ms
            for name, started_ms in self._availability.exits().items()
            if name in self._listing.backends
        }

    def _is_leaving(self, backend: BackendServer) -> bool:
        if backend.leaving or self._availability.is_exiting(
            backend.name, backend.started_ms
        ):
            return True
        leaving_ms = self._states[backend.name].leaving_ms
        return (
            leaving_ms >= 0 and self._listed_ms < leaving_ms + _LISTING_LAG_MS
        )

    def find(self, address: tuple[str, int]) -> BackendServer | None:
        """Returns the backend server that is listed at an address."""
        for backend in self._listing.backends.values():
            if (
                backend.address == address
                and backend.name not in self._superseded
            ):
                return backend
        return None

    def choose_backend(
        self, service: Service, tried: set[str], now_ms: int
    ) -> BackendServer | None:
        """Returns the least loaded backend server of a service without a model.

        Args:
            service: The service.
            tried: Names of backend servers that the request was already sent
                to.
            now_ms: Current time.

        Returns:
            The backend server; None if all others have been tried or would
            exceed their limits.
        """
        untried = self._untried(service, tried, now_ms)
        for backend in untried:
            if self._needs_limit_probe(backend.name, now_ms):
                return backend
        usable = [
            b for b in untried if self._limits.is_available(b.name, now_ms)
        ]
        healthy = [b for b in usable if not self.is_excluded(b.name, now_ms)]
        if not healthy:
            # All of them failed or were full recently. The one whose ejection
            # ends first may be back, and trying it costs little: at most a
            # refused connection.
            usable.sort(key=lambda b: self._states[b.name].ejected_until_ms)
            return usable[0] if usable else None
        return min(healthy, key=lambda b: self._relative_load(b, now_ms))

    def choose_limited_backends(
        self, service: Service, tried: set[str], now_ms: int
    ) -> list[BackendServer]:
        """Returns the backend servers that need a permit, least loaded first.

        Args:
            service: The service.
            tried: Names of backend servers that the request was already sent
                to.
            now_ms: Current time.
        """
        limited = [
            b
            for b in self._untried(service, tried, now_ms)
            if not self._limits.is_available(b.name, now_ms)
            and not self.is_excluded(b.name, now_ms)
        ]
        return sorted(limited, key=lambda b: self._relative_load(b, now_ms))

    def _untried(
        self, service: Service, tried: set[str], now_ms: int
    ) -> list[BackendServer]:
        """Returns the backend servers that a request may still be sent to."""
        untried = [
            b
            for b in self.backends(service.name)
            if b.name not in tried
            and not self._availability.is_at_rest(b.name, now_ms)
        ]
        for backend in untried:
            self._record_demand(backend, now_ms)
        return untried

    def _needs_limit_probe(self, name: str, now_ms: int) -> bool:
        """Returns whether a request should show if a limit has ended."""
        return self._limits.needs_probe(name, now_ms) and not self.is_excluded(
            name, now_ms
        )

    def _record_demand(self, backend: BackendServer, now_ms: int) -> None:
        local = backend.data_centre == self._data_centre
        self._limits.on_demand(backend.name, local, now_ms)

    def choose_first_path(
        self,
        service: Service,
        now_ms: int,
        excluded: frozenset[str],
        excluded_first: frozenset[str],
        need: RoomNeed | None = None,
    ) -> Path | NoPath | NoRoom:
        """Returns a path for a new run that keeps the limits of all engines.

        Only the first engine of a path receives the request, so that its limit
        alone counts.

        Args:
            service: The service; it must have a model.
            now_ms: Current time.
            excluded: Names of engines that must not be on the path.
            excluded_first: Names of engines that the path must not start with.
            need: Memory that the run needs; None if any engine will do.
        """
        unavailable = set(excluded_first)
        for backend in self._limited_backends(service):
            name = backend.name
            self._record_demand(backend, now_ms)
            if name not in excluded_first and self._needs_limit_probe(
                name, now_ms
            ):
                others = frozenset(self._listing.backends) - {name}
                path = self.choose_engines(
                    service, now_ms, excluded, others, need=need
                )
                if isinstance(path, Path):
                    return path
            if not self._limits.is_available(name, now_ms):
                unavailable.add(name)
        return self.choose_engines(
            service, now_ms, excluded, frozenset(unavailable), need=need
        )

    def _limited_backends(self, service: Service) -> list[BackendServer]:
        """Returns the backend servers of a service that name a limit."""
        found = map(self._listing.backends.get, self._limits.limited())
        return [
            b
            for b in found
            if b is not None
            and b.service == service.name
            and not self._is_leaving(b)
        ]

    def choose_engines(
        self,
        service: Service,
        now_ms: int,
        excluded: frozenset[str] = frozenset(),
        excluded_first: frozenset[str] = frozenset(),
        after: PathPart | None = None,
        need: RoomNeed | None = None,
    ) -> Path | NoPath | NoRoom:
        """Returns a path over the engines of a service.

        Args:
            service: The service; it must have a model.
            now_ms: Current time.
            excluded: Names of engines that must not be on the path.
            excluded_first: Names of engines that the path must not start with.
            after: First part to retain, if the path of a running request is
                changed.
            need: Memory that the run needs; None if any engine will do.

        Returns:
            The path, NoPath with the first layer that no usable engine holds,
            or NoRoom if there are paths, but none with the memory needed.
        """
        # Engines that rejected a request for lack of room take part in a search
        # for room, which they don't have, so that the result is NoRoom instead
        # of a path around them.
        engines = [
            self._with_slowdown(engine)
            for engine in self.engines(service, now_ms)
            if engine.name not in excluded
            and not self._states[engine.name].failures
            and (
                not self.is_excluded(engine.name, now_ms)
                or (
                    need is not None and self._is_only_full(engine.name, now_ms)
                )
            )
        ]
        return choose_path(
            engines,
            service.model,
            self._loads,
            self._data_centre,
            self._rng,
            excluded_first,
            after,
            need,
            self._rooms,
            now_ms,
        )

    def on_full(self, name: str, now_ms: int) -> None:
        """Records that a backend server rejected a request as it is full."""
        super().on_full(name, now_ms)
        self._rooms.on_rejected(name, now_ms)

    def engines(self, service: Service, now_ms: int) -> list[Engine]:
        """Returns the engines of a service with the layers they hold.

        An engine that this gateway has ordered to load layers counts as
        loading until it is known to hold them or the order's deadline has
        passed. After the deadline it counts as loading for as long as it
        reports that it is busy.
        """
        found = []
        for backend in self.backends(service.name):
            kind = service.model.kinds.get(backend.kind)
            if kind is None or backend.holds is None:
                continue
            found.append(self._engine(backend, kind, now_ms))
        return found

    def _engine(self, backend: BackendServer, kind, now_ms: int) -> Engine:
        state = self._states[backend.name]
        holds = backend.holds
        if self._report_is_newer(state):
            holds = state.reported_layers
        loading = state.busy_until_ms > now_ms
        if state.ordered_layers is not None:
            if (
                state.ordered_layers == holds
                or now_ms >= state.order_deadline_ms
            ):
                state.ordered_layers = None
            else:
                holds = state.ordered_layers
                loading = True
        return Engine(
            backend.name,
            backend.address,
            backend.data_centre,
            kind,
            holds,
            loading,
            state.late_order_until_ms > now_ms,
        )

    def on_report(
        self, name: str, holds: LayerRange | None, now_ms: int
    ) -> None:
        """Records the layers that an engine itself reports to hold.

        After a crash the listing names the former layers until the next
        heartbeat, and requests sent by it would be rejected.

        Args:
            name: The engine.
            holds: Layers that it reported; None if it reported none.
            now_ms: When it reported them.
        """
        backend = self._listing.backends.get(name)
        if holds is None or backend is None:
            return
        state = self._states[name]
        if now_ms < state.layers_reported_ms:
            return
        state.reported_layers = holds
        state.layers_reported_ms = now_ms

    def _report_is_newer(self, state: BackendState) -> bool:
        """Returns whether an engine's own report overrides the listing."""
        if state.reported_layers is None:
            return False
        return self._listed_ms < state.layers_reported_ms + _LISTING_LAG_MS

    def _is_only_full(self, name: str, now_ms: int) -> bool:
        """Returns whether a backend server is full, but not ejected."""
        return self._states[
            name
        ].ejected_until_ms <= now_ms and not self._availability.is_at_rest(
            name, now_ms
        )

    def is_excluded(self, name: str, now_ms: int) -> bool:
        """Returns whether a backend server is ejected, full or at rest."""
        state = self._states[name]
        return (
            state.ejected_until_ms > now_ms
            or state.full_until_ms > now_ms
            or self._availability.is_at_rest(name, now_ms)
        )

    def due_for_probe(self, now_ms: int) -> list[BackendServer]:
        """Returns failing backend servers whose ejection has expired."""
        return [
            b
            for b in self._listing.backends.values()
            if self._states[b.name].failures
            and self._states[b.name].ejected_until_ms <= now_ms
        ]

    def _relative_load(self, backend: BackendServer, now_ms: int) -> float:
        state = self._states[backend.name]
        reported = state.running if now_ms - state.load_reported_ms < 500 else 0
        load = max(state.in_flight, reported) / max(1, backend.slots)
        remote = backend.data_centre != self._data_centre
        return load + 0.1 * remote + self._rng.random() * 0.05


def _find_superseded(listing: Listing) -> frozenset[str]:
    """Returns listed servers whose address a later started one has.

    The entry of a server that has ended stays for some heartbeat intervals,
    and its address may be assigned to another server meanwhile.
    """
    latest: dict[tuple[str, int], BackendServer] = {}
    superseded = set()
    for backend in listing.backends.values():
        other = latest.setdefault(backend.address, backend)
        if 0 < other.started_ms < backend.started_ms:
            superseded.add(other.name)
            latest[backend.address] = backend
        elif 0 < backend.started_ms < other.started_ms:
            superseded.add(backend.name)
    return frozenset(superseded)


def warrants_ejection(failure: FailureKind) -> bool:
    """Returns whether a failure suggests that a backend server is gone."""
    return failure in (
        FailureKind.CONNECT,
        FailureKind.REFUSED,
        FailureKind.RESET,
        FailureKind.SILENT,
        FailureKind.CUT_SHORT,
        FailureKind.TOO_LONG,
    )


def require_model(service: Service) -> ModelShape:
    """Returns the model of a service.

    Raises:
        AssertionError: If the service has no model.
    """
    if service.model is None:
        raise AssertionError(f"service {service.name} has no model")
    return service.model
