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

_USUAL_DECAY = 0.95
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
        self._begun_ms: list[int] = []
        self._in_engine: collections.Counter[str] = collections.Counter()
        self._ended: list[str] = []
        self._answered_ms = 0
        self._usual_ms = 0.0
        self._silent_probes = 0
        self._known: EngineDescription | None = None

    def run(
        self, items: Sequence[EngineItem], ended: Sequence[str]
    ) -> tuple[EngineResult, ...] | EngineFailure:
        """Runs a batch.

        Guards against a cache that is never freed: a session that ends while
        a batch of it is still in the engine would be made anew by that
        batch. Its end is told with a later batch.
        """
        begun_ms = self._clock.now_ms()
        told = self._tell_ended(ended)
        sessions = [item.session for item in items]
        self._begun_ms.append(begun_ms)
        self._in_engine.update(sessions)
        try:
            outcome = self._engine.run(items, told)
        finally:
            self._begun_ms.remove(begun_ms)
            self._in_engine.subtract(sessions)
            self._in_engine += collections.Counter()
        if not isinstance(outcome, EngineFailure):
            self._answered_ms = self._clock.now_ms()
            took_ms = float(self._answered_ms - begun_ms)
            self._usual_ms = max(took_ms, self._usual_ms * _USUAL_DECAY)
        return outcome

    def _tell_ended(self, ended: Sequence[str]) -> list[str]:
        self._ended.extend(ended)
        told = [s for s in self._ended if s not in self._in_engine]
        self._ended = [s for s in self._ended if s in self._in_engine]
        return told

    def describe(self) -> EngineDescription | EngineFailure:
        """Returns what the engine says of itself, or that it is lost.

        An engine that only was too busy to answer is described as before.
        """
        begun_ms = self._clock.now_ms()
        outcome = self._probe.describe()
        if not isinstance(outcome, EngineFailure):
            self._silent_probes = 0
            self._known = outcome
            return outcome
        self._silent_probes += 1
        took_ms = self._clock.now_ms() - begun_ms
        if self._known is None or took_ms < self._probe_ms // 2:
            return outcome
        busy = self._answered_ms >= begun_ms
        if busy or (self._silent_probes < 2 and not self._is_overdue()):
            return self._known
        self._known = None
        return outcome

    def _is_overdue(self) -> bool:
        if not self._begun_ms:
            return False
        age_ms = self._clock.now_ms() - self._begun_ms[0]
        return age_ms > _OVERDUE_FACTOR * self._usual_ms + _OVERDUE_SLACK_MS
