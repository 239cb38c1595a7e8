"""Probes of backend servers that have failed or are suspected to."""

import gevent

from caroblug.gateway._context import Context
from caroblug.gateway._engine_reports import read_report, record_replacement
from caroblug.gateway._interfaces import BackendServer, Replaced, Unavailable
from caroblug.gateway._throttle import Throttle

_CHECK_INTERVAL_S = 0.1
_STALE_LISTING_MS = 1800
"""Age from which the listing counts as out of date, in ms: the longest interval
between two reads plus one failed read."""

_MIN_PROBE_INTERVAL_MS = 1000
"""Minimum time between two probes of an engine that did not fail at this
gateway, in ms."""


class SuspectProbes:
    """Probes failed engines before they are readmitted.

    A probe reads the engine's report. Without probes, requests would have to
    find out whether an engine is back: dozens of them a second would each lose
    the time of a connection attempt to an engine that is still down. Backend
    servers of services without a model give no report and are readmitted when
    their ejection expires.

    Args:
        context: State that the gateway's components share.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._probe_spacing = Throttle(_MIN_PROBE_INTERVAL_MS)
        self._probing: set[str] = set()

    def run(self) -> None:
        """Probes the engines that are due until the process ends."""
        while True:
            gevent.sleep(_CHECK_INTERVAL_S)
            now_ms = self._context.clock.now_ms()
            for backend in self._context.fleet.due_for_probe(now_ms):
                self.probe(backend)
            names = set(self._context.engines_to_probe)
            self._context.engines_to_probe.clear()
            self._probe_suspects(names, now_ms)

    def _probe_suspects(self, names: set[str], now_ms: int) -> None:
        """Probes engines that peers suspect or that rejected a request."""
        fleet = self._context.fleet
        for name in names:
            backend = fleet.listing.backends.get(name)
            if backend is None or backend.holds is None:
                continue
            if self._probe_spacing.allows(name, now_ms):
                self.probe(backend)

    def probe(self, backend: BackendServer) -> None:
        """Starts a probe of a backend server.

        None is started while another one is in progress or while the server
        wants no requests.
        """
        now_ms = self._context.clock.now_ms()
        availability = self._context.fleet.availability
        if backend.name in self._probing or availability.is_at_rest(
            backend.name, now_ms
        ):
            return
        self._probing.add(backend.name)
        gevent.spawn(self._run_probe, backend)

    def _check_draining(self, backend: BackendServer) -> None:
        """Checks whether a server is draining while the listing is stale."""
        context = self._context
        known = context.configuration
        service = known.services.get(backend.service) if known else None
        if service is None:
            return
        healthy = context.dialect.read_health(
            backend.address, backend.name, service.health_path
        )
        if isinstance(healthy, Replaced):
            record_replacement(context, backend.name)
        elif healthy is False:
            context.fleet.on_leaving(backend.name, context.clock.now_ms())
            context.log.write(
                "backend_server.leaving",
                backend_server=backend.name,
                list_age_ms=context.fleet.listing_age_ms(
                    context.clock.now_ms()
                ),
            )

    def _run_probe(self, backend: BackendServer) -> None:
        context = self._context
        try:
            if backend.holds is None:
                context.fleet.on_response(
                    backend.name, None, 0, context.clock.now_ms()
                )
                return
            report = read_report(context, backend.name, backend.address)
        finally:
            self._probing.discard(backend.name)
        now_ms = context.clock.now_ms()
        was_failing = context.fleet.failed_for_ms(backend.name, now_ms) > 0
        if isinstance(report, Unavailable):
            context.fleet.eject(backend.name, now_ms)
            return
        context.fleet.on_response(backend.name, None, 0, now_ms)
        context.fleet.on_report(backend.name, report.holds, now_ms)
        if context.fleet.listing_age_ms(now_ms) > _STALE_LISTING_MS:
            self._check_draining(backend)
        if not was_failing:
            return
        context.log.write(
            "backend_server.back",
            backend_server=backend.name,
            holds=str(report.holds),
        )
