"""Tests of the probes of suspected backend servers."""

import gevent

from caroblug.core.placement import LayerRange
from caroblug.gateway._suspect_probes import SuspectProbes
from caroblug.gateway.tests.fakes import make_context
from caroblug.gateway.tests.test_fleet import list_of, make_engine


def test_engine_at_rest_is_not_probed():
    # Guards against probes of an engine that wants nothing from this gateway.
    context = make_context()
    engine = make_engine("e1", 0, 80)
    now_ms = context.clock.now_ms()
    context.fleet.update_listing(list_of(engine), now_ms)
    context.dialect.add(engine.address, LayerRange(0, 80))
    context.fleet.eject("e1", now_ms)
    context.fleet.availability.on_rest("e1", 3000, now_ms)
    probes = SuspectProbes(context)

    probes.probe(engine)
    gevent.sleep(0)
    assert context.fleet.is_failing("e1")
    context.clock.advance(3000)
    probes.probe(engine)
    gevent.sleep(0)
    assert not context.fleet.is_failing("e1")
