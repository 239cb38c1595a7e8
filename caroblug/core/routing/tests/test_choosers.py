"""Tests of all chain choosers, the flow chooser and latency estimates."""

import collections
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from caroblug.core.routing import (
    CHOOSERS,
    CacheEvent,
    EngineView,
    FlowChooser,
    LatencyTable,
    PrefixIndex,
    check_deadline,
    covers_layers,
    make_chooser,
    prefix_hashes,
)
from caroblug.core.routing.tests.test_flow import (
    LAYERS,
    fleets,
    make_view,
)


def _covered(views):
    """Returns whether some chain covers every layer."""
    reached = {0}
    for layer in range(LAYERS):
        if layer in reached:
            reached.update(
                v.end_layer
                for v in views
                if v.first_layer <= layer < v.end_layer
            )
    return LAYERS in reached


def _make_two_chains(rate_in_b=100.0, **more):
    return [
        make_view("a0", "a", 0, 6, 100.0, **more),
        make_view("a1", "a", 6, 12, 100.0),
        make_view("b0", "b", 0, 6, rate_in_b),
        make_view("b1", "b", 6, 12, rate_in_b),
    ]


@pytest.mark.parametrize("name", CHOOSERS)
@given(fleets(), st.data())
def test_chain_covers_every_layer_once_if_any_does(name, views, data):
    chooser = make_chooser(name, random.Random(1))
    names = [v.instance for v in views]
    excluded = data.draw(st.sets(st.sampled_from(names)))
    for view in views:
        view.leaving = data.draw(st.integers(0, 9)) == 0
        view.own_streams = data.draw(st.integers(0, 50))
    usable = {
        v.instance: v
        for v in views
        if not v.leaving and v.instance not in excluded
    }
    prompt = data.draw(st.sampled_from([(), tuple(range(40))]))
    chain = chooser.choose(views, LAYERS, "a", excluded, prompt)
    assert (chain is not None) == _covered(list(usable.values()))
    if chain is None:
        return
    assert chain.stages[-1].end_layer == LAYERS
    for stage in chain.stages:
        view = usable[stage.instance]
        assert view.first_layer <= stage.first_layer
        assert stage.end_layer == min(view.end_layer, LAYERS)


@pytest.mark.parametrize("name", CHOOSERS)
def test_equal_engines_share_the_streams(name):
    chooser = make_chooser(name, random.Random(1))
    views = [make_view(f"e{i}", "a", 0, 12, 100.0) for i in range(4)]
    for _ in range(400):
        chain = chooser.choose(views, LAYERS, "a")
        for view in views:
            view.own_streams += view.instance in chain.instances
    assert min(v.own_streams for v in views) >= 70


def test_flow_chooser_spreads_as_the_flow_does():
    """Guards against idle engines while requests queue at slow ones.

    If a slow engine gets as many streams as a fast one, its queue grows and
    limits every chain through it.
    """
    views = [
        make_view("fast", "a", 0, 6, 300.0),
        make_view("slow", "a", 0, 6, 100.0),
        make_view("last", "a", 6, 12, 400.0),
    ]
    chooser = FlowChooser(random.Random(2))
    opened = collections.Counter()
    for _ in range(400):
        chain = chooser.choose(views, LAYERS, "a")
        opened.update(chain.instances)
        for view in views:
            view.own_streams = opened[view.instance]
    assert 250 <= opened["fast"] <= 350


def test_local_data_centre_is_preferred_until_it_is_overloaded():
    chooser = FlowChooser(random.Random(3))
    views = _make_two_chains()
    for _ in range(20):
        assert chooser.choose(views, LAYERS, "a").instances == ("a0", "a1")
    views[0].backlog = 200
    others = {chooser.choose(views, LAYERS, "a").instances for _ in range(20)}
    assert any("b0" in instances for instances in others)
    gone = chooser.choose(views, LAYERS, "a", ("a0",))
    assert gone.instances[0] == "b0"


def test_flow_is_not_computed_for_each_request(monkeypatch):
    from caroblug.core.routing import _flow_chooser

    calls = []
    original = _flow_chooser.make_plan
    monkeypatch.setattr(
        _flow_chooser,
        "make_plan",
        lambda *a, **k: calls.append(1) or original(*a, **k),
    )
    chooser = FlowChooser(random.Random(4))
    views = _make_two_chains()
    for _ in range(50):
        chooser.choose(views, LAYERS, "a", ("a0",))
        views[1].own_streams += 1
        chooser.latencies.record("a", "b", 1.0)
    assert len(calls) <= 4
    before = len(calls)
    views[3].leaving = True
    chooser.choose(views, LAYERS, "a")
    assert len(calls) > before


def test_degraded_link_is_avoided():
    chooser = FlowChooser(random.Random(5))
    chooser.latencies.record("a", "b", 80.0)
    chooser.latencies.record("a", "c", 1.0)
    views = [
        make_view("a0", "a", 0, 6, 100.0),
        make_view("b1", "b", 6, 12, 100.0),
        make_view("c1", "c", 6, 12, 100.0),
    ]
    taken = {chooser.choose(views, LAYERS, "a").instances for _ in range(30)}
    assert taken == {("a0", "c1")}


def test_cached_prefix_outweighs_a_short_queue_but_not_a_long_one():
    prompt = tuple(range(64))
    prefixes = PrefixIndex()
    hashes = prefix_hashes(prompt)
    prefixes.on_event(CacheEvent("warm", 1, tuple(hashes)))
    chooser = FlowChooser(random.Random(6), prefixes)
    views = [make_view(f"cold{i}", "a", 0, 12, 100.0) for i in range(9)]
    warm = make_view("warm", "a", 0, 12, 100.0)
    views.append(warm)
    for _ in range(10):
        chain = chooser.choose(views, LAYERS, "a", (), prompt)
        assert chain.instances == ("warm",)
    warm.backlog = 50
    for _ in range(10):
        chain = chooser.choose(views, LAYERS, "a", (), prompt)
        assert chain.instances != ("warm",)


def test_gap_in_cache_events_drops_the_blocks_of_the_instance():
    """Guards against routing by a cached prefix that was evicted.

    If the event of the eviction is lost, the entry would otherwise send every
    prompt with this prefix to the same engine indefinitely.
    """
    index = PrefixIndex(max_blocks=8)
    hashes = prefix_hashes(tuple(range(48)))
    index.on_event(CacheEvent("e", 1, tuple(hashes)))
    assert index.cached_positions("e", hashes) == 48
    index.on_event(CacheEvent("e", 1, (), tuple(hashes)))
    assert index.cached_positions("e", hashes) == 48
    index.on_event(CacheEvent("e", 3, (hashes[0],)))
    assert index.cached_positions("e", hashes) == 16
    for number in range(4, 40):
        index.on_event(CacheEvent("e", number, (number,)))
    assert index.cached_positions("e", hashes) == 0


def test_deadline_miss_reports_the_expected_time_and_a_retry_delay():
    table = LatencyTable()
    engine = make_view("e", "a", 0, 12, 100.0)
    assert check_deadline([engine], table, 10, 50, 1000) is None
    engine.streams, engine.backlog = 39, 100
    miss = check_deadline([engine], table, 10, 50, 5000)
    assert miss.expected_ms == pytest.approx(21_100)
    assert miss.retry_after_ms == 16_100


def test_load_is_the_report_corrected_by_own_streams():
    view = make_view("e", "a", 0, 12, 100.0)
    view.streams, view.own_streams, view.own_streams_at_report = 30, 12, 10
    assert view.load == 32
    view.backlog = 7
    assert view.queue == 9
    view.own_streams = 0
    assert view.load == 20
    assert view.queue == 0


def test_layers_are_covered_only_without_a_gap():
    """Guards against readiness while some layers have no usable engine.

    An entry would reject requests that it can serve a moment later.
    """
    engines = [
        EngineView(f"side-{n}", "h", 1, "a", "m", first, end, 100.0)
        for n, (first, end) in enumerate(((0, 8), (6, 16), (17, 24)))
    ]
    assert covers_layers(engines, 16)
    assert not covers_layers(engines, 24)
    engines[1].leaving = True
    assert not covers_layers(engines, 16)
