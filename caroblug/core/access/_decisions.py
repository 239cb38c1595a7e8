"""Decision whether a request is admitted, and to which service."""

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
    """Reason why a request is denied."""

    NOT_CONFIGURED = "not_configured"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    NO_SERVICE = "no_service"


@attrs.frozen
class Denied:
    """Decision to deny a request, no part of which has run."""

    reason: DenialReason


@attrs.frozen
class Admitted:
    """Decision to send a request to a service.

    Attributes:
        route: Route of the request.
        service: Service that was drawn from the route's shares.
        account: Client account of the API key; None if the request has no
            known key.
        priority: Priority of the request; 0 is the highest.
        version: Version of the configuration on which the decision is based.
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
    """Returns whether a request is admitted, and to which service.

    Args:
        configuration: Newest configuration; None before the first has been
            read. The request is then denied as `NOT_CONFIGURED`, because an
            unknown path or key can't be distinguished from a valid one.
        host: Host of the request, without the port.
        path: Path of the request, without the query.
        key: API key of the request, if it has one.
        rng: Source of randomness for the choice of the service.

    Returns:
        The decision.
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
