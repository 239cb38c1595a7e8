"""Layers that a plan assigns to an engine."""

import attrs

from caroblug.core.placement._types import Engine, LayerRange, ModelShape


@attrs.define
class Assignment:
    """An engine and the layers that the plan assigns to it.

    Attributes:
        engine: The engine.
        target: Layers assigned to it; at first those that it holds.
        used: Whether the plan already uses the engine.
    """

    engine: Engine
    target: LayerRange
    used: bool = False

    @property
    def changed(self) -> bool:
        return self.target != self.engine.holds

    @property
    def available(self) -> bool:
        return not self.used and not self.engine.loading

    @property
    def unassigned(self) -> bool:
        return self.available and len(self.target) == 0

    def max_layers(self, model: ModelShape, requests: int) -> int:
        """Returns how many layers fit beside the KV cache of `requests`."""
        return model.max_layers(self.engine.kind, requests)
