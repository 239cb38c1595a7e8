"""Tests of the maximum flow: cuts, conservation and links."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from caroblug.core.routing import EngineView, Link, full_mesh, make_plan

LAYERS = 12
PLACES = ("a", "b", "c")


def make_view(name, place, first, end, rate, **more):
    return EngineView(name, "10.0.0.1", 1, place, "m", first, end, rate, **more)


@st.composite
def fleets(draw):
    """Generates engines with mixed ranges; some layers may be uncovered."""
    count = draw(st.integers(1, 12))
    views = []
    for number in range(count):
        first = draw(st.integers(0, LAYERS - 1))
        end = draw(st.integers(first + 1, LAYERS))
        rate = draw(st.sampled_from([10.0, 40.0, 250.0]))
        place = draw(st.sampled_from(PLACES))
        views.append(make_view(f"e{number}", place, first, end, rate))
    return views


def _cut(views, layer):
    return sum(
        v.tokens_per_s for v in views if v.first_layer <= layer < v.end_layer
    )


@given(fleets())
def test_flow_is_not_above_the_cut_at_any_layer(views):
    plan = make_plan(views, LAYERS, full_mesh(PLACES))
    for layer in range(LAYERS):
        assert plan.tokens_per_s <= _cut(views, layer) + 1e-6


@given(fleets())
def test_flow_is_conserved_at_every_node_and_within_capacity(views):
    plan = make_plan(views, LAYERS, full_mesh(PLACES))
    balance = {}
    used = {}
    for data_centre, flow in plan.starts.items():
        balance[0, data_centre] = flow
    for place, groups in plan.groups.items():
        key = (place.layer, place.data_centre)
        for group, flow in groups.items():
            assert group.first_layer <= place.layer < group.end_layer
            assert group.data_centre == place.data_centre
            balance[key] = balance.get(key, 0.0) - flow
            end = (group.end_layer, group.data_centre)
            balance[end] = balance.get(end, 0.0) + flow
            used[group] = used.get(group, 0.0) + flow
    for place, links in plan.links.items():
        for target, flow in links.items():
            source = (place.layer, place.data_centre)
            target = (place.layer, target)
            balance[source] = balance.get(source, 0.0) - flow
            balance[target] = balance.get(target, 0.0) + flow
    ended = sum(flow for (layer, _), flow in balance.items() if layer == LAYERS)
    assert ended == pytest.approx(plan.tokens_per_s)
    for (layer, _), flow in balance.items():
        assert layer == LAYERS or flow == pytest.approx(0.0, abs=1e-6)
    for group, flow in used.items():
        held = sum(
            v.tokens_per_s
            for v in views
            if (v.data_centre, v.first_layer, v.end_layer)
            == attrs.astuple(group)
        )
        assert flow <= held + 1e-6


@given(fleets(), st.floats(0.0, 500.0))
def test_flow_over_narrow_links_is_between_no_links_and_unlimited(views, rate):
    narrow = [
        attrs.evolve(link, tokens_per_s=rate) for link in full_mesh(PLACES)
    ]
    apart = sum(
        make_plan([v for v in views if v.data_centre == p], LAYERS).tokens_per_s
        for p in PLACES
    )
    bounded = make_plan(views, LAYERS, narrow).tokens_per_s
    free = make_plan(views, LAYERS, full_mesh(PLACES)).tokens_per_s
    assert apart <= bounded + 1e-6 <= free + 2e-6


def test_flow_uses_overlapping_ranges_and_the_shorter_link():
    views = [
        make_view("wide", "a", 0, 8, 100.0),
        make_view("half", "a", 6, 12, 60.0),
        make_view("near", "b", 8, 12, 100.0),
        make_view("far", "c", 8, 12, 100.0),
    ]
    links = [Link("a", "b", 1.0), Link("a", "c", 50.0)]
    plan = make_plan(views, LAYERS, links)
    assert plan.tokens_per_s == pytest.approx(100.0)
    crossing = list(plan.links.values())
    assert crossing == [{"b": pytest.approx(40.0)}]
