"""Following the configuration through an outage of the store."""

from caroblug.gateway import Unavailable, make_listing
from caroblug.gateway._watches import Watches
from caroblug.gateway.tests.test_placement import make_placement


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
