"""Observations of a soak test: responses, faults, violations and a trace."""

import collections
import pathlib
import time
from typing import Any

import attrs
import orjson

_TRACE_FILE = "trace.jsonl"


@attrs.define
class StreamRecord:
    """One streamed response as its client received it.

    Attributes:
        times_s: Arrival of each chunk with text, in seconds of the soak test.
    """

    times_s: list[float] = attrs.field(factory=list)


@attrs.define
class CallRecord:
    """All responses to the calls with one idempotency key.

    Attributes:
        statuses: HTTP statuses, 0 where the connection failed.
        ran: Whether each call ran: `yes` for a success, the refusal's `ran`
            field, or `no` or `unknown` where the connection failed.
    """

    statuses: list[int] = attrs.field(factory=list)
    ran: list[str] = attrs.field(factory=list)


@attrs.frozen
class FaultSpan:
    """Kind of a fault, and its time from injection until repair."""

    kind: str
    start_s: float
    end_s: float


class SoakRecord:
    """Collects the observations of a soak test.

    Attributes:
        recovered_s: Time at which the last fault was repaired.
        outcomes: Number of requests by kind and outcome.
        faults: The injected faults.
        streams: The streamed responses.
        calls: The plain calls by idempotency key.
        token_times_s: Arrival of each token.
        violations: Texts of the violated invariants.
    """

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
        """Restarts the clock of the soak test at 0."""
        self._started = time.monotonic()

    def now_s(self) -> float:
        """Returns the seconds since the start of the soak test."""
        return time.monotonic() - self._started

    def add_event(self, kind: str, **fields: Any) -> None:
        """Adds an event to the trace."""
        self._events.append(
            {"at_s": round(self.now_s(), 3), "kind": kind, **fields}
        )

    def add_violation(self, what: str, **fields: Any) -> None:
        """Records the violation of an invariant."""
        self.violations.append(what)
        self.add_event("violation", what=what, **fields)

    def write(self, folder: pathlib.Path) -> None:
        """Writes the trace to a file in a directory."""
        folder.mkdir(parents=True, exist_ok=True)
        lines = b"\n".join(orjson.dumps(event) for event in self._events)
        (folder / _TRACE_FILE).write_bytes(lines + b"\n")
