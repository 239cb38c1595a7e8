"""The weight store: gives leave to load weights, at its own rate."""

import abc
import dataclasses
import math

from caroblug.transport._http import HttpFailure, HttpResponse, JsonHttpClient

_CREATED = 201
_TOO_MANY = 429
_MS_PER_S = 1000
_DEFAULT_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reserved:
    """The weights may be loaded.

    Attributes:
        ticket: Shown to the store by the engine.
    """

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsBusy:
    """The store's rate is used up.

    Attributes:
        retry_after_ms: When to ask again, as the store says.
    """

    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsUnavailable:
    """The store gave no answer.

    Attributes:
        message: What was seen.
    """

    message: str


Reservation = Reserved | WeightsBusy | WeightsUnavailable


class WeightStore(abc.ABC):
    """A client of the weight store."""

    @abc.abstractmethod
    def reserve(self, model: str, version: str, adapter: str) -> Reservation:
        """Asks for leave to load weights."""


class HttpWeightStore(WeightStore):
    """The weight store over HTTP and JSON."""

    def __init__(self, host: str, port: int, timeout_ms: int) -> None:
        self._client = JsonHttpClient(host, port, timeout_ms, connections=1)

    def reserve(self, model: str, version: str, adapter: str) -> Reservation:
        """Asks for leave to load weights."""
        body = {"model": model, "version": version, "adapter": adapter}
        answer = self._client.request("POST", "/v1/loads", body)
        if isinstance(answer, HttpFailure):
            return WeightsUnavailable(answer.message)
        if answer.status == _TOO_MANY:
            return WeightsBusy(_retry_after_ms(answer))
        if answer.status != _CREATED:
            return WeightsUnavailable(f"status {answer.status}")
        try:
            return Reserved(str(answer.json()["ticket"]))
        except (KeyError, TypeError, ValueError):
            return WeightsUnavailable("answer does not parse")


def _retry_after_ms(answer: HttpResponse) -> int:
    seconds = _DEFAULT_RETRY_S
    for name, value in answer.headers:
        if name.lower() == "retry-after":
            try:
                seconds = float(value)
            except ValueError:
                continue
    if not math.isfinite(seconds) or seconds < 0:
        seconds = _DEFAULT_RETRY_S
    return int(seconds * _MS_PER_S)


def make_weight_store(
    host: str, port: int, timeout_ms: int = 2000
) -> WeightStore:
    """Returns a client of the weight store at an address."""
    return HttpWeightStore(host, port, timeout_ms)
