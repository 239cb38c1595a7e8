"""Fetches the status of instances and withdraws them."""

import datetime
import time
from collections.abc import Iterable

import attrs
from gevent import pool

from caroblug.transport import (
    InstanceList,
    InstanceRecord,
    InstancesUnavailable,
)
from caroblug.transport._http import HttpResponse, JsonHttpClient
from caroblug.utils import DECODE_ERRORS, Clock

_STATUS_TIMEOUT_MS = 1000
_MAX_CONCURRENT_REQUESTS = 32
_POLL_INTERVAL_S = 0.2
_MS_PER_S = 1000


@attrs.frozen
class InstanceStatus:
    """Status that an instance reports about itself.

    Attributes:
        record: The instance's record in the platform's instance list.
        answered: Whether it returned its own valid status; if not, the other
            fields have no meaning.
        version: Version of the bundle in force.
        in_force_ms: Time since that bundle came into force.
        ready: Whether it accepts new work.
        running: Number of requests running on it.
    """

    record: InstanceRecord
    answered: bool
    version: int = 0
    in_force_ms: int = 0
    ready: bool = False
    running: int = 0


def fetch_status(record: InstanceRecord) -> InstanceStatus:
    """Fetches the status of one instance."""
    if not record.http_port:
        return InstanceStatus(record, answered=False)
    client = JsonHttpClient(
        record.host, record.http_port, _STATUS_TIMEOUT_MS, 1
    )
    try:
        response = client.request("GET", "/status")
        if not isinstance(response, HttpResponse):
            return InstanceStatus(record, answered=False)
        body = response.json()
        return InstanceStatus(
            record,
            body["instance"] == record.instance,
            int(body["version"]),
            int(body["in_force_ms"]),
            bool(body["ready"]),
            int(body["running"]),
        )
    except DECODE_ERRORS:
        return InstanceStatus(record, answered=False)
    finally:
        client.close()


def fetch_statuses(records: Iterable[InstanceRecord]) -> list[InstanceStatus]:
    """Fetches the status of every instance, 32 at a time.

    Returns:
        The statuses, ordered by instance name.
    """
    ordered = sorted(records, key=lambda r: r.instance)
    return pool.Pool(_MAX_CONCURRENT_REQUESTS).map(fetch_status, ordered)


def format_status_line(status: InstanceStatus) -> str:
    """Formats the status of an instance as one line."""
    record = status.record
    label = f"{record.instance} ({record.role}, {record.data_centre})"
    leaving = ", leaving" if record.leaving else ""
    if not status.answered:
        return f"{label}: no answer{leaving}"
    now = datetime.datetime.now(datetime.UTC)
    age = datetime.timedelta(milliseconds=status.in_force_ms)
    since = (now - age).isoformat(timespec="seconds")
    ready = "ready" if status.ready else "not ready"
    return (
        f"{label}: version {status.version} since {since} "
        f"({status.in_force_ms / _MS_PER_S:.1f} s), {ready}{leaving}"
    )


@attrs.frozen
class Drained:
    """The instance no longer responds and counts as drained."""


@attrs.frozen
class StillRunning:
    """The instance has not drained within the timeout.

    Attributes:
        running: Number of requests running on it; -1 if unknown.
    """

    running: int


@attrs.frozen
class NotListed:
    """The platform's instance list does not contain the instance."""


def withdraw(
    instances: InstanceList, name: str, wait_ms: int, clock: Clock
) -> Drained | StillRunning | NotListed | InstancesUnavailable:
    """Marks an instance as leaving and waits until it has drained.

    Args:
        instances: The platform's instance list.
        name: Name of the instance.
        wait_ms: Maximum time to wait for the drain.
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
        status = fetch_status(found[0])
        if not status.answered and found[0].http_port:
            return Drained()
        running = status.running if status.answered else -1
        time.sleep(_POLL_INTERVAL_S)
    return StillRunning(running)
