"""Tests of permits for servers whose limit another gateway owns."""

import pytest

from caroblug.gateway._interfaces import Unavailable
from caroblug.gateway._limit_permits import PERMIT_PATH, LimitPermits
from caroblug.gateway.tests.test_fleet import list_of, make_plain_server
from caroblug.gateway.tests.test_placement import make_placement
from caroblug.utils import ManualClock

SERVERS = ("d1", "d2", "d3", "d4")


class Calls:
    """Calls between two gateways, without sockets."""

    def __init__(self) -> None:
        self.handler = None
        self.count = 0

    def call(self, address, path, message):
        assert path == PERMIT_PATH
        self.count += 1
        return self.handler(message)


def make_pair():
    """Returns the contexts and permits of an owner and of another gateway."""
    clock = ManualClock(100_000)
    calls = Calls()
    owner, _, owner_peers, _ = make_placement("g1", clock)
    other, _, other_peers, _ = make_placement("g2", clock)
    for context in (owner, other):
        listing = list_of(*(make_plain_server(name) for name in SERVERS))
        context.fleet.update_listing(listing, clock.now_ms())
    calls.handler = LimitPermits(owner, calls).handle_permit_request
    now_ms = clock.now_ms()
    for name in SERVERS:
        owner.fleet.limits.on_response(name, 1.0, now_ms, now_ms)
    for _ in range(4):
        for name in SERVERS:
            owner.fleet.limits.on_demand(name, True, clock.now_ms())
        other_peers._handle_message(owner_peers._build_message(""))
        clock.advance(1000)
    return other, LimitPermits(other, calls), calls


def test_limits_and_owners_reach_other_gateways():
    other, _, _ = make_pair()

    assert other.fleet.limits.is_limited("d1")
    assert other.fleet.limits.lender("d1", other.clock.now_ms()).name == "g1"


def test_granted_permit_allows_one_request():
    other, permits, _ = make_pair()
    limits = other.fleet.limits

    assert permits.acquire("d1")
    assert limits.take("d1", other.clock.now_ms())
    assert not limits.take("d1", other.clock.now_ms())


def test_denied_gateway_does_not_ask_again_at_once():
    # Guards against a call for each request to a server without permits left.
    _, permits, calls = make_pair()
    permits.acquire("d1")
    assert not permits.acquire("d1")
    assert not permits.acquire("d1")

    assert calls.count == 2


def test_owner_that_does_not_respond_denies():
    other, permits, calls = make_pair()
    calls.handler = lambda message: Unavailable("connect")

    assert not permits.acquire("d1")
    assert not other.fleet.limits.take("d1", other.clock.now_ms())


def test_few_owners_are_called_for_one_request():
    # Guards against a caller that waits while dozens of servers are limited.
    other, permits, calls = make_pair()
    calls.handler = lambda message: {"wait_ms": 700}
    backends = list(other.fleet.listing.backends.values())

    assert permits.acquire_first(backends) is None
    assert calls.count == 3


def test_message_of_a_gateway_without_limits_is_applied():
    other, _, other_peers, _ = make_placement("g2")
    _, _, old_peers, _ = make_placement("g1")
    message = old_peers._build_message("")
    del message["limits"]

    assert other_peers._handle_message(message)["name"] == "g2"


@pytest.mark.parametrize(
    "answer", [{}, {"wait_ms": None}, {"wait_ms": 1e999}, {"wait_ms": "now"}]
)
def test_answer_that_cannot_be_read_grants_nothing(answer):
    # Guards against a request that is never answered because of it.
    other, permits, calls = make_pair()
    calls.handler = lambda message: answer

    assert not permits.acquire("d1")
