"""Engines that serve their layers while a plan is carried out."""

import collections

from caroblug.core.placement._types import Engine, LayerRange


class ServingEngines:
    """Engines of one data centre that serve their layers without a break.

    An engine counts unless it is loading, an order to it may still be carried
    out, or the plan reassigns or extends it: requests avoid it meanwhile.

    Args:
        engines: Engines of the data centre.
    """

    def __init__(self, engines: list[Engine]) -> None:
        self._engines = {
            engine.name: engine
            for engine in engines
            if not engine.loading and not engine.order_unconfirmed
        }
        self._counts: collections.Counter[int] = collections.Counter()
        self._given_up: set[int] = set()
        for engine in self._engines.values():
            self._counts.update(engine.holds)
        # An unconfirmed order may make its engine drop its layers at any time.
        for engine in engines:
            if engine.order_unconfirmed:
                self._given_up.update(engine.holds)

    def can_reassign(self, engine: Engine) -> bool:
        """Returns whether other engines serve every layer of an engine."""
        return all(self._others_hold(engine, layer) for layer in engine.holds)

    def can_extend(self, engine: Engine) -> bool:
        """Returns whether no layer given up elsewhere needs this engine."""
        return all(
            self._others_hold(engine, layer)
            for layer in engine.holds
            if layer in self._given_up
        )

    def on_reassigned(self, engine: Engine) -> None:
        """Records that the plan assigns an engine to other layers."""
        self.on_extended(engine)
        self._given_up.update(engine.holds)

    def on_extended(self, engine: Engine) -> None:
        """Records that the plan makes an engine load additional layers."""
        if self._engines.pop(engine.name, None) is not None:
            self._counts.subtract(engine.holds)

    def remaining_holders(
        self, engine: Engine, target: LayerRange
    ) -> tuple[Engine, ...]:
        """Returns engines that serve the layers that an engine gives up.

        Args:
            engine: The engine.
            target: Layers that the engine is assigned to.

        Returns:
            One holder of each layer that has any, chosen greedily to be few.
        """
        found: list[Engine] = []
        for layer in engine.holds:
            if layer in target or any(layer in k.holds for k in found):
                continue
            holders = [k for k in self._engines.values() if layer in k.holds]
            if holders:
                found.append(max(holders, key=_by_end))
        return tuple(found)

    def _others_hold(self, engine: Engine, layer: int) -> bool:
        """Returns whether another engine serves a layer of this one."""
        own = 1 if engine.name in self._engines else 0
        return self._counts[layer] > own


def _by_end(engine: Engine) -> tuple[int, str]:
    return (engine.holds.end, engine.name)
