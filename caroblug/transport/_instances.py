"""The platform's instance list: live and leaving instances, with a lag."""

import abc
import dataclasses

import attrs

from caroblug.transport._http import HttpFailure, JsonHttpClient

_OK = 200
_LEAVING = "leaving"


@attrs.frozen
class InstanceRecord:
    """One instance as the platform lists it.

    Attributes:
        instance: Its name.
        role: `entry` or `side`.
        host: IP address.
        port: Port for caroblug's own processes.
        data_centre: Where it runs.
        leaving: Whether the platform is taking it away.
        http_port: Port for HTTP; 0 if the list does not show it.
    """

    instance: str
    role: str
    host: str
    port: int
    data_centre: str
    leaving: bool
    http_port: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesUnavailable:
    """The instance list gave no answer."""

    message: str


class InstanceList(abc.ABC):
    """A client of the instance list."""

    @abc.abstractmethod
    def fetch(self) -> tuple[InstanceRecord, ...] | InstancesUnavailable:
        """Returns every listed instance."""

    @abc.abstractmethod
    def withdraw(self, instance: str) -> InstancesUnavailable | None:
        """Lists an instance as leaving; returns what went wrong, or None."""


class HttpInstanceList(InstanceList):
    """The instance list over HTTP and JSON."""

    def __init__(self, host: str, port: int, timeout_ms: int) -> None:
        self._client = JsonHttpClient(host, port, timeout_ms, connections=1)

    def fetch(self) -> tuple[InstanceRecord, ...] | InstancesUnavailable:
        """Returns every listed instance."""
        answer = self._client.request("GET", "/instances")
        if isinstance(answer, HttpFailure):
            return InstancesUnavailable(answer.message)
        if answer.status != _OK:
            return InstancesUnavailable(f"status {answer.status}")
        try:
            return tuple(
                InstanceRecord(
                    str(i["instance"]),
                    str(i["role"]),
                    str(i["host"]),
                    int(i["port"]),
                    str(i["data_centre"]),
                    i["state"] == _LEAVING,
                    int(i.get("http_port", 0)),
                )
                for i in answer.json()["instances"]
            )
        except (KeyError, TypeError, ValueError):
            return InstancesUnavailable("answer does not parse")

    def withdraw(self, instance: str) -> InstancesUnavailable | None:
        """Lists an instance as leaving."""
        body = {"instance": instance, "state": _LEAVING}
        answer = self._client.request("POST", "/instances", body)
        if isinstance(answer, HttpFailure):
            return InstancesUnavailable(answer.message)
        if answer.status != _OK:
            return InstancesUnavailable(f"status {answer.status}")
        return None


def make_instance_list(
    host: str, port: int, timeout_ms: int = 1000
) -> InstanceList:
    """Returns a client of the instance list at an address."""
    return HttpInstanceList(host, port, timeout_ms)
