"""A move: the assignment of an engine to other layers."""

import attrs

from caroblug.core.placement._types import Engine, LayerRange


@attrs.frozen
class Move:
    """Assignment of an engine to other layers than it holds.

    Attributes:
        engine: The engine in its state when the plan was computed.
        target: Layers that it is to hold.
        urgent: Whether the move adds a layer that no engine of its data centre
            serves, so that all requests there go to other data centres. An
            urgent move does not wait for requests that run through the layers
            given up: the wait takes seconds, in which the other data centres
            run out of memory.
        adds_second_holder: Whether the move adds a layer that has a single
            holder in its data centre.
        remaining_holders: Engines that continue to serve the layers given up.
    """

    engine: Engine
    target: LayerRange
    urgent: bool = False
    adds_second_holder: bool = False
    remaining_holders: tuple[Engine, ...] = ()
