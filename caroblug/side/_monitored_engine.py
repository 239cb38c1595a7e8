"""Tells a hung engine from a busy one."""

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
    """Passes calls to an engine and notes when it last answered a batch.

    Guards against an engine that is frozen behind a side process which
    lives: its connections stay open and no batch fails for a long time. It
    is taken for hung when it does not say what it is in time, and either a
    batch takes much longer than batches usually do or this is so twice
    running; an engine that answers batches meanwhile is merely busy.

    Args:
        engine: Runs batches; its timeout is long.
        probe: Asks the same engine what it is; its timeout is short.
        clock: Source of time.
        probe_ms: Timeout of `probe`; what fails sooner is no timeout.
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

        Guards against a cache that is never freed: a session that ends while
        a batch of it is still in the engine would be made anew by that
        batch. Its end is told with a later batch.
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
        """Returns what the engine says of itself, or that it is lost.

        An engine that only was too busy to answer is described as before.
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
