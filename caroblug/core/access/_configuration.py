"""Routes, services and client accounts of a configuration version."""

import enum

import attrs

from caroblug.core.placement import ModelShape


class RouteKind(enum.Enum):
    """Whether requests of a route may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@attrs.frozen
class Share:
    """A service and the part of a route's requests that it receives.

    Attributes:
        service: Name of the service.
        weight: Part of the requests, relative to the route's other weights.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Handling of the requests for one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host of the requests, in lower case.
        prefix: Prefix of the requests' paths; ends with a slash.
        kind: Whether requests may be retried.
        shares: Services among which requests are divided.
        timeout_ms: Maximum duration of a request.
        latency_target_ms: Time within which an answer, or the first event of a
            stream, is due.
        priority: Priority of requests; 0 is the highest.
        max_attempts: Maximum number of backend servers on which a request may
            run.
        public: Whether requests need no API key.
        resumable: Whether a stream may be continued on another engine.
        pause_ms: Maximum pause between two events of a stream that counts as
            on time; 0 for no maximum.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout_ms: int
    latency_target_ms: int = 500
    priority: int = 5
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    pause_ms: int = 0

    @property
    def retryable(self) -> bool:
        """Whether a request that has run may be sent again."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.SAFE


@attrs.frozen
class Service:
    """Group of interchangeable backend servers, or of engines of one model.

    Attributes:
        name: Name of the service.
        health_path: Path of the backend servers' health check.
        max_connections: Maximum number of connections to one backend server.
        model: Model whose layers are distributed over the service's engines;
            None for a service without a model.
    """

    name: str
    health_path: str
    max_connections: int
    model: ModelShape | None = None


@attrs.frozen
class RequestLimits:
    """Limits on the size and duration of receiving a request.

    The defaults apply until a configuration has been read.

    Attributes:
        header_bytes: Maximum size of the request line and headers.
        body_bytes: Maximum size of the body.
        header_ms: Maximum time from the first byte of a request to the end of
            its headers.
        idle_ms: Maximum time from the first byte of a request to the end of
            its body, and maximum time between requests on a connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_ms: int = 3000
    idle_ms: int = 15000


@attrs.frozen
class Account:
    """A client account.

    Attributes:
        name: Name of the account.
        priority: Priority that overrides the priority of the routes; None to
            use theirs.
    """

    name: str
    priority: int | None = None


@attrs.frozen
class Configuration:
    """One complete version of the configuration.

    Attributes:
        version: Number that increases with each change, not always by one.
        routes: Routes by host, longest prefix first.
        services: Services by name.
        limits: Limits on requests.
        keys: Client accounts by API key; None if no route requires a key.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    limits: RequestLimits = RequestLimits()
    keys: dict[str, Account] | None = None

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route whose prefix is the longest match of a path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def index_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Returns routes by host, the longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(host_routes, key=lambda r: -len(r.prefix)))
        for host, host_routes in by_host.items()
    }


@attrs.frozen
class StreamRanks:
    """Ranks of the streams that one service receives.

    Attributes:
        ranks: Priorities that streams can have, the most urgent one first.
        resumable: Whether a stream can continue on other engines after its
            response has begun.
    """

    ranks: tuple[int, ...]
    resumable: bool


def find_stream_ranks(configuration: Configuration) -> dict[str, StreamRanks]:
    """Returns the ranks of the streams of each service with a model.

    Args:
        configuration: The configuration.

    Returns:
        Ranks by service. A service without streams is missing.
    """
    overrides = {
        account.priority for account in (configuration.keys or {}).values()
    }
    routes_by_service: dict[str, list[Route]] = {}
    for routes in configuration.routes.values():
        for route in routes:
            if route.kind is not RouteKind.STREAMING:
                continue
            for share in route.shares:
                service = configuration.services.get(share.service)
                if share.weight <= 0 or service is None:
                    continue
                if service.model is not None:
                    routes_by_service.setdefault(service.name, []).append(route)
    return {
        name: _make_ranks(routes, overrides)
        for name, routes in routes_by_service.items()
    }


def _make_ranks(routes: list[Route], overrides: set[int | None]) -> StreamRanks:
    """Returns the ranks of a service's streams.

    Args:
        routes: Routes whose streams the service receives.
        overrides: Priorities of all client accounts, with None if some account
            uses those of the routes; empty if there are no accounts.
    """
    ranks = set()
    for route in routes:
        if route.public or not overrides:
            ranks.add(route.priority)
        ranks.update(route.priority if o is None else o for o in overrides)
    resumable = any(route.resumable for route in routes)
    return StreamRanks(tuple(sorted(ranks)), resumable)
