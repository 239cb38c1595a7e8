"""Copies of quarantined requests in the platform's store.

Suspicions are kept in memory and told to other gateways. When all gateways end
at the same moment, or one hears nobody, a request that is quarantined would
crash as many engines again. The gateway that observes the last crash therefore
writes the request to the store, and gateways that start read it.
"""

import json
from collections.abc import Callable

import gevent

from caroblug.gateway._context import Context
from caroblug.gateway._crash_suspicions import QUARANTINE_MS, CrashSuspicions
from caroblug.gateway._interfaces import Registry, Unavailable
from caroblug.utils import DECODE_ERRORS, Clock, load_json, shorten

_CHECK_INTERVAL_S = 0.25
_MIN_RETRY_MS = 1000
_MAX_RETRY_MS = 30_000
"""Pause after a failed call and its maximum; it doubles with each failure, as
rejected calls cost money, too."""

_MAX_KEY_CHARS = 64
"""Length to which the key of a refused record is cut in the log."""

_ALONE_INTERVAL_MS = 10_000
"""Interval between reads while the gateway hears no other one."""


class _Schedule:
    """When a call to the store is due."""

    def __init__(self) -> None:
        self._due_ms = 0
        self._failures = 0

    def is_due(self, now_ms: int) -> bool:
        return now_ms >= self._due_ms

    def on_done(self, now_ms: int, interval_ms: int = 0) -> None:
        self._failures = 0
        self._due_ms = now_ms + interval_ms

    def on_failed(self, now_ms: int) -> None:
        pause_ms = min(_MAX_RETRY_MS, _MIN_RETRY_MS << min(self._failures, 5))
        self._failures += 1
        self._due_ms = now_ms + pause_ms


class QuarantineBackup:
    """Writes quarantined requests to the store and reads them at a start.

    Args:
        context: Shared state of the gateway's components.
        registry: Access to the store.
        crashes: Suspicions known to this gateway.
        hears_nobody: Returns whether no other gateway can be heard.
        time_of_day: Clock on which gateways roughly agree.
    """

    def __init__(
        self,
        context: Context,
        registry: Registry,
        crashes: CrashSuspicions,
        hears_nobody: Callable[[], bool],
        time_of_day: Clock,
    ) -> None:
        self._context = context
        self._registry = registry
        self._crashes = crashes
        self._hears_nobody = hears_nobody
        self._time_of_day = time_of_day
        self._saved: set[str] = set()
        self._has_read = False
        self._reads = _Schedule()
        self._writes = _Schedule()

    def run(self) -> None:
        """Writes and reads until the process ends."""
        while True:
            self.step()
            gevent.sleep(_CHECK_INTERVAL_S)

    def step(self) -> None:
        """Makes the calls that are due."""
        now_ms = self._context.clock.now_ms()
        if self._writes.is_due(now_ms):
            self._save()
        if self._reads.is_due(now_ms) and (
            not self._has_read or self._hears_nobody()
        ):
            self._read()

    def _save(self) -> None:
        """Writes new quarantines and removes own ones that have ended."""
        unsaved = self._crashes.unsaved_quarantines()
        ended = {d for d in self._saved if not self._crashes.has_quarantined(d)}
        if not unsaved and not ended:
            return
        until_ms = self._time_of_day.now_ms() + QUARANTINE_MS
        records = {
            fingerprint: json.dumps({"until_ms": until_ms, "crashes": crashes})
            for fingerprint, crashes in unsaved.items()
        }
        records.update(dict.fromkeys(ended, ""))
        problem = self._registry.save_quarantines(records)
        now_ms = self._context.clock.now_ms()
        self._context.telemetry.count("quarantine_saves")
        if problem is None:
            self._writes.on_done(now_ms)
            self._crashes.on_quarantines_saved(unsaved)
            self._saved = (self._saved - ended) | set(unsaved)
            return
        self._writes.on_failed(now_ms)
        self._context.telemetry.count("quarantine_saves_failed")
        self._context.log.write("quarantine.not_saved", reason=problem.message)

    def _read(self) -> None:
        records = self._registry.read_quarantines()
        now_ms = self._context.clock.now_ms()
        if isinstance(records, Unavailable):
            self._reads.on_failed(now_ms)
            self._context.log.write(
                "quarantine.not_read", reason=records.message
            )
            return
        self._reads.on_done(now_ms, _ALONE_INTERVAL_MS)
        self._has_read = True
        expired = [
            fingerprint
            for fingerprint, text in records.items()
            if not self._restore(fingerprint, text)
        ]
        if expired:
            # Kept if that fails: the next start reads and drops them again.
            self._registry.save_quarantines(dict.fromkeys(expired, ""))

    def _restore(self, fingerprint: str, text: str) -> bool:
        """Adds a saved request; returns whether it is still quarantined."""
        try:
            record = load_json(text)
            left_ms = int(record["until_ms"]) - self._time_of_day.now_ms()
            if left_ms <= 0:
                return False
            # The time of day may have jumped since it was saved.
            left_ms = min(left_ms, QUARANTINE_MS)
            self._crashes.merge(
                [[*crash[:3], left_ms] for crash in record["crashes"]]
            )
        except DECODE_ERRORS as error:
            self._context.log.write(
                "quarantine.record_refused",
                key=fingerprint[:_MAX_KEY_CHARS],
                reason=shorten(error),
            )
            return False
        return True
