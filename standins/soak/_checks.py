"""Checks from outside, while a soak runs and at its end."""

import collections

import gevent

from standins.site import RunningProcess, Site
from standins.soak._record import Record

_POLL_S = 1.0
_PROGRAMS = ("entry", "side")
_VERSION = "caroblug_bundle_version"


class Watcher:
    """Watches the processes while a soak runs.

    Args:
        site: The site.
        record: Where violations are noted.
        stopped: Names of processes that were stopped on purpose.
    """

    def __init__(self, site: Site, record: Record, stopped: set[str]) -> None:
        self._site = site
        self._record = record
        self._stopped = stopped
        self._versions: dict[str, float] = {}
        self._dead: set[tuple[str, int]] = set()

    def run(self) -> None:
        """Looks at every process, for ever."""
        while True:
            for process in list(self._site.processes.values()):
                if process.role in _PROGRAMS:
                    self._look(process)
            gevent.sleep(_POLL_S)

    def _look(self, process: RunningProcess) -> None:
        name = process.name
        if name in self._stopped:
            self._versions.pop(name, None)
            return
        code = process.popen.poll()
        if code is not None:
            if (name, process.popen.pid) not in self._dead:
                self._dead.add((name, process.popen.pid))
                self._record.violate("process died", name=name, code=code)
            return
        self._look_at_version(process)

    def _look_at_version(self, process: RunningProcess) -> None:
        """A bundle's version falls only to "none" by a restart."""
        try:
            with gevent.Timeout(_POLL_S):
                version = self._site.metric(process.name, _VERSION)
        except (gevent.Timeout, ConnectionError, OSError):
            return
        if process.name in self._stopped:
            return
        before = self._versions.get(process.name, 0)
        if version < before:
            self._record.violate(
                "bundle version fell",
                name=process.name,
                before=before,
                after=version,
            )
        self._versions[process.name] = version


def check_calls(site: Site, record: Record) -> None:
    """Compares what callers were told with what the services counted."""
    runs: collections.Counter[str] = collections.Counter()
    for process in site.processes.values():
        if process.role == "plain":
            runs.update(site.observe(process.name)["runs"])
    for key, calls in record.calls.items():
        ran = runs[key]
        if ran > 1:
            record.violate("call ran twice", key=key, runs=ran)
        if "yes" in calls.ran and ran == 0:
            record.violate("answered call did not run", key=key, runs=ran)
        if ran and set(calls.ran) == {"no"}:
            record.violate("call ran after 'no'", key=key, runs=ran)


def check_engines(site: Site, record: Record) -> None:
    """No engine may have run a position of one session out of turn."""
    for process in site.processes.values():
        if process.role == "engine":
            repeated = site.observe(process.name)["repeated"]
            if repeated:
                record.violate(
                    "layer ran out of turn",
                    name=process.name,
                    repeated=repeated,
                )
