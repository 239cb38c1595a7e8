"""Following the configuration through an outage of the store."""

import gevent
import pytest
from gevent import event

from caroblug.core.access import Configuration, RequestLimits
from caroblug.gateway import (
    ConfigurationRead,
    Unavailable,
    _store_watcher,
    make_listing,
)
from caroblug.gateway._peers import LeaseState
from caroblug.gateway._store_watcher import StoreWatcher
from caroblug.gateway.tests.test_placement import make_placement, tell
from caroblug.utils import ManualClock


def configured(version: int) -> Configuration:
    return Configuration(version, {}, {}, RequestLimits(), None)


def test_configuration_is_read_again_when_the_store_is_back():
    # Guards against a change that is taken only when a lost wait has ended.
    context, registry, peers, _ = make_placement()
    watches = StoreWatcher(context, registry, peers)
    reads = []
    registry.read_configuration = lambda: reads.append(1) or Unavailable("")
    registry.read_backends = lambda: Unavailable("silent")
    watches._read_list()

    registry.read_backends = lambda: make_listing({}, 2, 0, "")
    watches._read_list()

    assert reads


def test_wait_that_hangs_is_given_up_when_the_store_is_back():
    # Guards against a wait on a connection that went silent with the store.
    context, registry, peers, _ = make_placement()
    watches = StoreWatcher(context, registry, peers)
    registry.wait_for_change = lambda end, wait_ms: event.Event().wait()
    registry.read_configuration = lambda: ConfigurationRead(configured(6), 1)
    loop = gevent.spawn(watches.run_configuration)
    gevent.idle()
    registry.read_backends = lambda: Unavailable("silent")
    watches._read_list()

    registry.read_configuration = lambda: ConfigurationRead(configured(7), 2)
    registry.read_backends = lambda: make_listing({}, 2, 0, "")
    watches._read_list()
    gevent.idle()

    assert context.configuration.version == 7
    loop.kill()


@pytest.mark.parametrize("gateways", [0, 1, 5, 26, 400])
def test_some_gateway_waits_anew_every_second_or_each_does_in_some(gateways):
    # Guards against waits that all hang on silent connections for long.
    context, registry, peers, _ = make_placement()
    context.fleet.loads.gateways = gateways
    wait_ms = StoreWatcher(context, registry, peers)._wait_ms()

    assert 3000 <= wait_ms <= 20_000
    assert wait_ms / max(1, gateways) <= 4000


def test_store_that_is_away_is_asked_less_and_less_often():
    # Guards against many paid calls to a store that refuses them all.
    context, registry, peers, _ = make_placement()
    watches = StoreWatcher(context, registry, peers)

    assert context.configuration is not None
    pauses = [watches._again_ms(failures) for failures in range(40)]
    context.configuration = None
    first = [watches._again_ms(failures) for failures in range(40)]

    assert sum(pauses[:7]) >= 9000
    assert max(pauses) <= 2000
    assert max(first) <= 250


@pytest.fixture
def watched(monkeypatch):
    """StoreWatcher with short bounds on reads, and what they share."""
    monkeypatch.setattr(_store_watcher, "_READ_MS", 20)
    monkeypatch.setattr(_store_watcher, "_BACK_READ_S", 0.02)
    monkeypatch.setattr(_store_watcher, "_AGAIN_MS", 1)
    context, registry, peers, _ = make_placement()
    return StoreWatcher(context, registry, peers), context, registry, peers


def hang(*args):
    """Answers never."""
    event.Event().wait()


def loop_of(watches):
    loop = gevent.spawn(watches.run_configuration)
    gevent.idle()
    return loop


def next_configuration(context, version):
    """Waits until a version is in force; a test that hangs has failed."""
    while context.configuration.version < version:
        gevent.sleep(0.005)


def test_read_that_hangs_is_given_up_and_sent_again(watched):
    # Guards against a read on a connection that brings no end.
    watches, context, registry, _ = watched
    answers = iter([hang, lambda: ConfigurationRead(configured(7), 2)])
    registry.read_configuration = lambda: next(answers)()
    registry.wait_for_change = hang

    loop = loop_of(watches)

    next_configuration(context, 7)
    loop.kill()


def test_read_that_hangs_is_given_up_when_the_store_is_back(
    watched, monkeypatch
):
    # Guards against a read that was sent while the store answered nobody.
    monkeypatch.setattr(_store_watcher, "_READ_MS", 1_000_000)
    monkeypatch.setattr(_store_watcher, "_READ_MOST_MS", 1_000_000)
    watches, context, registry, _ = watched
    registry.read_configuration = hang
    loop = loop_of(watches)
    registry.read_backends = lambda: Unavailable("silent")
    watches._read_list()

    registry.read_configuration = lambda: ConfigurationRead(configured(7), 2)
    registry.read_backends = lambda: make_listing({}, 2, 0, "")
    watches._read_list()

    next_configuration(context, 7)
    loop.kill()


def test_read_that_hangs_does_not_hold_up_the_list(watched, monkeypatch):
    # Guards against leaving backend servers that get work while a read hangs.
    monkeypatch.setattr(_store_watcher, "_READ_MS", 1_000_000)
    watches, context, registry, _ = watched
    registry.read_configuration = hang
    registry.read_backends = lambda: Unavailable("silent")
    watches._read_list()
    registry.read_backends = lambda: make_listing({}, 2, 0, "")

    assert watches._read_list()
    assert context.fleet.has_listing


def test_list_that_hangs_counts_as_unavailable(watched):
    # Guards against a list that grows old behind one read without an end.
    watches, _, registry, _ = watched
    registry.read_backends = hang

    assert not watches._read_list()


def test_list_that_a_slow_link_brings_late_is_read_in_the_end(watched):
    # Guards against a list that is cut off by its bound each time.
    watches, _, registry, _ = watched

    def slow_list():
        gevent.sleep(0.1)
        return make_listing({}, 2, 0, "")

    registry.read_backends = slow_list

    assert any(watches._read_list() for _ in range(6))


def test_wait_that_outlasts_its_time_is_given_up(watched, monkeypatch):
    # Guards against a wait that brings bytes now and then, but no end.
    monkeypatch.setattr(_store_watcher, "_FIRST_WAIT_MS", 1)
    monkeypatch.setattr(_store_watcher, "_WAIT_SLACK_MS", 20)
    watches, context, registry, _ = watched
    versions = iter([6, 7])
    registry.read_configuration = lambda: ConfigurationRead(
        configured(next(versions)), 1
    )
    registry.wait_for_change = hang

    loop = loop_of(watches)

    next_configuration(context, 7)
    loop.kill()


def test_reads_that_fail_in_a_row_get_more_time():
    # Guards against a large configuration that a slow link never brings whole.
    bounds = [_store_watcher._read_bound_ms(failures) for failures in range(6)]

    assert bounds == sorted(bounds)
    assert bounds[-1] >= 10_000


@pytest.mark.parametrize("gateways", [5, 26, 400])
def test_first_of_a_data_centre_waits_anew_within_seconds(gateways):
    # Guards against waits begun together, with a change, that all go silent.
    context, registry, peers, _ = make_placement("g1")
    context.fleet.loads.gateways = gateways
    for index in range(2, 9):
        tell(peers, f"g{index}", LeaseState.NONE)

    assert StoreWatcher(context, registry, peers)._wait_ms() <= 3000


@pytest.mark.parametrize("gateways", [5, 26, 400])
def test_others_of_a_data_centre_wait_longer_the_more_they_are(gateways):
    # Guards against paid waits that grow with the number of gateways.
    context, registry, peers, _ = make_placement("g2")
    context.fleet.loads.gateways = gateways
    tell(peers, "g1", LeaseState.NONE)
    wait_ms = StoreWatcher(context, registry, peers)._wait_ms()

    assert 3000 <= wait_ms <= 20_000
    assert wait_ms >= min(15_000, 750 * gateways)
    assert wait_ms / gateways <= 4000


def test_gateway_that_becomes_the_first_gives_a_long_wait_up(watched):
    # Guards against the end of the gateway that found changes for the others.
    clock = ManualClock(100_000)
    context, registry, peers, _ = make_placement("g2", clock)
    watches = StoreWatcher(context, registry, peers)
    tell(peers, "g1", LeaseState.NONE)
    registry.read_configuration = lambda: ConfigurationRead(configured(6), 1)
    registry.wait_for_change = hang
    loop = loop_of(watches)
    clock.advance(4800)
    watches._renew_wait()
    gevent.idle()
    assert context.configuration.version == 6

    tell(peers, "g1", LeaseState.LEAVING)
    registry.read_configuration = lambda: ConfigurationRead(configured(7), 2)
    watches._renew_wait()

    next_configuration(context, 7)
    loop.kill()
