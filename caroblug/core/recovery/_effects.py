"""What a stage of a stream asks its side process to do."""

import attrs


@attrs.frozen
class ForwardOpen:
    """Open the stream at the next stage.

    Attributes:
        known_length: Tokens that are settled, prompt included: the entry or
            the first stage has them.
        sends_from: First position that this stage sends of its own accord.
    """

    known_length: int
    sends_from: int


@attrs.frozen
class RunUnit:
    """Run consecutive positions on the engine.

    Attributes:
        attempt: Attempt that asked for it.
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
    """Ask the previous stage to send again from `position`."""

    position: int


@attrs.frozen
class SendToken:
    """Send a sampled token to the entry and to the first stage.

    Attributes:
        position: Place of the token in the sequence, prompt included.
        token: The token.
        to_first_stage: Whether the first stage is to get it too.
    """

    position: int
    token: int
    to_first_stage: bool = True


@attrs.frozen
class FailStream:
    """Give the stream up at this stage and tell the entry.

    Attributes:
        reason: A `StageFailure` value.
        message: What was seen.
    """

    reason: str
    message: str


Effect = ForwardOpen | RunUnit | SendStates | SendNeed | SendToken | FailStream
