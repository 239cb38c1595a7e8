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

STREAMS_PER_CHAIN = 40
"""Requests of usual size for which a chain keeps room beside its weights.

A chain is made of the fastest engines, as full as this allows, and the others
hold its layers a second time. More room makes longer, slower chains and leaves
fewer second holders; less is used up when one data centre takes on another
one's streams.
"""

_MOST_STREAMS_PER_CHAIN = 60
_STREAMS_PER_GATEWAY = 7
"""The same for each gateway of a data centre where there are many: entries are
as many as traffic needs, and nothing else is known of it at a first start."""

HOP_MS = 0.5
"""Time that one more engine on the path adds to a token: the delay of the
link and the wait for the engine's pass."""

_GROWN_STREAMS = 40
"""Requests for which an engine keeps room when it grows into a hole:
everybody's path leads over it then."""

_TIGHT_STREAMS = 6
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

    @property
    def empty(self) -> bool:
        return self.free and len(self.target) == 0

    def most(self, model: ModelShape, streams: int) -> int:
        """Returns how many layers fit beside `streams` requests."""
        return model.max_layers(self.engine.kind, streams)


def compute_requests_per_chain(gateways: int, data_centres: int) -> int:
    """Returns the requests of usual size that a chain keeps room for.

    Args:
        gateways: Gateways that send to the engines; 0 if unknown.
        data_centres: Data centres with engines.
    """
    here = gateways / max(1, data_centres)
    wanted = int(here * _STREAMS_PER_GATEWAY)
    return min(_MOST_STREAMS_PER_CHAIN, max(STREAMS_PER_CHAIN, wanted))


def plan_moves(
    engines: list[Engine],
    model: ModelShape,
    requests_per_chain: int = STREAMS_PER_CHAIN,
) -> list[Move]:
    """Returns the moves that are missing.

    Args:
        engines: Engines that live and stay; one that leaves is left out, so
            that its layers are placed again while it still serves.
        model: The model.
        requests_per_chain: Requests of usual size that a chain keeps room for.
    """
    engines = sorted(engines, key=lambda e: _by_speed(e, model))
    seats = [_Seat(e, e.holds) for e in engines]
    missing = {}
    keepers = {}
    for data_centre in sorted({e.data_centre for e in engines}):
        local = [s for s in seats if s.engine.data_centre == data_centre]
        missing[data_centre] = _missing_layers(engines, data_centre, model)
        keepers[data_centre] = _plan_data_centre(
            local, model, requests_per_chain
        )
    return [
        _make_move(
            seat,
            missing[seat.engine.data_centre],
            keepers[seat.engine.data_centre],
        )
        for seat in seats
        if seat.moved
    ]


def _make_move(seat: _Seat, missing: set[int], keepers: ServingEngines) -> Move:
    urgent = any(layer in seat.target for layer in missing)
    holders = keepers.remaining_holders(seat.engine, seat.target)
    return Move(seat.engine, seat.target, urgent, holders)


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


def _by_speed(engine: Engine, model: ModelShape) -> tuple[float, str]:
    """Orders engines by the time that a layer costs there, hop included."""
    most = model.max_layers(engine.kind, STREAMS_PER_CHAIN)
    layer_ms = model.step_ms / model.layers * engine.kind.step_time_factor
    return (layer_ms + HOP_MS / max(1, most), engine.name)


def _plan_data_centre(
    seats: list[_Seat], model: ModelShape, requests_per_chain: int
) -> ServingEngines:
    """Gives the engines of a data centre their targets.

    Returns:
        The engines that stay as they are.
    """
    keepers = ServingEngines([seat.engine for seat in seats])
    chains, streams = _size_chains(seats, model, requests_per_chain)
    grown = min(streams, _GROWN_STREAMS)
    holes = _sweep(seats, model.layers)
    holes = _fill(_empty(seats), holes, model, streams, keepers)
    holes = _grow(seats, holes, model, grown, keepers)
    holes = _fill(seats, holes, model, streams, keepers)
    holes = _grow(seats, holes, model, _TIGHT_STREAMS, keepers)
    _fill(seats, holes, model, _TIGHT_STREAMS, keepers)
    for _ in range(1, chains):
        holes = _sweep(seats, model.layers)
        _fill(_empty(seats), holes, model, streams, keepers)
    _use_the_empty(seats, model, streams)
    return keepers


def _size_chains(
    seats: list[_Seat], model: ModelShape, requests_per_chain: int
) -> tuple[int, int]:
    """Returns how many whole chains fit, and the room each one has.

    Returns:
        Number of chains, one at least, and requests of usual size.
    """
    held = _layers_held(seats, model, requests_per_chain)
    chains = max(1, held // model.layers)
    low, high = _TIGHT_STREAMS, requests_per_chain
    while low < high:
        middle = (low + high + 1) // 2
        if _layers_held(seats, model, middle) >= chains * model.layers:
            low = middle
        else:
            high = middle - 1
    return chains, low


def _layers_held(seats: list[_Seat], model: ModelShape, streams: int) -> int:
    return sum(seat.most(model, streams) for seat in seats)


def _sweep(seats: list[_Seat], layers: int) -> list[LayerRange]:
    """Marks the fewest engines that reach from layer to layer.

    Returns:
        What no engine that is not in use yet holds.
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


def _fill(
    candidates: list[_Seat],
    holes: list[LayerRange],
    model: ModelShape,
    streams: int,
    keepers: ServingEngines,
) -> list[LayerRange]:
    """Gives holes to free engines whose layers others keep, empty ones first.

    Guards against breaking a chain to mend another hole. Each engine is looked
    at after those before it have been sent away: two that hold the same layers
    would otherwise each pass for the other's keeper.

    Returns:
        What is left of the holes.
    """
    left = []
    for hole in holes:
        layer = hole.first
        for seat in sorted(candidates, key=lambda s: len(s.target) > 0):
            if layer >= hole.end:
                break
            if not seat.free or not keepers.may_give_up(seat.engine):
                continue
            layer = _take(seat, LayerRange(layer, hole.end), model, streams)
            if seat.used:
                keepers.on_given_up(seat.engine)
        if layer < hole.end:
            left.append(LayerRange(layer, hole.end))
    return left


def _take(
    seat: _Seat, hole: LayerRange, model: ModelShape, streams: int
) -> int:
    """Gives an engine as much of the begin of a hole as it has room for.

    Returns:
        Where the rest of the hole begins.
    """
    end = min(hole.end, hole.first + seat.most(model, streams))
    if end > hole.first:
        seat.target = LayerRange(hole.first, end)
        seat.used = True
    return end


def _grow(
    seats: list[_Seat],
    holes: list[LayerRange],
    model: ModelShape,
    streams: int,
    keepers: ServingEngines,
) -> list[LayerRange]:
    """Lets engines beside holes grow into them.

    They keep what they hold, so that nothing has to pass through first, and
    only load what is new: a neighbour on either side halves the time.

    Returns:
        What is left of the holes.
    """
    left = []
    for hole in holes:
        first, end = hole.first, hole.end
        before = _choose_neighbour(
            [s for s in seats if s.target.end == first], model, streams, keepers
        )
        after = _choose_neighbour(
            [s for s in seats if s.target.first == end], model, streams, keepers
        )
        half = (end - first + 1) // 2 if before and after else end - first
        if before is not None:
            taken = min(_spare(before, model, streams), half)
            before.target = LayerRange(before.target.first, first + taken)
            first += taken
        if after is not None:
            taken = min(_spare(after, model, streams), end - first)
            after.target = LayerRange(end - taken, after.target.end)
            end -= taken
        if before is not None and first < end:
            taken = min(_spare(before, model, streams), end - first)
            before.target = LayerRange(before.target.first, first + taken)
            first += taken
        if first < end:
            left.append(LayerRange(first, end))
    return left


def _choose_neighbour(
    beside: list[_Seat],
    model: ModelShape,
    streams: int,
    keepers: ServingEngines,
) -> _Seat | None:
    """Chooses the engine beside a hole that can grow most, if any can.

    It loads then, so that others can't rely on it.
    """
    able = [
        s
        for s in beside
        if len(s.target)
        and not s.engine.loading
        and _spare(s, model, streams) > 0
        and keepers.may_load(s.engine)
    ]
    if not able:
        return None
    best = max(able, key=lambda s: (_spare(s, model, streams), s.engine.name))
    keepers.on_loading(best.engine)
    return best


def _spare(seat: _Seat, model: ModelShape, streams: int) -> int:
    return max(0, seat.most(model, streams) - len(seat.target))


def _empty(seats: list[_Seat]) -> list[_Seat]:
    """Returns engines that hold nothing and are given nothing yet."""
    return [seat for seat in seats if seat.empty]


def _use_the_empty(seats: list[_Seat], model: ModelShape, streams: int) -> None:
    """Gives engines that hold nothing the layers that need one more holder.

    A layer that one more engine holds can be served at once when a holder
    dies, without waiting for a load. A fast engine goes where only slow ones
    are: one that comes back after a crash takes its old place again.
    """
    for seat in seats:
        most = seat.most(model, streams)
        if not seat.empty or most < 1:
            continue
        first = _neediest(seats, seat, most, model)
        seat.target = LayerRange(first, first + most)
        seat.used = True


def _neediest(
    seats: list[_Seat], seat: _Seat, width: int, model: ModelShape
) -> int:
    """Returns where a range of `width` layers on an engine helps most."""
    needs = [_need(seats, seat, layer, model) for layer in range(model.layers)]
    sums = [
        (-sum(needs[first : first + width]), first)
        for first in range(len(needs) - width + 1)
    ]
    return min(sums)[1]


def _need(
    seats: list[_Seat], seat: _Seat, layer: int, model: ModelShape
) -> float:
    """Returns what a layer gains from one more holder, 1 for its second one.

    Each further holder is worth half of the one before; speed counts beside
    it, as the share of the fastest holder's time that is saved.
    """
    holders = [s.engine for s in seats if layer in s.target]
    if not holders:
        return 2.0
    pace = min(e.kind.step_time_factor for e in holders)
    saved = max(0.0, pace - seat.engine.kind.step_time_factor) / pace
    return 2.0 ** (1 - len(holders)) + saved
