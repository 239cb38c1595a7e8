"""Tests of the state machine of a stage and of the stream at the entry."""

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
    """A caller gets a wrong answer when a layer runs a position twice.

    Frames from the previous stage arrive twice, late, early and from an
    older attempt. For any order, the engine runs each position once, in
    order.
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
    """A caller waits for a full prefill when a later stage dies.

    The last stage dies and its replacement requests all positions. The
    surviving stage sends them from its journal and runs none again.
    """
    stage = StageStream(is_first=True, is_last=False)
    effects = stage.open(1, [5, 6, 7], 3, 3, 10)
    assert effects == [ForwardOpen(3, 0), RunUnit(1, 0, (5, 6, 7))]
    outputs = [_state(p) for p in range(3)]
    stage.on_states_run(0, outputs)
    assert stage.open(2, [5, 6, 7], 3, 3, 10) == [ForwardOpen(3, 3)]
    assert stage.on_need(2, 0) == [SendStates(0, tuple(outputs))]
    assert stage.on_need(1, 0) == []


def test_position_missing_from_the_journal_fails_the_stream():
    stage = StageStream(is_first=True, is_last=False, journal_positions=2)
    stage.open(1, [1, 2, 3], 3, 3, 10)
    stage.on_states_run(0, [_state(p) for p in range(3)])
    (effect,) = stage.on_need(1, 0)
    assert isinstance(effect, FailStream)


def test_last_stage_resends_a_sampled_token():
    """A caller's stream stalls when its next token is lost in transit.

    The last stage samples a token, the connection to the entry breaks, and
    the entry opens a newer attempt without that token, which must be resent.
    """
    stage = StageStream(is_first=False, is_last=True)
    stage.open(1, [], 3, 3, 10)
    stage.on_states(1, 0, [_state(p) for p in range(3)])
    assert stage.on_sampled(0, 3, 42) == [SendToken(3, 42)]
    assert stage.open(2, [], 3, 3, 10) == [SendToken(3, 42), SendNeed(3)]


def test_settled_token_is_not_sampled_again():
    """A caller gets tokens that don't follow from each other.

    The first stage has a token that the entry lacks. The last stage is
    replaced by a different kind of engine, which runs the settled positions
    again and samples another token. Only the first stage's token may be sent.
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
    """A process that was suspended resumes and continues an old attempt."""
    stage = StageStream(is_first=False, is_last=False)
    stage.open(2, [], 3, 3, 10)
    assert stage.on_states(1, 0, [_state(0)]) == []
    assert stage.open(1, [], 3, 3, 10) == []
    assert stage.on_need(1, 0) == []


@given(st.permutations(list(range(8))), st.lists(st.integers(0, 7)))
def test_entry_releases_each_token_once_in_order(order, duplicates):
    """A caller gets a token twice or out of order after a recovery.

    Tokens of two attempts arrive interleaved and duplicated; each position
    is released once, in order.
    """
    entry = EntryStream([1, 2], 10)
    released = []
    for position in [*duplicates, *order]:
        released += entry.on_token(position + 2, 100 + position)
    assert released == [100 + p for p in range(8)]
    assert entry.complete
