"""Construction of choosers by the name in the settings."""

import random

from caroblug.core.routing._baselines import (
    LeastLoadedChooser,
    RandomChooser,
    RoundRobinChooser,
)
from caroblug.core.routing._chooser import ChainChooser, ShortestWaitChooser
from caroblug.core.routing._estimate import LatencyTable
from caroblug.core.routing._flow_chooser import FlowChooser

CHOOSERS = ("flow", "shortest_wait", "least_loaded", "round_robin", "random")


def make_chooser(
    name: str, rng: random.Random, latencies: LatencyTable | None = None
) -> ChainChooser:
    """Returns the chooser with a name out of `CHOOSERS`.

    Args:
        name: Which chooser.
        rng: Source of randomness for those that draw.
        latencies: Latencies between data centres, learned elsewhere.
    """
    match name:
        case "flow":
            return FlowChooser(rng, latencies=latencies or LatencyTable())
        case "shortest_wait":
            return ShortestWaitChooser()
        case "least_loaded":
            return LeastLoadedChooser()
        case "round_robin":
            return RoundRobinChooser()
        case "random":
            return RandomChooser(rng)
        case _:
            raise AssertionError(f"no chooser {name!r}")
