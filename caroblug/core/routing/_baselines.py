"""Choosers to compare with: random, round robin, least loaded."""

import random
from collections.abc import Collection, Iterable, Sequence

import attrs

from caroblug.core.routing._chooser import ChainChooser
from caroblug.core.routing._search import first_chain, usable_engines
from caroblug.core.routing._types import Chain, EngineView


@attrs.define
class RandomChooser(ChainChooser):
    """Takes any engine that holds the next layer.

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
        """Returns a chain of engines taken at random."""
        usable = usable_engines(engines, excluded)
        return first_chain(usable, layers, self._shuffled)

    def _shuffled(self, holders: Sequence[EngineView]) -> list[EngineView]:
        return self.rng.sample(holders, len(holders))


@attrs.define
class RoundRobinChooser(ChainChooser):
    """Takes the engines that hold the next layer in turn."""

    _turns: dict[tuple[str, ...], int] = attrs.field(factory=dict, init=False)

    def choose(
        self,
        engines: Iterable[EngineView],
        layers: int,
        data_centre: str,
        excluded: Collection[str] = (),
        prompt: Sequence[int] = (),
    ) -> Chain | None:
        """Returns a chain of the engines whose turn it is."""
        usable = usable_engines(engines, excluded)
        return first_chain(usable, layers, self._in_turn)

    def _in_turn(self, holders: Sequence[EngineView]) -> list[EngineView]:
        key = tuple(engine.instance for engine in holders)
        turn = self._turns.get(key, 0)
        self._turns[key] = turn + 1
        if not holders:
            return []
        start = turn % len(holders)
        return [*holders[start:], *holders[:start]]


@attrs.define
class LeastLoadedChooser(ChainChooser):
    """Takes the engine with the least reported and own work, not weighted."""

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
        return first_chain(usable, layers, _by_load)


def _by_load(holders: Sequence[EngineView]) -> list[EngineView]:
    return sorted(holders, key=lambda e: (e.load, e.instance))
