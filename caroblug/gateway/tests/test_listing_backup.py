"""Tests of starts at which the store can't give the list of servers.

The pattern: all gateways lose power and start again, while the partition of the
store that has the list is unavailable, or one copy of the list is out of date.
"""

import gevent
import pytest

from caroblug.gateway import Unavailable
from caroblug.gateway._listing_backup import ListingBackup
from caroblug.gateway._store_watcher import StoreWatcher
from caroblug.gateway.tests.fakes import FakeRegistry, make_context
from caroblug.gateway.tests.test_fleet import (
    PLAIN,
    POOL,
    list_of,
    make_engine,
    make_plain_server,
)
from caroblug.gateway.tests.test_placement import make_placement

UNREADABLE = Unavailable("status 503")


class BackupRegistry(FakeRegistry):
    """Registry with copies of the list."""

    def __init__(self) -> None:
        super().__init__()
        self.listing = UNREADABLE
        self.copy = Unavailable("no copy")
        self.writable = True
        self.saves = 0

    def read_backends(self):
        return self.listing

    def save_backends(self, listing):
        self.saves += 1
        if not self.writable:
            return UNREADABLE
        self.copy = listing
        return None

    def read_saved_backends(self):
        return self.copy


class Start:
    """A gateway that has just started, with a registry set by the test."""

    def __init__(self) -> None:
        self.context = make_context()
        self.fleet = self.context.fleet
        self.registry = BackupRegistry()
        self.active = True
        self.backup = ListingBackup(
            self.context, self.registry, lambda: self.active
        )
        _, _, peers, _ = make_placement()
        self.watcher = StoreWatcher(
            self.context, self.registry, peers, self.backup
        )

    def read_list(self) -> None:
        """Reads the list once, as the loop does."""
        self.watcher._read_list()

    def serves_streams(self) -> bool:
        """Returns whether a path for a stream is found."""
        path = self.fleet.choose_engines(POOL, self.context.clock.now_ms())
        return hasattr(path, "parts")


@pytest.fixture
def start():
    return Start()


def test_start_without_the_list_serves_from_its_copy(start):
    # Guards against refusing all requests while the engines are running.
    start.registry.copy = list_of(
        make_engine("x", 0, 80), make_plain_server("d1")
    )

    start.read_list()
    start.watcher.run_restore()

    assert start.serves_streams()
    assert start.fleet.choose_backend(PLAIN, set(), 0).name == "d1"


def test_list_replaces_its_copy_as_soon_as_it_is_read(start):
    # Guards against requests to servers that have left since the copy.
    start.registry.copy = list_of(make_plain_server("left"), end=4)
    start.read_list()
    start.watcher.run_restore()

    start.registry.listing = list_of(make_plain_server("d1"), end=7)
    start.read_list()

    assert set(start.fleet.listing.backends) == {"d1"}
    assert start.fleet.has_confirmed_listing


def test_copy_never_replaces_a_list_that_was_read(start):
    # Guards against a server that comes back through an outdated copy.
    start.registry.listing = list_of(make_plain_server("d1"), end=7)
    start.registry.copy = list_of(make_plain_server("left"), end=4)
    start.read_list()

    start.watcher.run_restore()

    assert set(start.fleet.listing.backends) == {"d1"}


def test_older_list_does_not_replace_a_newer_copy(start):
    # Guards against a stale read of the store after the list was restored.
    start.registry.copy = list_of(
        make_plain_server("d1"), make_plain_server("d2", leaving=True), end=9
    )
    start.read_list()
    start.watcher.run_restore()

    start.registry.listing = list_of(
        make_plain_server("d1"), make_plain_server("d2"), end=6
    )
    start.read_list()

    assert [b.name for b in start.fleet.backends("desk")] == ["d1"]


def test_server_found_draining_stays_out_of_a_restored_list(start):
    # Guards against new requests to a server that drains since the copy.
    now_ms = start.context.clock.now_ms()
    start.registry.copy = list_of(
        make_plain_server("d1"), make_plain_server("d2")
    )
    start.fleet.on_leaving("d2", now_ms - 100)
    start.read_list()
    start.watcher.run_restore()

    assert [b.name for b in start.fleet.backends("desk")] == ["d1"]


def test_copies_are_not_read_where_the_list_is(start):
    # Guards against paid calls at each start.
    start.registry.listing = list_of(make_plain_server("d1"))
    start.registry.read_saved_backends = lambda: pytest.fail("read")

    start.read_list()
    start.watcher.run_restore()


def test_copies_are_read_until_one_can_be_read(start):
    # Guards against giving up while every partition is away for a moment.
    start.read_list()
    loop = gevent.spawn(start.watcher.run_restore)
    gevent.idle()
    assert not start.fleet.has_listing

    start.registry.copy = list_of(make_plain_server("d1"))
    loop.join()

    assert start.fleet.has_listing


def test_restored_list_is_the_oldest_of_all(start):
    # Guards against a copy that peers take for newer than a list that was read.
    start.registry.copy = list_of(make_plain_server("d1"))
    start.read_list()
    start.watcher.run_restore()

    now_ms = start.context.clock.now_ms()
    assert start.fleet.listing_age_ms(now_ms) > 100_000
    assert not start.fleet.has_confirmed_listing


def test_changes_of_the_list_are_saved_by_the_active_gateway(start):
    # Guards against outdated copies, and copies that every gateway writes.
    start.registry.listing = list_of(make_plain_server("d1"), end=2)
    start.read_list()
    start.active = False
    start.backup.save_if_due()
    assert not start.registry.saves

    start.active = True
    for _ in range(3):
        start.backup.save_if_due()
        start.context.clock.advance(5000)
    assert start.registry.saves == 1

    start.registry.listing = list_of(make_plain_server("d2"), end=3)
    start.read_list()
    start.backup.save_if_due()
    assert set(start.registry.copy.backends) == {"d2"}


def test_changes_in_quick_succession_are_saved_together(start):
    # Guards against paid calls for each of many engines that load layers.
    for end in range(2, 22):
        engine = make_engine("x", 0, end)
        start.registry.listing = list_of(engine, end=end)
        start.read_list()
        start.backup.save_if_due()
        start.context.clock.advance(100)

    assert start.registry.saves == 1
    start.backup.save_if_due()
    assert start.registry.copy.end == 21


def test_list_of_a_gateway_that_was_paused_is_not_saved(start):
    # Guards against an outdated list that replaces the copies of a newer one.
    start.registry.listing = list_of(make_plain_server("left"))
    start.read_list()
    start.context.clock.advance(10_000)
    start.backup.save_if_due()
    assert not start.registry.saves

    start.registry.listing = list_of(make_plain_server("d1"), end=2)
    start.read_list()
    start.backup.save_if_due()
    assert set(start.registry.copy.backends) == {"d1"}


def test_failed_save_is_repeated(start):
    # Guards against an outdated copy after an outage of the store.
    start.registry.listing = list_of(make_plain_server("d1"))
    start.read_list()
    start.registry.writable = False
    start.backup.save_if_due()
    start.registry.writable = True
    start.context.clock.advance(5000)
    start.read_list()
    start.backup.save_if_due()

    assert set(start.registry.copy.backends) == {"d1"}


def test_restored_list_is_not_saved_again(start):
    # Guards against an outdated copy that overwrites a newer one.
    start.registry.copy = list_of(make_plain_server("d1"))
    start.read_list()
    start.watcher.run_restore()
    start.backup.save_if_due()

    assert not start.registry.saves
