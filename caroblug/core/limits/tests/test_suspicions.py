"""Tests that one request causes few crashes, however it is resent."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from caroblug.core.limits import (
    RunGate,
    Suspicion,
    Suspicions,
    Ticket,
    Verdict,
)

_ENTRIES = ("entry-a", "entry-b", "entry-c")
_EXPIRE_MS = 600_000
_TERM_MS = 60_000
_BAD, _GOOD = "bad", "good"


class PoisonMachine(RuleBasedStateMachine):
    """Model of a caller that resends one bad request through every entry.

    Each engine that runs it crashes, along with another request in the same
    batch. The account's home lets one copy run at a time and passes on the
    suspicions; an entry may die before it has reported one crash.
    """

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.gate = RunGate(_TERM_MS)
        self.known = {name: Suspicions() for name in (*_ENTRIES, "home")}
        self.running = {}
        self.numbers = 0
        self.crashes = 0
        self.unreported = 0
        self.waiting = []

    def _record(self, name, suspicion):
        self.known[name].on_suspicion(suspicion, self.now_ms)

    def _admit(self, fingerprint, ticket):
        if ticket is None:
            return
        self.waiting = [w for w in self.waiting if w != ticket]
        for suspicion in self.known["home"].for_request(
            fingerprint, self.now_ms
        ):
            self._record(ticket.entry, suspicion)
        verdict = self.known[ticket.entry].verdict(fingerprint, self.now_ms)
        if verdict is Verdict.QUARANTINED:
            self._leave(fingerprint, ticket)
            return
        self.running[ticket] = fingerprint

    def _leave(self, fingerprint, ticket):
        self.running.pop(ticket, None)
        following = self.gate.leave(fingerprint, ticket, self.now_ms)
        self._admit(fingerprint, following)

    @rule(entry=st.sampled_from(_ENTRIES))
    def send(self, entry):
        if self.known[entry].verdict(_BAD, self.now_ms) is Verdict.QUARANTINED:
            return
        self.numbers += 1
        ticket = Ticket(entry, self.numbers)
        if self.gate.enter(_BAD, ticket, self.now_ms):
            self._admit(_BAD, ticket)
        else:
            self.waiting.append(ticket)

    @rule(reported=st.booleans(), companion=st.booleans())
    def run(self, reported, companion):
        tickets = [t for t, f in self.running.items() if f == _BAD]
        if not tickets:
            return
        ticket = tickets[0]
        verdict = self.known[ticket.entry].verdict(_BAD, self.now_ms)
        self.crashes += 1
        crash = f"crash-{self.crashes}"
        if not reported and self.unreported == 0:
            self.unreported += 1
            self._leave(_BAD, ticket)
            return
        suspects = [_BAD]
        if companion and verdict is Verdict.CLEAR:
            suspects.append(_GOOD)
        for fingerprint in suspects:
            suspicion = Suspicion(
                fingerprint, "school-1", crash, 5, False, _EXPIRE_MS
            )
            for name in (ticket.entry, "home"):
                self._record(name, suspicion)
        self._retry(ticket)
        self._answer_companion()

    def _retry(self, ticket):
        verdict = self.known[ticket.entry].verdict(_BAD, self.now_ms)
        if verdict is Verdict.QUARANTINED:
            self._leave(_BAD, ticket)

    def _answer_companion(self):
        for known in self.known.values():
            verdict = known.verdict(_GOOD, self.now_ms)
            assert verdict is not Verdict.QUARANTINED
            known.clear(_GOOD, 6, self.now_ms)

    @rule(ms=st.integers(1, 1000))
    def wait(self, ms):
        self.now_ms += ms
        for fingerprint, ticket in self.gate.drop_expired(self.now_ms):
            self._admit(fingerprint, ticket)

    @invariant()
    def crashes_are_bounded(self):
        assert self.crashes <= 3

    @invariant()
    def one_copy_runs_at_a_time(self):
        assert len(self.running) <= 1


TestPoison = PoisonMachine.TestCase
TestPoison.settings = settings(max_examples=200, stateful_step_count=40)


def _suspicion(crash, cleared=False, expire_ms=1000):
    return Suspicion("f", "school-1", crash, 5, cleared, expire_ms)


def test_crash_reported_several_times_counts_once():
    known = Suspicions()
    assert known.on_suspicion(_suspicion("one"), 0)
    assert not known.on_suspicion(_suspicion("one"), 0)
    assert known.verdict("f", 0) is Verdict.SUSPECT
    assert known.on_suspicion(_suspicion("two"), 0)
    assert known.verdict("f", 0) is Verdict.QUARANTINED


def test_cleared_suspicion_stays_cleared_after_a_late_report():
    """A harmless request is refused because an old suspicion arrives again."""
    known = Suspicions()
    known.on_suspicion(_suspicion("one"), 0)
    assert known.isolate_until("f", 0) == 5
    assert known.clear("f", 5, 0) == []
    cleared = known.clear("f", 6, 0)
    assert [s.cleared for s in cleared] == [True]
    assert not known.on_suspicion(_suspicion("one"), 0)
    known.on_suspicion(_suspicion("two"), 0)
    assert known.verdict("f", 0) is Verdict.SUSPECT


def test_quarantine_expires_and_cannot_be_cleared():
    known = Suspicions()
    known.on_suspicion(_suspicion("one"), 0)
    known.on_suspicion(_suspicion("two"), 500)
    assert known.clear("f", 6, 600) == []
    assert known.remaining_ms("f", 600) == 900
    assert known.verdict("f", 1499) is Verdict.QUARANTINED
    assert known.verdict("f", 1500) is Verdict.CLEAR
    assert len(known) == 0


def test_records_are_bounded():
    known = Suspicions()
    for number in range(10_000):
        suspicion = Suspicion(f"f{number}", "s", "c", 5, False, 1000)
        known.on_suspicion(suspicion, 0)
    assert len(known) <= 4096


def test_next_request_runs_after_the_entry_of_the_running_one_died():
    gate = RunGate(_TERM_MS)
    first, second = Ticket("entry-a", 1), Ticket("entry-b", 1)
    assert gate.enter("f", first, 0)
    assert not gate.enter("f", second, 0)
    assert gate.drop_entry("entry-a", 10) == [("f", second)]
    assert gate.leave("f", second, 20) is None
    assert len(gate) == 0


def test_proved_requests_run_at_once_until_a_crash():
    gate = RunGate(_TERM_MS)
    tickets = [Ticket("entry-a", number) for number in range(4)]
    entered = [gate.enter("f", ticket, 0) for ticket in tickets]
    assert entered == [True, False, False, False]
    assert gate.mark_proved("f", 10) == tickets[1:]
    assert gate.enter("f", Ticket("entry-b", 1), 20)
    gate.revoke_proved("f")
    assert gate.enter("f", Ticket("entry-b", 2), 30)
    assert not gate.enter("f", Ticket("entry-b", 3), 30)
