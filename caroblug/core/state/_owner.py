"""Admission of calls that must run at most once, by the owner of a key.

The owner decides whether to make a call, to replay its recorded answer or to
reject it.
"""

import collections
import dataclasses
import enum

import attrs

from caroblug.core.state._calls import (
    CallBatch,
    CallOutcome,
    Intent,
    IntentId,
    OutcomeKind,
)
from caroblug.core.state._intents import IntentFold, IntentState

_MAX_BATCH_ENTRIES = 256
_MAX_BATCH_BODY_BYTES = 256 * 1024


class _Phase(enum.Enum):
    """The progress of a live intent.

    Attributes:
        QUEUED: The intent is not on the log yet.
        WON: The intent is the first one for its key.
        CALLING: The call is being made.
        ENDED: The outcome is known but not on the log yet.
    """

    QUEUED = enum.auto()
    WON = enum.auto()
    CALLING = enum.auto()
    ENDED = enum.auto()


@attrs.define
class _LiveIntent:
    """An intent of this process whose outcome is not on the log yet.

    Attributes:
        intent: The intent.
        deadline_ms: Time after which the call must not be made.
        phase: Progress of the intent.
        outcome: Outcome of the call, once it is known.
    """

    intent: Intent
    deadline_ms: int
    phase: _Phase = _Phase.QUEUED
    outcome: CallOutcome | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """A new intent is queued for the log; a `Verdict` follows.

    Attributes:
        id: Identity of the intent.
    """

    id: IntentId


@dataclasses.dataclass(frozen=True, slots=True)
class Joined:
    """The same request is already running here and its answer is shared.

    Attributes:
        id: Identity of the running intent.
    """

    id: IntentId


@dataclasses.dataclass(frozen=True, slots=True)
class Replayed:
    """The call has run and its answer is in memory.

    Attributes:
        outcome: Outcome of the call.
    """

    outcome: CallOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class Kept:
    """The call has run and its answer is recorded on the log.

    Attributes:
        state: State of the intent, with the offset of its outcome.
    """

    state: IntentState


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The key was already used for a different request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """It is not known whether the call has run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The log accepts no new intents now, so that nothing was started."""


Admitted = (
    Started | Joined | Replayed | Kept | Conflict | Undecided | Unavailable
)


class Verdict(enum.Enum):
    """The result of a started intent.

    Attributes:
        WON: The intent is the first one for its key; the owner may make the
            call once.
        LOST: Another intent was first.
        GIVEN_UP: The append failed; the call will not be made.
    """

    WON = enum.auto()
    LOST = enum.auto()
    GIVEN_UP = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Decided:
    """The verdict on an intent.

    Attributes:
        id: Identity of the intent.
        key: Key of the intent.
        verdict: The verdict.
    """

    id: IntentId
    key: bytes
    verdict: Verdict


@attrs.define
class _ReadMark:
    """How far the log had been read at some time.

    Attributes:
        since_ms: Time of the first read that the mark covers.
        until_ms: Time of the last read that the mark covers.
        next_offset: Offset that the last read reached.
    """

    since_ms: int
    until_ms: int
    next_offset: int


class _RecordAges:
    """Tracks for how long records have been known, by this process's clock.

    Args:
        step_ms: Resolution. Reads within one step share a mark, and the last
            of them determines its time.
    """

    def __init__(self, step_ms: int = 1000) -> None:
        self._step_ms = step_ms
        self._marks: collections.deque[_ReadMark] = collections.deque()
        self._horizon = 0

    def on_read(self, now_ms: int, next_offset: int) -> None:
        """Notes that all records before an offset are known now."""
        last = self._marks[-1] if self._marks else None
        if last is None or now_ms - last.since_ms >= self._step_ms:
            self._marks.append(_ReadMark(now_ms, now_ms, next_offset))
        elif last.next_offset < next_offset:
            last.until_ms = now_ms
            last.next_offset = next_offset

    def horizon(self, now_ms: int, window_ms: int) -> int:
        """Returns the offset before which all records have left the window."""
        marks = self._marks
        while marks and now_ms - marks[0].until_ms >= window_ms:
            self._horizon = marks.popleft().next_offset
        return self._horizon


class IntentOwner:
    """Manages the intents of one process for one service.

    Args:
        writer: Identity of this run of this process.
        fold: The fold of the service's log stream. The caller adds the
            records and passes each batch that takes effect to `on_batch`.
        window_ms: Time for which a key is remembered.
    """

    def __init__(self, writer: str, fold: IntentFold, window_ms: int) -> None:
        self.window_ms = window_ms
        self._writer = writer
        self._fold = fold
        self._sequence = 0
        self._number = 0
        self._live: dict[bytes, _LiveIntent] = {}
        self._queue: collections.deque[Intent | CallOutcome] = (
            collections.deque()
        )
        self._appending: CallBatch | None = None
        self._record_ages = _RecordAges()

    def __len__(self) -> int:
        """Returns the number of intents without an outcome on the log."""
        return len(self._live)

    @property
    def waiting(self) -> int:
        """Number of entries that are queued for the log."""
        return len(self._queue)

    def knows(self, key: bytes) -> bool:
        """Returns whether a key is remembered."""
        return key in self._live or self._fold.lookup(key) is not None

    def admit(
        self,
        now_ms: int,
        key: bytes,
        request: bytes,
        within_ms: int,
        *,
        log_available: bool = True,
    ) -> Admitted:
        """Decides how to handle a call.

        Args:
            now_ms: Current time.
            key: Digest of client account, service and idempotency key.
            request: Digest of the request.
            within_ms: Time from now after which the call must not be made.
            log_available: Whether the log accepts new intents.
        """
        live = self._live.get(key)
        if live is not None:
            return _admit_live(live, request)
        state = self._fold.lookup(key)
        if state is None or self._is_given_up(state):
            if not log_available:
                return Unavailable()
            return self._start(now_ms, key, request, within_ms)
        if state.request != request:
            return Conflict()
        if state.outcome is OutcomeKind.ANSWERED:
            return Kept(state)
        return Undecided()

    def next_batch(self, now_ms: int) -> CallBatch | None:
        """Returns the next batch to append, or None if the queue is empty."""
        if self._appending is not None:
            raise AssertionError("the previous batch is still being appended")
        if not self._queue:
            return None
        self._sequence += 1
        horizon = self._record_ages.horizon(now_ms, self.window_ms)
        self._appending = CallBatch(
            self._writer, self._sequence, horizon, self._take_from_queue()
        )
        return self._appending

    def on_read(self, now_ms: int) -> None:
        """Notes the offset that the fold has reached."""
        self._record_ages.on_read(now_ms, self._fold.next_offset)

    def on_batch(self, batch: CallBatch) -> list[Decided]:
        """Returns the verdicts of a batch that was just folded.

        Batches of other writers have none.
        """
        if batch.writer != self._writer:
            return []
        if (
            self._appending is None
            or batch.sequence != self._appending.sequence
        ):
            return []
        self._appending = None
        decided = []
        for entry in batch.entries:
            if isinstance(entry, Intent):
                decided.append(self._decide(entry))
            elif entry.kind is not OutcomeKind.VOID:
                self._live.pop(entry.key, None)
        return decided

    def on_append_failed(self) -> list[Decided]:
        """Gives up the intents that are queued or in the failed append.

        The caller has read the log back without finding the batch, but the
        append may still take effect. The next batch therefore voids its
        intents, and the fold ignores the failed batch after that because of
        its sequence number. Outcomes are queued again.
        """
        decided = []
        appending, self._appending = self._appending, None
        waiting, self._queue = self._queue, collections.deque()
        for entry in appending.entries if appending else ():
            if isinstance(entry, Intent):
                decided.append(self._give_up(entry))
                self._void(entry)
            else:
                self._queue.append(entry)
        for entry in waiting:
            if isinstance(entry, Intent):
                decided.append(self._give_up(entry))
            else:
                self._queue.append(entry)
        return decided

    def begin(self, key: bytes, now_ms: int) -> bool:
        """Returns whether the call may be made; call right before sending.

        If it returns False, `cancel` must follow.

        The owner may have been paused between its intent and the call. After
        the deadline its caller has already got a response, and after the
        window another owner may have run the key again. The monotonic clock
        of this process reveals such a pause.
        """
        live = self._live[key]
        if live.phase is not _Phase.WON:
            raise AssertionError(
                "the intent has not won or its call was already made"
            )
        if now_ms > live.deadline_ms:
            return False
        live.phase = _Phase.CALLING
        return True

    def cancel(self, key: bytes) -> None:
        """Voids an intent whose call has certainly not been made."""
        live = self._live.pop(key)
        if live.phase is not _Phase.WON:
            raise AssertionError("only an intent without a call can be voided")
        self._void(live.intent)

    def finish(self, outcome: CallOutcome) -> None:
        """Records the outcome of a call that was made."""
        live = self._live[outcome.key]
        if live.phase is not _Phase.CALLING or outcome.id != live.intent.id:
            raise AssertionError("outcome does not belong to a running call")
        live.phase = _Phase.ENDED
        live.outcome = outcome
        self._queue.append(outcome)

    def _is_given_up(self, state: IntentState) -> bool:
        """Returns whether this process has given up an intent of its own."""
        return state.id.writer == self._writer and state.outcome is None

    def _start(
        self, now_ms: int, key: bytes, request: bytes, within_ms: int
    ) -> Started:
        self._number += 1
        intent = Intent(IntentId(self._writer, self._number), key, request)
        self._live[key] = _LiveIntent(intent, now_ms + within_ms)
        self._queue.append(intent)
        return Started(intent.id)

    def _take_from_queue(self) -> tuple[Intent | CallOutcome, ...]:
        entries: list[Intent | CallOutcome] = []
        size = 0
        while self._queue and len(entries) < _MAX_BATCH_ENTRIES:
            entry = self._queue[0]
            if isinstance(entry, CallOutcome):
                size += len(entry.body)
            if entries and size > _MAX_BATCH_BODY_BYTES:
                break
            entries.append(self._queue.popleft())
        return tuple(entries)

    def _decide(self, intent: Intent) -> Decided:
        state = self._fold.lookup(intent.key)
        live = self._live[intent.key]
        if state is not None and state.id == intent.id:
            live.phase = _Phase.WON
            return Decided(intent.id, intent.key, Verdict.WON)
        del self._live[intent.key]
        # A process that has read less of the log may take this intent for the
        # first one. The void record corrects that.
        self._void(intent)
        return Decided(intent.id, intent.key, Verdict.LOST)

    def _give_up(self, intent: Intent) -> Decided:
        del self._live[intent.key]
        return Decided(intent.id, intent.key, Verdict.GIVEN_UP)

    def _void(self, intent: Intent) -> None:
        self._queue.append(CallOutcome(intent.id, intent.key, OutcomeKind.VOID))


def _admit_live(live: _LiveIntent, request: bytes) -> Admitted:
    if live.intent.request != request:
        return Conflict()
    if live.outcome is None:
        return Joined(live.intent.id)
    if live.outcome.kind is OutcomeKind.ANSWERED:
        return Replayed(live.outcome)
    return Undecided()
