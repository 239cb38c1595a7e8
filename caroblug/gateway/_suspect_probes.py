"""Asking backend servers that failed whether they are back."""

import gevent

from caroblug.gateway._context import Context
from caroblug.gateway._interfaces import BackendServer, Unavailable
from caroblug.gateway._throttle import Throttle

_EVERY_S = 0.1
_OLD_LIST_MS = 1800
"""Age of the list from which it is taken to be out of date: the longest pause
between two reads, and a failed one."""

_ASK_AGAIN_MS = 1000
"""Shortest time between two looks at an engine that did not fail here."""


class SuspectProbes:
    """Asks engines that failed for a report before they get work again.

    Guards against requests as probes: each request sent to an engine that is
    still down loses the wait for a connection, with dozens of them a second.
    Backend servers of plain services have no report; their time runs out.

    Args:
        context: What the gateway's parts share.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._asked = Throttle(_ASK_AGAIN_MS)
        self._asking: set[str] = set()

    def run(self) -> None:
        """Looks for engines that are due until the process ends."""
        while True:
            gevent.sleep(_EVERY_S)
            now_ms = self._context.clock.now_ms()
            for backend in self._context.fleet.due_for_probe(now_ms):
                self.probe(backend)
            names = set(self._context.engines_to_probe)
            self._context.engines_to_probe.clear()
            self._look_into(names, now_ms)

    def _look_into(self, names: set[str], now_ms: int) -> None:
        """Asks engines that others take to be gone or that turned away."""
        fleet = self._context.fleet
        for name in names:
            backend = fleet.listing.backends.get(name)
            if backend is None or backend.holds is None:
                continue
            if self._asked.allows(name, now_ms):
                self.probe(backend)

    def probe(self, backend: BackendServer) -> None:
        """Asks one backend server, unless it is being asked."""
        if backend.name in self._asking:
            return
        self._asking.add(backend.name)
        gevent.spawn(self._ask, backend)

    def _ask_health(self, backend: BackendServer) -> None:
        """Finds out whether a backend server leaves, as the list can't say."""
        context = self._context
        known = context.configuration
        service = known.services.get(backend.service) if known else None
        if service is None:
            return
        healthy = context.dialect.read_health(
            backend.address, service.health_path
        )
        if healthy is False:
            context.fleet.on_leaving(backend.name, context.clock.now_ms())
            context.log.write(
                "backend_server.leaving",
                backend_server=backend.name,
                list_age_ms=context.fleet.listing_age_ms(
                    context.clock.now_ms()
                ),
            )

    def _ask(self, backend: BackendServer) -> None:
        context = self._context
        try:
            if backend.holds is None:
                context.fleet.on_response(
                    backend.name, None, 0, context.clock.now_ms()
                )
                return
            report = context.dialect.read_report(backend.address)
        finally:
            self._asking.discard(backend.name)
        now_ms = context.clock.now_ms()
        was_failing = context.fleet.failed_for_ms(backend.name, now_ms) > 0
        if isinstance(report, Unavailable):
            context.fleet.eject(backend.name, now_ms)
            return
        context.fleet.on_response(backend.name, None, 0, now_ms)
        context.fleet.on_report(backend.name, report.holds, now_ms)
        if context.fleet.listing_age_ms(now_ms) > _OLD_LIST_MS:
            self._ask_health(backend)
        if not was_failing:
            return
        context.log.write(
            "backend_server.back",
            backend_server=backend.name,
            holds=str(report.holds),
        )
