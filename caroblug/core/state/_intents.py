"""Which intent is first for its key: a fold of the log in offset order.

The fold is a function of the records alone: every process that has read up
to an offset agrees on what is remembered there, and on who may call.
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
    """What is remembered of a key.

    Attributes:
        id: The intent that was first.
        request: Digest of its request.
        offset: Where it stands on the log.
        outcome: How it ended; None while that is not known.
        outcome_offset: Where its outcome stands on the log.
        later: Later intents for the key that have not been voided.
    """

    id: IntentId
    request: bytes
    offset: int
    outcome: OutcomeKind | None = None
    outcome_offset: int = -1
    later: tuple["IntentState", ...] = ()


@attrs.define
class _Writer:
    sequence: int
    offset: int


class IntentFold:
    """Folds the records of one stream of calls.

    Memory is bounded by the log itself: a batch carries a horizon, and what
    stands before the highest horizon read is forgotten. Clocks are never
    compared: the writer of a horizon has held the records before it for the
    whole window by its own clock.
    """

    def __init__(self) -> None:
        self._next_offset = 0
        self._horizon = 0
        self._keys: dict[bytes, IntentState] = {}
        self._writers: dict[str, _Writer] = {}

    def __len__(self) -> int:
        return len(self._keys)

    @property
    def next_offset(self) -> int:
        """Offset of the first record not yet folded."""
        return self._next_offset

    @property
    def horizon(self) -> int:
        """What stands before this offset is forgotten."""
        return self._horizon

    def lookup(self, key: bytes) -> IntentState | None:
        """Returns what is remembered of a key."""
        return self._keys.get(key)

    def has_batch(self, writer: str, sequence: int) -> bool:
        """Tells whether a writer's batch has been folded."""
        known = self._writers.get(writer)
        return known is not None and known.sequence >= sequence

    def on_record(self, offset: int, data: bytes) -> CallBatch | None:
        """Folds the record at an offset.

        Returns:
            The batch if it counted, None if it was read before, is late or
            is not a batch.
        """
        if offset < self._next_offset:
            return None
        self._next_offset = offset + 1
        batch = decode_batch(data)
        if batch is None or self._is_late(batch, offset):
            return None
        self._forget(batch.horizon)
        for entry in batch.entries:
            if isinstance(entry, Intent):
                self._on_intent(entry, offset)
            else:
                self._on_outcome(entry, offset)
        return batch

    def skip_to(self, offset: int) -> None:
        """Passes over records that have expired unread."""
        self._next_offset = max(self._next_offset, offset)

    def _is_late(self, batch: CallBatch, offset: int) -> bool:
        """Tells whether the writer has already written a later batch.

        Guards against an append whose answer was lost and which takes effect
        late, or twice: its writer has given those intents up by then, and a
        caller may have been told that the call did not run.
        """
        known = self._writers.get(batch.writer)
        if known is None:
            writer = sys.intern(batch.writer)
            self._writers[writer] = _Writer(batch.sequence, offset)
            return False
        if batch.sequence <= known.sequence:
            return True
        known.sequence = batch.sequence
        known.offset = offset
        return False

    def _forget(self, horizon: int) -> None:
        if horizon <= self._horizon:
            return
        self._horizon = horizon
        # Keys are held nearly in the order of their offsets; one that has
        # moved to the end is remembered for longer.
        while self._keys:
            key = next(iter(self._keys))
            if self._keys[key].offset >= horizon:
                break
            self._drop_first(key)
        old = [w for w, k in self._writers.items() if k.offset < horizon]
        for writer in old:
            del self._writers[writer]

    def _drop_first(self, key: bytes) -> None:
        """Forgets the first intent of a key and makes the next one first.

        Guards against a second run by one who has read more than another: a
        new process reads the log from its oldest kept record and may win with
        an intent that is not first for a process which still remembers an
        expired one. When that one is forgotten, the winner must stay known.
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
                self._end(first, state, outcome, offset)
                return

    def _end(
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
            self._drop_first(outcome.key)
        else:
            first.later = tuple(s for s in first.later if s is not state)
