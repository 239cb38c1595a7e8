"""Finds out whether the process of a backend server has ended under a run.

A lost connection alone doesn't show that. The process has ended if its port
refuses connections, if its server reports or is listed with a later start, or
if its entry leaves the list although it wasn't draining, or if another server
answers at its address. A server that answers
nothing may be cut off; what it says once it answers again decides.
"""

import enum

import attrs
import gevent

from caroblug.gateway._context import Context
from caroblug.gateway._engine_reports import read_report
from caroblug.gateway._exchange_results import FailureKind
from caroblug.gateway._http_client import Address, Exchange
from caroblug.gateway._interfaces import Replaced, Unavailable

_CONNECT_TIMEOUT_S = 0.25
_SILENT_MS = 20_000
"""Time for which an end of a server that answers nothing is looked for."""

_LISTENING_MS = 4_000
"""Time for which a server that accepts connections, but gives no report, is
looked up in the list for a later start: more than a heartbeat interval and the
age of a list."""

_MAX_UNRESOLVED = 1000


@attrs.frozen
class ServerProcess:
    """The process of a backend server that a request was sent to.

    Attributes:
        name: Name of the backend server.
        address: Host and port.
        started_ms: When the process started, as known then; 0 if unknown.
        since_ms: When the request came to it.
        exposure: Number of this exposure of the request, which all processes
            share that the request came to at the same time.
        reports: Whether the server gives reports, as engines do.
    """

    name: str
    address: Address
    started_ms: int
    since_ms: int
    exposure: int
    reports: bool


class ProcessState(enum.Enum):
    """What a check has found.

    `LISTENING` means that the port accepts connections, but perhaps those of
    the next process.
    """

    ALIVE = "alive"
    ENDED = "ended"
    LISTENING = "listening"
    SILENT = "silent"


class ProcessChecks:
    """Checks processes, each of them once at a time for all requests.

    Args:
        context: State shared by the gateway's components.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._checks: dict[tuple[str, int], gevent.Greenlet] = {}

    def check(self, process: ServerProcess) -> ProcessState:
        """Reads the report of a process and, if there is none, connects."""
        key = (process.name, process.started_ms)
        check = self._checks.get(key)
        if check is None:
            check = self._checks[key] = gevent.spawn(self._check, process)
            check.rawlink(lambda _: self._checks.pop(key, None))
        return check.get()

    def _check(self, process: ServerProcess) -> ProcessState:
        context = self._context
        if process.reports:
            report = read_report(context, process.name, process.address)
            if isinstance(report, Replaced):
                return ProcessState.ENDED
            if not isinstance(report, Unavailable):
                return _compare_starts(process, report.started_ms)
            context.fleet.eject(process.name, context.clock.now_ms())
        exchange = Exchange(process.address)
        problem = exchange.connect(_CONNECT_TIMEOUT_S)
        exchange.close()
        if problem is None:
            return (
                ProcessState.SILENT
                if process.reports
                else ProcessState.LISTENING
            )
        if problem.failure is FailureKind.REFUSED:
            return ProcessState.ENDED
        return ProcessState.SILENT


def _compare_starts(process: ServerProcess, started_ms: int) -> ProcessState:
    if 0 < process.started_ms < started_ms:
        return ProcessState.ENDED
    return ProcessState.ALIVE


@attrs.frozen
class LostRun:
    """A run that lost the process that it ran on, or one of them.

    Attributes:
        fingerprint: Fingerprint of the request.
        account: Client account of the request; empty if it has none.
        request_id: Id of the request, for the log.
        process: The process.
        crashed_exposures: Those exposures in which a process has ended.
        shared_parts: Ids of the parts of its prompt that others may have.
        written_ms: Time for which it had written when it was lost.
        prompt_key: Key of these parts.
    """

    fingerprint: str
    account: str
    request_id: str
    process: ServerProcess
    crashed_exposures: set[int]
    shared_parts: tuple[str, ...] = ()
    written_ms: int = 0
    prompt_key: str = ""


class UnresolvedEnds:
    """Lost runs of which it isn't known yet whether the process has ended.

    Args:
        context: State shared by the gateway's components.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._until_ms: dict[tuple[str, str, int], tuple[LostRun, int]] = {}

    def __len__(self) -> int:
        return len(self._until_ms)

    def add(self, run: LostRun, found: ProcessState) -> None:
        """Adds a run whose process is silent or only listens."""
        if len(self._until_ms) >= _MAX_UNRESOLVED:
            del self._until_ms[next(iter(self._until_ms))]
        process = run.process
        for_ms = (
            _LISTENING_MS if found is ProcessState.LISTENING else _SILENT_MS
        )
        key = (run.fingerprint, process.name, process.started_ms)
        now_ms = self._context.clock.now_ms()
        self._until_ms.setdefault(key, (run, now_ms + for_ms))

    def discard(self, fingerprint: str) -> None:
        """Removes the runs of a request that has been answered."""
        for key in [key for key in self._until_ms if key[0] == fingerprint]:
            del self._until_ms[key]

    def resolve(self) -> list[LostRun]:
        """Removes and returns the runs whose processes have ended."""
        now_ms = self._context.clock.now_ms()
        ended = []
        for key, (run, until_ms) in list(self._until_ms.items()):
            if self._has_ended(run.process):
                ended.append(run)
            elif now_ms < until_ms and not self._is_leaving(run.process):
                continue
            del self._until_ms[key]
        return ended

    def _has_ended(self, process: ServerProcess) -> bool:
        fleet = self._context.fleet
        if 0 < process.started_ms < fleet.started_ms(process.name):
            return True
        if fleet.has_ended(process.name):
            return True
        now_ms = self._context.clock.now_ms()
        listed_ms = now_ms - fleet.listing_age_ms(now_ms)
        return (
            fleet.has_confirmed_listing
            and listed_ms > process.since_ms
            and process.name not in fleet.listing.backends
        )

    def _is_leaving(self, process: ServerProcess) -> bool:
        listed = self._context.fleet.listing.backends.get(process.name)
        return listed is not None and listed.leaving
