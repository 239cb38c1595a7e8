"""Maximum flow of tokens through engines that hold ranges of layers.

The flow is an upper bound of the throughput of any routing. A node of the
graph is a layer boundary in a data centre. Engines that hold the same layers
in the same data centre form one edge, which starts at any boundary inside
their range and leads to its end. A link is an edge between two data centres
at the same boundary.

References:
    Mei et al., "Helix: Serving Large Language Models over Heterogeneous GPUs
    and Network via Max-Flow", ASPLOS 2025.
"""

from collections.abc import Collection, Iterable, Mapping

import attrs
import networkx as nx

from caroblug.core.routing._types import EngineView

_SOURCE = ("source",)
_SINK = ("sink",)
_UNITS_PER_TOKEN = 100
_UNITS_PER_MS = 10
_MIN_LINK_COST = 1


@attrs.frozen(cache_hash=True)
class EngineGroup:
    """Engines that hold the same layers in the same data centre.

    Attributes:
        data_centre: Data centre in which they run.
        first_layer: First layer they hold.
        end_layer: One past the last layer they hold.
    """

    data_centre: str
    first_layer: int
    end_layer: int


@attrs.frozen(cache_hash=True)
class FlowNode:
    """A position of a token in the flow graph.

    Attributes:
        layer: Layer boundary; the layers below it have run.
        data_centre: Data centre that holds the token.
    """

    layer: int
    data_centre: str


@attrs.frozen
class Link:
    """A one-way link between two data centres.

    Attributes:
        source: Data centre that sends.
        target: Data centre that receives.
        latency_ms: One-way latency.
        tokens_per_s: Capacity at one layer boundary; None if unbounded.
    """

    source: str
    target: str
    latency_ms: float = 0.0
    tokens_per_s: float | None = None


@attrs.frozen
class FlowPlan:
    """A maximum flow, as weights of a random walk through the graph.

    Attributes:
        tokens_per_s: Value of the flow: an upper bound of the positions per
            second that any routing can run.
        starts: Flow by data centre of the first stage.
        groups: Flow by node and by the engine group that runs next.
        links: Flow by node and by the data centre that receives it.
    """

    tokens_per_s: float
    starts: Mapping[str, float]
    groups: Mapping[FlowNode, Mapping[EngineGroup, float]]
    links: Mapping[FlowNode, Mapping[str, float]]


def get_group(engine: EngineView) -> EngineGroup:
    """Returns the group of an engine."""
    return EngineGroup(engine.data_centre, engine.first_layer, engine.end_layer)


def group_capacities(
    engines: Iterable[EngineView], layers: int
) -> dict[EngineGroup, float]:
    """Returns the capacity of each group in positions per second.

    Groups whose range does not lie within the model are left out.
    """
    capacities: dict[EngineGroup, float] = {}
    for engine in engines:
        group = get_group(engine)
        if group.first_layer < group.end_layer <= layers:
            known = capacities.get(group, 0.0)
            capacities[group] = known + engine.tokens_per_s
    return capacities


def make_plan(
    engines: Collection[EngineView],
    layers: int,
    links: Iterable[Link] = (),
) -> FlowPlan:
    """Returns a maximum flow with the lowest latency among all of them.

    A position uses the same share of an engine's capacity whatever part of
    the engine's range it runs. This fits engines whose step time hardly
    depends on the number of layers. The capacity of a link applies to each
    layer boundary separately, which can only raise the bound.

    Args:
        engines: Engines of one model.
        layers: Number of layers of the model.
        links: Links between data centres; without a link, two data centres
            are not connected.
    """
    capacities = group_capacities(engines, layers)
    graph = _make_graph(capacities, layers, links)
    flow = nx.max_flow_min_cost(graph, _SOURCE, _SINK)
    return _read_flow(flow)


def full_mesh(
    data_centres: Iterable[str], latency_ms: float = 0.0
) -> list[Link]:
    """Returns links of unlimited capacity between all data centres."""
    names = sorted(set(data_centres))
    return [
        Link(source, target, latency_ms)
        for source in names
        for target in names
        if source != target
    ]


def _make_graph(
    capacities: Mapping[EngineGroup, float],
    layers: int,
    links: Iterable[Link],
) -> nx.DiGraph:
    graph = nx.DiGraph()
    graph.add_nodes_from((_SOURCE, _SINK))
    boundaries = {0} | {group.end_layer for group in capacities}
    data_centres = {group.data_centre for group in capacities}
    for data_centre in data_centres:
        graph.add_edge(_SOURCE, FlowNode(0, data_centre))
        graph.add_edge(FlowNode(layers, data_centre), _SINK)
    for group, tokens_per_s in sorted(
        capacities.items(), key=lambda item: attrs.astuple(item[0])
    ):
        exit_node = ("exit", group)
        capacity = int(tokens_per_s * _UNITS_PER_TOKEN)
        graph.add_edge(group, exit_node, capacity=capacity)
        graph.add_edge(exit_node, FlowNode(group.end_layer, group.data_centre))
        for layer in sorted(boundaries):
            if group.first_layer <= layer < group.end_layer:
                graph.add_edge(FlowNode(layer, group.data_centre), group)
    for link in links:
        if {link.source, link.target} <= data_centres:
            _add_link(graph, link, sorted(boundaries - {0, layers}))
    return graph


def _add_link(graph: nx.DiGraph, link: Link, boundaries: Iterable[int]) -> None:
    cost = max(_MIN_LINK_COST, int(link.latency_ms * _UNITS_PER_MS))
    bound = {}
    if link.tokens_per_s is not None:
        bound["capacity"] = int(link.tokens_per_s * _UNITS_PER_TOKEN)
    for layer in boundaries:
        graph.add_edge(
            FlowNode(layer, link.source),
            FlowNode(layer, link.target),
            weight=cost,
            **bound,
        )


def _read_flow(flow: Mapping) -> FlowPlan:
    groups: dict[FlowNode, dict[EngineGroup, float]] = {}
    links: dict[FlowNode, dict[str, float]] = {}
    starts = {
        start.data_centre: units / _UNITS_PER_TOKEN
        for start, units in flow[_SOURCE].items()
        if units
    }
    for node, targets in flow.items():
        if not isinstance(node, FlowNode):
            continue
        for target, units in targets.items():
            weight = units / _UNITS_PER_TOKEN
            if units and isinstance(target, EngineGroup):
                groups.setdefault(node, {})[target] = weight
            elif units and isinstance(target, FlowNode):
                links.setdefault(node, {})[target.data_centre] = weight
    return FlowPlan(sum(starts.values()), starts, groups, links)
