"""What the tool asks of instances: their status, and to leave."""

import datetime
import time
from collections.abc import Iterable

import attrs
import orjson
from gevent import pool

from caroblug.transport import (
    InstanceList,
    InstanceRecord,
    InstancesUnavailable,
)
from caroblug.transport._http import HttpResponse, JsonHttpClient
from caroblug.utils import Clock

_TIMEOUT_MS = 1000
_AT_ONCE = 32
_POLL_S = 0.2
_MS_PER_S = 1000


@attrs.frozen
class InstanceStatus:
    """What one instance says of itself.

    Attributes:
        record: The instance as the platform lists it.
        answered: Whether it gave an answer.
        version: Version in force there.
        in_force_ms: For how long.
        ready: Whether it takes new work.
        running: Requests that run there.
    """

    record: InstanceRecord
    answered: bool
    version: int = 0
    in_force_ms: int = 0
    ready: bool = False
    running: int = 0


def ask_instance(record: InstanceRecord) -> InstanceStatus:
    """Asks one instance for its status."""
    if not record.http_port:
        return InstanceStatus(record, answered=False)
    client = JsonHttpClient(record.host, record.http_port, _TIMEOUT_MS, 1)
    try:
        answer = client.request("GET", "/status")
        if not isinstance(answer, HttpResponse):
            return InstanceStatus(record, answered=False)
        body = answer.json()
        return InstanceStatus(
            record,
            body["instance"] == record.instance,
            int(body["version"]),
            int(body["in_force_ms"]),
            bool(body["ready"]),
            int(body["running"]),
        )
    except (KeyError, TypeError, ValueError, orjson.JSONDecodeError):
        return InstanceStatus(record, answered=False)
    finally:
        client.close()


def ask_all(records: Iterable[InstanceRecord]) -> list[InstanceStatus]:
    """Asks every instance, a few at once."""
    ordered = sorted(records, key=lambda r: r.instance)
    return pool.Pool(_AT_ONCE).map(ask_instance, ordered)


def status_line(status: InstanceStatus) -> str:
    """Returns one line about an instance."""
    record = status.record
    place = f"{record.instance} ({record.role}, {record.data_centre})"
    leaving = ", leaving" if record.leaving else ""
    if not status.answered:
        return f"{place}: no answer{leaving}"
    now = datetime.datetime.now(datetime.UTC)
    age = datetime.timedelta(milliseconds=status.in_force_ms)
    since = (now - age).isoformat(timespec="seconds")
    ready = "ready" if status.ready else "not ready"
    return (
        f"{place}: version {status.version} since {since} "
        f"({status.in_force_ms / _MS_PER_S:.1f} s), {ready}{leaving}"
    )


@attrs.frozen
class Drained:
    """The instance has ended, or holds no work any more."""


@attrs.frozen
class StillRunning:
    """The instance had not drained in time.

    Attributes:
        running: Requests that run there; -1 if it has not said.
    """

    running: int


@attrs.frozen
class NotListed:
    """The platform's list has no such instance."""


def withdraw(
    instances: InstanceList, name: str, wait_ms: int, clock: Clock
) -> Drained | StillRunning | NotListed | InstancesUnavailable:
    """Takes an instance out and waits until it has drained.

    Args:
        instances: The platform's instance list.
        name: Name of the instance.
        wait_ms: How long to wait.
        clock: Source of time.
    """
    listed = instances.fetch()
    if isinstance(listed, InstancesUnavailable):
        return listed
    found = [r for r in listed if r.instance == name]
    if not found:
        return NotListed()
    failed = instances.withdraw(name)
    if failed is not None:
        return failed
    end_ms = clock.now_ms() + wait_ms
    running = -1
    while clock.now_ms() < end_ms:
        status = ask_instance(found[0])
        if not status.answered and found[0].http_port:
            return Drained()
        running = status.running if status.answered else -1
        time.sleep(_POLL_S)
    return StillRunning(running)
