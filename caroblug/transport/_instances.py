"""Client of the platform's instance list.

The list contains running and leaving instances and may lag behind.
"""

import abc
import dataclasses
from typing import Any

import attrs

from caroblug.transport._http import HttpFailure, JsonHttpClient
from caroblug.utils import DECODE_ERRORS, log_state, shorten

_OK = 200
_LEAVING = "leaving"
_MAX_PORT = 65535
_MAX_LOGGED_ENTRIES = 64
"""Refused entries that are logged; any further ones are left out silently."""


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
        self._refused: set[str] = set()

    def fetch(self) -> tuple[InstanceRecord, ...] | InstancesUnavailable:
        """Returns every listed instance."""
        response = self._client.request("GET", "/instances")
        if isinstance(response, HttpFailure):
            return InstancesUnavailable(response.message)
        if response.status != _OK:
            return InstancesUnavailable(f"status {response.status}")
        try:
            entries = list(response.json()["instances"])
        except DECODE_ERRORS:
            return InstancesUnavailable("response is not valid")
        records = map(self._decode, entries)
        return tuple(record for record in records if record is not None)

    def _decode(self, entry: Any) -> InstanceRecord | None:
        """Returns an entry of the list; None if it names no instance."""
        try:
            return _decode_instance(entry)
        except DECODE_ERRORS as error:
            self._log_refused(shorten(entry), shorten(error))
            return None

    def _log_refused(self, entry: str, reason: str) -> None:
        """Logs a refused entry once."""
        if entry in self._refused or len(self._refused) >= _MAX_LOGGED_ENTRIES:
            return
        self._refused.add(entry)
        log_state("instances.entry_refused", entry=entry, reason=reason)

    def withdraw(self, instance: str) -> InstancesUnavailable | None:
        """Marks an instance as leaving."""
        body = {"instance": instance, "state": _LEAVING}
        response = self._client.request("POST", "/instances", body)
        if isinstance(response, HttpFailure):
            return InstancesUnavailable(response.message)
        if response.status != _OK:
            return InstancesUnavailable(f"status {response.status}")
        return None


def _decode_instance(entry: dict) -> InstanceRecord:
    port = int(entry["port"])
    http_port = int(entry.get("http_port", 0))
    if not 1 <= port <= _MAX_PORT or not 0 <= http_port <= _MAX_PORT:
        raise ValueError(f"ports {port} and {http_port}")
    return InstanceRecord(
        str(entry["instance"]),
        str(entry["role"]),
        str(entry["host"]),
        port,
        str(entry["data_centre"]),
        entry["state"] == _LEAVING,
        http_port,
    )


def make_instance_list(
    host: str, port: int, timeout_ms: int = 1000
) -> InstanceList:
    """Returns a client of the instance list at an address."""
    return HttpInstanceList(host, port, timeout_ms)
