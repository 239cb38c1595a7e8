"""Tests of settings that change while a gateway runs."""

import attrs
import pytest

from caroblug.gateway import (
    GatewaySettings,
    make_gateway,
    make_kept_connections,
)
from caroblug.gateway.tests.fakes import FakeDialect, FakeRegistry
from standins._ports import Ports


class Site:
    """A gateway that isn't running, and the settings in its file."""

    def __init__(self) -> None:
        ports = Ports()
        addresses = [("127.0.0.1", ports.take()) for _ in range(5)]
        self.settings = GatewaySettings("g1", "a", *addresses)
        self.registry = FollowingRegistry()
        self.gateway = make_gateway(
            self.settings,
            FakeDialect(),
            self.registry,
            lambda: self.settings,
            make_kept_connections(),
        )
        self.context = self.gateway._context

    def change(self, **fields) -> None:
        self.settings = attrs.evolve(self.settings, **fields)
        self.gateway._reload_settings()


class FollowingRegistry(FakeRegistry):
    """Records the settings that it is to follow."""

    def __init__(self) -> None:
        super().__init__()
        self.followed: list[GatewaySettings] = []

    def apply_settings(self, settings):
        self.followed.append(settings)


@pytest.fixture
def site():
    return Site()


def test_store_that_moves_is_followed(site):
    # Guards against a gateway that calls the former address until its restart.
    moved = ("127.0.0.1", 9)

    site.change(store=moved, store_partitions=7)

    (followed,) = site.registry.followed
    assert (followed.store, followed.store_partitions) == (moved, 7)


def test_wait_at_the_former_store_ends(site):
    # Guards against a change of the configuration that is seen only after the
    # wait at the former store has timed out.
    killed = []

    class Call:
        def kill(self, block):
            killed.append(block)

    site.gateway._store_watcher._call = Call()

    site.change(drain_ms=9000)
    assert not killed
    site.change(store=("127.0.0.1", 9))
    assert killed


@pytest.mark.parametrize(
    "fields",
    [
        {"instance": "g2"},
        {"data_centre": "b"},
        {"peers": ("127.0.0.1", 9)},
        {"callers": ("127.0.0.1", 9)},
    ],
)
def test_what_a_process_is_called_and_where_it_listens_stays(site, fields):
    # Guards against a gateway that tells others an address where it doesn't
    # listen, or goes by two names.
    before = site.context.settings

    site.change(**fields, drain_ms=9000)

    assert site.context.settings == attrs.evolve(before, drain_ms=9000)


def test_messages_between_gateways_have_limits_of_their_own(site):
    # Guards against gateways that hear nobody because the operator bounds the
    # requests of callers.
    small = attrs.evolve(site.context.limits(), body_bytes=10, header_bytes=10)
    site.context.configuration = Limited(small)

    assert site.gateway._callers._limits().body_bytes == 10
    for server in (site.gateway._peer_calls, site.gateway._metrics):
        assert server._limits().body_bytes > 1_000_000


@attrs.frozen
class Limited:
    """A configuration of which only the limits matter."""

    limits: object


@pytest.mark.parametrize(
    ("memory_mb", "callers_mb"), [(1000, 500), (160, 80), (96, 32), (32, 8)]
)
def test_limits_of_the_machine_apply_at_once(site, memory_mb, callers_mb):
    # Guards against callers who hold what the machine doesn't have any more.
    site.change(memory_mb=memory_mb, max_sockets=300)

    bounds = site.context.resource_bounds()
    assert bounds.memory_bytes == callers_mb * (1 << 20)
    assert bounds.connections == 150
