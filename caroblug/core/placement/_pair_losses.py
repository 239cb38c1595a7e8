"""Plans that withstand the loss of two engines.

Engines fail in pairs: the two are neighbours on a path. Engine y may follow
engine x on a path if

- the layer after x's last one is in y's range, and
- y's range begins after x's, or y is slower than x. A path could otherwise
  enter y in place of x and save a hop.

Two engines may fail together if either may follow the other. So engines whose
ranges end at the same layer don't fail together, nor does an engine with a
slower one whose range lies within its own. A data centre withstands the loss of
a pair if each layer has three holders, or two that don't fail together.

Where a plan does not withstand it, engines that hold no layers and are outside
the first chain are placed anew, so that fewer layers are exposed. They load
layers in any case, so this costs no further loads. Engines that hold layers
keep them: a data centre without empty engines keeps its plan.
"""

import attrs

from caroblug.core.placement._assignment import Assignment
from caroblug.core.placement._second_holders import (
    add_second_holders,
    time_saved,
)
from caroblug.core.placement._serving_engines import ServingEngines
from caroblug.core.placement._types import NO_LAYERS, LayerRange, ModelShape

_EXPOSED_SECOND_VALUES = (0.6, 0.0)
"""Values of a second holder that may fail together with the first one, relative
to one that may not. With the lower value engines rather complete a range, with
the higher one they rather cover all layers; the better result is used."""

_THIRD_VALUE = 0.5
"""Value of a third holder of a layer whose other two may fail together."""

_FURTHER_VALUE = 0.0625
"""Value of any further holder. It only decides between ranges that are equal
otherwise."""


@attrs.frozen(order=True)
class Exposure:
    """Numbers of layers that the loss of engines leaves without a holder.

    Attributes:
        missing: Layers without a holder.
        single: Layers with a single holder.
        paired: Layers whose only two holders may fail together.
    """

    missing: int
    single: int
    paired: int


def may_follow(x: Assignment, y: Assignment) -> bool:
    """Returns whether engine y may follow engine x on a path."""
    if x.target.end not in y.target:
        return False
    return (
        y.target.first > x.target.first
        or y.engine.kind.step_time_factor > x.engine.kind.step_time_factor
    )


def may_fail_together(x: Assignment, y: Assignment) -> bool:
    """Returns whether two engines may be neighbours on a path."""
    return may_follow(x, y) or may_follow(y, x)


def measure_exposure(
    assignments: list[Assignment], model: ModelShape
) -> Exposure:
    """Returns how many layers of a plan are exposed to a loss."""
    holders = _list_holders(assignments, model)
    return Exposure(
        sum(len(held) == 0 for held in holders),
        sum(len(held) == 1 for held in holders),
        sum(len(held) == 2 and may_fail_together(*held) for held in holders),
    )


def reduce_exposure(
    assignments: list[Assignment],
    chain: list[Assignment],
    model: ModelShape,
    requests: int,
) -> None:
    """Places engines without layers that are outside the first chain anew.

    The plan remains as it is if it withstands the loss of a pair, or if no
    fewer layers can be exposed.

    Args:
        assignments: Engines of one data centre with their planned layers.
        chain: Those that hold layers or belong to the first chain, with the
            layers that they had when that chain was planned.
        model: The model.
        requests: Requests for which an engine reserves KV cache.
    """
    fixed = {a.engine.name: a.target for a in chain}
    free = [
        a
        for a in assignments
        if a.engine.name not in fixed and not a.engine.loading
    ]
    if not free:
        return
    # Nothing serves: only engines without layers are assigned again.
    serving = ServingEngines([])
    add_second_holders(assignments, model, requests, serving)
    least = measure_exposure(assignments, model)
    best = [a.target for a in assignments]
    if least == Exposure(0, 0, 0):
        return
    free.sort(key=lambda a: -a.max_layers(model, requests))
    for second_value in _EXPOSED_SECOND_VALUES:
        for assignment in assignments:
            assignment.target = fixed.get(assignment.engine.name, NO_LAYERS)
        for assignment in free:
            _place(assignment, assignments, model, requests, second_value)
        add_second_holders(assignments, model, requests, serving)
        exposure = measure_exposure(assignments, model)
        if exposure < least:
            least, best = exposure, [a.target for a in assignments]
    for assignment, target in zip(assignments, best, strict=True):
        assignment.target = target


def _list_holders(
    assignments: list[Assignment], model: ModelShape
) -> list[list[Assignment]]:
    holders: list[list[Assignment]] = [[] for _ in range(model.layers)]
    for assignment in assignments:
        for layer in assignment.target:
            holders[layer].append(assignment)
    return holders


def _place(
    assignment: Assignment,
    assignments: list[Assignment],
    model: ModelShape,
    requests: int,
    second_value: float,
) -> None:
    """Assigns an engine to the range of the highest value.

    Only ranges that begin or end where another one does are considered.
    """
    width = assignment.max_layers(model, requests)
    if width < 1:
        return
    holders = _list_holders(assignments, model)
    targets = [a.target for a in assignments if len(a.target)]
    edges = {t.first for t in targets} | {t.end for t in targets}
    ends = {t.end for t in targets}
    last = model.layers - width
    firsts = {
        min(last, max(0, first))
        for edge in edges
        for first in (edge, edge - width)
    }
    best: tuple[float, bool, int] | None = None
    chosen = NO_LAYERS
    for first in sorted(firsts):
        assignment.target = LayerRange(first, first + width)
        value = sum(
            _value(assignment, holders[layer], second_value)
            for layer in assignment.target
        )
        key = (round(value, 6), assignment.target.end in ends, -first)
        if best is None or key > best:
            best, chosen = key, assignment.target
    assignment.target = chosen
    assignment.used = True


def _value(
    assignment: Assignment, held: list[Assignment], second_value: float
) -> float:
    """Returns what a layer gains from an engine as a further holder.

    To this is added the share of the fastest holder's time that it saves.
    """
    if not held:
        return 2.0
    factors = [a.engine.kind.step_time_factor for a in held]
    saved = time_saved(factors, assignment.engine.kind)
    if len(held) == 1:
        exposed = may_fail_together(held[0], assignment)
        return saved + (second_value if exposed else 1.0)
    if len(held) == 2 and may_fail_together(*held):
        return saved + max(_THIRD_VALUE, 1.0 - second_value)
    return saved + _FURTHER_VALUE
