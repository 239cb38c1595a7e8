"""Fault injection for a soak test, driven by a seed."""

import abc
import random
import signal
import subprocess
from collections.abc import Callable

import gevent

from standins.site import RunningProcess, Site
from standins.soak._record import FaultSpan, SoakRecord

_DRAIN_CHECK_S = 2.0
_STOP_TIMEOUT_S = 45.0
_POISON_SENDS = 4
_MAX_CRASHES = 3
_OPENED_METRIC = "caroblug_streams_opened_total"


class FaultContext:
    """State that all faults share.

    Args:
        site: The running site.
        record: Record of faults and violations.
        rng: Random source of target processes and durations.
        stopped: Names of processes that were stopped on purpose.
        killed: Time of the last kill by process, in seconds of the soak test.
    """

    def __init__(
        self,
        site: Site,
        record: SoakRecord,
        rng: random.Random,
        stopped: set[str],
        killed: dict[str, float],
    ) -> None:
        self.site = site
        self.record = record
        self.rng = rng
        self.stopped = stopped
        self.killed = killed
        self._acquired: set[str] = set()

    def acquire_process(
        self, role: str, prefix: str = ""
    ) -> RunningProcess | None:
        """Chooses a running process that no other fault uses.

        Args:
            role: Role of the process.
            prefix: Prefix of its name.

        Returns:
            The process, or None if there is none.
        """
        names = sorted(
            p.name
            for p in self.site.processes.values()
            if p.role == role
            and p.name.startswith(prefix)
            and p.name not in self._acquired
            and p.popen.poll() is None
        )
        if not names:
            return None
        name = self.rng.choice(names)
        self._acquired.add(name)
        return self.site.processes[name]

    def release_process(self, process: RunningProcess) -> None:
        """Makes a process available to other faults again."""
        self._acquired.discard(process.name)


class Fault(abc.ABC):
    """One kind of fault.

    Attributes:
        kind: Name of the kind in the trace and the result.
    """

    kind = ""

    @abc.abstractmethod
    def run(self, context: FaultContext) -> bool:
        """Injects the fault, waits and repairs it.

        Args:
            context: State that all faults share.

        Returns:
            Whether the fault was injected; False if no target was available.
        """


class _ProcessFault(Fault):
    """A fault of one random process of a role."""

    role = "side"
    prefix = ""

    def run(self, context: FaultContext) -> bool:
        process = context.acquire_process(self.role, self.prefix)
        if process is None:
            return False
        context.record.add_event("fault", fault=self.kind, name=process.name)
        try:
            self.inject(context, process)
        finally:
            context.release_process(process)
            context.record.add_event(
                "mended", fault=self.kind, name=process.name
            )
        return True

    @abc.abstractmethod
    def inject(self, context: FaultContext, process: RunningProcess) -> None:
        """Injects the fault into a process and repairs it."""


class Kill(_ProcessFault):
    """Kills a process and restarts it after a random delay."""

    def __init__(self, role: str, prefix: str = "") -> None:
        self.kind = f"kill_{role}"
        self.role = role
        self.prefix = prefix

    def inject(self, context: FaultContext, process: RunningProcess) -> None:
        context.stopped.add(process.name)
        context.killed[process.name] = context.record.now_s()
        process.kill()
        gevent.sleep(context.rng.uniform(0.2, 3.0))
        context.killed[process.name] = context.record.now_s()
        context.site.restart(process.name)
        path = "/readyz" if self.role in ("entry", "side") else "/control"
        gevent.sleep(0.5)
        if self.role == "engine":
            context.site.wait_http(process.http_port, path)
        context.stopped.discard(process.name)


class Freeze(_ProcessFault):
    """Suspends a process with SIGSTOP and resumes it."""

    def __init__(self, role: str, prefix: str = "") -> None:
        self.kind = f"freeze_{role}"
        self.role = role
        self.prefix = prefix

    def inject(self, context: FaultContext, process: RunningProcess) -> None:
        process.signal(signal.SIGSTOP)
        gevent.sleep(context.rng.uniform(0.3, 4.0))
        process.signal(signal.SIGCONT)


class HangEngine(_ProcessFault):
    """Makes an engine accept requests without responding."""

    kind = "hang_engine"
    role = "engine"

    def inject(self, context: FaultContext, process: RunningProcess) -> None:
        context.site.control(process.name, {"hang": True})
        gevent.sleep(context.rng.uniform(0.3, 4.0))
        context.site.control(process.name, {"hang": False})


class Restart(_ProcessFault):
    """Restarts a process in order: SIGTERM, drain, exit code 0, start."""

    def __init__(self, role: str) -> None:
        self.kind = f"restart_{role}"
        self.role = role

    def inject(self, context: FaultContext, process: RunningProcess) -> None:
        context.stopped.add(process.name)
        process.signal(signal.SIGTERM)
        if self.role == "side":
            self._check_no_new_work(context, process)
        try:
            code = process.popen.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            context.record.add_violation("did not drain", name=process.name)
            process.kill()
            code = 0
        context.killed[process.name] = context.record.now_s()
        if code != 0:
            context.record.add_violation(
                "exit code", name=process.name, code=code
            )
        context.site.restart(process.name)
        gevent.sleep(0.5)
        context.stopped.discard(process.name)

    def _check_no_new_work(
        self, context: FaultContext, process: RunningProcess
    ) -> None:
        gevent.sleep(_DRAIN_CHECK_S)
        opened = _read_opened_streams(context, process)
        gevent.sleep(_DRAIN_CHECK_S)
        later = _read_opened_streams(context, process)
        if opened is not None and later is not None and later > opened:
            context.record.add_violation(
                "new work on a draining process", name=process.name
            )


def _read_opened_streams(
    context: FaultContext, process: RunningProcess
) -> float | None:
    if process.popen.poll() is not None:
        return None
    try:
        return context.site.metric(process.name, _OPENED_METRIC)
    except (ConnectionError, OSError):
        return None


class PlatformFault(Fault):
    """Injects a temporary fault into a stand-in of the platform.

    Args:
        kind: Name of the kind in the trace and the result.
        name: Name of the stand-in.
        orders: Control commands that inject the fault.
        repair: Control commands that repair it.
    """

    def __init__(
        self,
        kind: str,
        name: str,
        orders: dict[str, object],
        repair: dict[str, object],
    ) -> None:
        self.kind = kind
        self._name = name
        self._fault_commands = orders
        self._repair_commands = repair

    def run(self, context: FaultContext) -> bool:
        context.record.add_event("fault", fault=self.kind)
        context.site.control(self._name, self._fault_commands)
        gevent.sleep(context.rng.uniform(1.0, 8.0))
        context.site.control(self._name, self._repair_commands)
        context.record.add_event("mended", fault=self.kind)
        return True


class RacingOperators(Fault):
    """Publishes two bundles at the same time; versions may only rise."""

    kind = "racing_operators"

    def __init__(self) -> None:
        self._limit = 1000

    def run(self, context: FaultContext) -> bool:
        context.record.add_event("fault", fault=self.kind)
        publishers = [gevent.spawn(self._publish, context) for _ in range(2)]
        gevent.joinall(publishers, timeout=_STOP_TIMEOUT_S)
        return True

    def _publish(self, context: FaultContext) -> None:
        self._limit += 1
        context.site.bundle["limits"]["max_tokens"] = self._limit
        try:
            context.site.publish()
        except subprocess.CalledProcessError as error:
            context.record.add_event("publish.failed", message=error.stderr)


class PoisonFault(Fault):
    """Sends a request that crashes each engine that embeds its first word."""

    kind = "poison"

    def __init__(self, send: Callable[[], None]) -> None:
        self._send = send
        self._crashes = 0
        self._running = False

    def run(self, context: FaultContext) -> bool:
        if self._running:
            return False
        self._running = True
        context.record.add_event("fault", fault=self.kind)
        for _ in range(_POISON_SENDS):
            self._send()
            self._restart_crashed_engines(context)
        if self._crashes > _MAX_CRASHES:
            context.record.add_violation(
                "poison crashed too often", n=self._crashes
            )
        self._running = False
        return True

    def _restart_crashed_engines(self, context: FaultContext) -> None:
        gevent.sleep(0.3)
        for process in list(context.site.processes.values()):
            if (
                process.role == "engine"
                and process.name not in context.stopped
                and process.popen.poll() is not None
            ):
                self._crashes += 1
                context.record.add_event("crashed", name=process.name)
                context.site.restart(process.name)
        gevent.sleep(0.7)


class FaultInjector:
    """Injects random faults, one or two at a time, until `stopping` is set.

    Args:
        context: State that all faults share.
        kinds: The faults to choose from.
        pause_s: Scale of the random pause between two injections.
    """

    def __init__(
        self, context: FaultContext, kinds: list[Fault], pause_s: float
    ) -> None:
        self.stopping = False
        self._context = context
        self._make_faults = kinds
        self._pause_s = pause_s
        self._running: list[gevent.Greenlet] = []

    def run(self) -> None:
        """Injects faults until `stopping` is set."""
        rng = self._context.rng
        while not self.stopping:
            gevent.sleep(rng.uniform(0.5, 2 * self._pause_s))
            if self.stopping:
                break
            for _ in range(2 if rng.random() < 0.3 else 1):
                fault = rng.choice(self._make_faults)
                self._running.append(gevent.spawn(self._run_one, fault))

    def finish(self) -> None:
        """Waits until every fault is repaired."""
        gevent.joinall(self._running, timeout=2 * _STOP_TIMEOUT_S)

    def _run_one(self, fault: Fault) -> None:
        record = self._context.record
        start_s = record.now_s()
        if fault.run(self._context):
            span = FaultSpan(fault.kind, start_s, record.now_s())
            record.faults.append(span)
