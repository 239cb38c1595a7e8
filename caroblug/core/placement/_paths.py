"""The path of one request: engines that together run every layer in order."""

import heapq
import random

import attrs

from caroblug.core.placement._engine_loads import EngineLoads
from caroblug.core.placement._planner import HOP_MS
from caroblug.core.placement._types import Engine, LayerRange, ModelShape

_CROSSING_QUEUE = 2.0
"""Cost of leaving a data centre inside the path, in times that a usual
prompt's activations take on the link alone: everybody shares it, and what
waits there waits with each token.
"""

_AWAY_MS = 15.0
"""Cost of beginning in another data centre than the caller's entry.

A faster chain elsewhere saves some ms a step, which no caller notices, while
each event crosses. Only crowding is worth that.
"""

_USE_MS = 2.0
"""Cost of an engine whose memory is all taken, below `_CROWDED`: enough for
chains that differ by some ms a step to fill alike."""

_CROWDED = 0.6
"""Use of an engine's memory from which its cost rises steeply."""

_CROWDED_MS = 60.0
"""Cost per unit of use above `_CROWDED`: memory that runs out preempts the
newest request, whose prompt is then read again."""

_READ_COST = 0.008
"""Cost of a ms that an engine is busy with prompts sent to it before. A second
chain then takes its part of what comes at once, while one request after the
other goes over the quickest."""

_MOST_PARTS = 32
"""Engines on one path that the first engine takes."""


@attrs.frozen
class PathPart:
    """One engine of a path, and the layers that it runs."""

    engine: Engine
    layers: LayerRange


@attrs.frozen
class Path:
    """Engines that together run every layer once, in order.

    Attributes:
        parts: At least one; each begins where the last one ended.
        use: Highest share of an engine's room that is taken.
    """

    parts: tuple[PathPart, ...]
    use: float = 0.0

    def __attrs_post_init__(self) -> None:
        layer = 0
        for part in self.parts:
            if part.layers.first != layer or len(part.layers) == 0:
                raise AssertionError(f"path skips or repeats layer {layer}")
            layer = part.layers.end

    @property
    def first(self) -> Engine:
        """The engine that the request is sent to."""
        return self.parts[0].engine

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the engines, in order."""
        return tuple(part.engine.name for part in self.parts)

    @property
    def crosses_data_centres(self) -> bool:
        """Whether it runs over engines of more than one data centre."""
        return len({part.engine.data_centre for part in self.parts}) > 1


@attrs.frozen
class NoPath:
    """Some layer is held by no engine that may be used.

    Attributes:
        layer: The first such layer on the best try.
    """

    layer: int


def choose_path(
    engines: list[Engine],
    model: ModelShape,
    loads: EngineLoads,
    data_centre: str,
    rng: random.Random,
    excluded_first: frozenset[str] = frozenset(),
    after: PathPart | None = None,
) -> Path | NoPath:
    """Returns the cheapest path, by time of a token step and crowding.

    Args:
        engines: Engines that may be used; those still loading are left out.
        model: The model.
        loads: Tokens on each engine.
        data_centre: Where the entry runs.
        rng: Breaks ties, so that entries don't all choose alike.
        excluded_first: Engines that the path must not begin with.
        after: First part that is kept, for a path that is changed while its
            request runs.
    """
    ready = [e for e in engines if len(e.holds) and not e.loading]
    if after is not None:
        ready = [e for e in ready if e.name != after.engine.name]
    use = {e.name: loads.memory_use(e, model) for e in ready}
    weight = {
        e.name: _weight_ms(use[e.name], rng)
        + loads.pending_prefills(e.name)
        * model.prefill_time_ms(e.kind, len(e.holds))
        * _READ_COST
        for e in ready
    }
    layer_ms = model.step_ms / model.layers
    transfer_ms = model.transfer_ms * _CROSSING_QUEUE
    start = after.layers.end if after else 0
    origin = after.engine.data_centre if after else data_centre
    queue: list[tuple[float, int, int, Engine | None]] = [
        (0.0, 0, start, after.engine if after else None)
    ]
    came_from: dict[tuple[int, str], tuple[tuple[int, str], Engine]] = {}
    best: dict[tuple[int, str], float] = {(start, origin): 0.0}
    order = 0
    farthest = start
    while queue:
        cost, _, layer, last = heapq.heappop(queue)
        place = last.data_centre if last else data_centre
        if best.get((layer, place), cost) < cost:
            continue
        if layer == model.layers:
            return _trace(came_from, (layer, place), use, after)
        farthest = max(farthest, layer)
        for engine in ready:
            if layer not in engine.holds:
                continue
            if last is None and engine.name in excluded_first:
                continue
            end = engine.holds.end
            step = (end - layer) * layer_ms * engine.kind.step_time_factor
            step += HOP_MS + weight[engine.name]
            if engine.data_centre != place:
                step += transfer_ms if last else _AWAY_MS
            key = (end, engine.data_centre)
            if cost + step < best.get(key, float("inf")):
                best[key] = cost + step
                came_from[key] = ((layer, place), engine)
                order += 1
                heapq.heappush(queue, (cost + step, order, end, engine))
    return NoPath(farthest)


def _weight_ms(use: float, rng: random.Random) -> float:
    weight = use * _USE_MS + rng.random() * 0.3
    if use > _CROWDED:
        weight += (use - _CROWDED) * _CROWDED_MS
    return weight


def _trace(came_from, key, use, after: PathPart | None) -> Path | NoPath:
    start = after.layers.end if after else 0
    parts = []
    while key[0] > start:
        earlier, engine = came_from[key]
        parts.append(PathPart(engine, LayerRange(earlier[0], key[0])))
        key = earlier
    if after is not None:
        parts.append(after)
    parts.reverse()
    if len(parts) > _MOST_PARTS:
        return NoPath(parts[_MOST_PARTS].layers.first)
    highest = max(use.get(part.engine.name, 0.0) for part in parts)
    return Path(tuple(parts), highest)
