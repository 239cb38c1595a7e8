"""What engines say about their load, in reports and responses."""

from caroblug.core.placement import RoomReport
from caroblug.gateway._context import Context
from caroblug.gateway._interfaces import AnswerMetadata, EngineReport


def record_report(
    context: Context, name: str, report: EngineReport, read_ms: int
) -> None:
    """Records the start, the memory and the queue that an engine reports.

    Args:
        context: State shared by the gateway's components.
        name: Name of the engine.
        report: Its report.
        read_ms: When the read of the report began.
    """
    room = RoomReport(
        report.memory_use,
        report.running,
        report.waiting,
        read_ms - report.age_ms,
    )
    now_ms = context.clock.now_ms()
    context.fleet.on_started(name, report.started_ms)
    if not context.fleet.rooms.on_report(name, room, now_ms):
        context.telemetry.count("invalid_loads", source="report")


def record_load(context: Context, name: str, metadata: AnswerMetadata) -> None:
    """Records the load that an engine states in a response.

    Args:
        context: State shared by the gateway's components.
        name: Name of the engine that sent the response, which is the first one
            of a path.
        metadata: The response's decoded head.
    """
    if metadata.running is None:
        return
    if not context.fleet.rooms.on_load(
        name,
        metadata.running,
        metadata.waiting,
        metadata.slots,
        context.clock.now_ms(),
    ):
        context.telemetry.count("invalid_loads", source="response")
