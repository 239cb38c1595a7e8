"""Detection of engines that have become slow.

A slow engine still responds and fails no request. Its streams only take several
times as long, and for all that time they occupy memory on every other engine of
their path. An engine's report states its slowdown, but each probe has a cost.
So an engine is probed only while all streams over it have long gaps between
their events.
"""

import gevent

from caroblug.gateway._context import Context
from caroblug.gateway._engine_reports import read_report
from caroblug.gateway._interfaces import Unavailable
from caroblug.gateway._running_streams import EngineUse, RunningStreams
from caroblug.gateway._throttle import Throttle

_CHECK_INTERVAL_S = 0.25
_SUSPICIOUS_GAP_RATIO = 1.5
"""Ratio of a gap between events to the baseline gap from which an engine is
probed. It leaves a margin for the longer gaps in a data centre that takes over
the streams of another one."""

_BASELINE_WEIGHT = 0.03
"""Weight of one check in the moving average of the baseline gap. The baseline
follows a change within ten seconds."""

_SUSPICIOUS_WEIGHT = 0.002
"""Weight of one check while the shortest gap is suspicious. A gap that persists
becomes the baseline within minutes, so that probing ends."""

_MIN_PROBE_INTERVAL_MS = 2000
"""Minimum time between two probes of the same engine, in ms."""

_MIN_SLOWDOWN = 1.4
"""Reported slowdown from which path costs include it. Less is within the
difference between two kinds of engines."""


class SlownessDetector:
    """Detects slow engines on the paths of running streams.

    Args:
        context: State that the gateway's components share.
        running: Running streams of this gateway.
    """

    def __init__(self, context: Context, running: RunningStreams) -> None:
        self._context = context
        self._running = running
        self._baselines_ms: dict[str, float] = {}
        self._probe_spacing = Throttle(_MIN_PROBE_INTERVAL_MS)

    def run(self) -> None:
        """Checks the engines in use until the process ends."""
        while True:
            gevent.sleep(_CHECK_INTERVAL_S)
            self.check_once()

    def check_once(self) -> None:
        """Checks the running streams once; probes engines that may be slow."""
        now_ms = self._context.clock.now_ms()
        for name in self._context.fleet.slow_engines_due(now_ms):
            backend = self._context.fleet.listing.backends.get(name)
            if backend is not None:
                gevent.spawn(self._probe, name, backend.address)
        uses: dict[str, list[EngineUse]] = {}
        for use in self._running.uses():
            backend = self._context.fleet.listing.backends.get(use.engine.name)
            if use.gap_ms and backend is not None:
                uses.setdefault(backend.service, []).append(use)
        for service, service_uses in uses.items():
            self._check_service(service, service_uses, now_ms)

    def _check_service(
        self, service: str, uses: list[EngineUse], now_ms: int
    ) -> None:
        """Probes the engines of one service, and so of one model.

        The gaps between events differ from model to model.
        """
        baseline_ms = self._update_baseline(
            service, min(use.gap_ms for use in uses)
        )
        for use in uses:
            name = use.engine.name
            if (
                use.gap_ms > baseline_ms * _SUSPICIOUS_GAP_RATIO
                and self._probe_spacing.allows(name, now_ms)
            ):
                gevent.spawn(self._probe, name, use.engine.address)

    def _update_baseline(self, service: str, gap_ms: float) -> float:
        """Returns the baseline, updated with the shortest gap of any stream."""
        baseline_ms = self._baselines_ms.get(service, gap_ms)
        suspicious = gap_ms > baseline_ms * _SUSPICIOUS_GAP_RATIO
        weight = _SUSPICIOUS_WEIGHT if suspicious else _BASELINE_WEIGHT
        baseline_ms += (gap_ms - baseline_ms) * weight
        self._baselines_ms[service] = baseline_ms
        return baseline_ms

    def _probe(self, name: str, address: tuple[str, int]) -> None:
        context = self._context
        report = read_report(context, name, address)
        context.telemetry.count("pace_questions")
        if isinstance(report, Unavailable):
            # Other checks handle an engine that doesn't respond. Its last
            # known slowdown stays in force.
            return
        now_ms = context.clock.now_ms()
        slow = report.pace >= _MIN_SLOWDOWN
        if context.fleet.on_slowdown(
            name, report.pace if slow else 1.0, now_ms
        ):
            context.log.write(
                "backend_server.pace",
                backend_server=name,
                pace=report.pace,
                usual_gap_ms=round(self._usual_gap_ms(name), 1),
            )

    def _usual_gap_ms(self, name: str) -> float:
        """Returns the baseline of an engine's service; 0 if unknown."""
        backend = self._context.fleet.listing.backends.get(name)
        service = backend.service if backend is not None else ""
        return self._baselines_ms.get(service, 0.0)
