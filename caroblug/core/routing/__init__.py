"""Choosing a chain of stages over engines that hold ranges of layers."""

from caroblug.core.routing._baselines import (
    LeastLoadedChooser,
    RandomChooser,
    RoundRobinChooser,
)
from caroblug.core.routing._chooser import ChainChooser, ShortestWaitChooser
from caroblug.core.routing._estimate import (
    LatencyTable,
    TooLate,
    check_deadline,
)
from caroblug.core.routing._flow import (
    EngineGroup,
    FlowPlan,
    Link,
    Place,
    full_mesh,
    make_plan,
)
from caroblug.core.routing._flow_chooser import FlowChooser
from caroblug.core.routing._make import CHOOSERS, make_chooser
from caroblug.core.routing._prefix import (
    CacheEvent,
    PrefixIndex,
    prefix_hashes,
)
from caroblug.core.routing._report_rate import report_interval_ms
from caroblug.core.routing._search import covers_layers
from caroblug.core.routing._subset import (
    Kind,
    choose_subset,
    choose_unknown,
    rendezvous_rank,
)
from caroblug.core.routing._types import Chain, EngineView, Stage

__all__ = [
    "covers_layers",
    "report_interval_ms",
    "CHOOSERS",
    "CacheEvent",
    "Chain",
    "ChainChooser",
    "EngineGroup",
    "EngineView",
    "FlowChooser",
    "FlowPlan",
    "Kind",
    "LatencyTable",
    "LeastLoadedChooser",
    "Link",
    "Place",
    "PrefixIndex",
    "RandomChooser",
    "RoundRobinChooser",
    "ShortestWaitChooser",
    "Stage",
    "TooLate",
    "check_deadline",
    "choose_subset",
    "choose_unknown",
    "full_mesh",
    "make_chooser",
    "make_plan",
    "prefix_hashes",
    "rendezvous_rank",
]
