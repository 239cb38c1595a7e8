"""Choosers: each answers with a chain, or with nothing."""

import abc
from collections.abc import Collection, Iterable, Sequence

import attrs

from caroblug.core.routing._search import usable_engines
from caroblug.core.routing._types import Chain, EngineView, Stage

_LINK_PENALTY_MS = 20.0
_MS_PER_S = 1000.0


class ChainChooser(abc.ABC):
    """Chooses the stages for one stream."""

    @abc.abstractmethod
    def choose(
        self,
        engines: Iterable[EngineView],
        layers: int,
        data_centre: str,
        excluded: Collection[str] = (),
        prompt: Sequence[int] = (),
    ) -> Chain | None:
        """Returns a chain over all `layers`, or None if there is none.

        Args:
            engines: Engines of the model that this entry knows.
            layers: Number of layers of the model.
            data_centre: The entry's own data centre.
            excluded: Instances that must not be used.
            prompt: The prompt's tokens, for choosers that heed caches.
        """


@attrs.frozen
class _Partial:
    """The cheapest way found so far to have run the layers up to a point."""

    cost_ms: float
    data_centre: str
    stages: tuple[Stage, ...]


@attrs.define
class ShortestWaitChooser(ChainChooser):
    """Takes the chain with the least expected time per token.

    A shortest path over (layer, data centre): the cost of an engine is the
    time its known work takes, plus a fixed penalty for each change of data
    centre.

    Attributes:
        link_penalty_ms: Cost of a step between data centres.
    """

    link_penalty_ms: float = _LINK_PENALTY_MS

    def choose(
        self,
        engines: Iterable[EngineView],
        layers: int,
        data_centre: str,
        excluded: Collection[str] = (),
        prompt: Sequence[int] = (),
    ) -> Chain | None:
        """Returns the cheapest chain; ties go to the lower instance name."""
        usable = usable_engines(engines, excluded)
        best: dict[int, dict[str, _Partial]] = {
            0: {data_centre: _Partial(0.0, data_centre, ())}
        }
        for layer in range(layers):
            for partial in best.pop(layer, {}).values():
                for engine in usable:
                    if engine.first_layer <= layer < engine.end_layer:
                        self._extend(best, partial, engine, layer, layers)
        finished = best.get(layers)
        if not finished:
            return None
        cheapest = min(finished.values(), key=lambda p: p.cost_ms)
        return Chain(cheapest.stages)

    def _extend(
        self,
        best: dict[int, dict[str, _Partial]],
        partial: _Partial,
        engine: EngineView,
        layer: int,
        layers: int,
    ) -> None:
        end = min(engine.end_layer, layers)
        cost_ms = partial.cost_ms + _work_ms(engine)
        if engine.data_centre != partial.data_centre:
            cost_ms += self.link_penalty_ms
        known = best.setdefault(end, {}).get(engine.data_centre)
        if known is not None and known.cost_ms <= cost_ms:
            return
        stage = Stage(engine.instance, engine.host, engine.port, layer, end)
        best[end][engine.data_centre] = _Partial(
            cost_ms, engine.data_centre, (*partial.stages, stage)
        )


def _work_ms(engine: EngineView) -> float:
    steps = 1 + engine.waiting + engine.running + engine.own_streams
    return steps * _MS_PER_S / engine.tokens_per_s
