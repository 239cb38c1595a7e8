"""Seeded faults: each is brought about, lasts a while, and is mended."""

import abc
import random
import signal
import subprocess
from collections.abc import Callable

import gevent

from standins.site import RunningProcess, Site
from standins.soak._record import FaultSpan, Record

_LEAVE_S = 2.0
_STOP_S = 45.0
_POISON_SENDS = 4
_MOST_CRASHES = 3
_OPENED = "caroblug_streams_opened_total"


class Bench:
    """What faults share.

    Args:
        site: The site.
        record: Where faults and violations are noted.
        rng: Chooses victims and durations.
        stopped: Names of processes that were stopped on purpose.
        killed: When each entry was last killed.
    """

    def __init__(
        self,
        site: Site,
        record: Record,
        rng: random.Random,
        stopped: set[str],
        killed: dict[str, float],
    ) -> None:
        self.site = site
        self.record = record
        self.rng = rng
        self.stopped = stopped
        self.killed = killed
        self._held: set[str] = set()

    def take(self, role: str, prefix: str = "") -> RunningProcess | None:
        """Takes a running process that no other fault holds."""
        names = sorted(
            p.name
            for p in self.site.processes.values()
            if p.role == role
            and p.name.startswith(prefix)
            and p.name not in self._held
            and p.popen.poll() is None
        )
        if not names:
            return None
        name = self.rng.choice(names)
        self._held.add(name)
        return self.site.processes[name]

    def give_back(self, process: RunningProcess) -> None:
        """Lets other faults have the process."""
        self._held.discard(process.name)


class Fault(abc.ABC):
    """One kind of fault."""

    kind = ""

    @abc.abstractmethod
    def run(self, bench: Bench) -> bool:
        """Brings it about, waits, mends it; False if nothing was there."""


class _OnProcess(Fault):
    """A fault of one process of a role."""

    role = "side"
    prefix = ""

    def run(self, bench: Bench) -> bool:
        process = bench.take(self.role, self.prefix)
        if process is None:
            return False
        bench.record.event("fault", fault=self.kind, name=process.name)
        try:
            self.strike(bench, process)
        finally:
            bench.give_back(process)
            bench.record.event("mended", fault=self.kind, name=process.name)
        return True

    @abc.abstractmethod
    def strike(self, bench: Bench, process: RunningProcess) -> None:
        """Harms the process and mends it."""


class Kill(_OnProcess):
    """Kills a process and starts it again a little later."""

    def __init__(self, role: str, prefix: str = "") -> None:
        self.kind = f"kill_{role}"
        self.role = role
        self.prefix = prefix

    def strike(self, bench: Bench, process: RunningProcess) -> None:
        bench.stopped.add(process.name)
        bench.killed[process.name] = bench.record.now_s()
        process.kill()
        gevent.sleep(bench.rng.uniform(0.2, 3.0))
        bench.killed[process.name] = bench.record.now_s()
        bench.site.restart(process.name)
        path = "/readyz" if self.role in ("entry", "side") else "/control"
        gevent.sleep(0.5)
        if self.role == "engine":
            bench.site.wait_http(process.http_port, path)
        bench.stopped.discard(process.name)


class Freeze(_OnProcess):
    """Stops a process without ending it, and wakes it."""

    def __init__(self, role: str, prefix: str = "") -> None:
        self.kind = f"freeze_{role}"
        self.role = role
        self.prefix = prefix

    def strike(self, bench: Bench, process: RunningProcess) -> None:
        process.signal(signal.SIGSTOP)
        gevent.sleep(bench.rng.uniform(0.3, 4.0))
        process.signal(signal.SIGCONT)


class HangEngine(_OnProcess):
    """An engine that takes calls and answers none."""

    kind = "hang_engine"
    role = "engine"

    def strike(self, bench: Bench, process: RunningProcess) -> None:
        bench.site.control(process.name, {"hang": True})
        gevent.sleep(bench.rng.uniform(0.3, 4.0))
        bench.site.control(process.name, {"hang": False})


class Restart(_OnProcess):
    """An orderly restart: SIGTERM, drain, exit 0, start again."""

    def __init__(self, role: str) -> None:
        self.kind = f"restart_{role}"
        self.role = role

    def strike(self, bench: Bench, process: RunningProcess) -> None:
        bench.stopped.add(process.name)
        process.signal(signal.SIGTERM)
        if self.role == "side":
            self._check_no_new_work(bench, process)
        try:
            code = process.popen.wait(_STOP_S)
        except subprocess.TimeoutExpired:
            bench.record.violate("did not drain", name=process.name)
            process.kill()
            code = 0
        bench.killed[process.name] = bench.record.now_s()
        if code != 0:
            bench.record.violate("exit code", name=process.name, code=code)
        bench.site.restart(process.name)
        gevent.sleep(0.5)
        bench.stopped.discard(process.name)

    def _check_no_new_work(self, bench: Bench, process: RunningProcess) -> None:
        gevent.sleep(_LEAVE_S)
        opened = _read_opened(bench, process)
        gevent.sleep(_LEAVE_S)
        later = _read_opened(bench, process)
        if opened is not None and later is not None and later > opened:
            bench.record.violate("new work on a leaver", name=process.name)


def _read_opened(bench: Bench, process: RunningProcess) -> float | None:
    if process.popen.poll() is not None:
        return None
    try:
        return bench.site.metric(process.name, _OPENED)
    except (ConnectionError, OSError):
        return None


class Platform(Fault):
    """A spell of trouble at a stand-in of the platform."""

    def __init__(
        self,
        kind: str,
        name: str,
        orders: dict[str, object],
        mend: dict[str, object],
    ) -> None:
        self.kind = kind
        self._name = name
        self._orders = orders
        self._mend = mend

    def run(self, bench: Bench) -> bool:
        bench.record.event("fault", fault=self.kind)
        bench.site.control(self._name, self._orders)
        gevent.sleep(bench.rng.uniform(1.0, 8.0))
        bench.site.control(self._name, self._mend)
        bench.record.event("mended", fault=self.kind)
        return True


class RacingOperators(Fault):
    """Two operators publish at once; the versions only rise."""

    kind = "racing_operators"

    def __init__(self) -> None:
        self._limit = 1000

    def run(self, bench: Bench) -> bool:
        bench.record.event("fault", fault=self.kind)
        publishers = [gevent.spawn(self._publish, bench) for _ in range(2)]
        gevent.joinall(publishers, timeout=_STOP_S)
        return True

    def _publish(self, bench: Bench) -> None:
        self._limit += 1
        bench.site.bundle["limits"]["max_tokens"] = self._limit
        try:
            bench.site.publish()
        except subprocess.CalledProcessError as error:
            bench.record.event("publish.failed", message=error.stderr)


class Poison(Fault):
    """A request that crashes each engine that embeds its first word."""

    kind = "poison"

    def __init__(self, send: Callable[[], None]) -> None:
        self._send = send
        self._crashes = 0
        self._running = False

    def run(self, bench: Bench) -> bool:
        if self._running:
            return False
        self._running = True
        bench.record.event("fault", fault=self.kind)
        for _ in range(_POISON_SENDS):
            self._send()
            self._restart_engines(bench)
        if self._crashes > _MOST_CRASHES:
            bench.record.violate("poison crashed too often", n=self._crashes)
        self._running = False
        return True

    def _restart_engines(self, bench: Bench) -> None:
        gevent.sleep(0.3)
        for process in list(bench.site.processes.values()):
            if (
                process.role == "engine"
                and process.name not in bench.stopped
                and process.popen.poll() is not None
            ):
                self._crashes += 1
                bench.record.event("crashed", name=process.name)
                bench.site.restart(process.name)
        gevent.sleep(0.7)


class Conductor:
    """Brings about faults, singly and two at once, until told to stop.

    Args:
        bench: What faults share.
        kinds: The faults to choose from.
        pause_s: Mean time between two faults.
    """

    def __init__(
        self, bench: Bench, kinds: list[Fault], pause_s: float
    ) -> None:
        self.stopping = False
        self._bench = bench
        self._kinds = kinds
        self._pause_s = pause_s
        self._running: list[gevent.Greenlet] = []

    def run(self) -> None:
        """Brings about faults."""
        rng = self._bench.rng
        while not self.stopping:
            gevent.sleep(rng.uniform(0.5, 2 * self._pause_s))
            if self.stopping:
                break
            for _ in range(2 if rng.random() < 0.3 else 1):
                fault = rng.choice(self._kinds)
                self._running.append(gevent.spawn(self._run_one, fault))

    def finish(self) -> None:
        """Waits until every fault is mended."""
        gevent.joinall(self._running, timeout=2 * _STOP_S)

    def _run_one(self, fault: Fault) -> None:
        record = self._bench.record
        start_s = record.now_s()
        if fault.run(self._bench):
            span = FaultSpan(fault.kind, start_s, record.now_s())
            record.faults.append(span)
