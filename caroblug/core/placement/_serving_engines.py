"""Engines that go on serving the layers which others give up."""

import collections

from caroblug.core.placement._types import Engine, LayerRange


class ServingEngines:
    """Engines of one data centre that serve their layers all the time.

    An engine counts unless it is loading, an order to it may still be carried
    out, or the plan moves or grows it: callers' requests avoid it meanwhile.

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
        self._relied_on: set[int] = set()
        for engine in self._engines.values():
            self._counts.update(engine.holds)
        # They may give their layers up at any moment.
        for engine in engines:
            if engine.order_unconfirmed:
                self._relied_on.update(engine.holds)

    def may_give_up(self, engine: Engine) -> bool:
        """Returns whether others keep everything that an engine holds."""
        return all(self._others(engine, layer) for layer in engine.holds)

    def may_load(self, engine: Engine) -> bool:
        """Returns whether no layer that was given up needs this engine."""
        return all(
            self._others(engine, layer)
            for layer in engine.holds
            if layer in self._relied_on
        )

    def on_given_up(self, engine: Engine) -> None:
        """Notes that the plan sends an engine to other layers."""
        self.on_loading(engine)
        self._relied_on.update(engine.holds)

    def on_loading(self, engine: Engine) -> None:
        """Notes that the plan lets an engine load more layers."""
        if self._engines.pop(engine.name, None) is not None:
            self._counts.subtract(engine.holds)

    def remaining_holders(
        self, engine: Engine, target: LayerRange
    ) -> tuple[Engine, ...]:
        """Returns keepers of the layers that an engine gives up.

        Args:
            engine: The engine.
            target: Layers that it is to hold.

        Returns:
            One holder of each layer, few of them.
        """
        found: list[Engine] = []
        for layer in engine.holds:
            if layer in target or any(layer in k.holds for k in found):
                continue
            holders = [k for k in self._engines.values() if layer in k.holds]
            if holders:
                found.append(max(holders, key=_by_end))
        return tuple(found)

    def _others(self, engine: Engine, layer: int) -> bool:
        """Returns whether another engine keeps a layer of this one."""
        own = 1 if engine.name in self._engines else 0
        return self._counts[layer] > own


def _by_end(engine: Engine) -> tuple[int, str]:
    return (engine.holds.end, engine.name)
