"""Helpers of the chain choosers: engine filters and a chain search."""

from collections.abc import Callable, Collection, Iterable, Sequence

from caroblug.core.routing._types import Chain, EngineView, Stage

Order = Callable[[Sequence[EngineView]], Sequence[EngineView]]


def usable_engines(
    engines: Iterable[EngineView], excluded: Collection[str]
) -> list[EngineView]:
    """Returns the engines that take new streams, sorted by instance name."""
    return sorted(
        (
            engine
            for engine in engines
            if not engine.leaving and engine.instance not in excluded
        ),
        key=lambda engine: engine.instance,
    )


def covers_layers(engines: Iterable[EngineView], layers: int) -> bool:
    """Returns whether the engines that take new streams cover all layers."""
    covered_end = 0
    usable = [engine for engine in engines if not engine.leaving]
    for engine in sorted(usable, key=lambda engine: engine.first_layer):
        if engine.first_layer <= covered_end:
            covered_end = max(covered_end, engine.end_layer)
    return covered_end >= layers


def make_stage(engine: EngineView, layer: int, layers: int) -> Stage:
    """Returns an engine's stage from `layer` to the end of its range."""
    end = min(engine.end_layer, layers)
    return Stage(engine.instance, engine.host, engine.port, layer, end)


def first_chain(
    engines: Sequence[EngineView], layers: int, order: Order
) -> Chain | None:
    """Returns the first chain that a depth-first search finds, or None.

    Args:
        engines: Engines that may be used.
        layers: Number of layers of the model.
        order: Sorts the engines that hold a layer by preference.
    """
    dead_ends: set[int] = set()

    def _search_from(layer: int) -> tuple[Stage, ...] | None:
        if layer >= layers:
            return ()
        if layer in dead_ends:
            return None
        holders = [e for e in engines if e.first_layer <= layer < e.end_layer]
        for engine in order(holders):
            stage = make_stage(engine, layer, layers)
            rest = _search_from(stage.end_layer)
            if rest is not None:
                return (stage, *rest)
        dead_ends.add(layer)
        return None

    stages = _search_from(0)
    return Chain(stages) if stages else None
