"""The configuration bundle that operators publish, as attrs classes."""

import tomllib
from typing import Any

import attrs

from caroblug.utils import (
    SettingProblem,
    SettingsRejected,
    choice,
    count,
    duration_ms,
    name,
    number,
    structure_table,
    text,
)

_MAX_LAYERS = 1024
_MAX_VOCABULARY = 1_000_000
_MAX_TOKENS = 1_000_000
_MAX_TOKENS_PER_MINUTE = 1_000_000_000
_MAX_BODY_BYTES = 64 * 1024 * 1024
_IDEMPOTENT_METHODS = ["GET", "HEAD", "OPTIONS"]


@attrs.frozen
class ModelRule:
    """A model that callers may request.

    Attributes:
        layers: Number of layers over all stages.
        vocabulary: Number of tokens in the vocabulary.
        body_bytes: Largest request body; 0 means the value of `[limits]`.
    """

    layers: int = count(1, _MAX_LAYERS, "Layers over all stages.")
    vocabulary: int = count(2, _MAX_VOCABULARY, "Number of tokens.")
    body_bytes: int = count(0, _MAX_BODY_BYTES, "Largest request body.", 0)


@attrs.frozen
class ServiceRule:
    """A plain service.

    Attributes:
        idempotent_methods: Retryable HTTP methods; others run at most once.
        timeout_ms: Time limit of one call.
        calls: Calls that one account may have open at one entry.
        body_bytes: Largest request body; 0 means the value of `[limits]`.
        remember_ms: Time for which an idempotency key is remembered; the log
            service must retain its records for longer than this.
    """

    idempotent_methods: list[str] = attrs.field(
        factory=lambda: list(_IDEMPOTENT_METHODS)
    )
    timeout_ms: int = duration_ms("How long one call may take.", 5000)
    calls: int = count(1, 100_000, "Calls open at once.", 256)
    body_bytes: int = count(0, _MAX_BODY_BYTES, "Largest request body.", 0)
    remember_ms: int = duration_ms("How long a key is remembered.", 1_800_000)

    def __attrs_post_init__(self) -> None:
        if self.remember_ms <= self.timeout_ms:
            raise ValueError("remember_ms must be more than timeout_ms")


@attrs.frozen
class ClientAccount:
    """A client account and its limits.

    Attributes:
        group: Label of the account in metrics.
        key_hashes: Salted hashes of its keys, as `newkey` prints them.
        streams: Streams that it may have open at once.
        weight: Its fair share relative to other accounts.
        tokens_per_minute: Weighted tokens that it may use in a minute.
    """

    key_hashes: list[str] = attrs.field()
    group: str = name("Label of the account in metrics.", "default")
    streams: int = count(1, 100_000, "Streams open at once.", 64)
    weight: float = number(0.01, 100.0, "Fair share relative to others.", 1.0)
    tokens_per_minute: int = count(
        1, _MAX_TOKENS_PER_MINUTE, "Weighted tokens a minute.", 6_000_000
    )


@attrs.frozen
class Limits:
    """Limits for the requests of every caller.

    Attributes:
        body_bytes: Largest request body.
        max_tokens: Largest number of tokens generated for one request.
        prompt_tokens: Longest prompt.
        deadline_ms: Time limit of one request.
        queue_ms: Longest expected wait for a token at which a new stream is
            still admitted.
        unread_tokens: Largest number of tokens that a caller may leave
            unread.
    """

    body_bytes: int = count(
        1, _MAX_BODY_BYTES, "Largest request body.", 1_048_576
    )
    max_tokens: int = count(1, _MAX_TOKENS, "Most tokens generated.", 4096)
    prompt_tokens: int = count(1, _MAX_TOKENS, "Longest prompt.", 16384)
    deadline_ms: int = duration_ms("How long a request may take.", 120_000)
    queue_ms: int = duration_ms("Longest wait for a token.", 500)
    unread_tokens: int = count(
        1, _MAX_TOKENS, "Tokens left unread by a caller.", 1024
    )


@attrs.frozen
class Sharing:
    """The cost of tokens in the accounting of fair shares.

    Attributes:
        prompt_weight: Cost of a prompt token.
        generated_weight: Cost of a generated token.
    """

    prompt_weight: float = number(0.0, 100.0, "Cost of a prompt token.", 0.1)
    generated_weight: float = number(
        0.001, 100.0, "Cost of a generated token.", 1.0
    )


@attrs.frozen
class Quarantine:
    """The quarantine of requests that crash backend servers.

    Attributes:
        expire_ms: Time after the last crash until it is forgotten.
        retry_after_ms: Delay after which callers may retry; at most the
            remaining time of the quarantine.
    """

    expire_ms: int = duration_ms("Time until a crash is forgotten.", 600_000)
    retry_after_ms: int = duration_ms("Retry delay for callers.", 600_000)


@attrs.frozen
class Objective:
    """A service-level objective.

    Attributes:
        measure: Latency that the objective bounds.
        service: Name of the model or plain service.
        within_ms: Bound of the latency; a request at or under it is good.
        share: Share of requests that must be good.
    """

    measure: str = choice(
        ("first_token", "between_tokens", "request", "call"),
        "Latency that it bounds.",
    )
    service: str = name("Model or plain service.")
    within_ms: int = duration_ms("Latency bound of a good request.")
    share: float = number(0.5, 0.99999, "Share that must be good.")


@attrs.frozen
class Placement:
    """The target state of one engine: its model and range of layers.

    Attributes:
        model: Name of the model.
        version: Version of the weights; empty for the engine's own.
        adapter: Adapter on top of the weights; empty for none.
        first_layer: First layer that the engine holds.
        end_layer: One past the last layer that the engine holds.
        role: Phase of a stream that the engine runs.
    """

    model: str = name("The model.")
    first_layer: int = count(0, _MAX_LAYERS, "First layer it holds.")
    end_layer: int = count(1, _MAX_LAYERS, "One past the last layer.")
    version: str = text("Version of its weights.", "", low=0, high=64)
    adapter: str = text("Adapter over the weights.", "", low=0, high=64)
    role: str = choice(
        ("any", "prefill", "decode"), "Phase of a stream that it runs.", "any"
    )

    def __attrs_post_init__(self) -> None:
        if self.end_layer <= self.first_layer:
            raise ValueError("end_layer must be more than first_layer")


@attrs.frozen
class Bundle:
    """One complete configuration, as operators write it in TOML."""

    models: dict[str, ModelRule] = attrs.field(factory=dict)
    services: dict[str, ServiceRule] = attrs.field(factory=dict)
    client_accounts: dict[str, ClientAccount] = attrs.field(factory=dict)
    limits: Limits = attrs.field(factory=Limits)
    sharing: Sharing = attrs.field(factory=Sharing)
    quarantine: Quarantine = attrs.field(factory=Quarantine)
    objectives: list[Objective] = attrs.field(factory=list)
    placements: dict[str, Placement] = attrs.field(factory=dict)


def parse_bundle(toml: str, file: str = "bundle") -> Bundle | SettingsRejected:
    """Parses and validates a bundle.

    Args:
        toml: Text of the bundle.
        file: File name for error messages.

    Returns:
        The bundle, or all problems that were found.
    """
    try:
        table: dict[str, Any] = tomllib.loads(toml)
    except tomllib.TOMLDecodeError as error:
        problem = SettingProblem(file, "(file)", f"is not TOML: {error}")
        return SettingsRejected((problem,))
    return structure_table(table, Bundle, file)
