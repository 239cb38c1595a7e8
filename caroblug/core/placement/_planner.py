"""Plans which engine holds which layers, so that chains cover the model.

A plan gives every data centre at least one whole chain of layers, as far as
its engines suffice. It depends only on what engines hold now, so that the next
gateway to compute it arrives at the same plan, and nothing has to be stored or
handed over. It moves as few engines as possible, because a load takes seconds
during which the engine does not serve.

References:
    Borzunov et al., "Petals", 2023, and Ryabinin et al., "SWARM Parallelism",
    2023: idle engines are assigned to the layers with the fewest holders.
"""

import collections

import attrs

from caroblug.core.placement._assignment import Assignment
from caroblug.core.placement._chain_size import (
    DEFAULT_REQUESTS_PER_CHAIN,
    MIN_REQUESTS,
    size_chains,
)
from caroblug.core.placement._move import Move
from caroblug.core.placement._pair_losses import reduce_exposure
from caroblug.core.placement._second_holders import (
    add_second_holders,
    holder_value,
)
from caroblug.core.placement._serving_engines import ServingEngines
from caroblug.core.placement._types import (
    HOP_MS,
    Engine,
    LayerRange,
    ModelShape,
)

_EXTENDED_REQUESTS = 40
"""Requests for which an engine reserves KV cache when it is extended into a
coverage gap: all paths then lead through it."""


def plan_moves(
    engines: list[Engine],
    model: ModelShape,
    requests_per_chain: int = DEFAULT_REQUESTS_PER_CHAIN,
) -> list[Move]:
    """Returns the moves that turn the held layers into the planned ones.

    Args:
        engines: Live engines. Draining engines are omitted, so that their
            layers are assigned to others while they still serve.
        model: The model.
        requests_per_chain: Requests of mean length for which a chain reserves
            KV cache.
    """
    engines = sorted(engines, key=lambda e: _layer_time_key(e, model))
    assignments = [Assignment(e, e.holds) for e in engines]
    missing = {}
    single = {}
    serving = {}
    for data_centre in sorted({e.data_centre for e in engines}):
        local = [a for a in assignments if a.engine.data_centre == data_centre]
        missing[data_centre] = _missing_layers(local, model)
        single[data_centre] = _single_holder_layers(local, model)
        serving[data_centre] = _plan_data_centre(
            local, model, requests_per_chain
        )
    return [
        _make_move(
            assignment,
            missing[assignment.engine.data_centre],
            single[assignment.engine.data_centre],
            serving[assignment.engine.data_centre],
        )
        for assignment in assignments
        if assignment.changed
    ]


def _make_move(
    assignment: Assignment,
    missing: set[int],
    single: set[int],
    serving: ServingEngines,
) -> Move:
    engine, target = assignment.engine, assignment.target
    urgent = any(layer in target for layer in missing)
    adds_second_holder = any(
        layer in target and layer not in engine.holds for layer in single
    )
    holders = serving.remaining_holders(engine, target)
    return Move(engine, target, urgent, adds_second_holder, holders)


def covers_model(engines: list[Engine], model: ModelShape) -> bool:
    """Returns whether engines together hold every layer of a model."""
    return all(
        any(layer in e.holds for e in engines) for layer in range(model.layers)
    )


def _missing_layers(
    assignments: list[Assignment], model: ModelShape
) -> set[int]:
    """Returns the layers that no engine of a data centre serves."""
    served: set[int] = set()
    for assignment in assignments:
        if not assignment.engine.loading:
            served.update(assignment.engine.holds)
    return set(range(model.layers)) - served


def _single_holder_layers(
    assignments: list[Assignment], model: ModelShape
) -> set[int]:
    """Returns the layers that one engine of a data centre holds or loads."""
    counts = collections.Counter(
        layer for a in assignments for layer in a.engine.holds
    )
    return {layer for layer in range(model.layers) if counts[layer] == 1}


def _layer_time_key(engine: Engine, model: ModelShape) -> tuple[float, str]:
    """Returns a sort key by the time of one layer, with its part of a hop."""
    width = model.max_layers(engine.kind, DEFAULT_REQUESTS_PER_CHAIN)
    layer_ms = model.step_ms / model.layers * engine.kind.step_time_factor
    return (layer_ms + HOP_MS / max(1, width), engine.name)


def _plan_data_centre(
    assignments: list[Assignment], model: ModelShape, requests_per_chain: int
) -> ServingEngines:
    """Assigns layers to the engines of a data centre.

    Returns:
        The engines that serve their layers while the plan is carried out.
    """
    serving = ServingEngines([assignment.engine for assignment in assignments])
    chains, requests = size_chains(assignments, model, requests_per_chain)
    extended_requests = min(requests, _EXTENDED_REQUESTS)
    gaps = _select_chain(assignments, model.layers)
    gaps = _fill_gaps(_unassigned(assignments), gaps, model, requests, serving)
    gaps = _extend_neighbours(
        assignments, gaps, model, extended_requests, serving
    )
    gaps = _fill_gaps(assignments, gaps, model, requests, serving)
    gaps = _extend_neighbours(assignments, gaps, model, MIN_REQUESTS, serving)
    _fill_gaps(assignments, gaps, model, MIN_REQUESTS, serving)
    if _unassigned(assignments):
        _assign_empty_engines(assignments, chains, model, requests, serving)
    add_second_holders(assignments, model, requests, serving)
    return serving


def _assign_empty_engines(
    assignments: list[Assignment],
    chains: int,
    model: ModelShape,
    requests: int,
    serving: ServingEngines,
) -> None:
    """Assigns engines without layers to further chains and as replicas."""
    chain = [attrs.evolve(a) for a in assignments if len(a.target)]
    for _ in range(1, chains):
        gaps = _select_chain(assignments, model.layers)
        _fill_gaps(_unassigned(assignments), gaps, model, requests, serving)
    _assign_replicas(assignments, model, requests)
    reduce_exposure(assignments, chain, model, requests)


def _select_chain(
    assignments: list[Assignment], layers: int
) -> list[LayerRange]:
    """Marks as used the fewest engines that together cover the layers.

    Returns:
        Coverage gaps: layers that no unused engine holds.
    """
    gaps = []
    layer = 0
    while layer < layers:
        holders = [a for a in assignments if not a.used and layer in a.target]
        if holders:
            best = max(holders, key=lambda a: (a.target.end, a.engine.name))
            best.used = True
            layer = best.target.end
            continue
        ahead = [a.target.first for a in assignments if _starts_after(a, layer)]
        end = min(ahead, default=layers)
        gaps.append(LayerRange(layer, end))
        layer = end
    return gaps


def _starts_after(assignment: Assignment, layer: int) -> bool:
    return (
        not assignment.used
        and len(assignment.target) > 0
        and assignment.target.first > layer
    )


def _fill_gaps(
    candidates: list[Assignment],
    gaps: list[LayerRange],
    model: ModelShape,
    requests: int,
    serving: ServingEngines,
) -> list[LayerRange]:
    """Assigns available engines to gaps, engines without layers first.

    An engine that is the only one to serve a layer stays, so that closing one
    gap does not open another. Each engine is checked after the ones before it
    have been reassigned: of two engines with the same layers, each would
    otherwise count as the remaining holder for the other.

    Returns:
        The remaining gaps.
    """
    remaining = []
    for gap in gaps:
        layer = gap.first
        for assignment in sorted(candidates, key=lambda a: len(a.target) > 0):
            if layer >= gap.end:
                break
            if not assignment.available or not serving.can_reassign(
                assignment.engine
            ):
                continue
            layer = _assign_start(
                assignment, LayerRange(layer, gap.end), model, requests
            )
            if assignment.used:
                serving.on_reassigned(assignment.engine)
        if layer < gap.end:
            remaining.append(LayerRange(layer, gap.end))
    return remaining


def _assign_start(
    assignment: Assignment, gap: LayerRange, model: ModelShape, requests: int
) -> int:
    """Assigns an engine to as many layers at the start of a gap as fit.

    Returns:
        First layer of the remaining gap.
    """
    end = min(gap.end, gap.first + assignment.max_layers(model, requests))
    if end > gap.first:
        assignment.target = LayerRange(gap.first, end)
        assignment.used = True
    return end


def _extend_neighbours(
    assignments: list[Assignment],
    gaps: list[LayerRange],
    model: ModelShape,
    requests: int,
    serving: ServingEngines,
) -> list[LayerRange]:
    """Extends engines whose layers adjoin a gap into the gap.

    These engines retain their layers, so that no running request has to finish
    first, and load only the additional ones. Extending one engine from each
    side halves the load time.

    Returns:
        The remaining gaps.
    """
    remaining = []
    for gap in gaps:
        first, end = gap.first, gap.end
        before = _choose_neighbour(
            [a for a in assignments if a.target.end == first],
            model,
            requests,
            serving,
        )
        after = _choose_neighbour(
            [a for a in assignments if a.target.first == end],
            model,
            requests,
            serving,
        )
        half = (end - first + 1) // 2 if before and after else end - first
        if before is not None:
            taken = min(_free_layers(before, model, requests), half)
            before.target = LayerRange(before.target.first, first + taken)
            first += taken
        if after is not None:
            taken = min(_free_layers(after, model, requests), end - first)
            after.target = LayerRange(end - taken, after.target.end)
            end -= taken
        if before is not None and first < end:
            taken = min(_free_layers(before, model, requests), end - first)
            before.target = LayerRange(before.target.first, first + taken)
            first += taken
        if first < end:
            remaining.append(LayerRange(first, end))
    return remaining


def _choose_neighbour(
    adjoining: list[Assignment],
    model: ModelShape,
    requests: int,
    serving: ServingEngines,
) -> Assignment | None:
    """Chooses the adjoining engine with memory for the most further layers.

    The chosen engine no longer counts as serving, because it will load.

    Returns:
        The engine, or None if none can be extended.
    """
    extensible = [
        a
        for a in adjoining
        if len(a.target)
        and not a.engine.loading
        and _free_layers(a, model, requests) > 0
        and serving.can_extend(a.engine)
    ]
    if not extensible:
        return None
    best = max(
        extensible,
        key=lambda a: (_free_layers(a, model, requests), a.engine.name),
    )
    serving.on_extended(best.engine)
    return best


def _free_layers(
    assignment: Assignment, model: ModelShape, requests: int
) -> int:
    return max(
        0, assignment.max_layers(model, requests) - len(assignment.target)
    )


def _unassigned(assignments: list[Assignment]) -> list[Assignment]:
    """Returns engines that neither hold layers nor have any assigned."""
    return [assignment for assignment in assignments if assignment.unassigned]


def _assign_replicas(
    assignments: list[Assignment], model: ModelShape, requests: int
) -> None:
    """Assigns unassigned engines as replicas to the layers that gain most.

    A layer with a replica stays available when a holder dies, without waiting
    for a load. A fast engine is assigned to layers that only slow ones hold:
    after a crash and a restart it takes over its previous layers again.
    """
    for assignment in assignments:
        width = assignment.max_layers(model, requests)
        if not assignment.unassigned or width < 1:
            continue
        first = _choose_first_layer(assignments, assignment, width, model)
        assignment.target = LayerRange(first, first + width)
        assignment.used = True


def _choose_first_layer(
    assignments: list[Assignment],
    assignment: Assignment,
    width: int,
    model: ModelShape,
) -> int:
    """Returns the first layer of the range that gains most from an engine.

    Args:
        assignments: Engines with the layers assigned so far.
        assignment: The engine to assign.
        width: Number of layers in the range.
        model: The model.
    """
    factors: list[list[float]] = [[] for _ in range(model.layers)]
    for other in assignments:
        for layer in other.target:
            factors[layer].append(other.engine.kind.step_time_factor)
    values = [holder_value(held, assignment.engine.kind) for held in factors]
    sums = [
        (-sum(values[first : first + width]), first)
        for first in range(len(values) - width + 1)
    ]
    return min(sums)[1]
