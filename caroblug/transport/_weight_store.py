"""Client of the weight store, which limits the rate of weight loads."""

import abc
import dataclasses
import math

from caroblug.transport._http import HttpFailure, HttpResponse, JsonHttpClient
from caroblug.utils import DECODE_ERRORS

_CREATED = 201
_TOO_MANY_REQUESTS = 429
_MS_PER_S = 1000
_DEFAULT_RETRY_S = 1.0
_MAX_RETRY_S = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reserved:
    """Permission to load weights.

    Attributes:
        ticket: Ticket that the engine presents to the store.
    """

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsBusy:
    """A refusal because the rate limit of the store is reached.

    Attributes:
        retry_after_ms: Time that the store asks to wait before a retry.
    """

    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsUnavailable:
    """A failed call to the store.

    Attributes:
        message: Description of the failure.
    """

    message: str


Reservation = Reserved | WeightsBusy | WeightsUnavailable


class WeightStore(abc.ABC):
    """Interface of a client of the weight store."""

    @abc.abstractmethod
    def reserve(self, model: str, version: str, adapter: str) -> Reservation:
        """Requests permission to load the weights of a model version."""


class HttpWeightStore(WeightStore):
    """A weight store client over HTTP and JSON."""

    def __init__(self, host: str, port: int, timeout_ms: int) -> None:
        self._client = JsonHttpClient(host, port, timeout_ms, connections=1)

    def reserve(self, model: str, version: str, adapter: str) -> Reservation:
        """Requests permission to load the weights of a model version."""
        body = {"model": model, "version": version, "adapter": adapter}
        response = self._client.request("POST", "/v1/loads", body)
        if isinstance(response, HttpFailure):
            return WeightsUnavailable(response.message)
        if response.status == _TOO_MANY_REQUESTS:
            return WeightsBusy(_retry_after_ms(response))
        if response.status != _CREATED:
            return WeightsUnavailable(f"status {response.status}")
        try:
            return Reserved(str(response.json()["ticket"]))
        except DECODE_ERRORS:
            return WeightsUnavailable("response is not valid")


def _retry_after_ms(response: HttpResponse) -> int:
    seconds = _DEFAULT_RETRY_S
    for name, value in response.headers:
        if name.lower() == "retry-after":
            try:
                seconds = float(value)
            except ValueError:
                continue
    if not math.isfinite(seconds) or seconds < 0:
        seconds = _DEFAULT_RETRY_S
    return int(min(seconds, _MAX_RETRY_S) * _MS_PER_S)


def make_weight_store(
    host: str, port: int, timeout_ms: int = 2000
) -> WeightStore:
    """Returns a client of the weight store at an address."""
    return HttpWeightStore(host, port, timeout_ms)
