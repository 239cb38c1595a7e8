"""Tests of one stream at one stage."""

from hypothesis import given
from hypothesis import strategies as st

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


def _state(position: int) -> bytes:
    return bytes([position % 256])


@given(
    st.lists(
        st.tuples(st.integers(0, 12), st.integers(1, 6), st.integers(1, 2)),
        max_size=40,
    )
)
def test_each_position_runs_once_in_order(frames):
    """A caller sees a wrong answer when a layer runs a position twice.

    Frames from the previous stage arrive twice, late, early and from an
    older attempt; whatever the order, the engine is given each position
    once, in order.
    """
    stage = StageStream(is_first=False, is_last=False)
    stage.open(2, [], 4, 4, 20)
    run = []
    for position, length, attempt in frames:
        states = [_state(p) for p in range(position, position + length)]
        for effect in stage.on_states(attempt, position, states):
            if isinstance(effect, RunUnit):
                run.extend(effect.inputs)
            else:
                assert effect == SendNeed(len(run))
    assert run == [_state(p) for p in range(len(run))]


def test_replacement_is_fed_from_the_journal():
    """A caller waits through a full prefill when one late stage dies.

    The last stage dies; its replacement asks for everything; the stage that
    lives on sends its kept outputs and runs nothing again.
    """
    stage = StageStream(is_first=True, is_last=False)
    effects = stage.open(1, [5, 6, 7], 3, 3, 10)
    assert effects == [ForwardOpen(3, 0), RunUnit(1, 0, (5, 6, 7))]
    outputs = [_state(p) for p in range(3)]
    stage.on_states_run(0, outputs)
    assert stage.open(2, [5, 6, 7], 3, 3, 10) == [ForwardOpen(3, 3)]
    assert stage.on_need(2, 0) == [SendStates(0, tuple(outputs))]
    assert stage.on_need(1, 0) == []


def test_lost_journal_is_said():
    stage = StageStream(is_first=True, is_last=False, journal_positions=2)
    stage.open(1, [1, 2, 3], 3, 3, 10)
    stage.on_states_run(0, [_state(p) for p in range(3)])
    (effect,) = stage.on_need(1, 0)
    assert isinstance(effect, FailStream)


def test_last_stage_sends_a_kept_token_again():
    """A caller's stream stops when its next token is lost on the way.

    The last stage samples a token, the entry's connection breaks, and the
    entry opens a newer attempt with one token less; the kept one is sent.
    """
    stage = StageStream(is_first=False, is_last=True)
    stage.open(1, [], 3, 3, 10)
    stage.on_states(1, 0, [_state(p) for p in range(3)])
    assert stage.on_sampled(0, 3, 42) == [SendToken(3, 42)]
    assert stage.open(2, [], 3, 3, 10) == [SendToken(3, 42), SendNeed(3)]


def test_settled_token_is_not_sampled_anew():
    """A caller reads a sentence that the model never continued.

    The first stage has a token that the entry lacks, and the last stage is
    replaced by an engine of another kind, which runs the settled positions
    again and samples otherwise. Only the first stage tells the entry.
    """
    first = StageStream(is_first=True, is_last=False)
    first.open(1, [5, 6, 7], 3, 3, 10)
    first.on_token(1, 3, 42)
    assert first.open(2, [5, 6, 7], 3, 3, 10) == [
        ForwardOpen(4, 0),
        SendToken(3, 42, to_first_stage=False),
    ]
    last = StageStream(is_first=False, is_last=True)
    last.open(2, [], 4, 3, 10)
    last.on_states(2, 0, [_state(p) for p in range(4)])
    assert last.on_sampled(0, 3, 77) == []
    assert last.on_sampled(3, 1, 78) == [SendToken(4, 78)]


def test_old_attempt_is_refused():
    """A process that was frozen wakes up and goes on with its old attempt."""
    stage = StageStream(is_first=False, is_last=False)
    stage.open(2, [], 3, 3, 10)
    assert stage.on_states(1, 0, [_state(0)]) == []
    assert stage.open(1, [], 3, 3, 10) == []
    assert stage.on_need(1, 0) == []


@given(st.permutations(list(range(8))), st.lists(st.integers(0, 7)))
def test_entry_releases_each_token_once_in_order(order, repeats):
    """A caller sees a word twice or out of order after a recovery.

    Tokens of two attempts arrive crossed and repeated; each position is
    released once, in order.
    """
    entry = EntryStream([1, 2], 10)
    released = []
    for position in [*repeats, *order]:
        released += entry.on_token(position + 2, 100 + position)
    assert released == [100 + p for p in range(8)]
    assert entry.complete
