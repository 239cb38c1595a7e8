"""Tests of watching the store, mostly during and after its outages."""

import gevent
import pytest
from gevent import event

from caroblug.core.access import Configuration, RequestLimits
from caroblug.gateway import (
    ConfigurationRead,
    RefusedEntry,
    Unavailable,
    _store_watcher,
    make_listing,
)
from caroblug.gateway._listing_backup import ListingBackup
from caroblug.gateway._peers import LeaseState
from caroblug.gateway._store_watcher import StoreWatcher
from caroblug.gateway.tests.test_placement import (
    make_placement,
    receive_peer_state,
)
from caroblug.utils import ManualClock


def make_watcher(context, registry, peers) -> StoreWatcher:
    backup = ListingBackup(context, registry, lambda: False)
    return StoreWatcher(context, registry, peers, backup)


def make_configuration(version: int) -> Configuration:
    return Configuration(version, {}, {}, RequestLimits(), None)


def test_configuration_is_read_again_when_the_store_recovers():
    # Guards against a change that is applied only after the timeout of a wait
    # whose answer was lost.
    context, registry, peers, _ = make_placement()
    watcher = make_watcher(context, registry, peers)
    reads = []
    registry.read_configuration = lambda: reads.append(1) or Unavailable("")
    registry.read_backends = lambda: Unavailable("silent")
    watcher._read_list()

    registry.read_backends = lambda: make_listing({}, 2, (), "")
    watcher._read_list()

    assert reads


def test_hanging_wait_is_aborted_when_the_store_recovers():
    # Guards against a long wait on a connection that went silent during an
    # outage of the store.
    context, registry, peers, _ = make_placement()
    watcher = make_watcher(context, registry, peers)
    registry.wait_for_change = lambda end, wait_ms: event.Event().wait()
    registry.read_configuration = lambda: ConfigurationRead(
        make_configuration(6), 1
    )
    loop = gevent.spawn(watcher.run_configuration)
    gevent.idle()
    registry.read_backends = lambda: Unavailable("silent")
    watcher._read_list()

    registry.read_configuration = lambda: ConfigurationRead(
        make_configuration(7), 2
    )
    registry.read_backends = lambda: make_listing({}, 2, (), "")
    watcher._read_list()
    gevent.idle()

    assert context.configuration.version == 7
    loop.kill()


@pytest.mark.parametrize("gateways", [0, 1, 5, 26, 400])
def test_waits_of_all_gateways_together_restart_often_enough(gateways):
    # Guards against all gateways waiting long on connections that went silent.
    context, registry, peers, _ = make_placement()
    context.fleet.loads.gateways = gateways
    wait_ms = make_watcher(context, registry, peers)._choose_wait_ms()

    assert 3000 <= wait_ms <= 20_000
    assert wait_ms / max(1, gateways) <= 4000


def test_unavailable_store_is_called_less_and_less_often():
    # Guards against the cost of many calls to a store that rejects all of them.
    context, registry, peers, _ = make_placement()
    watcher = make_watcher(context, registry, peers)

    assert context.configuration is not None
    pauses = [watcher._retry_delay_ms(failures) for failures in range(40)]
    context.configuration = None
    first = [watcher._retry_delay_ms(failures) for failures in range(40)]

    assert sum(pauses[:7]) >= 9000
    assert max(pauses) <= 2000
    assert max(first) <= 250


@pytest.fixture
def fast_watcher(monkeypatch):
    """Returns a watcher with short timeouts and the parts that it uses."""
    monkeypatch.setattr(_store_watcher, "_READ_TIMEOUT_MS", 20)
    monkeypatch.setattr(_store_watcher, "_RECOVERY_READ_WAIT_S", 0.02)
    monkeypatch.setattr(_store_watcher, "_RETRY_MS", 1)
    context, registry, peers, _ = make_placement()
    return make_watcher(context, registry, peers), context, registry, peers


def hang(*args):
    """Blocks forever, like a call that gets no answer."""
    event.Event().wait()


def start_loop(watcher):
    loop = gevent.spawn(watcher.run_configuration)
    gevent.idle()
    return loop


def wait_for_version(context, version):
    """Waits until a version is applied; never returns if it is not."""
    while context.configuration.version < version:
        gevent.sleep(0.005)


def test_hanging_read_is_aborted_and_repeated(fast_watcher):
    # Guards against a read on a connection that never delivers its end.
    watcher, context, registry, _ = fast_watcher
    answers = iter([hang, lambda: ConfigurationRead(make_configuration(7), 2)])
    registry.read_configuration = lambda: next(answers)()
    registry.wait_for_change = hang

    loop = start_loop(watcher)

    wait_for_version(context, 7)
    loop.kill()


def test_hanging_read_is_aborted_when_the_store_recovers(
    fast_watcher, monkeypatch
):
    # Guards against a read that was sent while the store gave no answers.
    monkeypatch.setattr(_store_watcher, "_READ_TIMEOUT_MS", 1_000_000)
    monkeypatch.setattr(_store_watcher, "_MAX_READ_TIMEOUT_MS", 1_000_000)
    watcher, context, registry, _ = fast_watcher
    registry.read_configuration = hang
    loop = start_loop(watcher)
    registry.read_backends = lambda: Unavailable("silent")
    watcher._read_list()

    registry.read_configuration = lambda: ConfigurationRead(
        make_configuration(7), 2
    )
    registry.read_backends = lambda: make_listing({}, 2, (), "")
    watcher._read_list()

    wait_for_version(context, 7)
    loop.kill()


def test_hanging_read_does_not_delay_the_list(fast_watcher, monkeypatch):
    # Guards against requests to draining backend servers while a read of the
    # configuration hangs.
    monkeypatch.setattr(_store_watcher, "_READ_TIMEOUT_MS", 1_000_000)
    watcher, context, registry, _ = fast_watcher
    registry.read_configuration = hang
    registry.read_backends = lambda: Unavailable("silent")
    watcher._read_list()
    registry.read_backends = lambda: make_listing({}, 2, (), "")

    assert watcher._read_list()
    assert context.fleet.has_listing


def test_hanging_read_of_the_list_counts_as_failed(fast_watcher):
    # Guards against an outdated list because of one read that never ends.
    watcher, _, registry, _ = fast_watcher
    registry.read_backends = hang

    assert not watcher._read_list()


def test_list_is_eventually_read_over_a_slow_link(fast_watcher):
    # Guards against a read of the list that exceeds its timeout each time.
    watcher, _, registry, _ = fast_watcher

    def slow_read():
        gevent.sleep(0.1)
        return make_listing({}, 2, (), "")

    registry.read_backends = slow_read

    assert any(watcher._read_list() for _ in range(6))


def test_wait_that_exceeds_its_duration_is_aborted(fast_watcher, monkeypatch):
    # Guards against a wait that receives bytes occasionally but never ends.
    monkeypatch.setattr(_store_watcher, "_FIRST_READER_WAIT_MS", 1)
    monkeypatch.setattr(_store_watcher, "_WAIT_SLACK_MS", 20)
    watcher, context, registry, _ = fast_watcher
    versions = iter([6, 7])
    registry.read_configuration = lambda: ConfigurationRead(
        make_configuration(next(versions)), 1
    )
    registry.wait_for_change = hang

    loop = start_loop(watcher)

    wait_for_version(context, 7)
    loop.kill()


def test_timeout_grows_with_consecutive_failures():
    # Guards against a large configuration that never arrives completely over a
    # slow link.
    timeouts = [
        _store_watcher._read_timeout_ms(failures) for failures in range(6)
    ]

    assert timeouts == sorted(timeouts)
    assert timeouts[-1] >= 10_000


@pytest.mark.parametrize("gateways", [5, 26, 400])
def test_first_reader_restarts_its_wait_within_seconds(gateways):
    # Guards against waits that all began with the same change and whose
    # connections all went silent.
    context, registry, peers, _ = make_placement("g1")
    context.fleet.loads.gateways = gateways
    for index in range(2, 9):
        receive_peer_state(peers, f"g{index}", LeaseState.NONE)

    assert make_watcher(context, registry, peers)._choose_wait_ms() <= 3000


@pytest.mark.parametrize("gateways", [5, 26, 400])
def test_waits_of_other_gateways_grow_with_their_number(gateways):
    # Guards against a cost of waits that grows with the number of gateways.
    context, registry, peers, _ = make_placement("g2")
    context.fleet.loads.gateways = gateways
    receive_peer_state(peers, "g1", LeaseState.NONE)
    wait_ms = make_watcher(context, registry, peers)._choose_wait_ms()

    assert 3000 <= wait_ms <= 20_000
    assert wait_ms >= min(15_000, 750 * gateways)
    assert wait_ms / gateways <= 4000


def test_gateway_that_becomes_the_first_reader_restarts_a_long_wait(
    fast_watcher,
):
    # Guards against the failure of the first reader, whose short waits find
    # changes for the other gateways.
    clock = ManualClock(100_000)
    context, registry, peers, _ = make_placement("g2", clock)
    watcher = make_watcher(context, registry, peers)
    receive_peer_state(peers, "g1", LeaseState.NONE)
    registry.read_configuration = lambda: ConfigurationRead(
        make_configuration(6), 1
    )
    registry.wait_for_change = hang
    loop = start_loop(watcher)
    clock.advance(4800)
    watcher._restart_long_wait()
    gevent.idle()
    assert context.configuration.version == 6

    receive_peer_state(peers, "g1", LeaseState.LEAVING)
    registry.read_configuration = lambda: ConfigurationRead(
        make_configuration(7), 2
    )
    watcher._restart_long_wait()

    wait_for_version(context, 7)
    loop.kill()


def test_refused_entries_are_logged_once_and_their_number_is_bounded():
    # Guards against refused entries that are not logged, or that fill the log.
    context, registry, peers, _ = make_placement()
    watcher = make_watcher(context, registry, peers)
    lines = []
    context.log.write = lambda kind, **fields: lines.append((kind, fields))

    def read(count: int) -> int:
        refused = tuple(RefusedEntry(f"i{n}", "odd") for n in range(count))
        registry.read_backends = lambda: make_listing({}, 2, refused, "")
        lines.clear()
        watcher._read_list()
        return sum(kind == "backends.entry_refused" for kind, _ in lines)

    assert read(1) == 1
    assert lines[0][1] == {"key": "i0", "reason": "odd", "refused": 1}
    assert read(1) == 0
    assert read(3) == 2
    assert read(500) == _store_watcher._MAX_LOGGED_ENTRIES
    assert read(0) == 0
    assert read(1) == 1
