"""Client of a model engine over HTTP and JSON."""

import abc
import binascii
import dataclasses
import math
from collections.abc import Sequence

import attrs

from caroblug.transport._http import HttpFailure, JsonHttpClient
from caroblug.utils import DECODE_ERRORS, shorten

_OK = 200
_MAX_INT32 = (1 << 31) - 1
_MAX_CONNECTIONS = 32


@attrs.frozen
class EngineDescription:
    """The model, layers and capacity that an engine reports.

    Attributes:
        model: Name of the served model.
        first_layer: First loaded layer.
        end_layer: One past the last loaded layer.
        layers: Number of layers of the whole model.
        tokens_per_s: Throughput of the loaded layers.
        batch: Maximum number of positions in one batch.
    """

    model: str
    first_layer: int
    end_layer: int
    layers: int
    tokens_per_s: float
    batch: int


@attrs.define
class EngineItem:
    """Consecutive positions of one stream to run in one batch.

    An item is created for every step, and creating a frozen instance takes
    three times as long. The class is therefore not frozen, but instances are
    treated as immutable.

    Attributes:
        session: Identifier of the stream at the engine.
        first_layer: First layer to run.
        end_layer: One past the last layer to run.
        position: First position.
        inputs: Tokens for layer 0, hidden states for the others.
        seed: Sampling seed of the stream.
        priority: Scheduling priority; lower values run first on engines that
            support priorities.
    """

    session: str
    first_layer: int
    end_layer: int
    position: int
    inputs: tuple[int | bytes, ...]
    seed: int
    priority: int = 0


@attrs.define
class EngineResult:
    """The result of one item of a batch.

    Attributes:
        session: Identifier of the stream at the engine.
        position: First position.
        length: Number of positions that were run.
        states: One hidden state per position; empty if the last layer was
            run.
        token: Token sampled after the last position; -1 if the last layer
            was not run.
        error: Why the item was not run; empty if it was.
    """

    session: str
    position: int
    length: int
    states: tuple[bytes, ...]
    token: int = -1
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFailure:
    """A failed call to an engine.

    Attributes:
        message: Description of the failure.
        crashed: Whether the connection failed, which suggests a crash, rather
            than a timeout or a refusal.
    """

    message: str
    crashed: bool = False


class EngineClient(abc.ABC):
    """Interface of a client of one engine."""

    @abc.abstractmethod
    def describe(self) -> EngineDescription | EngineFailure:
        """Returns the description that the engine reports of itself."""

    @abc.abstractmethod
    def run(
        self, items: Sequence[EngineItem], ended: Sequence[str]
    ) -> tuple[EngineResult, ...] | EngineFailure:
        """Runs a batch.

        Args:
            items: Items to run; the positions of a session are in order.
            ended: Sessions whose KV cache the engine may free.

        Returns:
            One result per item, or why the call failed.
        """


class HttpEngineClient(EngineClient):
    """An engine client over HTTP and JSON."""

    def __init__(self, host: str, port: int, timeout_ms: int) -> None:
        self._client = JsonHttpClient(host, port, timeout_ms, _MAX_CONNECTIONS)

    def describe(self) -> EngineDescription | EngineFailure:
        """Returns the description that the engine reports of itself."""
        response = self._client.request("GET", "/v1/engine")
        if isinstance(response, HttpFailure):
            return EngineFailure(response.message, not response.timed_out)
        try:
            return _decode_description(response.json())
        except DECODE_ERRORS:
            return EngineFailure("answer does not parse")

    def run(
        self, items: Sequence[EngineItem], ended: Sequence[str]
    ) -> tuple[EngineResult, ...] | EngineFailure:
        """Runs a batch."""
        body = {
            "items": [_encode_item(item) for item in items],
            "ended": list(ended),
        }
        response = self._client.request("POST", "/v1/run", body)
        if isinstance(response, HttpFailure):
            crashed = response.sent and not response.timed_out
            return EngineFailure(response.message, crashed)
        if response.status != _OK:
            return EngineFailure(f"status {response.status}")
        try:
            return tuple(_decode_result(r) for r in response.json()["results"])
        except DECODE_ERRORS:
            return EngineFailure("answer does not parse")


def _decode_description(body: dict) -> EngineDescription:
    tokens_per_s = float(body["tokens_per_s"])
    if not math.isfinite(tokens_per_s):
        raise ValueError(f"tokens_per_s {tokens_per_s}")
    return EngineDescription(
        str(body["model"]),
        _decode_int32(body["first_layer"]),
        _decode_int32(body["end_layer"]),
        _decode_int32(body["layers"]),
        tokens_per_s,
        _decode_int32(body["batch"]),
    )


def _decode_int32(value: object) -> int:
    """Returns a number that fits into a message to other instances."""
    number = int(value)
    if abs(number) > _MAX_INT32:
        raise ValueError(f"number {shorten(value)}")
    return number


def _encode_item(item: EngineItem) -> dict:
    inputs: list[int | str] = [
        value
        if isinstance(value, int)
        else binascii.b2a_base64(value, newline=False).decode()
        for value in item.inputs
    ]
    return {
        "session": item.session,
        "first_layer": item.first_layer,
        "end_layer": item.end_layer,
        "position": item.position,
        "inputs": inputs,
        "seed": item.seed,
        "priority": item.priority,
    }


def _decode_result(body: dict) -> EngineResult:
    return EngineResult(
        str(body["session"]),
        _decode_int32(body["position"]),
        _decode_int32(body["length"]),
        tuple(binascii.a2b_base64(s) for s in body.get("states", ())),
        _decode_int32(body.get("token", -1)),
        str(body.get("error", "")),
    )


def make_engine_client(
    host: str, port: int, timeout_ms: int = 10_000
) -> EngineClient:
    """Returns a client of the engine at an address."""
    return HttpEngineClient(host, port, timeout_ms)
