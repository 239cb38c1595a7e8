"""Following the configuration through an outage of the store."""

import gevent
import pytest
from gevent import event

from caroblug.core.access import Configuration, RequestLimits
from caroblug.gateway import ConfigurationRead, Unavailable, make_listing
from caroblug.gateway._watches import Watches
from caroblug.gateway.tests.test_placement import make_placement


def configured(version: int) -> Configuration:
    return Configuration(version, {}, {}, RequestLimits(), None)


def test_configuration_is_read_again_when_the_store_is_back():
    # The store answers nobody for four seconds. A gateway's wait for the next
    # configuration, sent meanwhile, is never answered; the list is read again
    # two seconds later, but a change is taken only after the wait's 20 s.
    context, registry, peers, _ = make_placement()
    watches = Watches(context, registry, peers)
    reads = []
    registry.read_configuration = lambda: reads.append(1) or Unavailable("")
    registry.read_backends = lambda: Unavailable("silent")
    watches._read_list()

    registry.read_backends = lambda: make_listing({}, 2, 0, "")
    watches._read_list()

    assert reads


def test_wait_that_hangs_is_given_up_when_the_store_is_back():
    # A gateway waits for the next configuration on a connection that has gone
    # silent while the store was away. The operator changes the configuration
    # right after the store is back; requests on the new route get 404.
    context, registry, peers, _ = make_placement()
    watches = Watches(context, registry, peers)
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
    # All waits hang on connections that went silent, and no call fails: only
    # the end of a wait shows it. With few gateways each ends its own wait in
    # seconds; with many one of them does each second, and the rest hear of it.
    context, registry, peers, _ = make_placement()
    context.fleet.loads.gateways = gateways
    wait_ms = Watches(context, registry, peers)._wait_ms()

    assert 3000 <= wait_ms <= 20_000
    assert wait_ms / max(1, gateways) <= 4000


def test_store_that_is_away_is_asked_less_and_less_often():
    # The store refuses calls for ten seconds. Each gateway asked for the
    # configuration four times a second all the while, and each call is paid
    # for; one that has no configuration yet can't serve anybody.
    context, registry, peers, _ = make_placement()
    watches = Watches(context, registry, peers)

    assert context.configuration is not None
    pauses = [watches._again_ms(failures) for failures in range(40)]
    context.configuration = None
    first = [watches._again_ms(failures) for failures in range(40)]

    assert sum(pauses[:7]) >= 9000
    assert max(pauses) <= 2000
    assert max(first) <= 250
