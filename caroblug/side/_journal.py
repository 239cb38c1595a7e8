"""Writes intents and outcomes to the log, many at once, and follows it."""

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
_READ_LIMIT = 500
_WAIT_MS = 1000
_FOLLOW_S = 0.1
_LINGER_S = 0.05
_RETRY_S = 0.2
_RETRY_JITTER_S = 0.2
_MAX_INTERVAL_MS = 500
_ANSWERS_BYTES = 4 * 1024 * 1024
_MS_PER_S = 1000


@attrs.frozen
class JournalSettings:
    """How a journal writes.

    Attributes:
        interval_ms: Least time between the starts of two appends, so that
            all owners together stay under the log's rate.
    """

    interval_ms: int = 10


class CallJournal:
    """The log of one service's calls, as one owner sees it.

    Args:
        log: The log service.
        service: Name of the service.
        owner: Decides; made for the same fold.
        fold: The fold of the service's stream.
        clock: Source of time.
        metrics: Where batches are counted.
        settings: How it writes.
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
        self._urgent = event.Event()
        self._verdicts: dict[IntentId, event.AsyncResult] = {}
        self._answers: collections.OrderedDict[IntentId, CallOutcome] = (
            collections.OrderedDict()
        )
        self._answers_bytes = 0
        self._caught_up = False
        self._up = False
        self._appended_ms = 0

    @property
    def ready(self) -> bool:
        """Whether the log answers and its end was reached once."""
        return self._caught_up and self._up

    @property
    def caught_up(self) -> bool:
        """Whether the log's end was reached once: earlier keys are known."""
        return self._caught_up

    @property
    def pending(self) -> int:
        """Intents and outcomes that are not on the log yet."""
        return len(self._owner) + self._owner.waiting

    def start(self) -> None:
        """Starts to follow and to write."""
        gevent.spawn(self._follow_forever)
        gevent.spawn(self._write_forever)

    def admit(self, key: bytes, request: bytes, within_ms: int) -> Admitted:
        """Decides about a call; a new intent is queued."""
        now_ms = self._clock.now_ms()
        admitted = self._owner.admit(
            now_ms, key, request, within_ms, log_available=self.ready
        )
        if isinstance(admitted, Started):
            self._urgent.set()
        self._wake.set()
        return admitted

    def wait_verdict(self, intent: IntentId) -> Verdict:
        """Blocks until it is known whether an intent is first."""
        result = self._verdicts.setdefault(intent, event.AsyncResult())
        try:
            return result.get()
        finally:
            del self._verdicts[intent]

    def begin(self, key: bytes) -> bool:
        """Tells, right before the send, whether a call may be made."""
        begun = self._owner.begin(key, self._clock.now_ms())
        if not begun:
            self._metrics.count("calls_past_deadline")
        return begun

    def cancel(self, key: bytes) -> None:
        """Ends an intent whose call has not been made."""
        self._owner.cancel(key)
        self._wake.set()

    def finish(self, outcome: CallOutcome) -> None:
        """Records an outcome; the caller need not wait for it."""
        self._keep(outcome)
        self._owner.finish(outcome)
        self._wake.set()

    def lookup(self, key: bytes) -> IntentState | None:
        """Returns what is remembered of a key."""
        return self._fold.lookup(key)

    def answer(self, state: IntentState) -> CallOutcome | None:
        """Returns a recorded answer, from the log if need be."""
        kept = self._answers.get(state.id)
        if kept is not None:
            return kept
        records = self._log.read(self._stream, state.outcome_offset, limit=1)
        if isinstance(records, LogUnavailable) or not records.records:
            return None
        batch = decode_batch(records.records[0].data)
        for entry in batch.entries if batch else ():
            if isinstance(entry, CallOutcome) and entry.id == state.id:
                return entry
        return None

    def _keep(self, outcome: CallOutcome) -> None:
        self._answers[outcome.id] = outcome
        self._answers_bytes += len(outcome.body)
        while self._answers_bytes > _ANSWERS_BYTES:
            _, oldest = self._answers.popitem(last=False)
            self._answers_bytes -= len(oldest.body)

    def _write_forever(self) -> None:
        while True:
            self._wake.wait()
            # Outcomes wait a little for intents, whose callers wait: at a
            # low rate an outcome then shares the next call's append.
            self._urgent.wait(_LINGER_S)
            self._urgent.clear()
            self._pace()
            if not self._up and not self._probe():
                continue
            batch = self._owner.next_batch(self._clock.now_ms())
            if batch is None:
                self._wake.clear()
                continue
            self._commit(batch)

    def _probe(self) -> bool:
        """Gives up what waits while the log is down, and waits for it."""
        self._resolve(self._owner.on_append_failed())
        gevent.sleep(_RETRY_S)
        return self._up

    def _pace(self) -> None:
        wait_ms = self._appended_ms + self._interval_ms - self._clock.now_ms()
        if wait_ms > 0:
            gevent.sleep(wait_ms / _MS_PER_S)

    def _commit(self, batch: CallBatch) -> None:
        """Appends a batch and folds the log up to it.

        Guards against an append whose answer is lost after it took effect:
        the log is read from the last known offset before anything else, and
        the batch is never appended again.
        """
        since_ms = self._appended_ms = self._clock.now_ms()
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
        if not self._is_in(batch) and not self._read_back(batch):
            self._set_up(False, "append failed")
            self._resolve(self._owner.on_append_failed())

    def _is_in(self, batch: CallBatch) -> bool:
        return self._fold.has_batch(batch.writer, batch.sequence)

    def _read_back(self, batch: CallBatch) -> bool:
        """Reads to the log's end and tells whether the batch is there."""
        while not self._is_in(batch):
            at_end = self._read(wait_ms=0)
            if at_end is not False:
                break
        return self._is_in(batch)

    def _follow_forever(self) -> None:
        while True:
            at_end = self._read(_WAIT_MS if self._caught_up else 0)
            if at_end is None:
                self._set_up(False, "read failed")
                gevent.sleep(_RETRY_S + random.random() * _RETRY_JITTER_S)
                continue
            self._set_up(True, "read")
            if at_end:
                self._caught_up = True
                gevent.sleep(_FOLLOW_S)

    def _read(self, wait_ms: int) -> bool | None:
        """Reads and folds; None if the log failed, else whether at its end."""
        records = self._log.read(
            self._stream, self._fold.next_offset, _READ_LIMIT, wait_ms
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
        for one in decided:
            result = self._verdicts.setdefault(one.id, event.AsyncResult())
            result.set(one.verdict)
        if self._owner.waiting:
            self._wake.set()

    def _set_up(self, up: bool, cause: str) -> None:
        if up != self._up:
            log_state("calls.log", up=up, cause=cause)
        self._up = up

    def set_window(self, window_ms: int) -> None:
        """Sets for how long a key is remembered."""
        self._owner.window_ms = window_ms


def make_journal(
    log: LogService,
    service: str,
    writer: str,
    clock: Clock,
    metrics: Metrics,
    settings: JournalSettings,
    window_ms: int,
) -> CallJournal:
    """Returns a journal that has not been started."""
    fold = IntentFold()
    owner = IntentOwner(writer, fold, window_ms)
    return CallJournal(log, service, owner, fold, clock, metrics, settings)
