"""Tests of route matching, API keys and the choice of a service."""

import random

from caroblug.core.access import (
    Account,
    Admitted,
    Configuration,
    DenialReason,
    Denied,
    Route,
    RouteKind,
    Service,
    Share,
    admit,
    index_routes,
)

ANNA = Account("anna")
BO = Account("bo", priority=0)


def make_route(name, prefix, shares=(("s", 1.0),), **options):
    return Route(
        name,
        options.pop("host", "h.example"),
        prefix,
        options.pop("kind", RouteKind.SAFE),
        tuple(Share(*share) for share in shares),
        1000,
        **options,
    )


def make_configuration(*routes, version=1, keys=None):
    return Configuration(
        version,
        index_routes(list(routes)),
        {name: Service(name, "/health", 10) for name in ("s", "t")},
        keys=keys,
    )


def decide(configuration, path="/a/x", key=None, host="h.example", seed=1):
    return admit(configuration, host, path, key, random.Random(seed))


def test_longest_prefix_wins():
    configuration = make_configuration(
        make_route("short", "/a/"), make_route("long", "/a/b/")
    )

    assert decide(configuration, "/a/b/c").route.name == "long"
    assert decide(configuration, "/a/c").route.name == "short"


def test_route_of_another_host_does_not_match():
    configuration = make_configuration(make_route("r", "/a/", host="other"))

    assert decide(configuration) == Denied(DenialReason.NO_ROUTE)


def test_requests_are_denied_as_not_configured_before_a_configuration():
    # Guards against a 404 or 401 for a valid request while no configuration
    # has been read.
    assert decide(None) == Denied(DenialReason.NOT_CONFIGURED)


def test_api_key_determines_account_and_priority():
    configuration = make_configuration(
        make_route("r", "/a/", priority=3), keys={"k1": ANNA, "k2": BO}
    )

    assert decide(configuration, key="k1").account == ANNA
    assert decide(configuration, key="k1").priority == 3
    assert decide(configuration, key="k2").priority == 0
    assert decide(configuration, key="x") == Denied(DenialReason.UNKNOWN_KEY)
    assert decide(configuration) == Denied(DenialReason.UNKNOWN_KEY)


def test_public_route_needs_no_key():
    configuration = make_configuration(
        make_route("r", "/a/", public=True), keys={"k1": ANNA}
    )

    assert decide(configuration, key="x").account is None
    assert decide(configuration, key="k1").account == ANNA


def test_requests_are_divided_by_weight():
    configuration = make_configuration(
        make_route("r", "/a/", shares=(("s", 90.0), ("t", 10.0)))
    )
    rng = random.Random(7)

    drawn = [
        admit(configuration, "h.example", "/a/x", None, rng).service.name
        for _ in range(2000)
    ]

    assert 140 <= drawn.count("t") <= 260


def test_service_with_zero_weight_gets_no_requests():
    configuration = make_configuration(
        make_route("r", "/a/", shares=(("s", 0.0), ("t", 5.0)))
    )

    assert all(
        decide(configuration, seed=seed).service.name == "t"
        for seed in range(50)
    )


def test_streams_are_retryable_only_if_resumable():
    stream = RouteKind.STREAMING

    assert not make_route("r", "/a/", kind=stream).retryable
    assert make_route("r", "/a/", kind=stream, resumable=True).retryable
    assert not make_route("r", "/a/", kind=RouteKind.UNSAFE).retryable
    assert isinstance(
        decide(make_configuration(make_route("r", "/a/"))), Admitted
    )
