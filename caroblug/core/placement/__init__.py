"""Which engine holds which layers, and the path of a request over them."""

from caroblug.core.placement._load import EngineLoads
from caroblug.core.placement._paths import NoPath, Path, PathPart, choose_path
from caroblug.core.placement._planner import (
    Move,
    chain_room,
    covers,
    plan_moves,
)
from caroblug.core.placement._types import (
    Engine,
    EngineKind,
    LayerRange,
    ModelShape,
)

__all__ = [
    "Engine",
    "EngineKind",
    "EngineLoads",
    "LayerRange",
    "ModelShape",
    "Move",
    "NoPath",
    "Path",
    "PathPart",
    "chain_room",
    "choose_path",
    "covers",
    "plan_moves",
]
