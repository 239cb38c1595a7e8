"""Asking backend servers that failed whether they are back."""

import gevent

from caroblug.gateway._context import Context
from caroblug.gateway._interfaces import BackendServer, Unavailable
from caroblug.gateway._peers import Peers

_EVERY_S = 0.1
_ASK_AGAIN_MS = 1000
"""Shortest time between two looks at the same engine on others' word."""


class Rechecks:
    """Asks engines that failed for a report before they get work again.

    Guards against requests as probes: each request sent to an engine that is
    still down loses the wait for a connection, with dozens of them a second.
    Backend servers of plain services have no report; their time runs out.

    Args:
        context: What the gateway's parts share.
        peers: Tells what others suspect.
    """

    def __init__(self, context: Context, peers: Peers) -> None:
        self._context = context
        self._peers = peers
        self._asked_ms: dict[str, int] = {}
        self._asking: set[str] = set()

    def run(self) -> None:
        """Looks for engines that are due until the process ends."""
        while True:
            gevent.sleep(_EVERY_S)
            now_ms = self._context.clock.now_ms()
            for backend in self._context.fleet.failing(now_ms):
                self.ask(backend)
            self._look_into(self._peers.take_suspects(), now_ms)

    def _look_into(self, names: set[str], now_ms: int) -> None:
        """Asks engines that another gateway takes to be gone."""
        fleet = self._context.fleet
        for name in names:
            backend = fleet.listing.backends.get(name)
            if backend is None or backend.holds is None:
                continue
            due_ms = self._asked_ms.get(name, -_ASK_AGAIN_MS) + _ASK_AGAIN_MS
            if now_ms >= due_ms and not fleet.avoided(name, now_ms):
                self._asked_ms[name] = now_ms
                self.ask(backend)

    def ask(self, backend: BackendServer) -> None:
        """Asks one backend server, unless it is being asked."""
        if backend.name in self._asking:
            return
        self._asking.add(backend.name)
        gevent.spawn(self._ask, backend)

    def _ask(self, backend: BackendServer) -> None:
        context = self._context
        try:
            if backend.holds is None:
                context.fleet.on_answer(
                    backend.name, None, 0, context.clock.now_ms()
                )
                return
            report = context.dialect.read_report(backend.address)
        finally:
            self._asking.discard(backend.name)
        now_ms = context.clock.now_ms()
        if isinstance(report, Unavailable):
            context.fleet.avoid(backend.name, now_ms)
            return
        context.fleet.on_answer(backend.name, None, 0, now_ms)
        context.fleet.on_report(backend.name, report.holds, now_ms)
        context.log.write(
            "backend_server.back",
            backend_server=backend.name,
            holds=str(report.holds),
        )
