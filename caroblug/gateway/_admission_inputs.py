"""What admission control has to know about a service."""

from collections.abc import Iterable

from caroblug.core.access import Configuration, RouteKind
from caroblug.core.placement import Engine, ModelShape


def find_ranks(configuration: Configuration | None, service: str) -> list[int]:
    """Returns the priorities that streams of a service may have, sorted."""
    if configuration is None:
        return []
    ranks = _find_route_priorities(configuration, service)
    accounts = (configuration.keys or {}).values()
    ranks.update(a.priority for a in accounts if a.priority is not None)
    return sorted(ranks)


def has_ranked_routes(
    configuration: Configuration | None, service: str
) -> bool:
    """Returns whether the streaming routes of a service differ in priority."""
    if configuration is None:
        return False
    return len(_find_route_priorities(configuration, service)) > 1


def _find_route_priorities(
    configuration: Configuration, service: str
) -> set[int]:
    return {
        route.priority
        for routes in configuration.routes.values()
        for route in routes
        if route.kind is RouteKind.STREAMING
        and any(share.service == service for share in route.shares)
    }


def count_path_tokens(engines: Iterable[Engine], model: ModelShape) -> float:
    """Returns how many tokens engines hold in the memory of whole paths.

    Args:
        engines: Engines with the layers they hold.
        model: The model.
    """
    tokens = sum(
        model.token_capacity(engine.kind, len(engine.holds)) * len(engine.holds)
        for engine in engines
    )
    return tokens / model.layers
