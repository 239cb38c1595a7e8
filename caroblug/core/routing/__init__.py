"""Choosing a chain of stages over engines that hold ranges of layers."""

from caroblug.core.routing._baselines import (
    LeastLoadedChooser,
    RandomChooser,
    RoundRobinChooser,
)
from caroblug.core.routing._chooser import ChainChooser, ShortestWaitChooser
from caroblug.core.routing._chooser_factory import CHOOSERS, make_chooser
from caroblug.core.routing._estimate import (
    DeadlineMiss,
    LatencyTable,
    check_deadline,
)
from caroblug.core.routing._flow import (
    EngineGroup,
    FlowNode,
    FlowPlan,
    Link,
    full_mesh,
    make_plan,
)
from caroblug.core.routing._flow_chooser import FlowChooser
from caroblug.core.routing._prefix import (
    CacheEvent,
    PrefixIndex,
    prefix_hashes,
)
from caroblug.core.routing._report_interval import report_interval_ms
from caroblug.core.routing._search import covers_layers
from caroblug.core.routing._subset import (
    Kind,
    choose_instances_to_probe,
    choose_subset,
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
    "FlowNode",
    "PrefixIndex",
    "RandomChooser",
    "RoundRobinChooser",
    "ShortestWaitChooser",
    "Stage",
    "DeadlineMiss",
    "check_deadline",
    "choose_subset",
    "choose_instances_to_probe",
    "full_mesh",
    "make_chooser",
    "make_plan",
    "prefix_hashes",
    "rendezvous_rank",
]
