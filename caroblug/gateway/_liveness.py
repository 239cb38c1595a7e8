"""Failure detection for the engines on the paths of running streams.

A gateway exchanges data only with the first engine of a path. When a later one
dies, no connection of the gateway is reset: events stop, and the first
engine's report names the dead one only some hundred ms later. Two checks are
faster:

- An idle connection to each engine in use. It closes when the process ends,
  and a new connection is refused. An engine that merely closed an idle
  connection accepts the next one.
- The time of the newest event of all streams over an engine. An engine that
  has lost power or is partitioned off closes no connection, but all its
  streams stall together.
"""

from collections.abc import Callable

import gevent

from caroblug.core.placement import Engine
from caroblug.gateway._context import Context
from caroblug.gateway._exchange_results import FailureKind
from caroblug.gateway._http_client import Exchange
from caroblug.gateway._running_streams import EngineUse, RunningStreams
from caroblug.gateway._throttle import Throttle

_CONNECT_TIMEOUT_S = 0.25
_IN_USE_CHECK_S = 1.0
"""Interval at which a watch checks that its engine is still in use, in s."""

_WATCH_RETENTION_MS = 5000
"""Time for which an engine stays watched after its last stream, in ms. Paths
return to it within that time, and each new connection has a cost."""

_CHECK_INTERVAL_S = 0.02
_MANY_STREAMS = 4
"""Streams over an engine from which a short stall of all of them is enough to
probe it. A single stream often pauses while the engine prefills the prompt of
another gateway's stream."""

_STALL_MANY_MS = 60
"""Stall of all streams over an engine, in ms, after which it is probed if there
are at least `_MANY_STREAMS`."""

_STALL_FEW_MS = 120
"""Stall of all streams over an engine, in ms, after which it is probed if there
are fewer than `_MANY_STREAMS`. A pause of 200 ms makes a stream late."""

_STALL_GAPS = 2.0
"""Shortest stall that leads to a probe, as a multiple of the shortest mean gap
between events. Streams over a slow engine would otherwise look stalled between
any two events."""

_PROBE_TIMEOUT_S = 0.04
"""Timeout of a probe, in s. The longest round trip inside a region takes about
2 ms, and an engine accepts a connection within 1 ms."""

_PROBE_CONNECTIONS = 2
"""Connections that a probe opens in parallel. A single one would fail with
each lost packet."""

_CONTROL_PROBES = 2
"""Engines with running streams that are probed beside the stalled ones, as a
control group."""

_MIN_PROBE_INTERVAL_MS = 400
"""Minimum time between two probes of the same engine, in ms."""


def _connect(engine: Engine) -> FailureKind | None:
    """Opens and closes a connection; returns the failure, if any."""
    exchange = Exchange(engine.address)
    problem = exchange.connect(_PROBE_TIMEOUT_S)
    exchange.close()
    return problem.failure if problem is not None else None


class LivenessMonitor:
    """Detects engines that die on the paths of running streams.

    Args:
        context: State that the gateway's components share.
        running: Running streams of this gateway.
        connect: Opens and closes a connection to an engine and returns the
            failure, if any.
    """

    def __init__(
        self,
        context: Context,
        running: RunningStreams,
        connect: Callable[[Engine], FailureKind | None] = _connect,
    ) -> None:
        self._context = context
        self._running = running
        self._connect = connect
        self._used_ms: dict[str, int] = {}
        self._probe_spacing = Throttle(_MIN_PROBE_INTERVAL_MS)

    def run(self) -> None:
        """Checks the engines in use until the process ends."""
        while True:
            gevent.sleep(_CHECK_INTERVAL_S)
            self.check_once()

    def check_once(self) -> None:
        """Checks every engine in use once and probes those that stall."""
        now_ms = self._context.clock.now_ms()
        stalled = []
        healthy = []
        for use in self._running.uses():
            name = use.engine.name
            if name in self._used_ms or self._should_watch(use):
                self._refresh_watch(use.engine, now_ms)
            if now_ms - use.event_ms < _stall_threshold_ms(use):
                healthy.append(use.engine)
            elif self._probe_spacing.allows(name, now_ms):
                stalled.append(use.engine)
        if stalled:
            controls = self._context.rng.sample(
                healthy, min(len(healthy), _CONTROL_PROBES)
            )
            gevent.spawn(self._probe_stalled, stalled, controls)

    def _should_watch(self, use: EngineUse) -> bool:
        """Returns whether to watch an engine by an idle connection.

        Engines of remote data centres serve a few streams for a short time,
        while each watch costs a connection.
        """
        local = self._context.settings.data_centre
        return use.engine.data_centre == local or use.streams >= _MANY_STREAMS

    def _refresh_watch(self, engine: Engine, now_ms: int) -> None:
        if engine.name not in self._used_ms:
            gevent.spawn(self._watch, engine)
        self._used_ms[engine.name] = now_ms

    def _watch(self, engine: Engine) -> None:
        """Holds an idle connection to an engine while it is in use."""
        while self._in_use(engine):
            exchange = Exchange(engine.address)
            problem = exchange.connect(_CONNECT_TIMEOUT_S)
            if problem is None:
                while self._in_use(engine) and exchange.is_open(
                    _IN_USE_CHECK_S
                ):
                    pass
                exchange.close()
                continue
            if problem.failure is FailureKind.REFUSED:
                self._running.on_engine_lost(engine, ended=True)
            self._wait_for_recovery(engine)
        del self._used_ms[engine.name]

    def _wait_for_recovery(self, engine: Engine) -> None:
        """Waits while an engine is failing.

        `SuspectProbes` probes it meanwhile.
        """
        fleet = self._context.fleet
        gevent.sleep(_CONNECT_TIMEOUT_S)
        while self._in_use(engine) and fleet.is_failing(engine.name):
            gevent.sleep(_CONNECT_TIMEOUT_S)

    def _in_use(self, engine: Engine) -> bool:
        now_ms = self._context.clock.now_ms()
        return now_ms - self._used_ms[engine.name] < _WATCH_RETENTION_MS

    def _probe_stalled(
        self, stalled: list[Engine], controls: list[Engine]
    ) -> None:
        """Probes stalled engines and reports those that accept no connection.

        While the gateway's own link is saturated or broken, every probe
        fails, and all streams would be moved without need. So the failures
        count only if at least half of the probed engines respond, controls
        included.

        Args:
            stalled: Engines whose streams have all stalled.
            controls: Engines with running streams, probed for comparison.
        """
        probed = stalled + controls
        jobs = [gevent.spawn(self._probe_engine, engine) for engine in probed]
        gevent.joinall(jobs)
        self._context.telemetry.count("engine_probes")
        failures = {
            engine.name: job.value
            for engine, job in zip(probed, jobs, strict=True)
            if job.value is not None
        }
        if len(failures) * 2 > len(probed):
            self._context.telemetry.count("engine_probes_not_believed")
            return
        for engine in stalled:
            failure = failures.get(engine.name)
            if failure is not None:
                ended = failure is FailureKind.REFUSED
                self._running.on_engine_lost(engine, ended)

    def _probe_engine(self, engine: Engine) -> FailureKind | None:
        """Opens connections in parallel; returns a failure if all fail."""
        jobs = [
            gevent.spawn(self._connect, engine)
            for _ in range(_PROBE_CONNECTIONS)
        ]
        gevent.joinall(jobs)
        failures = [job.value for job in jobs]
        if None in failures:
            return None
        refused = FailureKind.REFUSED in failures
        return FailureKind.REFUSED if refused else failures[0]


def _stall_threshold_ms(use: EngineUse) -> float:
    """Returns the stall after which an engine is probed, in ms."""
    min_ms = _STALL_MANY_MS if use.streams >= _MANY_STREAMS else _STALL_FEW_MS
    return max(min_ms, use.gap_ms * _STALL_GAPS)
