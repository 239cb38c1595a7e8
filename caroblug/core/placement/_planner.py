"""Orders that bring every data centre to a whole chain of layers.

The plan is computed from what engines hold now, so that whoever computes it
next comes to the same one: nothing of it has to be kept or handed over. It
moves as little as it can, because a load takes seconds during which the layers
answer nobody.

References:
    Borzunov et al., "Petals", 2023, and Ryabinin et al., "SWARM Parallelism",
    2023: engines without work go where the cover is thinnest.
"""

import attrs

from caroblug.core.placement._types import Engine, LayerRange, ModelShape

STREAMS_PER_ENGINE = 32
"""Requests of usual size that an engine is to hold at once.

Chains run about 30 streams each where three chains carry 32 new streams a
second of some 2.5 s; more would cost the fleet its fourth cover of each layer.
"""

_TIGHT_STREAMS = 6
"""Requests for which an engine keeps room when a hole has no other filler."""


@attrs.frozen
class Move:
    """An engine that is to hold other layers.

    Attributes:
        engine: The engine as it was when the plan was made.
        target: Layers it is to hold.
        urgent: Whether it brings a layer that hardly any engine holds, so
            that nearly every request waits for it. Work that passes through
            layers which are given up is then not waited for: it would take
            as long as a stream, some five seconds.
    """

    engine: Engine
    target: LayerRange
    urgent: bool = False


@attrs.define
class _Seat:
    """An engine, and the range that the plan gives it."""

    engine: Engine
    target: LayerRange
    used: bool = False

    @property
    def moved(self) -> bool:
        return self.target != self.engine.holds

    @property
    def free(self) -> bool:
        return not self.used and not self.engine.loading


def plan_moves(engines: list[Engine], model: ModelShape) -> list[Move]:
    """Returns the moves that are missing, those that fill holes first.

    Args:
        engines: Engines that live and stay; one that leaves is left out, so
            that its layers are placed again while it still serves.
        model: The model.
    """
    seats = [_Seat(e, e.holds) for e in sorted(engines, key=_by_speed)]
    for data_centre in sorted({e.data_centre for e in engines}):
        local = [s for s in seats if s.engine.data_centre == data_centre]
        _make_whole(local, model)
    _use_the_empty(seats, model)
    scarce = _scarce_layers(engines, model)
    return [
        Move(s.engine, s.target, any(layer in s.target for layer in scarce))
        for s in seats
        if s.moved
    ]


def _scarce_layers(engines: list[Engine], model: ModelShape) -> set[int]:
    """Returns layers with fewer holders than half of the data centres."""
    holders = [0] * model.layers
    for engine in engines:
        if not engine.loading:
            for layer in range(engine.holds.first, engine.holds.end):
                holders[layer] += 1
    wanted = len({e.data_centre for e in engines}) / 2
    return {layer for layer, count in enumerate(holders) if count < wanted}


def _by_speed(engine: Engine) -> tuple[float, str]:
    return (engine.kind.step_pace, engine.name)


def _make_whole(seats: list[_Seat], model: ModelShape) -> None:
    """Gives a data centre's engines one cover of every layer."""
    holes = _sweep(seats, model.layers)
    if not holes:
        return
    if not _can_cover(seats, holes, model):
        holes = _stretch(seats, holes, model)
    for hole in holes:
        _fill(seats, hole, model)


def _sweep(seats: list[_Seat], layers: int) -> list[LayerRange]:
    """Marks the fewest engines that reach from layer to layer.

    Returns:
        What no engine holds.
    """
    holes = []
    layer = 0
    while layer < layers:
        holders = [s for s in seats if not s.used and layer in s.target]
        if holders:
            best = max(holders, key=lambda s: (s.target.end, s.engine.name))
            best.used = True
            layer = best.target.end
            continue
        ahead = [s.target.first for s in seats if _begins(s, layer)]
        end = min(ahead, default=layers)
        holes.append(LayerRange(layer, end))
        layer = end
    return holes


def _begins(seat: _Seat, layer: int) -> bool:
    return not seat.used and len(seat.target) > 0 and seat.target.first > layer


def _can_cover(
    seats: list[_Seat], holes: list[LayerRange], model: ModelShape
) -> bool:
    free = sum(_comfortable(s, model) for s in seats if s.free)
    return free >= sum(map(len, holes))


def _comfortable(seat: _Seat, model: ModelShape) -> int:
    return model.most_layers(seat.engine.kind, STREAMS_PER_ENGINE)


def _fill(seats: list[_Seat], hole: LayerRange, model: ModelShape) -> None:
    """Gives a hole to free engines, empty and fast ones first."""
    free = [s for s in seats if s.free]
    free.sort(key=lambda s: (len(s.target) > 0, _by_speed(s.engine)))
    layer = hole.first
    for index, seat in enumerate(free):
        if layer >= hole.end:
            return
        most = _comfortable(seat, model)
        last = index == len(free) - 1
        if last:
            most = model.most_layers(seat.engine.kind, _TIGHT_STREAMS)
        end = min(hole.end, layer + most)
        if end > layer:
            seat.target = LayerRange(layer, end)
            seat.used = True
            layer = end


def _stretch(
    seats: list[_Seat], holes: list[LayerRange], model: ModelShape
) -> list[LayerRange]:
    """Lets neighbours of holes grow into them; returns what is left."""
    left = []
    for hole in holes:
        first, end = hole.first, hole.end
        for seat in seats:
            if first >= end:
                break
            if not seat.used or seat.engine.loading:
                continue
            most = model.most_layers(seat.engine.kind, _TIGHT_STREAMS)
            spare = max(0, most - len(seat.target))
            if seat.target.end == first:
                taken = min(spare, end - first)
                seat.target = LayerRange(seat.target.first, first + taken)
                first += taken
            elif seat.target.first == end:
                taken = min(spare, end - first)
                seat.target = LayerRange(end - taken, seat.target.end)
                end -= taken
        if first < end:
            left.append(LayerRange(first, end))
    return left


def _use_the_empty(seats: list[_Seat], model: ModelShape) -> None:
    """Gives engines that hold nothing the layers with the thinnest cover.

    A layer that one more engine holds can be served at once when a holder
    dies, without waiting for a load.
    """
    cover = [0] * model.layers
    for seat in seats:
        for layer in range(seat.target.first, seat.target.end):
            cover[layer] += 1
    for seat in seats:
        if len(seat.target) or seat.engine.loading:
            continue
        most = _comfortable(seat, model)
        if most < 1:
            continue
        first = _thinnest(cover, most)
        end = first + most
        seat.target = LayerRange(first, end)
        for layer in range(first, end):
            cover[layer] += 1


def _thinnest(cover: list[int], width: int) -> int:
    """Returns where a range of `width` layers meets the least cover."""
    sums = [
        (sum(cover[first : first + width]), first)
        for first in range(len(cover) - width + 1)
    ]
    return min(sums)[1]
