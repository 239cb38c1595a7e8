"""Client for ordering a model engine to load weights.

An order names the complete state to load and carries a fencing number.
"""

import abc
import dataclasses

import attrs

from caroblug.core.state import Placement
from caroblug.transport._http import HttpFailure, JsonHttpClient
from caroblug.utils import DECODE_ERRORS

_OK = 200
_CONFLICT = 409


@dataclasses.dataclass(frozen=True, slots=True)
class OrderTaken:
    """The engine has the ordered state, now or from an earlier order."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderFenced:
    """The engine has seen a higher fencing number and changed nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderFailed:
    """The call failed; the order may have been carried out.

    Attributes:
        message: Description of the failure.
    """

    message: str


class EngineOrderClient(abc.ABC):
    """Interface of a client that sends orders to one engine."""

    @abc.abstractmethod
    def state(self) -> Placement | OrderFailed:
        """Returns the state that the engine has loaded."""

    @abc.abstractmethod
    def order(
        self, fencing_number: int, placement: Placement, ticket: str
    ) -> OrderTaken | OrderFenced | OrderFailed:
        """Orders the engine to load a state.

        Args:
            fencing_number: Number of the lease. An engine that checks it
                refuses an order with a lower number than it has seen.
            placement: The complete state to load. Sending the same order
                twice changes nothing.
            ticket: Ticket of the weight store; empty if there is no store.
        """


class HttpEngineOrderClient(EngineOrderClient):
    """An engine order client over HTTP and JSON."""

    def __init__(self, host: str, port: int, timeout_ms: int) -> None:
        self._client = JsonHttpClient(host, port, timeout_ms, connections=1)

    def state(self) -> Placement | OrderFailed:
        """Returns the state that the engine has loaded."""
        response = self._client.request("GET", "/v1/engine")
        if isinstance(response, HttpFailure):
            return OrderFailed(response.message)
        try:
            body = response.json()
            names = [f.name for f in attrs.fields(Placement)]
            return Placement(**{n: body[n] for n in names if n in body})
        except DECODE_ERRORS:
            return OrderFailed("response is not valid")

    def order(
        self, fencing_number: int, placement: Placement, ticket: str
    ) -> OrderTaken | OrderFenced | OrderFailed:
        """Orders the engine to load a state."""
        body = attrs.asdict(placement) | {
            "number": fencing_number,
            "ticket": ticket,
        }
        response = self._client.request("POST", "/v1/orders", body)
        if isinstance(response, HttpFailure):
            return OrderFailed(response.message)
        if response.status == _CONFLICT:
            return OrderFenced()
        if response.status != _OK:
            return OrderFailed(f"status {response.status}")
        return OrderTaken()


def make_engine_order_client(
    host: str, port: int, timeout_ms: int = 60_000
) -> EngineOrderClient:
    """Returns a client that sends orders to the engine at an address."""
    return HttpEngineOrderClient(host, port, timeout_ms)
