"""Tests of calls that must run at most once, with an unreliable log.

They guard against a call that runs twice, and against a call that runs after
its caller got the response that it did not. Owners crash and pause at each
step, two processes believe that they own a key, and appends to the log are
lost, late or duplicated.
"""

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from caroblug.core.state import (
    CallOutcome,
    IntentFold,
    IntentOwner,
    Joined,
    Kept,
    OutcomeKind,
    Replayed,
    Started,
    Unavailable,
    Verdict,
    decode_batch,
    digest_parts,
    encode_batch,
)

_WINDOW_MS = 4000
_WITHIN_MS = 500
_RETENTION_MS = 5000
_OWNERS = 3
_KEYS = [digest_parts(bytes([n])) for n in range(2)]
_REQUESTS = [digest_parts(b"seats", bytes([n])) for n in range(2)]
_READ_LIMIT = 1000


@attrs.define
class _Log:
    """A log with record times, expiry and appends that take effect late."""

    start: int = 0
    records: list = attrs.field(factory=list)
    late: list = attrs.field(factory=list)

    @property
    def end(self):
        return self.start + len(self.records)

    def append(self, now_ms, data):
        self.records.append((now_ms, data))

    def expire(self, now_ms):
        while self.records and now_ms - self.records[0][0] > _RETENTION_MS:
            self.records.pop(0)
            self.start += 1


class _Owner:
    """An owner process: the fold, the owner and the state of its calls."""

    def __init__(self, writer):
        self.writer = writer
        self.fold = IntentFold()
        self.core = IntentOwner(writer, self.fold, _WINDOW_MS)
        self.appending = None
        self.won = {}
        self.running = {}
        self.reported_not_run = set()

    def read(self, log, now_ms, limit=_READ_LIMIT):
        self.fold.skip_to(log.start)
        first = self.fold.next_offset
        for offset in range(first, min(first + limit, log.end)):
            data = log.records[offset - log.start][1]
            batch = self.fold.on_record(offset, data)
            self.core.on_read(now_ms)
            if batch is not None:
                self.take(self.core.on_batch(batch))

    def take(self, decided):
        for one in decided:
            if one.verdict is Verdict.WON:
                self.won[one.key] = one.id
            elif one.verdict is Verdict.GIVEN_UP:
                self.reported_not_run.add(one.id)

    def settle(self, log, now_ms):
        """Reads the log back after an append, as the call journal does."""
        batch, self.appending = self.appending, None
        self.read(log, now_ms)
        if not self.fold.has_batch(batch.writer, batch.sequence):
            self.take(self.core.on_append_failed())


class Calls(stateful.RuleBasedStateMachine):
    """State machine of owners, a log and the time."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.log = _Log()
        self.lives = 0
        self.runs = {key: [] for key in _KEYS}
        self.reported_not_run = set()
        self.owners = [self._make_owner() for _ in range(_OWNERS)]

    def _make_owner(self):
        self.lives += 1
        owner = _Owner(f"owner-{self.lives}")
        owner.reported_not_run = self.reported_not_run
        return owner

    @stateful.rule(
        owner=st.integers(0, _OWNERS - 1),
        key=st.sampled_from(_KEYS),
        request=st.sampled_from(_REQUESTS),
        log_available=st.booleans(),
    )
    def send(self, owner, key, request, log_available):
        at = self.owners[owner]
        before = at.core.waiting
        admitted = at.core.admit(
            self.now_ms, key, request, _WITHIN_MS, log_available=log_available
        )
        assert (at.core.waiting > before) == isinstance(admitted, Started)
        if isinstance(admitted, Unavailable):
            assert not log_available

    @stateful.rule(
        owner=st.integers(0, _OWNERS - 1),
        written=st.sampled_from(["once", "twice", "late", "never"]),
    )
    def append(self, owner, written):
        at = self.owners[owner]
        if at.appending is not None:
            return
        at.appending = at.core.next_batch(self.now_ms)
        if at.appending is None:
            return
        data = encode_batch(at.appending)
        assert decode_batch(data) == at.appending
        if written in ("once", "twice"):
            self.log.append(self.now_ms, data)
        if written in ("late", "twice"):
            self.log.late.append(data)

    @stateful.rule(
        owner=st.integers(0, _OWNERS - 1),
        key=st.sampled_from(_KEYS),
        written=st.sampled_from(["once", "once", "twice", "late", "never"]),
        answered=st.booleans(),
    )
    def book(self, owner, key, written, answered):
        """Runs a whole call in one step, so that long histories are covered."""
        self.send(owner, key, _REQUESTS[0], True)
        self.append(owner, written)
        self.settle(owner)
        self.call(owner)
        if answered:
            self.answer(owner, OutcomeKind.ANSWERED)

    @stateful.rule(
        owners=st.permutations(range(_OWNERS)), key=st.sampled_from(_KEYS)
    )
    def race(self, owners, key):
        """Sends one key to two owners at once, as with differing views."""
        for owner in owners[:2]:
            self.send(owner, key, _REQUESTS[0], True)
            self.append(owner, "once")
        for owner in owners:
            self.settle(owner)
            self.call(owner)

    @stateful.rule(owner=st.integers(0, _OWNERS - 1))
    def settle(self, owner):
        if self.owners[owner].appending is not None:
            self.owners[owner].settle(self.log, self.now_ms)

    @stateful.rule(owner=st.integers(0, _OWNERS - 1), limit=st.integers(1, 3))
    def read(self, owner, limit):
        self.owners[owner].read(self.log, self.now_ms, limit)

    @stateful.rule()
    def take_effect_late(self):
        if self.log.late:
            self.log.append(self.now_ms, self.log.late.pop(0))

    @stateful.rule(owner=st.integers(0, _OWNERS - 1))
    def call(self, owner):
        at = self.owners[owner]
        if not at.won:
            return
        key, intent = at.won.popitem()
        if not at.core.begin(key, self.now_ms):
            at.core.cancel(key)
            self.reported_not_run.add(intent)
            return
        assert intent not in self.reported_not_run
        self.runs[key].append(self.now_ms)
        at.running[key] = intent

    @stateful.rule(
        owner=st.integers(0, _OWNERS - 1),
        kind=st.sampled_from([OutcomeKind.ANSWERED, OutcomeKind.UNKNOWN]),
    )
    def answer(self, owner, kind):
        at = self.owners[owner]
        if at.running:
            key, intent = at.running.popitem()
            at.core.finish(CallOutcome(intent, key, kind))

    @stateful.rule(owner=st.integers(0, _OWNERS - 1))
    def fail_to_connect(self, owner):
        at = self.owners[owner]
        if at.won:
            key, intent = at.won.popitem()
            at.core.cancel(key)
            self.reported_not_run.add(intent)

    @stateful.rule(ms=st.sampled_from([1, 1, 50, 400, 1100, 1500, 3900, 4500]))
    def advance(self, ms):
        self.now_ms += ms
        self.log.expire(self.now_ms)

    @stateful.rule(owner=st.integers(0, _OWNERS - 1))
    def crash(self, owner):
        self.owners[owner] = self._make_owner()

    @stateful.invariant()
    def at_most_one_run_in_the_window(self):
        for times in self.runs.values():
            for earlier, later in zip(times, times[1:], strict=False):
                assert later - earlier > _WINDOW_MS - _WITHIN_MS

    @stateful.invariant()
    def folds_agree(self):
        """Checks that folds of the same range of the log agree."""
        seen = {}
        for owner in self.owners:
            fold = owner.fold
            at = (fold.next_offset, fold.horizon)
            for key in _KEYS:
                state = fold.lookup(key)
                if state is None or self.log.start:
                    continue
                known = seen.setdefault((*at, key), state)
                assert known == state

    def teardown(self):
        """Checks that intents given up by live owners block no key."""
        while self.log.late:
            self.take_effect_late()
        for _ in range(3):
            for owner in range(_OWNERS):
                self.settle(owner)
                self.append(owner, "once")
                self.settle(owner)
        for at in self.owners:
            at.read(self.log, self.now_ms)
        living = {at.writer: at for at in self.owners}
        for key in _KEYS:
            state = self.owners[0].fold.lookup(key)
            if state is None or state.outcome is not None:
                continue
            if state.id.writer in living:
                assert state.id not in self.reported_not_run


Calls.TestCase.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=40, report_multiple_bugs=False
)
TestCalls = Calls.TestCase


def _commit(owner, log, now_ms):
    owner.appending = owner.core.next_batch(now_ms)
    log.append(now_ms, encode_batch(owner.appending))
    owner.settle(log, now_ms)


def test_paused_owner_does_not_call_after_its_deadline():
    """Guards against a second run of a call by an owner that was paused.

    The owner is paused between its intent and the call. The window passes,
    another owner runs the key again, and then the first one resumes.
    """
    log = _Log()
    paused, other = _Owner("paused"), _Owner("other")
    admit = (_KEYS[0], _REQUESTS[0], _WITHIN_MS)
    paused.core.admit(0, *admit)
    _commit(paused, log, 0)
    assert _KEYS[0] in paused.won
    other.read(log, 1)
    other.core.admit(_WINDOW_MS + 1, _KEYS[1], *admit[1:])
    _commit(other, log, _WINDOW_MS + 1)
    assert isinstance(other.core.admit(_WINDOW_MS + 2, *admit), Started)
    _commit(other, log, _WINDOW_MS + 2)
    assert other.core.begin(_KEYS[0], _WINDOW_MS + 3)
    assert not paused.core.begin(_KEYS[0], _WINDOW_MS + 4)


def test_second_owner_replays_the_answer_from_the_log():
    """Guards against a second run of a call at a new owner.

    A caller resends a call after the instance of its owner has gone. The new
    owner reads the log from its oldest record and replays the answer.
    """
    log = _Log()
    first, second = _Owner("first"), _Owner("second")
    first.core.admit(0, _KEYS[0], _REQUESTS[0], _WITHIN_MS)
    _commit(first, log, 0)
    assert first.core.begin(_KEYS[0], 1)
    outcome = CallOutcome(
        first.won[_KEYS[0]], _KEYS[0], OutcomeKind.ANSWERED, 201, (), b"seat 4"
    )
    admit = (2, _KEYS[0], _REQUESTS[0], _WITHIN_MS)
    assert isinstance(first.core.admit(*admit), Joined)
    first.core.finish(outcome)
    assert first.core.admit(*admit) == Replayed(outcome)
    _commit(first, log, 3)
    second.read(log, 4)
    kept = second.core.admit(*admit)
    assert isinstance(kept, Kept)
    recorded = decode_batch(log.records[kept.state.outcome_offset][1])
    assert recorded.entries == (outcome,)


def test_key_is_dropped_after_the_window():
    """Guards against unbounded memory of a long-lived owner.

    Each batch carries the offset before which its writer has known all records
    for the whole window. Intents before that offset are dropped.
    """
    log = _Log()
    owner = _Owner("owner")
    for number in range(50):
        key = digest_parts(str(number).encode())
        now_ms = number * 1000
        owner.core.admit(now_ms, key, _REQUESTS[0], _WITHIN_MS)
        _commit(owner, log, now_ms)
        owner.core.cancel(key)
        owner.won.clear()
        owner.core.admit(now_ms, key, _REQUESTS[0], _WITHIN_MS)
        _commit(owner, log, now_ms)
        assert owner.core.begin(key, now_ms)
    assert len(owner.fold) <= _WINDOW_MS / 1000 + 2


def test_append_that_takes_effect_late_blocks_no_key():
    """Guards against an undecided call that never ran.

    An append times out and the caller gets the response that the call did not
    run. The append then takes effect after the owner's next one. Without the
    check of sequence numbers, the key would stay undecided for half an hour.
    """
    log = _Log()
    owner = _Owner("owner")
    owner.core.admit(0, _KEYS[0], _REQUESTS[0], _WITHIN_MS)
    late = owner.appending = owner.core.next_batch(0)
    owner.settle(log, 1)
    assert owner.reported_not_run == {late.entries[0].id}
    _commit(owner, log, 2)
    log.append(3, encode_batch(late))
    owner.read(log, 3)
    assert owner.fold.lookup(_KEYS[0]) is None


def test_key_is_free_where_an_expired_void_record_was_skipped():
    """Guards against an intent that blocks its key although it was voided."""
    log = _Log()
    owner, paused = _Owner("owner"), _Owner("paused")
    owner.core.admit(0, _KEYS[0], _REQUESTS[0], _WITHIN_MS)
    _commit(owner, log, 0)
    paused.read(log, 1)
    assert paused.fold.lookup(_KEYS[0]) is not None
    owner.core.cancel(_KEYS[0])
    _commit(owner, log, 2)
    log.expire(_RETENTION_MS + 3)
    paused.read(log, _RETENTION_MS + 3)
    assert paused.fold.lookup(_KEYS[0]) is None
