"""Checks whether engines accept connections."""

from collections.abc import Callable, Iterable

import gevent

from caroblug.core.placement import Engine
from caroblug.gateway._exchange_results import FailureKind
from caroblug.gateway._http_client import Exchange
from caroblug.utils import Clock

_PROBE_TIMEOUT_S = 0.04
"""Timeout of a probe, in s. The longest round trip inside a region takes about
2 ms, and an engine accepts a connection within 1 ms."""

_PROBE_CONNECTIONS = 2
"""Connections that a probe opens in parallel. A single one would fail with
each lost packet."""

_RESULT_TTL_MS = 100
"""Time for which the result of a probe is shared, in ms. All streams over a
lost engine look for a replacement at the same moment."""


def _connect(engine: Engine) -> FailureKind | None:
    """Opens and closes a connection; returns the failure, if any."""
    exchange = Exchange(engine.address)
    problem = exchange.connect(_PROBE_TIMEOUT_S)
    exchange.close()
    return problem.failure if problem is not None else None


class EngineProber:
    """Probes engines by opening connections to them.

    Args:
        clock: Source of time.
        connect: Opens and closes a connection to an engine and returns the
            failure, if any.
    """

    def __init__(
        self,
        clock: Clock,
        connect: Callable[[Engine], FailureKind | None] = _connect,
    ) -> None:
        self._clock = clock
        self._connect = connect
        self._probes: dict[str, tuple[int, gevent.Greenlet]] = {}

    def probe(self, engine: Engine) -> FailureKind | None:
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

    def find_unreachable(self, engines: Iterable[Engine]) -> frozenset[str]:
        """Returns the names of the engines that accept no connection.

        Probes that run already, or ended a moment ago, are shared.
        """
        probes = {e.name: self._share_probe(e) for e in engines}
        gevent.joinall(list(probes.values()))
        return frozenset(
            name for name, probe in probes.items() if probe.value is not None
        )

    def _share_probe(self, engine: Engine) -> gevent.Greenlet:
        now_ms = self._clock.now_ms()
        self._remove_expired(now_ms)
        known = self._probes.get(engine.name)
        if known is not None:
            return known[1]
        probe = gevent.spawn(self.probe, engine)
        self._probes[engine.name] = (now_ms, probe)
        return probe

    def _remove_expired(self, now_ms: int) -> None:
        self._probes = {
            name: (began_ms, probe)
            for name, (began_ms, probe) in self._probes.items()
            if now_ms - began_ms < _RESULT_TTL_MS
        }
