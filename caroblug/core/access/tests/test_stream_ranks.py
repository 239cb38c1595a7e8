"""Tests of the ranks that a configuration gives to a service's streams."""

from caroblug.core.access import (
    Account,
    Configuration,
    Route,
    RouteKind,
    Service,
    Share,
    StreamRanks,
    find_stream_ranks,
    index_routes,
)
from caroblug.core.placement.tests.fleets import MODEL

SERVICES = {
    "pool": Service("pool", "/health", 10, MODEL),
    "desk": Service("desk", "/health", 10),
}


def make_route(priority, service="pool", kind=RouteKind.STREAMING, **fields):
    name = f"r{priority}-{service}-{kind.value}"
    shares = (Share(service, 1.0),)
    return Route(
        name,
        "h",
        f"/{name}/",
        kind,
        shares,
        1000,
        priority=priority,
        **fields,
    )


def find(*routes, keys=None):
    return find_stream_ranks(
        Configuration(1, index_routes(list(routes)), SERVICES, keys=keys)
    )


def test_ranks_are_the_priorities_of_the_streams():
    ranks = find(make_route(2), make_route(0), make_route(2, resumable=True))

    assert ranks == {"pool": StreamRanks((0, 2), True)}


def test_plain_calls_have_no_ranks():
    # Guards against reserves for streams in a service that has none.
    assert find(make_route(1, "desk"), make_route(1, kind=RouteKind.SAFE)) == {}


def test_account_overrides_the_rank_of_a_route():
    keys = {"k": Account("a", 1), "l": Account("b", 3)}

    assert find(make_route(5), keys=keys)["pool"].ranks == (1, 3)


def test_account_without_a_priority_uses_that_of_the_route():
    keys = {"k": Account("a", 1), "l": Account("b")}

    assert find(make_route(5), keys=keys)["pool"].ranks == (1, 5)


def test_public_route_keeps_its_rank_beside_the_accounts():
    keys = {"k": Account("a", 1)}
    route = make_route(5, public=True)

    assert find(route, keys=keys)["pool"].ranks == (1, 5)


def test_service_without_weight_receives_no_streams():
    route = Route(
        "r", "h", "/", RouteKind.STREAMING, (Share("pool", 0.0),), 1000
    )

    assert find(route) == {}
