"""What a soak saw: answers, faults, violations, and a trace of them."""

import collections
import pathlib
import time
from typing import Any

import attrs
import orjson

_TRACE_FILE = "trace.jsonl"


@attrs.define
class StreamRecord:
    """One streamed answer as its caller saw it.

    Attributes:
        times_s: When each part came, in seconds of the soak.
    """

    times_s: list[float] = attrs.field(factory=list)


@attrs.define
class CallRecord:
    """Every answer that one idempotency key has had.

    Attributes:
        statuses: HTTP statuses, 0 where the connection broke.
        ran: What the refusals said, and `yes` for an answer.
    """

    statuses: list[int] = attrs.field(factory=list)
    ran: list[str] = attrs.field(factory=list)


@attrs.frozen
class FaultSpan:
    """One fault, from its start until it was mended."""

    kind: str
    start_s: float
    end_s: float


class SoakRecord:
    """Collects everything that a soak sees."""

    def __init__(self) -> None:
        self.recovered_s = 0.0
        self._started = time.monotonic()
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.faults: list[FaultSpan] = []
        self.streams: list[StreamRecord] = []
        self.calls: dict[str, CallRecord] = {}
        self.token_times_s: list[float] = []
        self.violations: list[str] = []
        self._events: list[dict[str, Any]] = []

    def restart_clock(self) -> None:
        """Lets the soak's time begin now."""
        self._started = time.monotonic()

    def now_s(self) -> float:
        """Returns seconds since the soak began."""
        return time.monotonic() - self._started

    def add_event(self, kind: str, **fields: Any) -> None:
        """Adds an event to the trace."""
        self._events.append(
            {"at_s": round(self.now_s(), 3), "kind": kind, **fields}
        )

    def add_violation(self, what: str, **fields: Any) -> None:
        """Notes a broken promise."""
        self.violations.append(what)
        self.add_event("violation", what=what, **fields)

    def write(self, folder: pathlib.Path) -> None:
        """Writes the trace into a folder."""
        folder.mkdir(parents=True, exist_ok=True)
        lines = b"\n".join(orjson.dumps(event) for event in self._events)
        (folder / _TRACE_FILE).write_bytes(lines + b"\n")
