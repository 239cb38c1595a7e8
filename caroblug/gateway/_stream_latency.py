"""When the events of a stream came, beside when they were due."""

import attrs

from caroblug.core.access import Route


@attrs.define
class StreamLatency:
    """Times of one stream's events, over all its runs.

    Attributes:
        began_ms: When the request came.
        first_ms: Time until its first event was passed on; None before.
        pause_ms: Longest pause between two events that were passed on.
        cause: What happened last before the first event or in the longest
            pause, whichever makes the stream late; empty if nothing was seen.
        engine: The engine that this concerns, if it concerns one.
    """

    began_ms: int
    first_ms: int | None = None
    pause_ms: int = 0
    cause: str = ""
    engine: str = ""
    _event_ms: int = 0
    _incident: tuple[str, str] = ("", "")

    def record_incident(self, cause: str, engine: str = "") -> None:
        """Notes what may hold up the next event."""
        self._incident = (cause, engine)

    def on_events(self, now_ms: int) -> None:
        """Notes that events were passed on."""
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
        """Returns which objective of a route was missed; empty if none."""
        if self.first_ms is None:
            return ""
        if self.first_ms > route.latency_target_ms:
            return "first_event"
        if route.pause_ms and self.pause_ms > route.pause_ms:
            return "pause"
        return ""
