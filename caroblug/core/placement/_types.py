"""Engines, the layers they hold, and the model the layers belong to."""

from collections.abc import Iterator

import attrs


@attrs.frozen
class LayerRange:
    """Consecutive layers.

    Attributes:
        first: First layer.
        end: One past the last layer; equal to `first` if there is none.
    """

    first: int
    end: int

    def __len__(self) -> int:
        return max(0, self.end - self.first)

    def __iter__(self) -> Iterator[int]:
        return iter(range(self.first, self.end))

    def __contains__(self, layer: int) -> bool:
        return self.first <= layer < self.end


EMPTY = LayerRange(0, 0)


@attrs.frozen
class EngineKind:
    """A kind of accelerator.

    Attributes:
        name: Its name.
        memory_mb: Memory for layers and for requests, in MB.
        step_time_factor: Time of a token step, as a multiple of the model's.
        prefill_time_factor: Time of reading a prompt, as a multiple of the
            model's.
    """

    name: str
    memory_mb: float
    step_time_factor: float
    prefill_time_factor: float


@attrs.frozen
class ModelShape:
    """A model as its placement sees it.

    Attributes:
        layers: Number of layers.
        layer_mb: Memory of one layer's weights, in MB.
        kv_mb: Memory of one token in one layer, in MB.
        step_ms: Time of one token step through all layers, at pace 1.
        mean_request_tokens: Mean prompt and answer of a request together, in
            tokens.
        kinds: Kinds of accelerator by name.
        load_s: Time to load all layers, in seconds.
        transfer_ms: Time that a usual prompt's activations take from one data
            centre to another, when nobody else uses the link.
        prefill_ms: Time of reading a usual prompt through all layers, at pace
            1.
        prefill_steps: Token steps of other requests that come between the
            pieces in which a usual prompt is read.
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

    def max_layers(self, kind: EngineKind, streams: int) -> int:
        """Returns how many layers fit beside the memory of `streams`.

        Args:
            kind: The engine's kind.
            streams: Requests of usual size that are to run at once.
        """
        layer_mb = (
            self.layer_mb + streams * self.mean_request_tokens * self.kv_mb
        )
        return min(self.layers, int(kind.memory_mb / layer_mb))

    def prefill_time_ms(self, kind: EngineKind, layers: int) -> float:
        """Returns how long an engine is busy with a usual prompt, in ms.

        Args:
            kind: The engine's kind.
            layers: Layers that the engine runs.
        """
        prefill_time_ms = self.prefill_ms * kind.prefill_time_factor
        steps_ms = self.prefill_steps * self.step_ms * kind.step_time_factor
        return (prefill_time_ms + steps_ms) * layers / self.layers

    def token_capacity(self, kind: EngineKind, layers: int) -> float:
        """Returns how many tokens fit beside `layers` layers."""
        if layers <= 0 or self.kv_mb <= 0:
            return 0.0
        spare_mb = max(0.0, kind.memory_mb - layers * self.layer_mb)
        return spare_mb / (layers * self.kv_mb)


@attrs.frozen
class Engine:
    """A model engine as placement and paths see it.

    Attributes:
        name: Identity of this start of the engine.
        address: Where it answers, host and port.
        data_centre: Where it runs.
        kind: Kind of accelerator.
        holds: Layers it has, or will have once a load has ended.
        loading: Whether an order is still being carried out.
        order_unconfirmed: Whether an order got no answer and may still be
            carried out.
    """

    name: str
    address: tuple[str, int]
    data_centre: str
    kind: EngineKind
    holds: LayerRange = EMPTY
    loading: bool = False
    order_unconfirmed: bool = False
