"""The interface of chain choosers and a shortest-path chooser."""

import abc
from collections.abc import Collection, Iterable, Sequence

import attrs

from caroblug.core.routing._search import usable_engines
from caroblug.core.routing._types import Chain, EngineView, Stage

_DEFAULT_LINK_PENALTY_MS = 20.0
_MS_PER_S = 1000.0


class ChainChooser(abc.ABC):
    """Chooses the chain of stages that runs one stream."""

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
            engines: Engines of the model that are known to this entry.
            layers: Number of layers of the model.
            data_centre: The entry's own data centre.
            excluded: Names of instances that must not be used.
            prompt: Tokens of the prompt, for choosers that consider the
                engines' prefix caches.
        """


@attrs.frozen
class _PartialChain:
    """The cheapest chain found so far that runs all layers below a boundary.

    Attributes:
        cost_ms: Expected time per token of the stages.
        data_centre: Data centre of the last stage.
        stages: The stages, in order.
    """

    cost_ms: float
    data_centre: str
    stages: tuple[Stage, ...]


@attrs.define
class ShortestWaitChooser(ChainChooser):
    """Chooses the chain with the lowest expected time per token.

    The chain is a shortest path over nodes (layer, data centre). An engine
    costs the time that its known work takes, and each change of data centre
    adds a fixed penalty.

    Attributes:
        link_penalty_ms: Cost of each change of data centre.
    """

    link_penalty_ms: float = _DEFAULT_LINK_PENALTY_MS

    def choose(
        self,
        engines: Iterable[EngineView],
        layers: int,
        data_centre: str,
        excluded: Collection[str] = (),
        prompt: Sequence[int] = (),
    ) -> Chain | None:
        """Returns the cheapest chain; the lower instance name breaks ties."""
        usable = usable_engines(engines, excluded)
        best: dict[int, dict[str, _PartialChain]] = {
            0: {data_centre: _PartialChain(0.0, data_centre, ())}
        }
        for layer in range(layers):
            for partial in best.pop(layer, {}).values():
                for engine in usable:
                    if engine.first_layer <= layer < engine.end_layer:
                        self._relax(best, partial, engine, layer, layers)
        finished = best.get(layers)
        if not finished:
            return None
        cheapest = min(finished.values(), key=lambda p: p.cost_ms)
        return Chain(cheapest.stages)

    def _relax(
        self,
        best: dict[int, dict[str, _PartialChain]],
        partial: _PartialChain,
        engine: EngineView,
        layer: int,
        layers: int,
    ) -> None:
        end = min(engine.end_layer, layers)
        cost_ms = partial.cost_ms + _pending_work_ms(engine)
        if engine.data_centre != partial.data_centre:
            cost_ms += self.link_penalty_ms
        known = best.setdefault(end, {}).get(engine.data_centre)
        if known is not None and known.cost_ms <= cost_ms:
            return
        stage = Stage(engine.instance, engine.host, engine.port, layer, end)
        best[end][engine.data_centre] = _PartialChain(
            cost_ms, engine.data_centre, (*partial.stages, stage)
        )


def _pending_work_ms(engine: EngineView) -> float:
    steps = 1 + engine.waiting + engine.running + engine.own_streams
    return steps * _MS_PER_S / engine.tokens_per_s
