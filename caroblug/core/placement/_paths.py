"""Choice of the engines that run the layers of one request, in order."""

import heapq
import random

import attrs

from caroblug.core.placement._engine_rooms import EngineRooms
from caroblug.core.placement._load import EngineLoads
from caroblug.core.placement._types import (
    HOP_MS,
    Engine,
    LayerRange,
    ModelShape,
)

_LINK_QUEUE_FACTOR = 2.0
"""Cost of a transfer between data centres inside a path, as a multiple of
`ModelShape.transfer_ms`. All requests share the link, and its queue delays
every token."""

_REMOTE_START_MS = 15.0
"""Cost of a path that starts outside the entry's data centre.

A faster remote chain saves a few milliseconds per step, which callers don't
notice, while each event has to cross the link. Only high memory use of the
local engines outweighs that.
"""

_MEMORY_USE_MS = 2.0
"""Cost of an engine whose memory is fully used, without the surcharge above
`_HIGH_USE`. It is enough to fill chains evenly whose step times differ by a few
milliseconds."""

_HIGH_USE = 0.6
"""Share of an engine's memory in use above which the surcharge applies."""

_HIGH_USE_MS = 60.0
"""Surcharge per unit of memory use above `_HIGH_USE`. An engine that runs out
of memory preempts its newest request, whose prompt is then prefilled again."""

_PREFILL_QUEUE_FACTOR = 0.008
"""Cost of a millisecond of pending prefills on an engine. It spreads requests
that arrive at once over several chains, while requests that arrive one after
another all take the fastest chain."""

_MAX_PARTS = 32
"""Maximum number of engines on a path, which the first engine enforces."""


@attrs.frozen
class PathPart:
    """An engine of a path and the layers that it runs for the request."""

    engine: Engine
    layers: LayerRange


@attrs.frozen
class Path:
    """Engines that together run every layer once, in order.

    Attributes:
        parts: At least one part; each begins where the previous one ends.
        use: Estimated memory use of the fullest engine, as a share of its
            token capacity.
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
        """The first engine, which receives the request."""
        return self.parts[0].engine

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the engines, in order."""
        return tuple(part.engine.name for part in self.parts)

    @property
    def crosses_data_centres(self) -> bool:
        """Whether the path has engines in more than one data centre."""
        return len({part.engine.data_centre for part in self.parts}) > 1


@attrs.frozen
class NoPath:
    """Result of a search for a path that found none.

    Attributes:
        layer: First layer for which the longest partial path has no engine.
    """

    layer: int


@attrs.frozen
class RoomNeed:
    """Memory that a request needs on each engine of its path.

    Attributes:
        tokens: Tokens that the request will hold in the engine's memory.
        max_use: Share of the engine's memory that may be in use once the
            request is on it, from 0 to 1.
    """

    tokens: int
    max_use: float


@attrs.frozen
class NoRoom:
    """Result of a search in which engines on every path lack free memory.

    Attributes:
        layer: First layer for which the longest partial path has no engine
            with enough free memory.
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
    need: RoomNeed | None = None,
    rooms: EngineRooms | None = None,
    now_ms: int = 0,
) -> Path | NoPath | NoRoom:
    """Returns the path with the lowest cost.

    The cost is the time of a decode step, network included, and surcharges for
    memory use, pending prefills and remote engines.

    Args:
        engines: Engines that may be used. Engines that are loading or hold no
            layers are ignored.
        model: The model.
        loads: Load of each engine.
        data_centre: Data centre of the entry.
        rng: Source of the random tie-breaks, which keep entries from all
            choosing the same path.
        excluded_first: Names of engines with which the path must not begin.
        after: Part with which the path has to begin, if the path of a running
            request is changed. It needs no room on that part's engine.
        need: Memory that the request needs; None if any engine will do.
        rooms: Free memory of the engines; None if only `loads` is known.
        now_ms: Current time, for `rooms`.

    Returns:
        The path, NoPath if the engines leave a coverage gap or the path would
        have too many parts, or NoRoom if there is a path, but none whose
        engines have the memory that is needed. With a need, a path leads over
        several data centres only if none of them serves the whole model.
    """
    ready = [e for e in engines if len(e.holds) and not e.loading]
    if after is not None:
        ready = [e for e in ready if e.name != after.engine.name]
    if rooms is None:
        use = {e.name: loads.memory_use(e, model) for e in ready}
    else:
        use = {e.name: rooms.use(e, model, now_ms) for e in ready}
    search = _Search(model, loads, data_centre, rng, excluded_first, after)
    if need is None:
        return search.run(ready, use)
    if rooms is not None:
        rooms.begin_search(ready, model, need.tokens, need.max_use, now_ms)
    with_room = [
        e
        for e in ready
        if _has_room(e, model, need, use[e.name], rooms, now_ms)
    ]
    local = search.run(with_room, use, crossing=False)
    if isinstance(local, Path):
        return local
    if isinstance(search.run(ready, use, crossing=False), Path):
        # A data centre serves the whole model, but has no room now. Paths
        # between data centres share a link that carries few prompts a second:
        # under overload its queue would delay every stream on such a path.
        return NoRoom(local.layer)
    path = search.run(with_room, use)
    if isinstance(path, Path) or len(with_room) == len(ready):
        return path
    without_need = search.run(ready, use)
    if isinstance(without_need, NoPath):
        return without_need
    return NoRoom(path.layer)


def _has_room(
    engine: Engine,
    model: ModelShape,
    need: RoomNeed,
    use: float,
    rooms: EngineRooms | None,
    now_ms: int,
) -> bool:
    if rooms is not None:
        return rooms.has_room(engine, model, need.tokens, need.max_use, now_ms)
    capacity = model.token_capacity(engine.kind, len(engine.holds))
    return capacity > 0 and use + need.tokens / capacity <= need.max_use


@attrs.frozen
class _Search:
    """Arguments of one search that don't depend on the engines."""

    model: ModelShape
    loads: EngineLoads
    data_centre: str
    rng: random.Random
    excluded_first: frozenset[str]
    after: PathPart | None

    def run(
        self,
        ready: list[Engine],
        use: dict[str, float],
        crossing: bool = True,
    ) -> Path | NoPath:
        """Returns the path with the lowest cost over the given engines.

        Args:
            ready: Engines that may be used.
            use: Memory use by name of the engine.
            crossing: Whether the path may lead over several data centres.
        """
        return _find_path(
            ready,
            use,
            self.model,
            self.loads,
            self.data_centre,
            self.rng,
            self.excluded_first,
            self.after,
            crossing,
        )


def _find_path(
    ready: list[Engine],
    use: dict[str, float],
    model: ModelShape,
    loads: EngineLoads,
    data_centre: str,
    rng: random.Random,
    excluded_first: frozenset[str],
    after: PathPart | None,
    crossing: bool,
) -> Path | NoPath:
    cost_ms = {
        e.name: _memory_cost_ms(use[e.name], rng)
        + loads.pending_prefills(e.name)
        * model.prefill_time_ms(e.kind, len(e.holds))
        * _PREFILL_QUEUE_FACTOR
        for e in ready
    }
    layer_ms = model.step_ms / model.layers
    transfer_ms = model.transfer_ms * _LINK_QUEUE_FACTOR
    start = after.layers.end if after else 0
    origin = after.engine.data_centre if after else data_centre
    queue: list[tuple[float, int, int, Engine | None]] = [
        (0.0, 0, start, after.engine if after else None)
    ]
    came_from: dict[tuple[int, str], tuple[tuple[int, str], Engine]] = {}
    best: dict[tuple[int, str], float] = {(start, origin): 0.0}
    sequence = 0
    farthest = start
    while queue:
        cost, _, layer, last = heapq.heappop(queue)
        location = last.data_centre if last else data_centre
        if best.get((layer, location), cost) < cost:
            continue
        if layer == model.layers:
            return _trace(came_from, (layer, location), use, after)
        farthest = max(farthest, layer)
        for engine in ready:
            if layer not in engine.holds:
                continue
            if last is None and engine.name in excluded_first:
                continue
            if last and engine.data_centre != location and not crossing:
                continue
            end = engine.holds.end
            edge_ms = (end - layer) * layer_ms * engine.kind.step_time_factor
            edge_ms += HOP_MS + cost_ms[engine.name]
            if engine.data_centre != location:
                edge_ms += transfer_ms if last else _REMOTE_START_MS
            key = (end, engine.data_centre)
            if cost + edge_ms < best.get(key, float("inf")):
                best[key] = cost + edge_ms
                came_from[key] = ((layer, location), engine)
                sequence += 1
                heapq.heappush(queue, (cost + edge_ms, sequence, end, engine))
    return NoPath(farthest)


def _memory_cost_ms(use: float, rng: random.Random) -> float:
    cost_ms = use * _MEMORY_USE_MS + rng.random() * 0.3
    if use > _HIGH_USE:
        cost_ms += (use - _HIGH_USE) * _HIGH_USE_MS
    return cost_ms


def _trace(came_from, key, use, after: PathPart | None) -> Path | NoPath:
    """Returns the path that ends at a key of `came_from`."""
    start = after.layers.end if after else 0
    parts = []
    while key[0] > start:
        previous, engine = came_from[key]
        parts.append(PathPart(engine, LayerRange(previous[0], key[0])))
        key = previous
    if after is not None:
        parts.append(after)
    parts.reverse()
    if len(parts) > _MAX_PARTS:
        return NoPath(parts[_MAX_PARTS].layers.first)
    max_use = max(use.get(part.engine.name, 0.0) for part in parts)
    return Path(tuple(parts), max_use)
