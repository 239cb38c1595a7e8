"""Placement of model layers on engines, and paths of requests over engines."""

from caroblug.core.placement._load import EngineLoads
from caroblug.core.placement._move import Move
from caroblug.core.placement._move_order import select_moves
from caroblug.core.placement._paths import NoPath, Path, PathPart, choose_path
from caroblug.core.placement._planner import (
    compute_requests_per_chain,
    covers_model,
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
    "compute_requests_per_chain",
    "choose_path",
    "covers_model",
    "plan_moves",
    "select_moves",
]
