"""Model-based test of a chain of stages, an entry and a faulty network."""

import hashlib

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from caroblug.core.recovery import (
    EntryStream,
    FailStream,
    ForwardOpen,
    RunUnit,
    SendNeed,
    SendStates,
    SendToken,
    StageStream,
)

_STAGES = 3
_PROMPT = [5, 3, 8]
_LENGTH = 14
_JOURNAL = 64
_MAX_ROUNDS = 400


def _hash(*parts) -> bytes:
    return hashlib.blake2b(repr(parts).encode(), digest_size=8).digest()


def _layer(stage, position, state, cache):
    return _hash(stage, position, state, cache)


def _sample(state, salt=b"") -> int:
    return int.from_bytes(_hash(state, salt)[:2], "big") % 97


def _reference():
    tokens, caches = list(_PROMPT), [b""] * _STAGES
    for position in range(_LENGTH - 1):
        state = _hash("embed", tokens[position])
        for stage in range(_STAGES):
            state = _layer(stage, position, state, caches[stage])
            caches[stage] = state
        if position >= len(_PROMPT) - 1:
            tokens.append(_sample(state))
    return tokens


@attrs.define
class _Process:
    """A side process and its engine, with the units that are to be run."""

    index: int
    name: int
    stream: StageStream | None = None
    cache: bytes = b""
    ran: int = 0
    units: list[RunUnit] = attrs.field(factory=list)
    next: "_Process | None" = None
    previous: "_Process | None" = None
    first: "_Process | None" = None
    is_alive: bool = True


class ChainMachine(RuleBasedStateMachine):
    """Model in which steps are late, doubled or lost, and stages die.

    Messages between two processes stay in order, as in a session.
    """

    def __init__(self):
        super().__init__()
        self.entry = EntryStream(list(_PROMPT), _LENGTH)
        self.released = []
        self.links = {}
        self.names = 0
        self.chain = []
        self.replaced = []
        self.failed = False

    @initialize()
    def begin(self):
        self.chain = [self._make(index) for index in range(_STAGES)]
        self._open()

    def _make(self, index):
        self.names += 1
        return _Process(index, self.names)

    def _send(self, sender, receiver, kind, *parts):
        link = (sender.name if sender else 0, receiver.name if receiver else 0)
        queue = self.links.setdefault(link, [])
        queue.append((receiver, sender, kind, parts))

    def _open(self):
        attempt = self.entry.begin_attempt()
        known = self.entry.tokens
        self._send(
            None,
            self.chain[0],
            "open",
            attempt,
            list(self.chain),
            known,
            len(known),
            0,
        )

    @precondition(lambda self: any(self.links.values()))
    @rule(data=st.data())
    def deliver(self, data):
        """One link delivers its next message, perhaps twice."""
        links = sorted(link for link, queue in self.links.items() if queue)
        link = data.draw(st.sampled_from(links))
        message = self.links[link].pop(0)
        for _ in range(data.draw(st.integers(1, 2))):
            self._receive(*message)

    @precondition(lambda self: any(self.links.values()))
    @rule(data=st.data())
    def lose_step(self, data):
        """A message with steps is lost, and a later one shows the gap."""
        steps = [
            (link, number)
            for link, queue in sorted(self.links.items())
            for number, message in enumerate(queue[:-1])
            if message[2] == "states" and queue[-1][2] == "states"
        ]
        if steps:
            link, number = data.draw(st.sampled_from(steps))
            del self.links[link][number]

    @rule(data=st.data())
    def run_engine(self, data):
        """One engine runs its next unit, whole or in two parts."""
        ready = [
            p for p in self.chain + self.replaced if p.units and p.is_alive
        ]
        if not ready:
            return
        process = data.draw(st.sampled_from(ready))
        unit = process.units.pop(0)
        cut = data.draw(st.integers(1, len(unit.inputs)))
        self._run(process, unit.position, unit.inputs[:cut])
        if unit.inputs[cut:]:
            self._run(process, unit.position + cut, unit.inputs[cut:])

    @precondition(lambda self: not self.entry.complete and self.names < 16)
    @rule(lost=st.sets(st.integers(0, _STAGES - 1), min_size=1, max_size=2))
    def replace(self, lost):
        """Some stages die, or only appear to, and are replaced."""
        for index in lost:
            self.replaced.append(self.chain[index])
            self.chain[index] = self._make(index)
        self._open()

    @precondition(lambda self: any(p.is_alive for p in self.replaced))
    @rule(data=st.data())
    def die(self, data):
        """A replaced stage dies, with the messages on its links."""
        alive = [p for p in self.replaced if p.is_alive]
        process = data.draw(st.sampled_from(alive))
        process.is_alive = False
        for link, queue in self.links.items():
            if process.name in link:
                queue.clear()

    def _receive(self, receiver, sender, kind, parts):
        if receiver is None:
            self._at_entry(*parts)
            return
        if not receiver.is_alive:
            return
        if kind == "open":
            self._at_open(receiver, *parts)
        elif receiver.stream is None:
            return
        elif kind == "states":
            self._apply(receiver, receiver.stream.on_states(*parts))
        elif kind == "token":
            self._apply(receiver, receiver.stream.on_token(*parts))
        elif kind == "need":
            self._apply(receiver, receiver.stream.on_need(*parts))

    def _at_open(self, process, attempt, chain, tokens, known, sends_from):
        if process.stream is None:
            process.stream = StageStream(
                is_first=process.index == 0,
                is_last=process.index == _STAGES - 1,
                journal_positions=_JOURNAL,
            )
        if attempt <= process.stream.attempt:
            return
        index = process.index
        process.first = chain[0]
        process.previous = chain[index - 1] if index else None
        process.next = chain[index + 1] if index + 1 < _STAGES else None
        effects = process.stream.open(
            attempt, tokens, known, len(_PROMPT), _LENGTH, sends_from
        )
        self._apply(process, effects, chain)

    def _at_entry(self, attempt, position, token):
        if self.entry.complete or not self.entry.is_current(attempt):
            return
        self.released += self.entry.on_token(position, token)

    def _apply(self, process, effects, chain=()):
        attempt = process.stream.attempt
        for effect in effects:
            match effect:
                case RunUnit():
                    process.units.append(effect)
                case SendStates(position, states):
                    parts = (attempt, position, list(states))
                    self._send(process, process.next, "states", *parts)
                case SendNeed(position):
                    self._send(
                        process, process.previous, "need", attempt, position
                    )
                case SendToken(position, token, to_first):
                    parts = (attempt, position, token)
                    self._send(process, None, "token", *parts)
                    if to_first:
                        self._send(process, process.first, "token", *parts)
                case ForwardOpen(known, sends_from):
                    parts = (attempt, chain, [], known, sends_from)
                    self._send(process, process.next, "open", *parts)
                case FailStream():
                    self.failed = True

    def _run(self, process, position, inputs):
        assert position == process.ran, "an engine runs a position twice"
        outputs = []
        for offset, value in enumerate(inputs):
            state = value
            if process.index == 0:
                state = _hash("embed", value)
            process.cache = _layer(
                process.index, position + offset, state, process.cache
            )
            outputs.append(process.cache)
        process.ran += len(inputs)
        if process.stream.is_last:
            token = _sample(outputs[-1], self.salt(process))
            effects = process.stream.on_sampled(position, len(inputs), token)
        else:
            effects = process.stream.on_states_run(position, outputs)
        self._apply(process, effects)

    def salt(self, process):
        """Returns the salt of this engine's sampling; the same for all here."""
        del process
        return b""

    @invariant()
    def released_in_order(self):
        assert self.entry.tokens == _PROMPT + self.released
        assert not self.failed

    def check_answer(self):
        assert self.entry.tokens == _reference()

    def teardown(self):
        """Checks that the stream completes after any sequence of faults."""
        if not self.chain:
            return
        if not self.entry.complete:
            self._open()
        for _ in range(_MAX_ROUNDS):
            if self.entry.complete:
                break
            self._deliver_and_run_all()
        assert self.entry.complete
        self.check_answer()

    def _deliver_and_run_all(self):
        for link in sorted(self.links):
            queue = self.links[link]
            while queue:
                self._receive(*queue.pop(0))
        for process in self.chain + self.replaced:
            while process.units and process.is_alive:
                unit = process.units.pop(0)
                self._run(process, unit.position, unit.inputs)


class DifferentSamplingMachine(ChainMachine):
    """Model in which every engine samples different tokens.

    Guards against a caller that gets tokens which don't follow from each
    other: a different kind of engine may sample another token for a settled
    position. The entry's tokens must equal those of the first stage.
    """

    def salt(self, process):
        return str(process.name).encode()

    def check_answer(self):
        newest = self.chain[0].stream
        assert newest.tokens[: len(self.entry.tokens)] == self.entry.tokens


@pytest.mark.parametrize("machine", [ChainMachine, DifferentSamplingMachine])
def test_chain(machine):
    """A caller gets a wrong, doubled or missing token after a fault.

    Steps arrive twice, late, from old attempts or not at all, and stages are
    replaced at every point, while some replaced ones go on running. The
    tokens must equal the reference, and no engine runs a position twice or
    skips one.
    """
    case = machine.TestCase
    case.settings = settings(
        max_examples=100, stateful_step_count=50, deadline=None
    )
    case().runTest()
