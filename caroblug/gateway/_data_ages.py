"""Ages of what a gateway reads again and again.

A gateway whose list of backend servers or configuration is outdated continues
to serve with them and remains ready. Refusing all requests would be worse for
callers, as the other gateways are usually in the same state.
"""

import gevent

from caroblug.gateway._context import Context
from caroblug.gateway._reader_ranking import ReaderRanking

_CHECK_INTERVAL_S = 1.0

_MAX_AGES_MS = {"backends": 5_000, "configuration": 30_000}
"""Ages from which data counts as outdated. The list is confirmed every 1.5 s,
the configuration at the end of each wait for a change, after at most 22 s."""


class DataAges:
    """Reports how old the list of backend servers and the configuration are.

    Args:
        context: State shared by the gateway's components.
        ranking: Knows when the configuration was last confirmed.
    """

    def __init__(self, context: Context, ranking: ReaderRanking) -> None:
        self._context = context
        self._ranking = ranking
        self._outdated: set[str] = set()

    def run(self) -> None:
        """Checks the ages until the process ends."""
        while True:
            gevent.sleep(_CHECK_INTERVAL_S)
            self.check_once()

    def check_once(self) -> None:
        """Logs what has become outdated or is current again."""
        context = self._context
        for what, age_ms in self.update_metrics().items():
            is_outdated = age_ms > _MAX_AGES_MS[what]
            if is_outdated == (what in self._outdated):
                continue
            if is_outdated:
                self._outdated.add(what)
                context.log.write("data.outdated", what=what, age_ms=age_ms)
            else:
                self._outdated.discard(what)
                context.log.write("data.current", what=what, age_ms=age_ms)

    def update_metrics(self) -> dict[str, int]:
        """Sets the gauges of the ages and returns the ages.

        Returns:
            Age in ms of each kind of data that has been read.
        """
        context = self._context
        ages_ms = {}
        if context.fleet.has_listing:
            now_ms = context.clock.now_ms()
            ages_ms["backends"] = context.fleet.listing_age_ms(now_ms)
        if context.configuration is not None:
            ages_ms["configuration"] = self._ranking.version_age_ms
        for what, age_ms in ages_ms.items():
            context.telemetry.gauge("data_age_ms", age_ms, what=what)
        return ages_ms
