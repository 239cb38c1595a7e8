"""Finding out that an engine has become slow.

A slow engine answers and fails nothing: its streams only take several times as
long, and keep memory as long on every other engine of their path. An engine
says how slow it is when it is asked, but each question is paid for. So it is
asked only while all streams over it have events far apart.
"""

import gevent

from caroblug.gateway._context import Context
from caroblug.gateway._interfaces import Unavailable
from caroblug.gateway._running_streams import EngineUse, RunningStreams
from caroblug.gateway._throttle import Throttle

_LOOK_S = 0.25
_SUSPICIOUS = 1.5
"""Times the usual gap between events from which engines are asked. It
leaves room for a data centre that takes on another one's streams."""

_LEARN = 0.03
"""Weight of a look in the usual gap; it follows within ten seconds."""

_LEARN_SUSPICIOUS = 0.002
"""The same while gaps are suspicious: a gap that stays becomes usual within
minutes, so that engines aren't asked for ever."""

_ASK_AGAIN_MS = 2000
"""Shortest time between two such questions to one engine."""

SLOW_PACE = 1.4
"""Reported slowness from which paths are priced by it; less is no more than
the difference between two kinds of engines."""


class SlownessDetector:
    """Looks for slow engines on the paths of running streams.

    Args:
        context: What the gateway's parts share.
        running: Streams that run.
    """

    def __init__(self, context: Context, running: RunningStreams) -> None:
        self._context = context
        self._running = running
        self._usual_ms = 0.0
        self._asked = Throttle(_ASK_AGAIN_MS)

    def run(self) -> None:
        """Looks after running streams until the process ends."""
        while True:
            gevent.sleep(_LOOK_S)
            self.look()

    def look(self) -> None:
        """Looks once, and asks engines that seem slow."""
        now_ms = self._context.clock.now_ms()
        for name in self._context.fleet.slow_engines_due(now_ms):
            backend = self._context.fleet.listing.backends.get(name)
            if backend is not None:
                gevent.spawn(self._ask, name, backend.address)
        uses = [use for use in self._running.uses() if use.gap_ms]
        if not uses:
            return
        least_ms = min(use.gap_ms for use in uses)
        self._learn(least_ms)
        for use in uses:
            if self._is_suspicious(use) and self._asked.allows(
                use.engine.name, now_ms
            ):
                gevent.spawn(self._ask, use.engine.name, use.engine.address)

    def _learn(self, gap_ms: float) -> None:
        """Takes the shortest gap of any stream into the usual one."""
        if not self._usual_ms:
            self._usual_ms = gap_ms
        suspicious = gap_ms > self._usual_ms * _SUSPICIOUS
        weight = _LEARN_SUSPICIOUS if suspicious else _LEARN
        self._usual_ms += (gap_ms - self._usual_ms) * weight

    def _is_suspicious(self, use: EngineUse) -> bool:
        return use.gap_ms > self._usual_ms * _SUSPICIOUS

    def _ask(self, name: str, address: tuple[str, int]) -> None:
        context = self._context
        report = context.dialect.read_report(address)
        context.telemetry.count("pace_questions")
        if isinstance(report, Unavailable):
            # That it doesn't answer is for others to find out; how slow it
            # is stays as it was believed to be.
            return
        now_ms = context.clock.now_ms()
        slow = report.pace >= SLOW_PACE
        if context.fleet.on_slowdown(
            name, report.pace if slow else 1.0, now_ms
        ):
            context.log.write(
                "backend_server.pace",
                backend_server=name,
                pace=report.pace,
                usual_gap_ms=round(self._usual_ms, 1),
            )
