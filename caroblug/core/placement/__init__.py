"""Placement of model layers on engines, and paths of requests over engines."""

from caroblug.core.placement._engine_rooms import EngineRooms, RoomReport
from caroblug.core.placement._load import EngineLoads
from caroblug.core.placement._paths import (
    NoPath,
    NoRoom,
    Path,
    PathPart,
    RoomNeed,
    choose_path,
)
from caroblug.core.placement._planner import (
    Move,
    compute_requests_per_chain,
    covers_model,
    plan_moves,
)
from caroblug.core.placement._report_readers import ReportReaders
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
    "EngineRooms",
    "LayerRange",
    "ModelShape",
    "Move",
    "NoPath",
    "NoRoom",
    "Path",
    "PathPart",
    "ReportReaders",
    "RoomNeed",
    "RoomReport",
    "compute_requests_per_chain",
    "choose_path",
    "covers_model",
    "plan_moves",
]
