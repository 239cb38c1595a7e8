"""One version of the configuration: routes, services, client accounts."""

import enum

import attrs

from caroblug.core.placement import ModelShape


class RouteKind(enum.Enum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@attrs.frozen
class Share:
    """A service's part of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Requests of one host and path.

    Attributes:
        name: Its name.
        host: Host that callers name, in lower case.
        prefix: Path that requests begin with; ends with a slash.
        kind: What may be repeated.
        shares: Services that requests are spread over.
        timeout_ms: Longest time that a request may take.
        latency_target_ms: Time in which an answer, or a stream's first event,
            is due.
        priority: 0 is the most urgent.
        max_attempts: Engines that one request may run on.
        public: Whether no key is needed.
        resumable: Whether a stream may be continued at another engine.
        pause_ms: Longest pause between events that is on time.
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
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.SAFE


@attrs.frozen
class Service:
    """Backend servers that do the same work.

    Attributes:
        name: Its name.
        health_path: Path that tells whether a backend server is healthy.
        max_connections: Connections that one backend server takes.
        model: The model, if its layers are spread over engines.
    """

    name: str
    health_path: str
    max_connections: int
    model: ModelShape | None = None


@attrs.frozen
class RequestLimits:
    """What a caller may send, and how slowly.

    The defaults hold until a configuration is known.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_ms: int = 3000
    idle_ms: int = 15000


@attrs.frozen
class Account:
    """A client account.

    Attributes:
        name: Its name.
        priority: Goes before its routes' priorities; None leaves them.
    """

    name: str
    priority: int | None = None


@attrs.frozen
class Configuration:
    """One version, whole.

    Attributes:
        version: Grows with each change, in uneven steps.
        routes: Routes by host, longest prefix first.
        services: Services by name.
        limits: What callers may send.
        keys: Client accounts by API key; None if no request needs a key.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    limits: RequestLimits = RequestLimits()
    keys: dict[str, Account] | None = None

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path."""
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
        host: tuple(sorted(found, key=lambda r: -len(r.prefix)))
        for host, found in by_host.items()
    }
