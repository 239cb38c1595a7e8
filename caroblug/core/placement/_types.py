"""Engines, layer ranges and the properties of a model that placement uses."""

from collections.abc import Iterator

import attrs

HOP_MS = 0.5
"""Time that each further engine on a path adds to a token: the network delay
and the wait for the engine's next forward pass."""


@attrs.frozen
class LayerRange:
    """A range of consecutive layers.

    Attributes:
        first: First layer.
        end: One past the last layer; equal to `first` in an empty range.
    """

    first: int
    end: int

    def __len__(self) -> int:
        return max(0, self.end - self.first)

    def __iter__(self) -> Iterator[int]:
        return iter(range(self.first, self.end))

    def __contains__(self, layer: int) -> bool:
        return self.first <= layer < self.end


NO_LAYERS = LayerRange(0, 0)


@attrs.frozen
class EngineKind:
    """A kind of accelerator.

    Attributes:
        name: Name of the kind.
        memory_mb: Memory for weights and KV cache, in MB.
        step_time_factor: Time of a decode step, as a multiple of the model's
            `step_ms`.
        prefill_time_factor: Time of a prefill, as a multiple of the model's
            `prefill_ms`.
    """

    name: str
    memory_mb: float
    step_time_factor: float
    prefill_time_factor: float


@attrs.frozen
class ModelShape:
    """Size and timing of a model, as far as placement depends on them.

    Attributes:
        layers: Number of layers.
        layer_mb: Memory of one layer's weights, in MB.
        kv_mb: KV cache memory of one token in one layer, in MB.
        step_ms: Time of one decode step through all layers, at time factor 1.
        mean_request_tokens: Mean length of prompt and answer together, in
            tokens.
        kinds: Kinds of accelerator by name.
        load_s: Time to load all layers, in seconds.
        transfer_ms: Time to send the activations of a prompt of mean length
            from one data centre to another over an otherwise idle link.
        prefill_ms: Time to prefill a prompt of mean length through all
            layers, at time factor 1.
        prefill_steps: Decode steps of other requests that run between the
            chunks in which a prompt of mean length is prefilled.
    """

    layers: int
    layer_mb: float
    kv_mb: float
    step_ms: float
    mean_request_tokens: int
    kinds: dict[str, EngineKind]
    load_s: float = 0.0
    transfer_ms: float = 28.0
    prefill_ms: float = 0.0
    prefill_steps: int = 0

    def max_layers(self, kind: EngineKind, requests: int) -> int:
        """Returns how many layers fit beside the KV cache of `requests`.

        Args:
            kind: Kind of the engine.
            requests: Concurrent requests of mean length.
        """
        layer_mb = (
            self.layer_mb + requests * self.mean_request_tokens * self.kv_mb
        )
        return min(self.layers, int(kind.memory_mb / layer_mb))

    def prefill_time_ms(self, kind: EngineKind, layers: int) -> float:
        """Returns how long a prompt of mean length occupies an engine, in ms.

        Args:
            kind: Kind of the engine.
            layers: Number of layers that the engine runs.
        """
        prompt_ms = self.prefill_ms * kind.prefill_time_factor
        steps_ms = self.prefill_steps * self.step_ms * kind.step_time_factor
        return (prompt_ms + steps_ms) * layers / self.layers

    def token_capacity(self, kind: EngineKind, layers: int) -> float:
        """Returns how many tokens of KV cache fit beside `layers` layers."""
        if layers <= 0 or self.kv_mb <= 0:
            return 0.0
        kv_cache_mb = max(0.0, kind.memory_mb - layers * self.layer_mb)
        return kv_cache_mb / (layers * self.kv_mb)


@attrs.frozen
class Engine:
    """A model engine with the layers that it holds.

    Attributes:
        name: Identity of this run of the engine.
        address: Host and port at which it serves.
        data_centre: Data centre in which it runs.
        kind: Kind of accelerator.
        holds: Layers that it holds, or will hold once a load has finished.
        loading: Whether an order is being carried out.
        order_unconfirmed: Whether an order got no answer and may still be
            carried out.
    """

    name: str
    address: tuple[str, int]
    data_centre: str
    kind: EngineKind
    holds: LayerRange = NO_LAYERS
    loading: bool = False
    order_unconfirmed: bool = False
