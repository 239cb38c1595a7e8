"""Leases of engines: side processes that pause, over a log that loses answers.

An engine serves the wrong model after a change of configuration: an old side
process, paused past its lease, wakes up and gives its last order, or two side
processes believe at once that they may give orders.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from caroblug.core.state import (
    Held,
    LeaseFold,
    LeaseHolder,
    LeaseRecord,
    OutdatedBundle,
    decode_lease,
    encode_lease,
)

_TERM_MS = 1000
_SIDES = 3
_ENGINE = "engine-a"


class _Side:
    """One side process; `drift` makes its clock run faster or slower."""

    def __init__(self, name, drift):
        self.drift = drift
        self.fold = LeaseFold(_ENGINE)
        self.holder = LeaseHolder(_ENGINE, name, self.fold, _TERM_MS)
        self.checked = None

    def clock(self, now_ms):
        return int(now_ms * self.drift)

    def read(self, log, now_ms):
        for offset in range(self.fold.next_offset, len(log)):
            self.fold.on_record(offset, log[offset])
        self.holder.on_read(self.clock(now_ms))


class Leases(stateful.RuleBasedStateMachine):
    """Drives side processes, the log, the time and two engines."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.log = []
        self.late = []
        self.lives = 0
        self.highest = -1
        self.sides = [self._make_side(n) for n in range(_SIDES)]

    def _make_side(self, number):
        self.lives += 1
        return _Side(f"side-{self.lives}", (1.0, 1.02, 0.98)[number])

    @stateful.rule(
        side=st.integers(0, _SIDES - 1),
        written=st.sampled_from(["once", "once", "twice", "late", "never"]),
        release=st.booleans(),
    )
    def append(self, side, written, release):
        at = self.sides[side]
        now_ms = at.clock(self.now_ms)
        record = at.holder.release(now_ms) if release else None
        record = record or at.holder.next_step(now_ms, 1)
        if not isinstance(record, LeaseRecord):
            return
        data = encode_lease(record)
        assert decode_lease(data) == record
        if written in ("once", "twice"):
            self.log.append(data)
        if written in ("late", "twice"):
            self.late.append(data)
        at.read(self.log, self.now_ms)

    @stateful.rule(
        sides=st.permutations(range(_SIDES)),
    )
    def race(self, sides):
        """Two successors that have waited out the same lease."""
        records = []
        for side in sides[:2]:
            at = self.sides[side]
            record = at.holder.next_step(at.clock(self.now_ms), 1)
            if isinstance(record, LeaseRecord):
                records.append(encode_lease(record))
        self.log.extend(records)
        for side in sides[:2]:
            self.sides[side].read(self.log, self.now_ms)

    @stateful.rule()
    def take_effect_late(self):
        if self.late:
            self.log.append(self.late.pop(0))

    @stateful.rule(side=st.integers(0, _SIDES - 1))
    def read(self, side):
        self.sides[side].read(self.log, self.now_ms)

    @stateful.rule(ms=st.sampled_from([1, 200, 990, 1000, 1100]))
    def advance(self, ms):
        self.now_ms += ms

    @stateful.rule(side=st.integers(0, _SIDES - 1))
    def crash(self, side):
        self.sides[side] = self._make_side(side)

    @stateful.rule(side=st.integers(0, _SIDES - 1))
    def check(self, side):
        """The look at the clock; a pause may follow before the send."""
        at = self.sides[side]
        held = at.holder.next_step(at.clock(self.now_ms), 1)
        at.checked = held.number if isinstance(held, Held) else None

    @stateful.rule(side=st.integers(0, _SIDES - 1))
    def send(self, side):
        """An order reaches an engine that checks numbers."""
        number = self.sides[side].checked
        if number is not None:
            self.highest = max(self.highest, number)

    @stateful.invariant()
    def one_may_order(self):
        numbers = [
            at.holder.fencing_number(at.clock(self.now_ms)) for at in self.sides
        ]
        assert sum(n is not None for n in numbers) <= 1

    @stateful.invariant()
    def successor_is_not_fenced_out(self):
        for at in self.sides:
            number = at.holder.fencing_number(at.clock(self.now_ms))
            if number is not None:
                assert number >= self.highest


Leases.TestCase.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=40, report_multiple_bugs=False
)
TestLeases = Leases.TestCase


def test_paused_holder_may_not_order_when_it_wakes():
    """A paused side process wakes up and orders the model of last week.

    Its term has passed by its own clock; the successor has a higher number.
    """
    log = []
    paused, next_one = _Side("paused", 1.0), _Side("next", 1.0)
    log.append(encode_lease(paused.holder.next_step(0, 1)))
    paused.read(log, 1)
    assert paused.holder.next_step(2, 1) == Held(0)
    next_one.read(log, 500)
    assert paused.holder.fencing_number(_TERM_MS) is None
    waited_ms = 500 + _TERM_MS * 11 // 10
    log.append(encode_lease(next_one.holder.next_step(waited_ms, 1)))
    next_one.read(log, waited_ms)
    assert next_one.holder.next_step(waited_ms, 1) == Held(1)
    assert paused.holder.fencing_number(waited_ms) is None


def test_holder_with_an_old_bundle_does_not_order():
    """An engine goes back to the layers of an hour ago, for a moment.

    A side process wakes up before it has read the newer bundle and finds the
    lease free; whoever freed it had followed a newer bundle.
    """
    log = []
    newer, old = _Side("newer", 1.0), _Side("old", 1.0)
    log.append(encode_lease(newer.holder.next_step(0, 2)))
    newer.read(log, 1)
    early = encode_lease(LeaseRecord(_ENGINE, "old", 1, 0, _TERM_MS, 1))
    log.append(early)
    log.append(encode_lease(newer.holder.release(2)))
    old.read(log, 3)
    assert old.holder.next_step(9 * _TERM_MS, 1) == OutdatedBundle()
    assert old.fold.lease.record.holder == "newer"
    assert isinstance(old.holder.next_step(9 * _TERM_MS, 2), LeaseRecord)
