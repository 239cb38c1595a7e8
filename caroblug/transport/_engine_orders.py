"""Orders to a model engine: absolute states, fenced by a number."""

import abc
import dataclasses

import attrs

from caroblug.core.state import Placement
from caroblug.transport._http import HttpFailure, JsonHttpClient

_OK = 200
_CONFLICT = 409


@dataclasses.dataclass(frozen=True, slots=True)
class OrderTaken:
    """The engine has done the order, or had done it before."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderFenced:
    """The engine knows a higher number; nothing was changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderFailed:
    """There was no good answer; the order may have been done.

    Attributes:
        message: What was seen.
    """

    message: str


class EngineOrderClient(abc.ABC):
    """Orders of one engine."""

    @abc.abstractmethod
    def state(self) -> Placement | OrderFailed:
        """Returns what the engine has loaded."""

    @abc.abstractmethod
    def order(
        self, number: int, placement: Placement, ticket: str
    ) -> OrderTaken | OrderFenced | OrderFailed:
        """Orders a whole state.

        Args:
            number: Fences: engines that check refuse a lower one.
            placement: The state; the same order twice changes nothing.
            ticket: Leave of the weight store; empty if there is none.
        """


class HttpEngineOrderClient(EngineOrderClient):
    """Orders over HTTP and JSON."""

    def __init__(self, host: str, port: int, timeout_ms: int) -> None:
        self._client = JsonHttpClient(host, port, timeout_ms, connections=1)

    def state(self) -> Placement | OrderFailed:
        """Returns what the engine has loaded."""
        answer = self._client.request("GET", "/v1/engine")
        if isinstance(answer, HttpFailure):
            return OrderFailed(answer.message)
        try:
            body = answer.json()
            names = [f.name for f in attrs.fields(Placement)]
            return Placement(**{n: body[n] for n in names if n in body})
        except (AttributeError, KeyError, TypeError, ValueError):
            return OrderFailed("answer does not parse")

    def order(
        self, number: int, placement: Placement, ticket: str
    ) -> OrderTaken | OrderFenced | OrderFailed:
        """Orders a whole state."""
        body = attrs.asdict(placement) | {"number": number, "ticket": ticket}
        answer = self._client.request("POST", "/v1/orders", body)
        if isinstance(answer, HttpFailure):
            return OrderFailed(answer.message)
        if answer.status == _CONFLICT:
            return OrderFenced()
        if answer.status != _OK:
            return OrderFailed(f"status {answer.status}")
        return OrderTaken()


def make_engine_order_client(
    host: str, port: int, timeout_ms: int = 60_000
) -> EngineOrderClient:
    """Returns the orders of the engine at an address."""
    return HttpEngineOrderClient(host, port, timeout_ms)
