"""Baseline chain choosers: random, round robin and least loaded."""

import random
from collections.abc import Collection, Iterable, Sequence

import attrs

from caroblug.core.routing._chooser import ChainChooser
from caroblug.core.routing._search import first_chain, usable_engines
from caroblug.core.routing._types import Chain, EngineView


@attrs.define
class RandomChooser(ChainChooser):
    """Picks each stage uniformly from the engines that hold the next layer.

    Attributes:
        rng: Source of randomness.
    """

    rng: random.Random

    def choose(
        self,
        engines: Iterable[EngineView],
        layers: int,
        data_centre: str,
        excluded: Collection[str] = (),
        prompt: Sequence[int] = (),
    ) -> Chain | None:
        """Returns a chain of randomly chosen engines."""
        usable = usable_engines(engines, excluded)
        return first_chain(usable, layers, self._shuffle)

    def _shuffle(self, holders: Sequence[EngineView]) -> list[EngineView]:
        return self.rng.sample(holders, len(holders))


@attrs.define
class RoundRobinChooser(ChainChooser):
    """Rotates through the engines that hold the next layer."""

    _next_index: dict[tuple[str, ...], int] = attrs.field(
        factory=dict, init=False
    )

    def choose(
        self,
        engines: Iterable[EngineView],
        layers: int,
        data_centre: str,
        excluded: Collection[str] = (),
        prompt: Sequence[int] = (),
    ) -> Chain | None:
        """Returns a chain of the engines that are next in rotation."""
        usable = usable_engines(engines, excluded)
        return first_chain(usable, layers, self._rotate)

    def _rotate(self, holders: Sequence[EngineView]) -> list[EngineView]:
        key = tuple(engine.instance for engine in holders)
        index = self._next_index.get(key, 0)
        self._next_index[key] = index + 1
        if not holders:
            return []
        start = index % len(holders)
        return [*holders[start:], *holders[:start]]


@attrs.define
class LeastLoadedChooser(ChainChooser):
    """Picks the engine with the fewest open streams for each stage.

    The engines' capacities are not taken into account.
    """

    def choose(
        self,
        engines: Iterable[EngineView],
        layers: int,
        data_centre: str,
        excluded: Collection[str] = (),
        prompt: Sequence[int] = (),
    ) -> Chain | None:
        """Returns a chain of the least loaded engines."""
        usable = usable_engines(engines, excluded)
        return first_chain(usable, layers, _sort_by_load)


def _sort_by_load(holders: Sequence[EngineView]) -> list[EngineView]:
    return sorted(holders, key=lambda e: (e.load, e.instance))
