"""Wait for the engines of a service to start before layers are placed."""

from collections.abc import Iterable

from caroblug.core.placement._types import Engine

SETTLING_MS = 1500
"""Time without a new engine after which a service whose engines hold no layers
is planned for, in ms: a heartbeat interval and some reads of the listing."""

MAX_WAIT_MS = 5000
"""Longest wait, in ms. Engines that start and end all the time would otherwise
keep the others from ever getting layers."""


class StartupWait:
    """Wait for the first engines of one service.

    A plan for only the engines that start first would fill their memory with
    layers and leave none for requests.
    """

    def __init__(self) -> None:
        self._names: set[str] = set()
        self._began_ms: int | None = None
        self._arrived_ms = 0

    def is_over(self, engines: Iterable[Engine], now_ms: int) -> bool:
        """Returns whether layers may be placed.

        An engine that disappears and comes back isn't a new one.

        Args:
            engines: Engines of the service that layers may be placed on.
            now_ms: Current time.
        """
        engines = list(engines)
        if not engines or any(len(engine.holds) for engine in engines):
            self._began_ms = None
            self._names.clear()
            return True
        if self._began_ms is None:
            self._began_ms = self._arrived_ms = now_ms
        names = {engine.name for engine in engines}
        if not names <= self._names:
            self._names |= names
            self._arrived_ms = now_ms
        return (
            now_ms - self._arrived_ms >= SETTLING_MS
            or now_ms - self._began_ms >= MAX_WAIT_MS
        )
