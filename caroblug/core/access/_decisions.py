"""Whether a request is let in, and where it goes."""

import enum
import random

import attrs

from caroblug.core.access._configuration import (
    Account,
    Configuration,
    Route,
    Service,
)


class DenialReason(enum.Enum):
    """Why a request is not let in."""

    NOT_CONFIGURED = "not_configured"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    NO_SERVICE = "no_service"


@attrs.frozen
class Denied:
    """The request is not let in; nothing of it has run."""

    reason: DenialReason


@attrs.frozen
class Admitted:
    """The request may go to a service.

    Attributes:
        route: Its route.
        service: The service that was drawn from the route's shares.
        account: Whose request it is; None on a public route.
        priority: Rank of the request, 0 first.
        version: Version of the configuration that decided.
    """

    route: Route
    service: Service
    account: Account | None
    priority: int
    version: int


def admit(
    configuration: Configuration | None,
    host: str,
    path: str,
    key: str | None,
    rng: random.Random,
) -> Admitted | Denied:
    """Decides whether a request is let in.

    Args:
        configuration: The newest one; None before the first is known. An
            entry that knows none can't tell a wrong path from a right one.
        host: Host that the caller named, without a port.
        path: Path without the query.
        key: The caller's API key, if it sent one.
        rng: Draws the service.
    """
    if configuration is None:
        return Denied(DenialReason.NOT_CONFIGURED)
    route = configuration.find_route(host, path)
    if route is None:
        return Denied(DenialReason.NO_ROUTE)
    account = None
    if configuration.keys is not None:
        account = configuration.keys.get(key) if key else None
        if account is None and not route.public:
            return Denied(DenialReason.UNKNOWN_KEY)
    service = _draw_service(configuration, route, rng)
    if service is None:
        return Denied(DenialReason.NO_SERVICE)
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    return Admitted(route, service, account, priority, configuration.version)


def _draw_service(
    configuration: Configuration, route: Route, rng: random.Random
) -> Service | None:
    shares = [s for s in route.shares if s.weight > 0]
    if not shares:
        return None
    if len(shares) == 1:
        return configuration.services.get(shares[0].service)
    weights = [s.weight for s in shares]
    drawn = rng.choices(shares, weights)[0]
    return configuration.services.get(drawn.service)
