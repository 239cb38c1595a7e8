"""Orders that bring every data centre to whole chains of layers.

The plan is computed from what engines hold now, so that whoever computes it
next comes to the same one: nothing of it has to be kept or handed over. It
moves as little as it can, because a load takes seconds during which the layers
answer nobody.

References:
    Borzunov et al., "Petals", 2023, and Ryabinin et al., "SWARM Parallelism",
    2023: engines without work go where the cover is thinnest.
"""

import attrs

from caroblug.core.placement._serving_engines import ServingEngines
from caroblug.core.placement._types import Engine, LayerRange, ModelShape

DEFAULT_REQUESTS_PER_CHAIN = 40
"""Requests of usual size for which a chain keeps room beside its weights.

A chain is made of the fastest engines, as full as this allows, and the others
hold its layers a second time. More room makes longer, slower chains and leaves
fewer second holders; less is used up when one data centre takes on another
one's streams.
"""

_MAX_REQUESTS_PER_CHAIN = 60
_REQUESTS_PER_GATEWAY = 7
"""The same for each gateway of a data centre where there are many: entries are
as many as traffic needs, and nothing else is known of it at a first start."""

HOP_MS = 0.5
"""Time that one more engine on the path adds to a token: the delay of the
link and the wait for the engine's pass."""

_EXTENDED_REQUESTS = 40
"""Requests for which an engine keeps room when it grows into a hole:
everybody's path leads over it then."""

_MIN_REQUESTS = 6
"""The same where a hole has no other filler."""


@attrs.frozen
class Move:
    """An engine that is to hold other layers.

    Attributes:
        engine: The engine as it was when the plan was made.
        target: Layers it is to hold.
        urgent: Whether it brings a layer that no engine of its data centre
            holds, so that all requests there go elsewhere. Work that passes
            through layers which are given up is then not waited for: that
            takes seconds, in which other data centres run out of memory.
        remaining_holders: Engines that go on serving the layers that are given
            up.
    """

    engine: Engine
    target: LayerRange
    urgent: bool = False
    remaining_holders: tuple[Engine, ...] = ()


@attrs.define
class _Assignment:
    """An engine, and the range that the plan gives it."""

    engine: Engine
    target: LayerRange
    used: bool = False

    @property
    def changed(self) -> bool:
        return self.target != self.engine.holds

    @property
    def available(self) -> bool:
        return not self.used and not self.engine.loading

    @property
    def unassigned(self) -> bool:
        return self.available and len(self.target) == 0

    def max_layers(self, model: ModelShape, requests: int) -> int:
        """Returns how many layers fit beside `streams` requests."""
        return model.max_layers(self.engine.kind, requests)


def compute_requests_per_chain(gateways: int, data_centres: int) -> int:
    """Returns the requests of usual size that a chain keeps room for.

    Args:
        gateways: Gateways that send to the engines; 0 if unknown.
        data_centres: Data centres with engines.
    """
    per_data_centre = gateways / max(1, data_centres)
    wanted = int(per_data_centre * _REQUESTS_PER_GATEWAY)
    return min(_MAX_REQUESTS_PER_CHAIN, max(DEFAULT_REQUESTS_PER_CHAIN, wanted))


def plan_moves(
    engines: list[Engine],
    model: ModelShape,
    requests_per_chain: int = DEFAULT_REQUESTS_PER_CHAIN,
) -> list[Move]:
    """Returns the moves that are missing.

    Args:
        engines: Engines that live and stay; one that leaves is left out, so
            that its layers are placed again while it still serves.
        model: The model.
        requests_per_chain: Requests of usual size that a chain keeps room for.
    """
    engines = sorted(engines, key=lambda e: _layer_time_key(e, model))
    assignments = [_Assignment(e, e.holds) for e in engines]
    missing = {}
    serving = {}
    for data_centre in sorted({e.data_centre for e in engines}):
        local = [a for a in assignments if a.engine.data_centre == data_centre]
        missing[data_centre] = _missing_layers(engines, data_centre, model)
        serving[data_centre] = _plan_data_centre(
            local, model, requests_per_chain
        )
    return [
        _make_move(
            assignment,
            missing[assignment.engine.data_centre],
            serving[assignment.engine.data_centre],
        )
        for assignment in assignments
        if assignment.changed
    ]


def _make_move(
    assignment: _Assignment, missing: set[int], serving: ServingEngines
) -> Move:
    urgent = any(layer in assignment.target for layer in missing)
    holders = serving.remaining_holders(assignment.engine, assignment.target)
    return Move(assignment.engine, assignment.target, urgent, holders)


def covers_model(engines: list[Engine], model: ModelShape) -> bool:
    """Returns whether engines hold every layer of a model between them."""
    return all(
        any(layer in e.holds for e in engines) for layer in range(model.layers)
    )


def _missing_layers(
    engines: list[Engine], data_centre: str, model: ModelShape
) -> set[int]:
    """Returns the layers that no engine of a data centre holds."""
    local = [e for e in engines if e.data_centre == data_centre]
    return {
        layer
        for layer in range(model.layers)
        if not any(layer in e.holds and not e.loading for e in local)
    }


def _layer_time_key(engine: Engine, model: ModelShape) -> tuple[float, str]:
    """Orders engines by the time that a layer costs there, hop included."""
    width = model.max_layers(engine.kind, DEFAULT_REQUESTS_PER_CHAIN)
    layer_ms = model.step_ms / model.layers * engine.kind.step_time_factor
    return (layer_ms + HOP_MS / max(1, width), engine.name)


def _plan_data_centre(
    assignments: list[_Assignment], model: ModelShape, requests_per_chain: int
) -> ServingEngines:
    """Gives the engines of a data centre their targets.

    Returns:
        The engines that stay as they are.
    """
    serving = ServingEngines([assignment.engine for assignment in assignments])
    chains, requests = _size_chains(assignments, model, requests_per_chain)
    extended_requests = min(requests, _EXTENDED_REQUESTS)
    gaps = _select_chain(assignments, model.layers)
    gaps = _fill_gaps(_unassigned(assignments), gaps, model, requests, serving)
    gaps = _extend_neighbours(
        assignments, gaps, model, extended_requests, serving
    )
    gaps = _fill_gaps(assignments, gaps, model, requests, serving)
    gaps = _extend_neighbours(assignments, gaps, model, _MIN_REQUESTS, serving)
    _fill_gaps(assignments, gaps, model, _MIN_REQUESTS, serving)
    for _ in range(1, chains):
        gaps = _select_chain(assignments, model.layers)
        _fill_gaps(_unassigned(assignments), gaps, model, requests, serving)
    _assign_replicas(assignments, model, requests)
    return serving


def _size_chains(
    assignments: list[_Assignment], model: ModelShape, requests_per_chain: int
) -> tuple[int, int]:
    """Returns how many whole chains fit, and the room each one has.

    Returns:
        Number of chains, one at least, and requests of usual size.
    """
    held = _total_layers(assignments, model, requests_per_chain)
    chains = max(1, held // model.layers)
    low, high = _MIN_REQUESTS, requests_per_chain
    while low < high:
        middle = (low + high + 1) // 2
        if _total_layers(assignments, model, middle) >= chains * model.layers:
            low = middle
        else:
            high = middle - 1
    return chains, low


def _total_layers(
    assignments: list[_Assignment], model: ModelShape, requests: int
) -> int:
    return sum(
        assignment.max_layers(model, requests) for assignment in assignments
    )


def _select_chain(
    assignments: list[_Assignment], layers: int
) -> list[LayerRange]:
    """Marks the fewest engines that reach from layer to layer.

    Returns:
        What no engine that is not in use yet holds.
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


def _starts_after(assignment: _Assignment, layer: int) -> bool:
    return (
        not assignment.used
        and len(assignment.target) > 0
        and assignment.target.first > layer
    )


def _fill_gaps(
    candidates: list[_Assignment],
    gaps: list[LayerRange],
    model: ModelShape,
    requests: int,
    serving: ServingEngines,
) -> list[LayerRange]:
    """Gives holes to free engines whose layers others keep, empty ones first.

    Guards against breaking a chain to mend another hole. Each engine is looked
    at after those before it have been sent away: two that hold the same layers
    would otherwise each pass for the other's keeper.

    Returns:
        What is left of the holes.
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
    assignment: _Assignment, gap: LayerRange, model: ModelShape, requests: int
) -> int:
    """Gives an engine as much of the begin of a hole as it has room for.

    Returns:
        Where the rest of the hole begins.
    """
    end = min(gap.end, gap.first + assignment.max_layers(model, requests))
    if end > gap.first:
        assignment.target = LayerRange(gap.first, end)
        assignment.used = True
    return end


def _extend_neighbours(
    assignments: list[_Assignment],
    gaps: list[LayerRange],
    model: ModelShape,
    requests: int,
    serving: ServingEngines,
) -> list[LayerRange]:
    """Lets engines beside holes grow into them.

    They keep what they hold, so that nothing has to pass through first, and
    only load what is new: a neighbour on either side halves the time.

    Returns:
        What is left of the holes.
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
    adjoining: list[_Assignment],
    model: ModelShape,
    requests: int,
    serving: ServingEngines,
) -> _Assignment | None:
    """Chooses the engine beside a hole that can grow most, if any can.

    It loads then, so that others can't rely on it.
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
    assignment: _Assignment, model: ModelShape, requests: int
) -> int:
    return max(
        0, assignment.max_layers(model, requests) - len(assignment.target)
    )


def _unassigned(assignments: list[_Assignment]) -> list[_Assignment]:
    """Returns engines that hold nothing and are given nothing yet."""
    return [assignment for assignment in assignments if assignment.unassigned]


def _assign_replicas(
    assignments: list[_Assignment], model: ModelShape, requests: int
) -> None:
    """Gives engines that hold nothing the layers that need one more holder.

    A layer that one more engine holds can be served at once when a holder
    dies, without waiting for a load. A fast engine goes where only slow ones
    are: one that comes back after a crash takes its old place again.
    """
    for assignment in assignments:
        width = assignment.max_layers(model, requests)
        if not assignment.unassigned or width < 1:
            continue
        first = _choose_first_layer(assignments, assignment, width, model)
        assignment.target = LayerRange(first, first + width)
        assignment.used = True


def _choose_first_layer(
    assignments: list[_Assignment],
    assignment: _Assignment,
    width: int,
    model: ModelShape,
) -> int:
    """Returns where a range of `width` layers on an engine helps most."""
    values = [
        _replica_value(assignments, assignment, layer, model)
        for layer in range(model.layers)
    ]
    sums = [
        (-sum(values[first : first + width]), first)
        for first in range(len(values) - width + 1)
    ]
    return min(sums)[1]


def _replica_value(
    assignments: list[_Assignment],
    assignment: _Assignment,
    layer: int,
    model: ModelShape,
) -> float:
    """Returns what a layer gains from one more holder, 1 for its second one.

    Each further holder is worth half of the one before; speed counts beside
    it, as the share of the fastest holder's time that is saved.
    """
    holders = [a.engine for a in assignments if layer in a.target]
    if not holders:
        return 2.0
    fastest = min(e.kind.step_time_factor for e in holders)
    saved = (
        max(0.0, fastest - assignment.engine.kind.step_time_factor) / fastest
    )
    return 2.0 ** (1 - len(holders)) + saved
