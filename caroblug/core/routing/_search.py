"""What every chooser needs: usable engines and a search over boundaries."""

from collections.abc import Callable, Collection, Iterable, Sequence

from caroblug.core.routing._types import Chain, EngineView, Stage

Order = Callable[[Sequence[EngineView]], Sequence[EngineView]]


def usable_engines(
    engines: Iterable[EngineView], excluded: Collection[str]
) -> list[EngineView]:
    """Returns the engines that take new streams, by instance name."""
    return sorted(
        (
            engine
            for engine in engines
            if not engine.leaving and engine.instance not in excluded
        ),
        key=lambda engine: engine.instance,
    )


def covers_layers(engines: Iterable[EngineView], layers: int) -> bool:
    """Tells whether engines that take new streams hold every layer."""
    reached = 0
    usable = [engine for engine in engines if not engine.leaving]
    for engine in sorted(usable, key=lambda engine: engine.first_layer):
        if engine.first_layer <= reached:
            reached = max(reached, engine.end_layer)
    return reached >= layers


def make_stage(engine: EngineView, layer: int, layers: int) -> Stage:
    """Returns the stage in which an engine runs from `layer` to its end."""
    end = min(engine.end_layer, layers)
    return Stage(engine.instance, engine.host, engine.port, layer, end)


def first_chain(
    engines: Sequence[EngineView], layers: int, order: Order
) -> Chain | None:
    """Returns the first chain found by depth-first search.

    Args:
        engines: Engines that may be used.
        layers: Number of layers of the model.
        order: Puts the engines that hold a layer in the order of trial.
    """
    dead: set[int] = set()

    def _from(layer: int) -> tuple[Stage, ...] | None:
        if layer >= layers:
            return ()
        if layer in dead:
            return None
        holders = [e for e in engines if e.first_layer <= layer < e.end_layer]
        for engine in order(holders):
            stage = make_stage(engine, layer, layers)
            rest = _from(stage.end_layer)
            if rest is not None:
                return (stage, *rest)
        dead.add(layer)
        return None

    stages = _from(0)
    return Chain(stages) if stages else None
