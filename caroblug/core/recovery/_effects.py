"""Actions that the state machine of a stage returns to its side process."""

import attrs


@attrs.frozen
class ForwardOpen:
    """Open the stream at the next stage.

    Attributes:
        known_length: Number of settled tokens, prompt included: those that
            the entry or the first stage has.
        sends_from: First position that this stage sends without a request.
    """

    known_length: int
    sends_from: int


@attrs.frozen
class RunUnit:
    """Run consecutive positions on the engine.

    Attributes:
        attempt: Number of the attempt that the inputs belong to.
        position: First position.
        inputs: One input per position: tokens at the first stage, hidden
            states at the others.
    """

    attempt: int
    position: int
    inputs: tuple[int | bytes, ...]


@attrs.frozen
class SendStates:
    """Send hidden states to the next stage.

    Attributes:
        position: First position.
        states: One state per position.
    """

    position: int
    states: tuple[bytes, ...]


@attrs.frozen
class SendNeed:
    """Request the hidden states from `position` on from the previous stage."""

    position: int


@attrs.frozen
class SendToken:
    """Send a sampled token to the entry and to the first stage.

    Attributes:
        position: Index of the token in the sequence, prompt included.
        token: The token.
        to_first_stage: Whether the token is sent to the first stage too.
    """

    position: int
    token: int
    to_first_stage: bool = True


@attrs.frozen
class FailStream:
    """Report to the entry that this stage can't continue the stream.

    Attributes:
        reason: A `StageFailure` value.
        message: Description of the failure.
    """

    reason: str
    message: str


Effect = ForwardOpen | RunUnit | SendStates | SendNeed | SendToken | FailStream
