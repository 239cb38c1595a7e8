"""A completion that was admitted, as the streams take it."""

import attrs


@attrs.frozen(kw_only=True)
class StreamRequest:
    """A completion that was admitted.

    Attributes:
        client_account: Whose request it is.
        weight: The stream's weight: its part of the account's.
        account_weight: The account's share relative to others.
        model: The model.
        layers: Its number of layers.
        prompt: The prompt's tokens.
        max_tokens: Tokens to generate.
        deadline_ms: How long it may take.
        seed: Seed of the sampling.
        fingerprint: What equal requests of the account have in common.
        unread_tokens: Tokens that may wait for the caller to read them.
    """

    client_account: str
    weight: float
    model: str
    layers: int
    prompt: list[int]
    max_tokens: int
    deadline_ms: int
    seed: int
    fingerprint: str = ""
    unread_tokens: int = 1024
    account_weight: float = 1.0
