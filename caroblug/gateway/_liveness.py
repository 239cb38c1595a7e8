"""Finding out at once that an engine on the path of a stream has died.

The first engine of a path is the only one that a gateway talks to. When a
later one dies, nothing is reset here: events just stop, and the first engine's
report names the dead one some hundred ms later. Two looks are quicker:

- An idle connection to each engine in use. The end of a process closes it, and
  a new one is refused; an engine that merely closed an idle connection takes
  the next one.
- The newest event of all streams over an engine. An engine without power, or
  behind a cut, closes nothing, but all its streams stop together.
"""

from collections.abc import Callable

import gevent

from caroblug.core.placement import Engine
from caroblug.gateway._context import Context
from caroblug.gateway._exchange_results import FailureKind
from caroblug.gateway._http_client import Exchange
from caroblug.gateway._running_streams import EngineUse, RunningStreams
from caroblug.gateway._throttle import Throttle

_CONNECT_S = 0.25
_LOOK_S = 1.0
"""How often a watch looks whether its engine is still in use."""

_KEPT_MS = 5000
"""How long an engine is watched after its last stream, in ms: paths come back
to it within that time, and a new connection is paid for."""

_TICK_S = 0.02
_MANY = 4
_SILENT_MANY_MS = 60
"""Pause of all streams over an engine, four at least, after which it is
asked."""

_SILENT_FEW_MS = 120
"""The same for fewer streams; a pause of 200 ms makes a stream late."""

_SILENT_GAPS = 2.0
"""The same in times of the streams' own gap, where that is more: streams over a
slow engine would be taken for silent between any two events."""

_PROBE_S = 0.04
"""Bound on the answer to such a question. The longest way inside a region and
back is some 2 ms, and an engine accepts within 1 ms."""

_PROBES = 2
"""Connections tried at once; one alone fails with each lost packet."""

_CONTROLS = 2
"""Engines whose streams go on that are asked beside silent ones."""

_ASK_AGAIN_MS = 400
"""Shortest time between two such questions to one engine."""


def _connect(engine: Engine) -> FailureKind | None:
    """Opens and closes a connection; returns what went wrong, if anything."""
    exchange = Exchange(engine.address)
    problem = exchange.connect(_PROBE_S)
    exchange.close()
    return problem.failure if problem is not None else None


class LivenessMonitor:
    """Watches the engines on the paths of running streams.

    Args:
        context: What the gateway's parts share.
        running: Streams that run.
        connect: Opens and closes a connection to an engine.
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
        self._asked = Throttle(_ASK_AGAIN_MS)

    def run(self) -> None:
        """Looks after running streams until the process ends."""
        while True:
            gevent.sleep(_TICK_S)
            self.look()

    def look(self) -> None:
        """Looks once at every engine that is in use."""
        now_ms = self._context.clock.now_ms()
        silent = []
        sound = []
        for use in self._running.uses():
            name = use.engine.name
            if name in self._used_ms or self._is_worth_a_watch(use):
                self._keep_watch(use.engine, now_ms)
            if now_ms - use.event_ms < _silent_ms(use):
                sound.append(use.engine)
            elif self._asked.allows(name, now_ms):
                silent.append(use.engine)
        if silent:
            others = self._context.rng.sample(sound, min(len(sound), _CONTROLS))
            gevent.spawn(self._ask, silent, others)

    def _is_worth_a_watch(self, use: EngineUse) -> bool:
        """Returns whether an engine is watched by a connection of its own.

        Engines of other data centres are used for some streams and a moment,
        while each watch is a connection that is paid for.
        """
        home = self._context.settings.data_centre
        return use.engine.data_centre == home or use.streams >= _MANY

    def _keep_watch(self, engine: Engine, now_ms: int) -> None:
        if engine.name not in self._used_ms:
            gevent.spawn(self._watch, engine)
        self._used_ms[engine.name] = now_ms

    def _watch(self, engine: Engine) -> None:
        """Keeps a connection to an engine for as long as it is in use."""
        while self._in_use(engine):
            exchange = Exchange(engine.address)
            problem = exchange.connect(_CONNECT_S)
            if problem is None:
                while self._in_use(engine) and exchange.is_open(_LOOK_S):
                    pass
                exchange.close()
                continue
            if problem.failure is FailureKind.REFUSED:
                self._running.on_engine_lost(engine, ended=True)
            self._wait_until_back(engine)
        del self._used_ms[engine.name]

    def _wait_until_back(self, engine: Engine) -> None:
        """Waits while an engine is known to fail: others ask it meanwhile."""
        fleet = self._context.fleet
        gevent.sleep(_CONNECT_S)
        while self._in_use(engine) and fleet.is_failing(engine.name):
            gevent.sleep(_CONNECT_S)

    def _in_use(self, engine: Engine) -> bool:
        now_ms = self._context.clock.now_ms()
        return now_ms - self._used_ms[engine.name] < _KEPT_MS

    def _ask(self, silent: list[Engine], others: list[Engine]) -> None:
        """Finds out which silent engines take no connection any more.

        Guards against the gateway's own link: while it is full or broken
        nobody answers, and every stream would be moved for nothing. What is
        seen counts only if most of those that are asked answer, engines whose
        streams go on among them.

        Args:
            silent: Engines whose streams have all paused.
            others: Engines that are asked for comparison.
        """
        asked = silent + others
        tries = [gevent.spawn(self._probe, engine) for engine in asked]
        gevent.joinall(tries)
        self._context.telemetry.count("engine_probes")
        failures = {
            engine.name: job.value
            for engine, job in zip(asked, tries, strict=True)
            if job.value is not None
        }
        if len(failures) * 2 > len(asked):
            self._context.telemetry.count("engine_probes_not_believed")
            return
        for engine in silent:
            failure = failures.get(engine.name)
            if failure is not None:
                ended = failure is FailureKind.REFUSED
                self._running.on_engine_lost(engine, ended)

    def _probe(self, engine: Engine) -> FailureKind | None:
        """Tries to connect; returns what went wrong if no try succeeds."""
        tries = [gevent.spawn(self._connect, engine) for _ in range(_PROBES)]
        gevent.joinall(tries)
        failures = [job.value for job in tries]
        if None in failures:
            return None
        refused = FailureKind.REFUSED in failures
        return FailureKind.REFUSED if refused else failures[0]


def _silent_ms(use: EngineUse) -> float:
    """Returns the pause after which an engine is asked."""
    least_ms = _SILENT_MANY_MS if use.streams >= _MANY else _SILENT_FEW_MS
    return max(least_ms, use.gap_ms * _SILENT_GAPS)
