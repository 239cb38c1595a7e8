"""Second holders for layers that a single engine of a data centre holds.

A layer with a single holder has none for the seconds of a load when that
engine dies. An engine is surplus to a layer if at least two others hold it
too. Surplus engines are assigned to layers with a single holder, under these
rules:

- No layer drops below two holders.
- An engine that serves is reassigned only if others serve all its layers
  meanwhile.
- A data centre in which no layer has a single holder keeps its plan.
"""

import attrs

from caroblug.core.placement._assignment import Assignment
from caroblug.core.placement._serving_engines import ServingEngines
from caroblug.core.placement._types import EngineKind, LayerRange, ModelShape


@attrs.frozen
class _Choice:
    """An engine and the layers that it could hold instead of its target.

    Attributes:
        assignment: The engine.
        target: The layers.
        value: What the added layers gain less what those given up lose.
    """

    assignment: Assignment
    target: LayerRange
    value: float

    @property
    def key(self) -> tuple[float, int, str]:
        """Sorts by value, then by fewer layers to load."""
        held = self.assignment.engine.holds
        loaded = sum(layer not in held for layer in self.target)
        return (round(self.value, 6), -loaded, self.assignment.engine.name)


class _Holders:
    """Time factors of the engines that hold each layer under a plan.

    Args:
        assignments: Engines of one data centre with their planned layers.
        layers: Number of layers of the model.
    """

    def __init__(self, assignments: list[Assignment], layers: int) -> None:
        self._factors: list[list[float]] = [[] for _ in range(layers)]
        for assignment in assignments:
            factor = assignment.engine.kind.step_time_factor
            for layer in assignment.target:
                self._factors[layer].append(factor)

    def count(self, layer: int) -> int:
        return len(self._factors[layer])

    def single_runs(self) -> list[LayerRange]:
        """Returns the runs of layers that have a single holder."""
        runs: list[LayerRange] = []
        for layer, factors in enumerate(self._factors):
            if len(factors) != 1:
                continue
            if runs and runs[-1].end == layer:
                runs[-1] = LayerRange(runs[-1].first, layer + 1)
            else:
                runs.append(LayerRange(layer, layer + 1))
        return runs

    def value_added(self, layer: int, kind: EngineKind) -> float:
        """Returns what a layer gains from one more holder."""
        return holder_value(self._factors[layer], kind)

    def value_removed(self, layer: int, kind: EngineKind) -> float:
        """Returns what a layer loses with a holder that it has."""
        others = list(self._factors[layer])
        others.remove(kind.step_time_factor)
        return holder_value(others, kind)


def holder_value(factors: list[float], kind: EngineKind) -> float:
    """Returns what a layer gains from one more holder.

    The first holder is worth 2, the second one 1 and each further one half of
    the one before. To this is added the share of the fastest holder's time
    that the engine saves.

    Args:
        factors: Time factors of the engines that hold the layer.
        kind: Kind of the further engine.
    """
    if not factors:
        return 2.0
    return 2.0 ** (1 - len(factors)) + time_saved(factors, kind)


def time_saved(factors: list[float], kind: EngineKind) -> float:
    """Returns the share of the fastest holder's time that an engine saves.

    Args:
        factors: Time factors of the engines that hold the layer, at least one.
        kind: Kind of the further engine.
    """
    fastest = min(factors)
    return max(0.0, fastest - kind.step_time_factor) / fastest


def add_second_holders(
    assignments: list[Assignment],
    model: ModelShape,
    requests: int,
    serving: ServingEngines,
) -> None:
    """Assigns surplus engines to layers that have a single holder.

    Each step reduces the number of these layers, so that few steps remain and
    a plan that has been carried out is not changed again.

    Args:
        assignments: Engines of one data centre with their planned layers.
        model: The model.
        requests: Requests for which an engine reserves KV cache.
        serving: Engines that serve while the plan is carried out.
    """
    while True:
        holders = _Holders(assignments, model.layers)
        runs = holders.single_runs()
        if not runs:
            return
        choices = [
            choice
            for assignment in assignments
            if _can_change(assignment, serving)
            for choice in _choices(assignment, holders, runs, model, requests)
        ]
        if not choices:
            return
        best = max(choices, key=lambda choice: choice.key)
        best.assignment.target = best.target
        best.assignment.used = True
        serving.on_reassigned(best.assignment.engine)


def _can_change(assignment: Assignment, serving: ServingEngines) -> bool:
    """Returns whether the plan may assign other layers to an engine.

    An engine without layers has nothing to give up, whatever the plan has
    assigned to it so far.
    """
    engine = assignment.engine
    if engine.loading:
        return False
    if len(engine.holds) == 0:
        return True
    return not assignment.changed and serving.can_reassign(engine)


def _choices(
    assignment: Assignment,
    holders: _Holders,
    runs: list[LayerRange],
    model: ModelShape,
    requests: int,
) -> list[_Choice]:
    """Returns ranges with which an engine gives layers a second holder."""
    width = assignment.max_layers(model, requests)
    if width < 1:
        return []
    # The engine is not surplus to these layers and keeps them.
    kept = [layer for layer in assignment.target if holders.count(layer) < 3]
    lowest = max(0, kept[-1] + 1 - width) if kept else 0
    highest = model.layers - width
    if kept:
        highest = min(highest, kept[0])
    if lowest > highest:
        return []
    aligned = {run.first for run in runs} | {run.end - width for run in runs}
    firsts = {min(highest, max(lowest, first)) for first in aligned}
    found = []
    for first in sorted(firsts):
        target = LayerRange(first, first + width)
        if _adds_second_holder(assignment, target, runs):
            value = _change_value(assignment, target, holders)
            found.append(_Choice(assignment, target, value))
    return found


def _adds_second_holder(
    assignment: Assignment, target: LayerRange, runs: list[LayerRange]
) -> bool:
    return any(
        layer in target and layer not in assignment.target
        for run in runs
        for layer in run
    )


def _change_value(
    assignment: Assignment, target: LayerRange, holders: _Holders
) -> float:
    """Returns what a change of an engine's layers gains."""
    kind = assignment.engine.kind
    gained = sum(
        holders.value_added(layer, kind)
        for layer in target
        if layer not in assignment.target
    )
    lost = sum(
        holders.value_removed(layer, kind)
        for layer in assignment.target
        if layer not in target
    )
    return gained - lost
