"""Placement of model layers on engines, and paths of requests over engines.

Modules are imported on first use: only the gateway that places layers needs the
planner.
"""

from caroblug.lazy import make_lazy_exports

_MODULES = {
    "Engine": "_types",
    "EngineKind": "_types",
    "EngineLoads": "_load",
    "EngineRooms": "_engine_rooms",
    "LayerRange": "_types",
    "ModelShape": "_types",
    "Move": "_move",
    "NoPath": "_paths",
    "NoRoom": "_paths",
    "Path": "_paths",
    "PathPart": "_paths",
    "ReportReaders": "_report_readers",
    "RoomNeed": "_paths",
    "RoomReport": "_engine_rooms",
    "StartupWait": "_startup_wait",
    "choose_path": "_paths",
    "compute_requests_per_chain": "_chain_size",
    "covers_model": "_planner",
    "plan_moves": "_planner",
    "select_moves": "_move_order",
}

__getattr__, __dir__, __all__ = make_lazy_exports(__name__, _MODULES)
