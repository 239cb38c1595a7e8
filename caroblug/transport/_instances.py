"""Client of the platform's instance list.

The list contains running and leaving instances and may lag behind.
"""

import abc
import dataclasses

import attrs

from caroblug.transport._http import HttpFailure, JsonHttpClient

_OK = 200
_LEAVING = "leaving"


@attrs.frozen
class InstanceRecord:
    """One entry of the instance list.

    Attributes:
        instance: Name of the instance.
        role: `entry` or `side`.
        host: IP address.
        port: Port for connections from other instances.
        data_centre: Data centre in which it runs.
        leaving: Whether the platform is removing it.
        http_port: Port for HTTP; 0 if the list does not contain it.
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
    """A failed call to the instance list.

    Attributes:
        message: Description of the failure.
    """

    message: str


class InstanceList(abc.ABC):
    """Interface of a client of the instance list."""

    @abc.abstractmethod
    def fetch(self) -> tuple[InstanceRecord, ...] | InstancesUnavailable:
        """Returns every listed instance."""

    @abc.abstractmethod
    def withdraw(self, instance: str) -> InstancesUnavailable | None:
        """Marks an instance as leaving.

        Returns:
            None on success, else why the call failed.
        """


class HttpInstanceList(InstanceList):
    """An instance list client over HTTP and JSON."""

    def __init__(self, host: str, port: int, timeout_ms: int) -> None:
        self._client = JsonHttpClient(host, port, timeout_ms, connections=1)

    def fetch(self) -> tuple[InstanceRecord, ...] | InstancesUnavailable:
        """Returns every listed instance."""
        response = self._client.request("GET", "/instances")
        if isinstance(response, HttpFailure):
            return InstancesUnavailable(response.message)
        if response.status != _OK:
            return InstancesUnavailable(f"status {response.status}")
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
                for i in response.json()["instances"]
            )
        except (KeyError, TypeError, ValueError):
            return InstancesUnavailable("response is not valid")

    def withdraw(self, instance: str) -> InstancesUnavailable | None:
        """Marks an instance as leaving."""
        body = {"instance": instance, "state": _LEAVING}
        response = self._client.request("POST", "/instances", body)
        if isinstance(response, HttpFailure):
            return InstancesUnavailable(response.message)
        if response.status != _OK:
            return InstancesUnavailable(f"status {response.status}")
        return None


def make_instance_list(
    host: str, port: int, timeout_ms: int = 1000
) -> InstanceList:
    """Returns a client of the instance list at an address."""
    return HttpInstanceList(host, port, timeout_ms)
