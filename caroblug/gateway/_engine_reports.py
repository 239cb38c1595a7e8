"""What engines say about their load, in reports and responses."""

import gevent

from caroblug.core.placement import Path, RoomReport
from caroblug.gateway._context import Context
from caroblug.gateway._http_client import Address
from caroblug.gateway._interfaces import (
    AnswerMetadata,
    EngineReport,
    Replaced,
    Unavailable,
)


def read_report(
    context: Context, name: str, address: Address
) -> EngineReport | Unavailable:
    """Reads the report of an engine and records what it says.

    The layers are left to the caller, which knows when they were true.

    Args:
        context: State shared by the gateway's components.
        name: Name of the engine.
        address: Address of the engine.
    """
    read_ms = context.clock.now_ms()
    report = context.dialect.read_report(address, name)
    if isinstance(report, EngineReport) and _is_of_another_kind(
        context, name, report
    ):
        report = Replaced(f"{name} isn't a {report.kind}")
    if isinstance(report, Replaced):
        record_replacement(context, name)
    elif not isinstance(report, Unavailable):
        record_report(context, name, report, read_ms)
    return report


def find_unproved(context: Context, path: Path) -> frozenset[str]:
    """Returns engines of a path that don't prove to be the listed ones.

    Only the first engine of a path is told which one is meant. A restored
    listing may be older than the engines at its addresses, so that each of the
    other engines is asked once before it is used.
    """
    fleet = context.fleet
    if fleet.has_confirmed_listing:
        return frozenset()
    reads = {
        part.engine.name: gevent.spawn(
            read_report, context, part.engine.name, part.engine.address
        )
        for part in path.parts[1:]
        if not fleet.is_proved(part.engine.name)
    }
    gevent.joinall(list(reads.values()))
    return frozenset(
        name
        for name, read in reads.items()
        if isinstance(read.get(), Unavailable)
    )


def record_replacement(context: Context, name: str) -> None:
    """Records that another server answers at the address of a server."""
    context.telemetry.count("servers_replaced")
    if context.fleet.on_replaced(name, context.clock.now_ms()):
        context.log.write("backend_server.replaced", backend_server=name)


def _is_of_another_kind(
    context: Context, name: str, report: EngineReport
) -> bool:
    """Returns whether a report names another accelerator than the listing."""
    backend = context.fleet.listing.backends.get(name)
    return (
        backend is not None
        and bool(backend.kind and report.kind)
        and report.kind != backend.kind
    )


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
    context.fleet.on_proved(name)
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
    if metadata.running is None or metadata.misdirected:
        return
    if not context.fleet.rooms.on_load(
        name,
        metadata.running,
        metadata.waiting,
        metadata.slots,
        context.clock.now_ms(),
    ):
        context.telemetry.count("invalid_loads", source="response")
