"""Request for a stream, built from a completion."""

import attrs


@attrs.frozen(kw_only=True)
class StreamRequest:
    """A validated completion, ready to run as a stream.

    Attributes:
        client_account: The account that sent the request.
        weight: Scheduling weight of the stream, a part of the account's.
        account_weight: Weight of the account relative to other accounts.
        model: Name of the model.
        layers: Number of the model's layers.
        prompt: Tokens of the prompt.
        max_tokens: Number of tokens to generate.
        deadline_ms: Maximum duration of the stream.
        seed: Seed for sampling.
        fingerprint: Digest that identical requests of the account share.
        unread_tokens: Maximum number of tokens buffered for a slow caller.
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
