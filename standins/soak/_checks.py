"""Invariants that are checked during a soak test and at its end."""

import collections

import gevent

from standins.site import RunningProcess, Site
from standins.soak._record import SoakRecord

_POLL_S = 1.0
_PROGRAM_ROLES = ("entry", "side")
_VERSION_METRIC = "caroblug_bundle_version"


class ProcessMonitor:
    """Checks the processes periodically during a soak test.

    Args:
        site: The running site.
        record: Record of violations.
        stopped: Names of processes that were stopped on purpose.
    """

    def __init__(
        self, site: Site, record: SoakRecord, stopped: set[str]
    ) -> None:
        self._site = site
        self._record = record
        self._stopped = stopped
        self._versions: dict[str, float] = {}
        self._reported_dead: set[tuple[str, int]] = set()

    def run(self) -> None:
        """Checks every program once per period, forever."""
        while True:
            for process in list(self._site.processes.values()):
                if process.role in _PROGRAM_ROLES:
                    self._check_process(process)
            gevent.sleep(_POLL_S)

    def _check_process(self, process: RunningProcess) -> None:
        name = process.name
        if name in self._stopped:
            self._versions.pop(name, None)
            return
        code = process.popen.poll()
        if code is not None:
            if (name, process.popen.pid) not in self._reported_dead:
                self._reported_dead.add((name, process.popen.pid))
                self._record.add_violation("process died", name=name, code=code)
            return
        self._check_bundle_version(process)

    def _check_bundle_version(self, process: RunningProcess) -> None:
        """Checks that the bundle version does not fall without a restart."""
        try:
            with gevent.Timeout(_POLL_S):
                version = self._site.metric(process.name, _VERSION_METRIC)
        except (gevent.Timeout, ConnectionError, OSError):
            return
        if process.name in self._stopped:
            return
        before = self._versions.get(process.name, 0)
        if version < before:
            self._record.add_violation(
                "bundle version fell",
                name=process.name,
                before=before,
                after=version,
            )
        self._versions[process.name] = version


def check_calls(site: Site, record: SoakRecord) -> None:
    """Compares the responses to callers with the runs that services counted.

    Args:
        site: The running site.
        record: Record of the calls by key; receives the violations.
    """
    runs: collections.Counter[str] = collections.Counter()
    for process in site.processes.values():
        if process.role == "plain":
            runs.update(site.read_counters(process.name)["runs"])
    for key, calls in record.calls.items():
        ran = runs[key]
        if ran > 1:
            record.add_violation("call ran twice", key=key, runs=ran)
        if "yes" in calls.ran and ran == 0:
            record.add_violation("answered call did not run", key=key, runs=ran)
        if ran and set(calls.ran) == {"no"}:
            record.add_violation("call ran after 'no'", key=key, runs=ran)


def check_engines(site: Site, record: SoakRecord) -> None:
    """Checks that no engine ran a position of a session out of order."""
    for process in site.processes.values():
        if process.role == "engine":
            repeated = site.read_counters(process.name)["repeated"]
            if repeated:
                record.add_violation(
                    "layer ran a position out of order",
                    name=process.name,
                    repeated=repeated,
                )
