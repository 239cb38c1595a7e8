"""Regular reads of the reports of engines that may run out of memory.

Reports are also read for other reasons, and gateways tell each other what they
have read. Where an engine's memory is more than half in use, that isn't enough:
one gateway of its data centre reads its report in every interval. The others
receive it with the peer exchange. Gateways of other data centres take over
where that one is silent.
"""

import attrs
import gevent

from caroblug.core.placement import Engine, ReportReaders
from caroblug.gateway._context import Context
from caroblug.gateway._engine_reports import read_report
from caroblug.gateway._interfaces import Unavailable
from caroblug.gateway._peers import Peers

_READ_INTERVAL_MS = 500
_MIN_LOAD = 0.5
"""Share of an engine's memory in use from which its report is read."""

_TAKEOVER_MS = 1500
"""Time without any report of an engine after which the next gateway reads it as
well, times its rank. It exceeds the time in which a report reaches all gateways
of a large data centre."""

_START_MS = 1500
"""Time from the start within which nothing is read. Until peers of all data
centres have sent their counts, a few requests of this gateway seem to fill an
engine. Peers that run already pass on what they read."""

_MAX_RANK = 3
"""Highest rank of a gateway that takes over. Without a limit, an engine that
answers nobody would be read by all gateways."""


@attrs.define
class _Watch:
    """An engine that is being watched.

    Attributes:
        since_ms: When its load began to exceed the limit.
        reading: Whether its report is being read.
    """

    since_ms: int
    reading: bool = False


class RoomReaders:
    """Reads the reports of engines for which this gateway is the reader.

    Args:
        context: State shared by the gateway's components.
        peers: Exchange with other gateways.
    """

    def __init__(self, context: Context, peers: Peers) -> None:
        self._context = context
        self._peers = peers
        self._readers = ReportReaders(context.settings.instance)
        self._watches: dict[str, _Watch] = {}
        self._started_ms = context.clock.now_ms()

    def run(self) -> None:
        """Reads reports until the process ends."""
        while True:
            due = self.due()
            for number, engine in enumerate(due):
                # The reads are spread over the interval.
                delay_ms = _READ_INTERVAL_MS * number / len(due)
                gevent.spawn_later(delay_ms / 1000, self.read, engine)
            gevent.sleep(_READ_INTERVAL_MS / 1000)

    def due(self) -> list[Engine]:
        """Returns the engines whose reports this gateway is to read now."""
        context = self._context
        known = context.configuration
        if known is None:
            return []
        now_ms = context.clock.now_ms()
        if now_ms - self._started_ms < _START_MS:
            return []
        loaded = [
            engine
            for service in known.services.values()
            if service.model is not None
            for engine in context.fleet.engines(service, now_ms)
            if len(engine.holds)
            and not engine.loading
            and not context.fleet.is_failing(engine.name)
            and context.fleet.rooms.load(engine, service.model, now_ms)
            > _MIN_LOAD
        ]
        self._watches = {
            engine.name: self._watches.get(engine.name, _Watch(now_ms))
            for engine in loaded
        }
        if not loaded:
            return []
        gateways = self._peers.local_gateways()
        live = self._peers.live_local_gateways()
        return [
            engine
            for engine in loaded
            if self._is_reader(
                engine.name,
                self._readers.rank(engine.name, gateways, live)
                + (engine.data_centre != context.settings.data_centre),
                now_ms,
            )
        ]

    def read(self, engine: Engine) -> None:
        """Reads the report of an engine unless a read is in progress."""
        watch = self._watches.get(engine.name)
        if watch is None or watch.reading:
            return
        context = self._context
        watch.reading = True
        try:
            report = read_report(context, engine.name, engine.address)
        finally:
            watch.reading = False
        if isinstance(report, Unavailable):
            # Other checks handle an engine that doesn't respond.
            context.telemetry.count("room_reads", outcome="failed")
            return
        context.telemetry.count("room_reads", outcome="read")

    def _is_reader(self, name: str, rank: int, now_ms: int) -> bool:
        if rank == 0:
            return True
        if rank > _MAX_RANK:
            return False
        age_ms = self._context.fleet.rooms.report_age_ms(name, now_ms)
        watched_ms = now_ms - self._watches[name].since_ms
        silent_ms = watched_ms if age_ms is None else min(age_ms, watched_ms)
        return silent_ms > rank * _TAKEOVER_MS
