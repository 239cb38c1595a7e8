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

What the checks cost in connections and reports:

- The idle connection is the one that reports share (`KeptConnections`). A new
  one is opened only after the old one has ended.
- A stalled engine is probed by one connection. If it hasn't accepted that
  within `_HEDGE_S`, a second one is opened, and at most `_CONTROL_PROBES` other
  engines are checked. Each of these costs one report on its kept connection,
  or one connection if none is kept, and a second connection if it is late too.
- Reports aren't read from stalled engines.
- An engine that accepted a connection or answered a report since its streams
  stalled counts as if an event had arrived then, and isn't probed.
- A stalled engine is probed at most every `_MIN_PROBE_INTERVAL_MS`. While no
  event arrives, the interval doubles with each probe that it accepts, up to
  `_MAX_PROBE_INTERVAL_MS`.
"""

from collections.abc import Callable

import gevent

from caroblug.core.placement import Engine
from caroblug.gateway._context import Context
from caroblug.gateway._engine_reports import read_report
from caroblug.gateway._exchange_results import FailureKind
from caroblug.gateway._http_client import Address, Exchange
from caroblug.gateway._interfaces import Unavailable
from caroblug.gateway._running_streams import EngineUse, RunningStreams
from caroblug.gateway._throttle import ProbeSpacing

_CONNECT_TIMEOUT_S = 0.25
_IN_USE_CHECK_S = 1.0
"""Interval at which a watch checks that its engine is still in use, in s."""

_WATCH_RETENTION_MS = 5000
"""Time for which an engine stays watched after its last stream, in ms. Paths
return to it within that time, and each new connection has a cost."""

_SHORT_WATCH_MS = 100
_MAX_SHORT_WATCHES = 3
"""Connections in a row that ended within `_SHORT_WATCH_MS`, after which a watch
waits before it opens the next one. An engine may accept connections and close
them at once."""

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

_HEDGE_S = 0.01
"""Time in s after which a probe that isn't finished opens a second connection.
A single one would fail with each lost packet."""

_CONTROL_PROBES = 2
"""Engines with running streams that are probed beside the stalled ones, as a
control group."""

_MIN_PROBE_INTERVAL_MS = 400
_MAX_PROBE_INTERVAL_MS = 2000
"""Longest time between two probes of an engine that stays stalled, in ms. Under
overload, the streams of many live engines stall for seconds."""


_Watched = tuple[str, Address]


def _watched(engine: Engine) -> _Watched:
    """Returns what is watched: an engine may restart at another address."""
    return engine.name, engine.address


def _connect(engine: Engine) -> FailureKind | None:
    """Opens and closes a connection; returns the failure, if any."""
    exchange = Exchange(engine.address)
    try:
        problem = exchange.connect(_PROBE_TIMEOUT_S)
    finally:
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
        self._used_ms: dict[_Watched, int] = {}
        self._probe_spacing = ProbeSpacing(
            _MIN_PROBE_INTERVAL_MS, _MAX_PROBE_INTERVAL_MS
        )

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
            if _watched(use.engine) in self._used_ms or self._should_watch(use):
                self._refresh_watch(use.engine, now_ms)
            if now_ms - self._alive_ms(use) < _stall_threshold_ms(use):
                healthy.append(use.engine)
            elif self._probe_spacing.allows(name, use.arrived_ms, now_ms):
                stalled.append(use.engine)
        if stalled:
            gevent.spawn(self._probe_stalled, stalled, healthy)

    def _alive_ms(self, use: EngineUse) -> int:
        """Returns when an engine last showed that it lives."""
        kept_ms = self._context.connections.alive_ms(use.engine.address)
        return use.event_ms if kept_ms is None else max(use.event_ms, kept_ms)

    def _should_watch(self, use: EngineUse) -> bool:
        """Returns whether to watch an engine by an idle connection.

        Engines of remote data centres serve a few streams for a short time,
        while each watch costs a connection.
        """
        local = self._context.settings.data_centre
        return use.engine.data_centre == local or use.streams >= _MANY_STREAMS

    def _refresh_watch(self, engine: Engine, now_ms: int) -> None:
        if _watched(engine) not in self._used_ms:
            gevent.spawn(self._watch, engine)
        self._used_ms[_watched(engine)] = now_ms

    def _watch(self, engine: Engine) -> None:
        """Holds an idle connection to an engine while it is in use."""
        connections = self._context.connections
        connections.hold(engine.address)
        short_watches = 0
        try:
            while self._in_use(engine):
                failure = connections.open(engine.address, _CONNECT_TIMEOUT_S)
                if failure is None:
                    is_short = self._watch_connection(engine)
                    short_watches = short_watches + 1 if is_short else 0
                    if short_watches >= _MAX_SHORT_WATCHES:
                        gevent.sleep(_CONNECT_TIMEOUT_S)
                    continue
                if failure is FailureKind.REFUSED:
                    self._running.on_engine_lost(engine, ended=True)
                self._wait_for_recovery(engine)
        finally:
            connections.release(engine.address)
            del self._used_ms[_watched(engine)]

    def _watch_connection(self, engine: Engine) -> bool:
        """Waits until the connection ends or the engine isn't in use.

        Returns:
            Whether the connection ended soon.
        """
        clock = self._context.clock
        began_ms = clock.now_ms()
        while self._in_use(engine):
            if self._context.connections.wait_absent(
                engine.address, _IN_USE_CHECK_S
            ):
                return clock.now_ms() - began_ms < _SHORT_WATCH_MS
        return False

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
        return now_ms - self._used_ms[_watched(engine)] < _WATCH_RETENTION_MS

    def _probe_stalled(
        self, stalled: list[Engine], healthy: list[Engine]
    ) -> None:
        """Probes stalled engines and reports those that accept no connection.

        While the gateway's own link is saturated or broken, every probe
        fails, and all streams would be moved without need. So the failures
        count only if at least half of the probed engines respond, controls
        included.

        Args:
            stalled: Engines whose streams have all stalled.
            healthy: Other engines with running streams.
        """
        self._context.telemetry.count("engine_probes")
        probes = {
            engine.name: gevent.spawn(
                self._probe_engine, engine, self._connect, _PROBE_TIMEOUT_S
            )
            for engine in stalled
        }
        gevent.joinall(list(probes.values()), timeout=_HEDGE_S)
        if not all(_is_alive(job) for job in probes.values()):
            probes.update(self._start_controls(healthy))
            gevent.joinall(list(probes.values()))
        failures = {
            name: job.value
            for name, job in probes.items()
            if job.value is not None
        }
        believed = len(failures) * 2 <= len(probes)
        if not believed:
            self._context.telemetry.count("engine_probes_not_believed")
        for engine in stalled:
            failure = failures.get(engine.name)
            if failure is None:
                self._probe_spacing.on_alive(engine.name)
            elif believed:
                ended = failure is FailureKind.REFUSED
                self._running.on_engine_lost(engine, ended)

    def _start_controls(
        self, healthy: list[Engine]
    ) -> dict[str, gevent.Greenlet]:
        """Starts checks of engines that are compared with late ones.

        They end at the same time as the probes that began `_HEDGE_S` earlier.
        """
        controls = self._context.rng.sample(
            healthy, min(len(healthy), _CONTROL_PROBES)
        )
        connections = self._context.connections
        return {
            engine.name: gevent.spawn(
                self._probe_engine,
                engine,
                self._read_report
                if connections.is_idle(engine.address)
                else self._connect,
                _PROBE_TIMEOUT_S - _HEDGE_S,
            )
            for engine in controls
        }

    def _read_report(self, engine: Engine) -> FailureKind | None:
        """Reads a report on the kept connection; returns the failure."""
        report = read_report(self._context, engine.name, engine.address)
        is_failure = isinstance(report, Unavailable)
        return FailureKind.SILENT if is_failure else None

    def _probe_engine(
        self,
        engine: Engine,
        first_check: Callable[[Engine], FailureKind | None],
        timeout_s: float,
    ) -> FailureKind | None:
        """Checks whether an engine responds.

        Args:
            engine: The engine.
            first_check: Returns the failure, if any.
            timeout_s: Time after which the engine counts as failed, in s. If
                the first check fails or takes more than `_HEDGE_S` of it, a
                connection is opened as well.

        Returns:
            A failure if neither succeeds in time.
        """
        jobs = [gevent.spawn(first_check, engine)]
        jobs[0].join(_HEDGE_S)
        if _is_alive(jobs[0]):
            return None
        jobs.append(gevent.spawn(self._connect, engine))
        for job in gevent.iwait(jobs, timeout=timeout_s - _HEDGE_S):
            if _is_alive(job):
                return None
        failures = [job.value for job in jobs if job.ready()]
        refused = FailureKind.REFUSED in failures
        return FailureKind.REFUSED if refused else FailureKind.CONNECT


def _is_alive(job: gevent.Greenlet) -> bool:
    """Returns whether a check has ended without a failure."""
    return job.ready() and job.value is None


def _stall_threshold_ms(use: EngineUse) -> float:
    """Returns the stall after which an engine is probed, in ms."""
    min_ms = _STALL_MANY_MS if use.streams >= _MANY_STREAMS else _STALL_FEW_MS
    return max(min_ms, use.gap_ms * _STALL_GAPS)
