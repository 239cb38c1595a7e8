"""Journal of calls: batched appends to the log, and reads that follow it."""

import collections
import random

import attrs
import gevent
from gevent import event

from caroblug.core.state import (
    Admitted,
    CallBatch,
    CallOutcome,
    Decided,
    IntentFold,
    IntentId,
    IntentOwner,
    IntentState,
    Started,
    Verdict,
    decode_batch,
    encode_batch,
)
from caroblug.transport import Appended, LogService, LogUnavailable
from caroblug.utils import Clock, Metrics, log_state

_STREAM_PREFIX = "caroblug.calls."
_MAX_READ_RECORDS = 500
_READ_WAIT_MS = 1000
_FOLLOW_INTERVAL_S = 0.1
_MAX_OUTCOME_DELAY_S = 0.05
_RETRY_DELAY_S = 0.2
_MAX_RETRY_JITTER_S = 0.2
_MAX_INTERVAL_MS = 500
_MAX_CACHED_BYTES = 4 * 1024 * 1024
_CACHED_OUTCOME_BYTES = 1024
"""Memory of a cached outcome beside its body and headers."""

_MS_PER_S = 1000


@attrs.frozen
class JournalSettings:
    """Settings of a journal.

    Attributes:
        interval_ms: Minimum interval between the starts of two appends. It
            keeps all owners together below the rate limit of the log.
    """

    interval_ms: int = 10


class CallJournal:
    """Writes the calls of one service to the log and reads them back.

    Args:
        log: Client of the log service.
        service: Name of the service.
        owner: Decides which calls may run; it uses the same fold.
        fold: Fold of the log stream of the service.
        clock: Source of time.
        metrics: Registry that counts appends.
        settings: Settings of the journal.
    """

    def __init__(
        self,
        log: LogService,
        service: str,
        owner: IntentOwner,
        fold: IntentFold,
        clock: Clock,
        metrics: Metrics,
        settings: JournalSettings,
    ) -> None:
        self._log = log
        self._stream = f"{_STREAM_PREFIX}{service}"
        self._owner = owner
        self._fold = fold
        self._clock = clock
        self._metrics = metrics
        self._settings = settings
        self._interval_ms = settings.interval_ms
        self._wake = event.Event()
        self._intent_queued = event.Event()
        self._verdicts: dict[IntentId, event.AsyncResult] = {}
        self._cached_outcomes: collections.OrderedDict[
            IntentId, CallOutcome
        ] = collections.OrderedDict()
        self._cached_bytes = 0
        self._caught_up = False
        self._log_up = False
        self._last_append_ms = 0

    @property
    def ready(self) -> bool:
        """Whether the log is available and its end has been reached once."""
        return self._caught_up and self._log_up

    @property
    def caught_up(self) -> bool:
        """Whether the end of the log has been reached once.

        From then on all earlier keys are known.
        """
        return self._caught_up

    @property
    def pending(self) -> int:
        """Number of intents and outcomes that are not on the log yet."""
        return len(self._owner) + self._owner.waiting

    def start(self) -> None:
        """Starts to read and to write the log in the background."""
        gevent.spawn(self._follow_forever)
        gevent.spawn(self._write_forever)

    def knows(self, key: bytes) -> bool:
        """Returns whether a key is remembered."""
        return self._owner.knows(key)

    @property
    def known_keys(self) -> int:
        """Number of keys that are remembered or about to be."""
        return len(self._fold) + len(self._owner)

    @property
    def window_ms(self) -> int:
        """Time for which a key is remembered."""
        return self._owner.window_ms

    def admit(self, key: bytes, request: bytes, within_ms: int) -> Admitted:
        """Decides whether a call may run; queues the intent of a new call.

        Args:
            key: Digest of client account, service and idempotency key.
            request: Digest of the request.
            within_ms: Time in which the call must be made.
        """
        now_ms = self._clock.now_ms()
        admitted = self._owner.admit(
            now_ms, key, request, within_ms, log_available=self.ready
        )
        if isinstance(admitted, Started):
            self._intent_queued.set()
        self._wake.set()
        return admitted

    def wait_verdict(self, intent: IntentId) -> Verdict:
        """Blocks until it is decided whether an intent is first for its key."""
        result = self._verdicts.setdefault(intent, event.AsyncResult())
        try:
            return result.get()
        finally:
            del self._verdicts[intent]

    def begin(self, key: bytes) -> bool:
        """Returns, right before the send, whether a call may still be made."""
        begun = self._owner.begin(key, self._clock.now_ms())
        if not begun:
            self._metrics.count("calls_past_deadline")
        return begun

    def cancel(self, key: bytes) -> None:
        """Voids an intent whose call has not been made."""
        self._owner.cancel(key)
        self._wake.set()

    def finish(self, outcome: CallOutcome) -> None:
        """Queues an outcome for the log; the caller does not wait for it."""
        self._cache_outcome(outcome)
        self._owner.finish(outcome)
        self._wake.set()

    def lookup(self, key: bytes) -> IntentState | None:
        """Returns the recorded state of a key; None if there is none."""
        return self._fold.lookup(key)

    def read_outcome(self, state: IntentState) -> CallOutcome | None:
        """Returns a recorded outcome, from the cache or from the log.

        Returns:
            None if the log cannot be read or has no such record any more.
        """
        cached = self._cached_outcomes.get(state.id)
        if cached is not None:
            return cached
        records = self._log.read(self._stream, state.outcome_offset, limit=1)
        if isinstance(records, LogUnavailable) or not records.records:
            return None
        batch = decode_batch(records.records[0].data)
        for entry in batch.entries if batch else ():
            if isinstance(entry, CallOutcome) and entry.id == state.id:
                return entry
        return None

    def _cache_outcome(self, outcome: CallOutcome) -> None:
        self._cached_outcomes[outcome.id] = outcome
        self._cached_bytes += _count_cached_bytes(outcome)
        while self._cached_bytes > _MAX_CACHED_BYTES:
            _, oldest = self._cached_outcomes.popitem(last=False)
            self._cached_bytes -= _count_cached_bytes(oldest)

    def _write_forever(self) -> None:
        while True:
            self._wake.wait()
            # Callers wait for intents but not for outcomes. An outcome is
            # delayed a little so that at a low rate it shares the append of
            # the next intent.
            self._intent_queued.wait(_MAX_OUTCOME_DELAY_S)
            self._intent_queued.clear()
            self._throttle()
            if not self._log_up and not self._wait_for_log():
                continue
            batch = self._owner.next_batch(self._clock.now_ms())
            if batch is None:
                self._wake.clear()
                continue
            self._commit(batch)

    def _wait_for_log(self) -> bool:
        """Fails queued intents, waits, and returns whether the log is up."""
        self._resolve(self._owner.on_append_failed())
        gevent.sleep(_RETRY_DELAY_S)
        return self._log_up

    def _throttle(self) -> None:
        wait_ms = (
            self._last_append_ms + self._interval_ms - self._clock.now_ms()
        )
        if wait_ms > 0:
            gevent.sleep(wait_ms / _MS_PER_S)

    def _commit(self, batch: CallBatch) -> None:
        """Appends a batch and folds the log up to it.

        The response to a successful append may be lost. In this case the log
        is read from the last known offset before anything else is done, and
        the batch is never appended again.
        """
        since_ms = self._last_append_ms = self._clock.now_ms()
        data = encode_batch(batch)
        outcome = self._log.append(self._stream, data)
        self._metrics.count("call_appends")
        self._metrics.count("call_entries", len(batch.entries))
        self._metrics.record_ms("call_append", self._clock.now_ms() - since_ms)
        if isinstance(outcome, Appended):
            self._interval_ms = self._settings.interval_ms
            if outcome.offset == self._fold.next_offset:
                self._fold_record(outcome.offset, data)
        else:
            self._metrics.count("log_failures", operation="append")
            self._interval_ms = min(_MAX_INTERVAL_MS, self._interval_ms * 2)
        if not self._is_on_log(batch) and not self._read_until_found(batch):
            self._set_log_up(False, "append failed")
            self._resolve(self._owner.on_append_failed())

    def _is_on_log(self, batch: CallBatch) -> bool:
        return self._fold.has_batch(batch.writer, batch.sequence)

    def _read_until_found(self, batch: CallBatch) -> bool:
        """Reads to the end of the log and returns whether it has the batch."""
        while not self._is_on_log(batch):
            at_end = self._read(wait_ms=0)
            if at_end is not False:
                break
        return self._is_on_log(batch)

    def _follow_forever(self) -> None:
        while True:
            at_end = self._read(_READ_WAIT_MS if self._caught_up else 0)
            if at_end is None:
                self._set_log_up(False, "read failed")
                gevent.sleep(
                    _RETRY_DELAY_S + random.random() * _MAX_RETRY_JITTER_S
                )
                continue
            self._set_log_up(True, "read")
            if at_end:
                self._caught_up = True
                gevent.sleep(_FOLLOW_INTERVAL_S)

    def _read(self, wait_ms: int) -> bool | None:
        """Reads records and folds them.

        Returns:
            Whether the end of the log is reached; None if the read failed.
        """
        records = self._log.read(
            self._stream, self._fold.next_offset, _MAX_READ_RECORDS, wait_ms
        )
        if isinstance(records, LogUnavailable):
            self._metrics.count("log_failures", operation="read")
            return None
        for record in records.records:
            self._fold_record(record.offset, record.data)
        self._fold.skip_to(records.next_offset)
        return self._fold.next_offset >= records.end_offset

    def _fold_record(self, offset: int, data: bytes) -> None:
        batch = self._fold.on_record(offset, data)
        self._owner.on_read(self._clock.now_ms())
        if batch is not None:
            self._resolve(self._owner.on_batch(batch))
        self._metrics.gauge("call_keys", len(self._fold))

    def _resolve(self, decided: list[Decided]) -> None:
        for decision in decided:
            result = self._verdicts.setdefault(decision.id, event.AsyncResult())
            result.set(decision.verdict)
        if self._owner.waiting:
            self._wake.set()

    def _set_log_up(self, up: bool, cause: str) -> None:
        if up != self._log_up:
            log_state("calls.log", up=up, cause=cause)
        self._log_up = up

    def set_window(self, window_ms: int) -> None:
        """Sets how long a key is retained."""
        self._owner.window_ms = window_ms


def _count_cached_bytes(outcome: CallOutcome) -> int:
    headers = sum(len(name) + len(value) for name, value in outcome.headers)
    return _CACHED_OUTCOME_BYTES + headers + len(outcome.body)


def make_journal(
    log: LogService,
    service: str,
    writer: str,
    clock: Clock,
    metrics: Metrics,
    settings: JournalSettings,
    window_ms: int,
) -> CallJournal:
    """Returns a journal that is not started yet."""
    fold = IntentFold()
    owner = IntentOwner(writer, fold, window_ms)
    return CallJournal(log, service, owner, fold, clock, metrics, settings)
