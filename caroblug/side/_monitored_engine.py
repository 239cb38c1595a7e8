"""Health check that distinguishes a hung engine from a busy one."""

import collections
from collections.abc import Sequence

from caroblug.transport import (
    EngineClient,
    EngineDescription,
    EngineFailure,
    EngineItem,
    EngineResult,
)
from caroblug.utils import Clock

_MAX_BATCH_DECAY = 0.95
_OVERDUE_FACTOR = 2.0
_OVERDUE_SLACK_MS = 100


class MonitoredEngine(EngineClient):
    """An engine client that detects a hung engine.

    The connections of a frozen engine stay open, and its batches fail only
    after a long timeout. Therefore the engine is also probed with a short
    timeout. It is considered hung if a probe times out while a batch is
    overdue, or if two probes in succession time out. An engine that completes
    a batch during the probe is busy, not hung.

    Args:
        engine: Client that runs batches, with a long timeout.
        probe: Client of the same engine for probes, with a short timeout.
        clock: Source of time.
        probe_ms: Timeout of `probe`. A probe that fails in less than half of
            this time has not timed out.
    """

    def __init__(
        self,
        engine: EngineClient,
        probe: EngineClient,
        clock: Clock,
        probe_ms: int,
    ) -> None:
        self._engine = engine
        self._probe = probe
        self._clock = clock
        self._probe_ms = probe_ms
        self._start_times_ms: list[int] = []
        self._sessions_in_engine: collections.Counter[str] = (
            collections.Counter()
        )
        self._pending_ends: list[str] = []
        self._last_result_ms = 0
        self._max_batch_ms = 0.0
        self._failed_probes = 0
        self._last_description: EngineDescription | None = None

    def run(
        self, items: Sequence[EngineItem], ended: Sequence[str]
    ) -> tuple[EngineResult, ...] | EngineFailure:
        """Runs a batch.

        The end of a session is passed to the engine only when no batch of the
        session is in the engine. Otherwise that batch would create the session
        again, and its cache would never be freed.

        Args:
            items: Items to run; the positions of a session are in order.
            ended: Sessions that have ended since the previous call.

        Returns:
            One result per item, or why the call failed.
        """
        start_ms = self._clock.now_ms()
        reportable = self._take_reportable_ends(ended)
        sessions = [item.session for item in items]
        self._start_times_ms.append(start_ms)
        self._sessions_in_engine.update(sessions)
        try:
            outcome = self._engine.run(items, reportable)
        finally:
            self._start_times_ms.remove(start_ms)
            self._sessions_in_engine.subtract(sessions)
            self._sessions_in_engine += collections.Counter()
        if not isinstance(outcome, EngineFailure):
            self._last_result_ms = self._clock.now_ms()
            elapsed_ms = float(self._last_result_ms - start_ms)
            self._max_batch_ms = max(
                elapsed_ms, self._max_batch_ms * _MAX_BATCH_DECAY
            )
        return outcome

    def _take_reportable_ends(self, ended: Sequence[str]) -> list[str]:
        self._pending_ends.extend(ended)
        reportable = [
            s for s in self._pending_ends if s not in self._sessions_in_engine
        ]
        self._pending_ends = [
            s for s in self._pending_ends if s in self._sessions_in_engine
        ]
        return reportable

    def describe(self) -> EngineDescription | EngineFailure:
        """Probes the engine and returns its description.

        Returns:
            The last known description if the engine is only too busy to
            respond; a failure if it is hung or lost.
        """
        start_ms = self._clock.now_ms()
        outcome = self._probe.describe()
        if not isinstance(outcome, EngineFailure):
            self._failed_probes = 0
            self._last_description = outcome
            return outcome
        self._failed_probes += 1
        elapsed_ms = self._clock.now_ms() - start_ms
        if self._last_description is None or elapsed_ms < self._probe_ms // 2:
            return outcome
        busy = self._last_result_ms >= start_ms
        if busy or (self._failed_probes < 2 and not self._is_overdue()):
            return self._last_description
        self._last_description = None
        return outcome

    def _is_overdue(self) -> bool:
        if not self._start_times_ms:
            return False
        age_ms = self._clock.now_ms() - self._start_times_ms[0]
        return age_ms > _OVERDUE_FACTOR * self._max_batch_ms + _OVERDUE_SLACK_MS
