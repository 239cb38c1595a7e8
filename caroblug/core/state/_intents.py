"""Determines the first intent of each key from the log's records.

The fold depends on the records alone. All processes that have read up to the
same offset therefore agree on the state of each key and on the intent that
may make its call.
"""

import sys

import attrs

from caroblug.core.state._calls import (
    CallBatch,
    CallOutcome,
    Intent,
    IntentId,
    OutcomeKind,
    decode_batch,
)


@attrs.define
class IntentState:
    """The first intent of a key and its outcome.

    Attributes:
        id: Identity of the intent.
        request: Digest of the request.
        offset: Log offset of the intent.
        outcome: Outcome of the intent; None until it is recorded.
        outcome_offset: Log offset of the outcome.
        later: Later intents of the key that have not been voided.
    """

    id: IntentId
    request: bytes
    offset: int
    outcome: OutcomeKind | None = None
    outcome_offset: int = -1
    later: tuple["IntentState", ...] = ()


@attrs.define
class _LastBatch:
    """The last batch of a writer.

    Attributes:
        sequence: Sequence number of the batch.
        offset: Log offset of the batch.
    """

    sequence: int
    offset: int


class IntentFold:
    """Folds the call records of one log stream.

    The log bounds the memory: each batch carries a horizon, and intents
    before the highest horizon are dropped. Clocks of different processes are
    never compared. The writer of a horizon has known the records before it
    for the whole window by its own clock.
    """

    def __init__(self) -> None:
        self._next_offset = 0
        self._horizon = 0
        self._keys: dict[bytes, IntentState] = {}
        self._last_batches: dict[str, _LastBatch] = {}

    def __len__(self) -> int:
        return len(self._keys)

    @property
    def next_offset(self) -> int:
        """Offset of the first record that is not folded yet."""
        return self._next_offset

    @property
    def horizon(self) -> int:
        """Offset before which all intents are dropped."""
        return self._horizon

    def lookup(self, key: bytes) -> IntentState | None:
        """Returns the state of a key's first intent, or None."""
        return self._keys.get(key)

    def has_batch(self, writer: str, sequence: int) -> bool:
        """Returns whether a writer's batch or a later one has been folded."""
        last = self._last_batches.get(writer)
        return last is not None and last.sequence >= sequence

    def on_record(self, offset: int, data: bytes) -> CallBatch | None:
        """Folds the record at an offset.

        Returns:
            The batch if it takes effect. None if it was read before, if it
            is late or if the data is not a batch.
        """
        if offset < self._next_offset:
            return None
        self._next_offset = offset + 1
        batch = decode_batch(data)
        if batch is None or self._is_late(batch, offset):
            return None
        self._drop_before(batch.horizon)
        for entry in batch.entries:
            if isinstance(entry, Intent):
                self._on_intent(entry, offset)
            else:
                self._on_outcome(entry, offset)
        return batch

    def skip_to(self, offset: int) -> None:
        """Skips records that expired before they were read.

        The intents before the offset have expired as well. They are dropped,
        because one of the skipped records may have voided them, and the key
        would stay undecided. The fold then knows as much as that of a new
        process, which starts at the oldest retained record.
        """
        if offset <= self._next_offset:
            return
        self._next_offset = offset
        for key in list(self._keys):
            while key in self._keys and self._keys[key].offset < offset:
                self._drop_first_intent(key)

    def _is_late(self, batch: CallBatch, offset: int) -> bool:
        """Returns whether the writer's same or a later batch is folded.

        An append whose response was lost may take effect late or twice. By
        then its writer has given up the intents, and a caller may have got
        the response that the call did not run.
        """
        last = self._last_batches.get(batch.writer)
        if last is None:
            writer = sys.intern(batch.writer)
            self._last_batches[writer] = _LastBatch(batch.sequence, offset)
            return False
        if batch.sequence <= last.sequence:
            return True
        last.sequence = batch.sequence
        last.offset = offset
        return False

    def _drop_before(self, horizon: int) -> None:
        if horizon <= self._horizon:
            return
        self._horizon = horizon
        # The keys are almost in the order of their offsets. A key that was
        # moved to the end is retained longer than necessary.
        while self._keys:
            key = next(iter(self._keys))
            if self._keys[key].offset >= horizon:
                break
            self._drop_first_intent(key)
        expired = [
            w for w, b in self._last_batches.items() if b.offset < horizon
        ]
        for writer in expired:
            del self._last_batches[writer]

    def _drop_first_intent(self, key: bytes) -> None:
        """Drops the first intent of a key and makes the next one first.

        A new process reads the log from its oldest retained record. It may
        win with an intent that is a later one for a process that still knows
        an expired intent. When that process drops the expired intent, it must
        retain the winner, or the call could run a second time.
        """
        later = self._keys.pop(key).later
        if later:
            self._keys[key] = attrs.evolve(later[0], later=later[1:])

    def _on_intent(self, intent: Intent, offset: int) -> None:
        identity = IntentId(sys.intern(intent.id.writer), intent.id.number)
        state = IntentState(identity, intent.request, offset)
        first = self._keys.setdefault(intent.key, state)
        if first is not state:
            first.later = (*first.later, state)

    def _on_outcome(self, outcome: CallOutcome, offset: int) -> None:
        first = self._keys.get(outcome.key)
        if first is None:
            return
        for state in (first, *first.later):
            if state.id == outcome.id and state.outcome is None:
                self._record_outcome(first, state, outcome, offset)
                return

    def _record_outcome(
        self,
        first: IntentState,
        state: IntentState,
        outcome: CallOutcome,
        offset: int,
    ) -> None:
        if outcome.kind is not OutcomeKind.VOID:
            state.outcome = outcome.kind
            state.outcome_offset = offset
        elif state is first:
            self._drop_first_intent(outcome.key)
        else:
            first.later = tuple(s for s in first.later if s is not state)
