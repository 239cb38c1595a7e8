"""Latency of a stream's events, compared with its route's objectives."""

import attrs

from caroblug.core.access import Route


@attrs.define
class StreamLatency:
    """Latency of one stream's events, over all its runs.

    Attributes:
        began_ms: When the request arrived.
        first_ms: Time until the first event was forwarded; None before that.
        pause_ms: Longest pause between two forwarded events.
        cause: Last incident before the first event. The last incident in a
            pause replaces it if the pause is the longest so far. Empty if
            there was no incident.
        engine: The engine that the incident concerns; empty if none.
    """

    began_ms: int
    first_ms: int | None = None
    pause_ms: int = 0
    cause: str = ""
    engine: str = ""
    _event_ms: int = 0
    _incident: tuple[str, str] = ("", "")

    def record_incident(self, cause: str, engine: str = "") -> None:
        """Records an incident that may delay the next event.

        Args:
            cause: What happened.
            engine: The engine that it concerns; empty if none.
        """
        self._incident = (cause, engine)

    def on_events(self, now_ms: int) -> None:
        """Records that events were forwarded to the caller."""
        if self.first_ms is None:
            self.first_ms = now_ms - self.began_ms
            self.cause, self.engine = self._incident
        elif now_ms - self._event_ms > self.pause_ms:
            self.pause_ms = now_ms - self._event_ms
            if self._incident[0]:
                self.cause, self.engine = self._incident
        self._event_ms = now_ms
        self._incident = ("", "")

    def missed_objective(self, route: Route) -> str:
        """Returns the objective of a route that the stream missed.

        Returns:
            "first_event", "pause", or an empty string if none was missed.
        """
        if self.first_ms is None:
            return ""
        if self.first_ms > route.latency_target_ms:
            return "first_event"
        if route.pause_ms and self.pause_ms > route.pause_ms:
            return "pause"
        return ""
