"""Local deployment of real processes for the demo, tests and benchmarks.

Each caroblug program and each stand-in runs in its own process, which the
site starts and ends. Programs of caroblug start no processes.
"""

import contextlib
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from typing import Any

import attrs
import gevent
import geventhttpclient
import orjson
import tomli_w

from caroblug.core.state import hash_key, make_key
from caroblug.transport._http import HttpFailure, HttpResponse, JsonHttpClient
from standins._ports import Ports

HOST = "127.0.0.1"
MODEL = "dome-7b"
SHARED_KEY = "stand-in key of a site that lives for one test"
_READY_TIMEOUT_S = 90.0
_STOP_TIMEOUT_S = 10.0
_POLL_S = 0.05
_CALL_MS = 130_000


@attrs.frozen(kw_only=True)
class EngineSpec:
    """Configuration of a stand-in engine and its side process.

    Attributes:
        name: Name of the engine.
        data_centre: Data centre of both processes.
        first_layer: First layer that the engine holds.
        end_layer: One past the last layer.
        options: Further command-line options of the engine.
        side: Further settings of the side process.
    """

    name: str
    data_centre: str
    first_layer: int
    end_layer: int
    options: tuple[str, ...] = ()
    side: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class PlainSpec:
    """Configuration of a stand-in plain service and its side process.

    Attributes:
        name: Name of the process.
        data_centre: Data centre of both processes.
        service: Name of the service.
        options: Further command-line options of the service.
        side: Further settings of the side process.
    """

    name: str
    data_centre: str
    service: str = "booking"
    options: tuple[str, ...] = ()
    side: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class EntrySpec:
    """Configuration of an entry.

    Attributes:
        name: Name of the instance.
        data_centre: Data centre of the entry.
        settings: Further settings.
    """

    name: str
    data_centre: str
    settings: dict[str, Any] = attrs.field(factory=dict)


@attrs.define
class RunningProcess:
    """A process of the site.

    Attributes:
        name: Name of the process.
        role: `entry`, `side` or the module name of the stand-in.
        popen: Handle of the running or ended process.
        http_port: Port of its HTTP server.
        peer_port: Port at which peers reach it; 0 for a stand-in.
        data_centre: Its data centre; empty for a stand-in.
        command: Command line, used for a restart.
    """

    name: str
    role: str
    popen: subprocess.Popen
    http_port: int
    peer_port: int = 0
    data_centre: str = ""
    command: tuple[str, ...] = ()

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.popen.kill()
        self.popen.wait()


def make_default_bundle() -> dict[str, Any]:
    """Returns a bundle with one model, one service and no accounts."""
    return {
        "models": {MODEL: {"layers": 24, "vocabulary": 512}},
        "services": {"booking": {}},
        "client_accounts": {},
        "limits": {"deadline_ms": 60_000},
    }


class Site:
    """Processes on loopback with their settings, keys and ports.

    Args:
        folder: Directory of settings, keys and logs.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: dict[str, RunningProcess] = {}
        self.ports = Ports()
        self.keys: dict[str, str] = {}
        self.bundle = make_default_bundle()
        self.log_port = 0
        self.instance_list_port = 0
        self.operator_keys: list[str] = []
        self._publish_count = 0

    def start_platform(
        self,
        log_options: Sequence[str] = (),
        list_options: Sequence[str] = (),
        operators: int = 1,
    ) -> None:
        """Starts the log service and the instance list, and makes keys.

        Args:
            log_options: Command-line options of the log service.
            list_options: Command-line options of the instance list.
            operators: Number of operator keys.
        """
        self.log_port = self.ports.take()
        self.instance_list_port = self.ports.take()
        self._start_stand_in("log", "log", self.log_port, log_options)
        self._start_stand_in(
            "instances", "instances", self.instance_list_port, list_options
        )
        self.wait_http(self.log_port, "/control")
        self.wait_http(self.instance_list_port, "/instances")
        for number in range(operators):
            path = self.folder / f"operator-{number}.key"
            response = self.run_bundle_command("keygen", "--out", str(path))
            self.operator_keys.append(response.stdout.strip())

    def add_account(self, name: str, **rule: Any) -> str:
        """Adds a client account to the next bundle and returns its API key."""
        key = make_key(name)
        self.keys[name] = key
        self.bundle["client_accounts"][name] = {
            "key_hashes": [hash_key(key)],
            **rule,
        }
        return key

    def start_engine(self, spec: EngineSpec) -> None:
        """Starts an engine and its side process, and lists the side process."""
        port = self.ports.take()
        model = self.bundle["models"][MODEL]
        options = (
            f"--first-layer={spec.first_layer}",
            f"--end-layer={spec.end_layer}",
            f"--layers={model['layers']}",
            f"--vocabulary={model['vocabulary']}",
            *spec.options,
        )
        self._start_stand_in(f"engine-{spec.name}", "engine", port, options)
        self.wait_http(port, "/control")
        engine = {"engine": {"host": HOST, "port": port}}
        self.start_side(spec.name, spec.data_centre, engine | spec.side)

    def start_weights(self, *options: str) -> dict[str, Any]:
        """Starts the weight store and returns its address."""
        port = self.ports.take()
        self._start_stand_in("weights", "weights", port, options)
        self.wait_http(port, "/control")
        return {"host": HOST, "port": port}

    def start_plain(self, spec: PlainSpec) -> None:
        """Starts a plain service and its side process, and lists the latter."""
        port = self.ports.take()
        self._start_stand_in(f"plain-{spec.name}", "plain", port, spec.options)
        self.wait_http(port, "/control")
        plain = {"service": spec.service, "host": HOST, "port": port}
        self.start_side(
            spec.name, spec.data_centre, {"plain": plain} | spec.side
        )

    def start_side(
        self, name: str, data_centre: str, settings: dict[str, Any]
    ) -> RunningProcess:
        """Starts a side process and adds it to the instance list."""
        return self._start_program(
            "side", f"side-{name}", data_centre, settings
        )

    def start_entry(self, spec: EntrySpec) -> RunningProcess:
        """Starts an entry and adds it to the instance list."""
        return self._start_program(
            "entry", spec.name, spec.data_centre, spec.settings
        )

    def run_bundle_command(
        self, *arguments: str, check: bool = True
    ) -> subprocess.CompletedProcess[str]:
        """Runs `caroblug-bundle`.

        Args:
            *arguments: Command-line arguments.
            check: Whether a non-zero exit code raises.
        """
        return subprocess.run(
            [sys.executable, "-m", "caroblug.cli.bundle", *arguments],
            capture_output=True,
            text=True,
            check=check,
        )

    def log_options(self) -> list[str]:
        """Returns the log and operator options of `caroblug-bundle`."""
        options = ["--log", f"{HOST}:{self.log_port}"]
        for key in self.operator_keys:
            options += ["--operator", key]
        return options

    def publish(self) -> None:
        """Signs the bundle with the first operator's key and publishes it."""
        self._publish_count += 1
        path = self.folder / f"bundle-{self._publish_count}.toml"
        record = self.folder / f"bundle-{self._publish_count}.record"
        path.write_text(tomli_w.dumps(self.bundle))
        key = self.folder / "operator-0.key"
        self.run_bundle_command(
            "sign",
            str(path),
            "--key",
            str(key),
            "--out",
            str(record),
            *self.log_options(),
        )
        self.run_bundle_command("publish", str(record), *self.log_options())

    def list_instance(self, name: str, state: str = "live") -> None:
        """Adds an instance to the platform's list or updates its state."""
        process = self.processes[name]
        record = {
            "instance": name,
            "role": process.role,
            "host": HOST,
            "port": process.peer_port,
            "http_port": process.http_port,
            "data_centre": process.data_centre,
            "state": state,
        }
        self.http(self.instance_list_port, "POST", "/instances", record)

    def unlist_instance(self, process: RunningProcess) -> None:
        """Removes an instance from the platform's list."""
        record = {"instance": process.name, "state": "gone"}
        self.http(self.instance_list_port, "POST", "/instances", record)

    def control(self, name: str, orders: dict[str, Any]) -> None:
        """Sends control commands to a stand-in."""
        port = self.processes[name].http_port
        self.http(port, "POST", "/control", orders)

    def read_counters(self, name: str) -> Any:
        """Returns the counters of a stand-in."""
        port = self.processes[name].http_port
        return self.http(port, "GET", "/control").json()

    def http(
        self,
        port: int,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> HttpResponse:
        """Sends one request to a local port.

        Returns:
            The response.

        Raises:
            ConnectionError: If there is no response.
        """
        client = JsonHttpClient(HOST, port, _CALL_MS, connections=1)
        try:
            response = client.request(method, path, body, headers)
        finally:
            client.close()
        if isinstance(response, HttpFailure):
            raise ConnectionError(response.message)
        return response

    def call(
        self,
        entry: str,
        account: str,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> HttpResponse:
        """Sends a request to an entry with the key of a client account."""
        sent_headers = {"Authorization": f"Bearer {self.keys[account]}"}
        sent_headers.update(headers or {})
        port = self.processes[entry].http_port
        return self.http(port, method, path, body, sent_headers)

    def stream(
        self, entry: str, account: str, body: dict[str, Any]
    ) -> Iterator[dict[str, Any]]:
        """Yields the decoded chunks of a streamed chat completion."""
        port = self.processes[entry].http_port
        client = geventhttpclient.HTTPClient(
            HOST, port, network_timeout=_CALL_MS / 1000
        )
        headers = {"Authorization": f"Bearer {self.keys[account]}"}
        try:
            response = client.request(
                "POST",
                "/v1/chat/completions",
                body=orjson.dumps({**body, "stream": True}),
                headers=headers,
            )
            if response.status_code != 200:
                yield json.loads(bytes(response.read()))
                return
            yield from read_events(response)
        finally:
            client.close()

    def metric(self, name: str, metric: str) -> float:
        """Returns the sum of a metric's samples in one program."""
        port = self.processes[name].http_port
        text = self.http(port, "GET", "/metrics").body.decode()
        total = 0.0
        for line in text.splitlines():
            label, _, value = line.rpartition(" ")
            if label.partition("{")[0] == metric:
                total += float(value)
        return total

    def wait_http(self, port: int, path: str) -> None:
        """Waits until a server responds with status 200."""
        self.wait_for(lambda: self._is_ok(port, path), f"port {port}{path}")

    def is_ready(self, name: str) -> bool:
        """Returns whether a program reports that it is ready."""
        return self._is_ok(self.processes[name].http_port, "/readyz")

    def wait_ready(self) -> None:
        """Waits until programs are ready and entries know every side."""
        for process in self.processes.values():
            if process.role in ("entry", "side"):
                self.wait_http(process.http_port, "/readyz")
        sides = sum(p.role == "side" for p in self.processes.values())
        for process in list(self.processes.values()):
            if process.role == "entry":
                name = process.name
                self.wait_for(
                    lambda name=name: (
                        self.metric(name, "caroblug_known_sides") >= sides
                    ),
                    f"{name} knows {sides} side processes",
                )

    def wait_for(self, condition: Any, what: str) -> None:
        """Polls until a condition holds.

        Args:
            condition: Function that returns whether the condition holds.
            what: Name of the condition in the error message.

        Raises:
            TimeoutError: If the condition does not hold in time.
        """
        end = time.monotonic() + _READY_TIMEOUT_S
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError(f"timed out waiting for {what}")
            gevent.sleep(_POLL_S)

    def stop(self, name: str) -> int:
        """Sends SIGTERM to a process and returns its exit code."""
        process = self.processes[name]
        process.signal(signal.SIGTERM)
        self.wait_for(lambda: process.popen.poll() is not None, f"{name}")
        return process.popen.returncode

    def close(self) -> None:
        """Ends every process; kills those that do not end in time."""
        running = [p for p in self.processes.values() if p.popen.poll() is None]
        for process in running:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        end = time.monotonic() + _STOP_TIMEOUT_S
        for process in running:
            try:
                process.popen.wait(max(0.01, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()

    def _is_ok(self, port: int, path: str) -> bool:
        try:
            return self.http(port, "GET", path).status == 200
        except (ConnectionError, OSError):
            return False

    def _start_stand_in(
        self, name: str, module: str, port: int, options: Sequence[str]
    ) -> None:
        command = [
            sys.executable,
            "-m",
            f"standins.{module}",
            f"--port={port}",
            *options,
        ]
        self._spawn(RunningProcess(name, module, None, port), command)

    def _start_program(
        self,
        role: str,
        name: str,
        data_centre: str,
        settings: dict[str, Any],
    ) -> RunningProcess:
        peer_port, http_port = self.ports.take(), self.ports.take()
        settings = dict(settings)
        advertised_port = peer_port
        if settings.pop("relay", False):
            advertised_port = self._start_relay(name, peer_port)
            settings["advertised_port"] = advertised_port
        table = {
            "instance": name,
            "data_centre": data_centre,
            "peer_port": peer_port,
            "http_port": http_port,
            "shared_key": SHARED_KEY,
            "operators": self.operator_keys,
            "log": {"host": HOST, "port": self.log_port},
            "instance_list": {"host": HOST, "port": self.instance_list_port},
            **settings,
        }
        path = self.folder / f"{name}.toml"
        path.write_text(tomli_w.dumps(table))
        command = [
            sys.executable,
            "-m",
            f"caroblug.cli.{role}",
            "--config",
            str(path),
        ]
        process = RunningProcess(
            name, role, None, http_port, advertised_port, data_centre
        )
        self._spawn(process, command)
        self.list_instance(name)
        return process

    def _start_relay(self, name: str, target: int) -> int:
        """Starts a relay in front of a program; returns the relay's port."""
        port, listen = self.ports.take(), self.ports.take()
        options = (f"--listen={listen}", f"--target={target}")
        self._start_stand_in(f"relay-{name}", "relay", port, options)
        self.wait_http(port, "/control")
        return listen

    def restart(self, name: str) -> None:
        """Restarts an ended process with the same command line."""
        process = self.processes[name]
        self._spawn(process, list(process.command))

    def _spawn(self, process: RunningProcess, command: list[str]) -> None:
        process.command = tuple(command)
        with open(self.folder / f"{process.name}.log", "ab") as output:
            process.popen = subprocess.Popen(
                command, stdout=output, stderr=subprocess.STDOUT
            )
        self.processes[process.name] = process


def read_events(response: Any) -> Iterator[dict[str, Any]]:
    """Yields the JSON of each server-sent event until `[DONE]`."""
    buffer = b""
    while True:
        part = response.read(1) if not buffer else response.read(256)
        if not part:
            return
        buffer += bytes(part)
        while b"\n\n" in buffer:
            event, _, buffer = buffer.partition(b"\n\n")
            data = event.removeprefix(b"data: ")
            if data == b"[DONE]":
                return
            yield json.loads(data)


@contextlib.contextmanager
def make_site() -> Iterator[Site]:
    """Yields an empty site and ends its processes on exit."""
    with tempfile.TemporaryDirectory(prefix="caroblug-") as folder:
        site = Site(pathlib.Path(folder))
        try:
            yield site
        finally:
            site.close()


def make_three_stages(**options: Any) -> list[EngineSpec]:
    """Returns engines of three stages in each of two data centres."""
    bounds = ((0, 8), (8, 16), (16, 24))
    return [
        EngineSpec(
            name=f"{place}-{number}",
            data_centre=f"muscat-{place}",
            first_layer=first,
            end_layer=end,
            **options,
        )
        for place in ("a", "b")
        for number, (first, end) in enumerate(bounds)
    ]
