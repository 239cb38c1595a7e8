"""What the owner of a key decides: whether to call, to replay or to refuse."""

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

_BATCH_ENTRIES = 256
_BATCH_BODY_BYTES = 256 * 1024


class _Phase(enum.Enum):
    QUEUED = enum.auto()
    WON = enum.auto()
    CALLING = enum.auto()
    ENDED = enum.auto()


@attrs.define
class _Live:
    """An own intent whose outcome is not on the log yet."""

    intent: Intent
    deadline_ms: int
    phase: _Phase = _Phase.QUEUED
    outcome: CallOutcome | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """A new intent waits to be appended; a `Verdict` follows."""

    id: IntentId


@dataclasses.dataclass(frozen=True, slots=True)
class Joined:
    """The same request already runs here; its answer serves both."""

    id: IntentId


@dataclasses.dataclass(frozen=True, slots=True)
class Replayed:
    """The call has run and its answer is known here."""

    outcome: CallOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class Kept:
    """The call has run and its answer stands on the log."""

    state: IntentState


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The key belongs to another request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """It is not known whether the call has run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The log cannot take an intent now, so that nothing was begun."""


Admitted = (
    Started | Joined | Replayed | Kept | Conflict | Undecided | Unavailable
)


class Verdict(enum.Enum):
    """What became of a started intent.

    Attributes:
        WON: It is first for its key: the owner may call, once.
        LOST: Another intent was first.
        GIVEN_UP: The log did not take it; the call will not be made.
    """

    WON = enum.auto()
    LOST = enum.auto()
    GIVEN_UP = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Decided:
    """The verdict on an intent."""

    id: IntentId
    key: bytes
    verdict: Verdict


@attrs.define
class _Mark:
    since_ms: int
    until_ms: int
    next_offset: int


class _Ages:
    """For how long records have been known, by the own clock.

    Args:
        step_ms: How finely; reads within one step share a mark, and the
            last of them gives its time.
    """

    def __init__(self, step_ms: int = 1000) -> None:
        self._step_ms = step_ms
        self._marks: collections.deque[_Mark] = collections.deque()
        self._horizon = 0

    def on_read(self, now_ms: int, next_offset: int) -> None:
        """Notes that everything before an offset is known now."""
        last = self._marks[-1] if self._marks else None
        if last is None or now_ms - last.since_ms >= self._step_ms:
            self._marks.append(_Mark(now_ms, now_ms, next_offset))
        elif last.next_offset < next_offset:
            last.until_ms = now_ms
            last.next_offset = next_offset

    def horizon(self, now_ms: int, window_ms: int) -> int:
        """Returns the offset before which all is older than the window."""
        marks = self._marks
        while marks and now_ms - marks[0].until_ms >= window_ms:
            self._horizon = marks.popleft().next_offset
        return self._horizon


class IntentOwner:
    """The intents of one process for one service.

    Args:
        writer: Identity of this life of this process.
        fold: The fold of the stream; the caller feeds it, and tells
            `on_batch` of each batch that counted.
        window_ms: For how long a key is remembered.
    """

    def __init__(self, writer: str, fold: IntentFold, window_ms: int) -> None:
        self.window_ms = window_ms
        self._writer = writer
        self._fold = fold
        self._sequence = 0
        self._number = 0
        self._live: dict[bytes, _Live] = {}
        self._queue: collections.deque[Intent | CallOutcome] = (
            collections.deque()
        )
        self._flying: CallBatch | None = None
        self._ages = _Ages()

    def __len__(self) -> int:
        """Own intents whose outcome is not on the log yet."""
        return len(self._live)

    @property
    def waiting(self) -> int:
        """Entries that wait to be appended."""
        return len(self._queue)

    def admit(
        self,
        now_ms: int,
        key: bytes,
        request: bytes,
        within_ms: int,
        *,
        log_available: bool = True,
    ) -> Admitted:
        """Decides about a call.

        Args:
            now_ms: The time.
            key: Digest of account, service and idempotency key.
            request: Digest of the request.
            within_ms: The call is not made later than this from now.
            log_available: Whether a new intent could be appended.
        """
        live = self._live.get(key)
        if live is not None:
            return _admit_live(live, request)
        state = self._fold.lookup(key)
        if state is None or self._has_given_up(state):
            if not log_available:
                return Unavailable()
            return self._start(now_ms, key, request, within_ms)
        if state.request != request:
            return Conflict()
        if state.outcome is OutcomeKind.ANSWERED:
            return Kept(state)
        return Undecided()

    def next_batch(self, now_ms: int) -> CallBatch | None:
        """Returns the next batch to append; None if nothing waits."""
        if self._flying is not None:
            raise AssertionError("two batches of one writer at once")
        if not self._queue:
            return None
        self._sequence += 1
        horizon = self._ages.horizon(now_ms, self.window_ms)
        self._flying = CallBatch(
            self._writer, self._sequence, horizon, self._take()
        )
        return self._flying

    def on_read(self, now_ms: int) -> None:
        """Notes how far the fold has come."""
        self._ages.on_read(now_ms, self._fold.next_offset)

    def on_batch(self, batch: CallBatch) -> list[Decided]:
        """Takes a batch that was just folded; own ones bring verdicts."""
        if batch.writer != self._writer:
            return []
        if self._flying is None or batch.sequence != self._flying.sequence:
            return []
        self._flying = None
        decided = []
        for entry in batch.entries:
            if isinstance(entry, Intent):
                decided.append(self._decide(entry))
            elif entry.kind is not OutcomeKind.VOID:
                self._live.pop(entry.key, None)
        return decided

    def on_append_failed(self) -> list[Decided]:
        """Gives up what could not be appended, after a read-back.

        The log did not show the batch, but may still do so: its intents are
        voided by the next batch, and the sequence makes it late after that.
        Outcomes wait on.
        """
        decided = []
        flying, self._flying = self._flying, None
        waiting, self._queue = self._queue, collections.deque()
        for entry in flying.entries if flying else ():
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
        """Tells, right before the send, whether the call may be made.

        If not, `cancel` must follow.

        Guards against an owner that was paused between its intent and the
        call: when it wakes after the deadline, its caller has long had an
        answer, and once the window has passed another owner may have run
        the key anew. The own monotonic clock shows the pause.
        """
        live = self._live[key]
        if live.phase is not _Phase.WON:
            raise AssertionError("a second call for one intent")
        if now_ms > live.deadline_ms:
            return False
        live.phase = _Phase.CALLING
        return True

    def cancel(self, key: bytes) -> None:
        """Ends an intent whose call has certainly not been made."""
        live = self._live.pop(key)
        if live.phase is not _Phase.WON:
            raise AssertionError("only a call not yet made can be voided")
        self._void(live.intent)

    def finish(self, outcome: CallOutcome) -> None:
        """Takes the outcome of a call that was made."""
        live = self._live[outcome.key]
        if live.phase is not _Phase.CALLING or outcome.id != live.intent.id:
            raise AssertionError("an outcome without its call")
        live.phase = _Phase.ENDED
        live.outcome = outcome
        self._queue.append(outcome)

    def _has_given_up(self, state: IntentState) -> bool:
        """Tells whether a remembered intent is an own, voided one."""
        return state.id.writer == self._writer and state.outcome is None

    def _start(
        self, now_ms: int, key: bytes, request: bytes, within_ms: int
    ) -> Started:
        self._number += 1
        intent = Intent(IntentId(self._writer, self._number), key, request)
        self._live[key] = _Live(intent, now_ms + within_ms)
        self._queue.append(intent)
        return Started(intent.id)

    def _take(self) -> tuple[Intent | CallOutcome, ...]:
        entries: list[Intent | CallOutcome] = []
        size = 0
        while self._queue and len(entries) < _BATCH_ENTRIES:
            entry = self._queue[0]
            if isinstance(entry, CallOutcome):
                size += len(entry.body)
            if entries and size > _BATCH_BODY_BYTES:
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
        # One who has read less of the log may take this intent for the
        # first; the void tells it otherwise.
        self._void(intent)
        return Decided(intent.id, intent.key, Verdict.LOST)

    def _give_up(self, intent: Intent) -> Decided:
        del self._live[intent.key]
        return Decided(intent.id, intent.key, Verdict.GIVEN_UP)

    def _void(self, intent: Intent) -> None:
        self._queue.append(CallOutcome(intent.id, intent.key, OutcomeKind.VOID))


def _admit_live(live: _Live, request: bytes) -> Admitted:
    if live.intent.request != request:
        return Conflict()
    if live.outcome is None:
        return Joined(live.intent.id)
    if live.outcome.kind is OutcomeKind.ANSWERED:
        return Replayed(live.outcome)
    return Undecided()
