"""A model engine, as its side process sees it."""

import abc
import binascii
import dataclasses
from collections.abc import Sequence

import attrs

from caroblug.transport._http import HttpFailure, JsonHttpClient

_OK = 200
_CONNECTIONS = 32


@attrs.frozen
class EngineDescription:
    """What an engine says of itself.

    Attributes:
        model: The model it serves.
        first_layer: First layer it holds.
        end_layer: One past the last layer it holds.
        layers: Layers of the whole model.
        tokens_per_s: Its capacity over the layers it holds.
        batch: Positions it takes in one batch.
    """

    model: str
    first_layer: int
    end_layer: int
    layers: int
    tokens_per_s: float
    batch: int


@attrs.define
class EngineItem:
    """Consecutive positions of one stream to run.

    Not frozen, as one is made for every step and a frozen one costs three
    times as much; it is not changed all the same.

    Attributes:
        session: Identity of the stream at the engine.
        first_layer: First layer to run.
        end_layer: One past the last layer to run.
        position: First position.
        inputs: Tokens for layer 0, hidden states for the others.
        seed: Seed of the stream's sampling.
        priority: Lower runs first, where the engine honours it.
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
    """What the engine answers for an item.

    Attributes:
        session: Identity of the stream.
        position: First position.
        length: Positions that were run.
        states: One hidden state per position; empty after the last layer.
        token: Sampled after the last layer of the last position, else -1.
        error: Empty, or why this item was not run.
    """

    session: str
    position: int
    length: int
    states: tuple[bytes, ...]
    token: int = -1
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFailure:
    """The engine gave no answer.

    Attributes:
        message: What was seen.
        crashed: Whether it is gone, rather than silent or unwilling.
    """

    message: str
    crashed: bool = False


class EngineClient(abc.ABC):
    """A client of one engine."""

    @abc.abstractmethod
    def describe(self) -> EngineDescription | EngineFailure:
        """Returns what the engine says of itself."""

    @abc.abstractmethod
    def run(
        self, items: Sequence[EngineItem], ended: Sequence[str]
    ) -> tuple[EngineResult, ...] | EngineFailure:
        """Runs a batch.

        Args:
            items: What to run; positions of a session in order.
            ended: Sessions whose KV cache may be freed.
        """


class HttpEngineClient(EngineClient):
    """An engine over HTTP and JSON."""

    def __init__(self, host: str, port: int, timeout_ms: int) -> None:
        self._client = JsonHttpClient(host, port, timeout_ms, _CONNECTIONS)

    def describe(self) -> EngineDescription | EngineFailure:
        """Returns what the engine says of itself."""
        answer = self._client.request("GET", "/v1/engine")
        if isinstance(answer, HttpFailure):
            return EngineFailure(answer.message, not answer.timed_out)
        try:
            body = answer.json()
            return EngineDescription(
                **{
                    f.name: body[f.name]
                    for f in attrs.fields(EngineDescription)
                }
            )
        except (KeyError, TypeError, ValueError):
            return EngineFailure("answer does not parse")

    def run(
        self, items: Sequence[EngineItem], ended: Sequence[str]
    ) -> tuple[EngineResult, ...] | EngineFailure:
        """Runs a batch."""
        body = {
            "items": [_encode_item(item) for item in items],
            "ended": list(ended),
        }
        answer = self._client.request("POST", "/v1/run", body)
        if isinstance(answer, HttpFailure):
            crashed = answer.sent and not answer.timed_out
            return EngineFailure(answer.message, crashed)
        if answer.status != _OK:
            return EngineFailure(f"status {answer.status}")
        try:
            return tuple(_decode_result(r) for r in answer.json()["results"])
        except (KeyError, TypeError, ValueError):
            return EngineFailure("answer does not parse")


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
        int(body["position"]),
        int(body["length"]),
        tuple(binascii.a2b_base64(s) for s in body.get("states", ())),
        int(body.get("token", -1)),
        str(body.get("error", "")),
    )


def make_engine_client(
    host: str, port: int, timeout_ms: int = 10_000
) -> EngineClient:
    """Returns a client of the engine at an address."""
    return HttpEngineClient(host, port, timeout_ms)
