"""Small stand-ins of the platform for the scripts of the review.

A store, plain servers, model engines and clients, all on loopback addresses,
and the start of gateway processes with the command of the deploy file. Only
the standard library is used.
"""

import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
HEARTBEAT_MS = 1200
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
SITE = "ficu95.example"
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "StableMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LostMs": 200,
    "ConfigApplyMs": 2000,
    "BackMs": 250,
    "StretchMs": 5000,
    "BudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetExtra": 196,
    "RecoverS": 12,
    "PassMs": 120,
    "stall_ms": 3000,
    "RequireFence": False,
}
_RECEIVE_BYTES = 65536
_PORTS = range(12000, 32000)


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the time since the start."""
        at_s = time.monotonic() - self._began
        with self._lock:
            self._file.write(f"{at_s:8.3f} {text}\n")

    def close(self) -> None:
        """Closes the file."""
        with self._lock:
            self._file.close()


class Request:
    """A request as a stand-in received it."""

    def __init__(self, method, target, headers, body) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))

    def get(self, name: str) -> str | None:
        """Returns a header."""
        return self.headers.get(name.lower())


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._data = b""

    def _more(self) -> bool:
        data = self._socket.recv(_RECEIVE_BYTES)
        self._data += data
        return bool(data)

    def head(self) -> tuple[str, dict[str, str]] | None:
        """Returns the first line and the headers; None at the end."""
        while b"\r\n\r\n" not in self._data:
            if not self._more():
                return None
        head, _, self._data = self._data.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers.setdefault(name.strip().lower(), value.strip())
        return first, headers

    def exactly(self, count: int) -> bytes:
        """Returns a number of bytes.

        Raises:
            EOFError: If the connection ends before.
        """
        while len(self._data) < count:
            if not self._more():
                raise EOFError("ends inside a body")
        data, self._data = self._data[:count], self._data[count:]
        return data

    def line(self) -> bytes:
        """Returns the bytes up to the next line end.

        Raises:
            EOFError: If the connection ends before.
        """
        while b"\r\n" not in self._data:
            if not self._more():
                raise EOFError("ends inside a line")
        line, _, self._data = self._data.partition(b"\r\n")
        return line

    def chunks(self):
        """Yields the chunks of a body."""
        while size := int(self.line(), 16):
            yield self.exactly(size)
            self.line()
        self.line()

    def rest(self) -> bytes:
        """Returns all bytes up to the end of the connection."""
        while self._more():
            pass
        data, self._data = self._data, b""
        return data

    def body(self, headers: dict[str, str]) -> bytes:
        """Returns the body of a message with a length or in chunks."""
        if headers.get("transfer-encoding") == "chunked":
            return b"".join(self.chunks())
        return self.exactly(int(headers.get("content-length", 0)))


def response(status: int, headers: dict | None = None, body=b"") -> bytes:
    """Returns the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _bind(sock: socket.socket, port: int = 0) -> None:
    """Binds a socket to a port, or to any free one if it is 0.

    The kernel gives none of these ports to outgoing connections, which could
    otherwise take the port of a server that is about to start again.
    """
    while not port:
        with contextlib.suppress(OSError):
            sock.bind((HOST, random.choice(_PORTS)))
            return
    sock.bind((HOST, port))


class Server:
    """Serves connections on a port, one thread for each of them."""

    def __init__(self, port: int = 0) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _bind(self._listener, port)
        self._listener.listen(512)
        self.port = self._listener.getsockname()[1]
        self.address = f"{HOST}:{self.port}"
        self._connections: set[socket.socket] = set()
        self._lock = threading.Lock()
        self.is_open = True
        self.is_dark = False
        self._held: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            if self.is_dark:
                self._held.append(sock)
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._connections.add(sock)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            reader = Reader(sock)
            while (head := reader.head()) is not None:
                method, target, _ = head[0].split(" ", 2)
                body = reader.body(head[1])
                request = Request(method, target, head[1], body)
                if not self.answer(request, sock):
                    return
                if head[1].get("connection", "").lower() == "close":
                    return
        except (OSError, EOFError, ValueError):
            return
        finally:
            with self._lock:
                self._connections.discard(sock)
            sock.close()

    def answer(self, request: Request, sock: socket.socket) -> bool:
        """Answers a request; returns whether the connection goes on."""
        raise NotImplementedError

    def lose_power(self) -> None:
        """Goes silent: it answers nothing, and connections to it hang.

        The queue of new connections is kept full, so that the kernel drops the
        packets that open more of them.
        """
        self.is_dark = True
        self._listener.listen(0)
        for _ in range(64):
            filler = socket.socket()
            filler.settimeout(0.02)
            self._held.append(filler)
            try:
                filler.connect((HOST, self.port))
            except TimeoutError:
                return

    def crash(self) -> None:
        """Ends the server and its connections, as a crash does."""
        self.is_open = False
        for sock in self._held:
            sock.close()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            for sock in self._connections:
                reset = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


class Store(Server):
    """The platform's store, as far as gateways call it.

    Attributes:
        is_down: Whether it answers with 503.
    """

    PARTS = 12
    PAGE = 500

    def __init__(self) -> None:
        self.is_down = False
        self._changed = threading.Condition()
        self._values: dict[str, dict[str, tuple[bytes, int]]] = {}
        self._log: dict[str, list[tuple[str, bytes]]] = {}
        self._members: dict[str, dict[str, float]] = {}
        self._generation = 1
        self._topics: list[str] = []
        self._owners_of: dict[tuple[str, int], str] = {}
        self._calls = {
            "/-/log-append": self._append,
            "/-/log-read": self._read,
            "/-/log-newest": self._newest,
            "/-/log-join": self._join,
            "/-/log-leave": self._leave,
            "/-/log-owners": self._owners,
        }
        super().__init__()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record; one without a value drops the key."""
        with self._changed:
            log = self._log.setdefault(topic, [])
            values = self._values.setdefault(topic, {})
            log.append((key, value))
            if value:
                values[key] = (value, len(log) - 1)
            else:
                values.pop(key, None)
            self._changed.notify_all()

    def configure(self, configuration: dict) -> None:
        """Writes a configuration, as the operator does."""
        self.put("keyed.op/0", "config", json.dumps(configuration).encode())

    def answer(self, request: Request, sock: socket.socket) -> bool:
        """Answers a call of a gateway."""
        call = self._calls.get(request.path)
        if self.is_down:
            sock.sendall(response(503))
        elif call is None:
            sock.sendall(response(404))
        else:
            status, data = call(request)
            if not isinstance(data, bytes):
                data = json.dumps(data).encode()
            kind = {"Content-Type": "application/json"}
            sock.sendall(response(status, kind, data))
        return True

    @staticmethod
    def _topic(request: Request) -> str:
        return f"{request.query['Topic']}/{request.query['part']}"

    def _append(self, request: Request):
        topic = self._topic(request)
        at = 0
        first = len(self._log.get(topic, ()))
        while at < len(request.body):
            (length,) = struct.unpack_from(">I", request.body, at)
            record = request.body[at + 4 : at + 4 + length]
            end = 1 + record[0]
            self.put(topic, record[1:end].decode(), record[end:])
            at += 4 + length
        return 200, {"Offset": first, "End": len(self._log.get(topic, ()))}

    def _read(self, request: Request):
        topic = self._topic(request)
        start = int(request.query["From"])
        until = time.monotonic() + int(request.query.get("WaitMs", 0)) / 1000
        with self._changed:
            while len(self._log.get(topic, ())) <= start:
                left = until - time.monotonic()
                if left <= 0 or not self._changed.wait(left):
                    break
            records = self._log.get(topic, [])
            data = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                record = bytes([len(key)]) + key.encode() + value
                data += struct.pack(">I", len(record)) + record
        return 200, data

    def _newest(self, request: Request):
        topic = self._topic(request)
        after = request.query.get("After")
        with self._changed:
            end = len(self._log.get(topic, ()))
            items = [
                {
                    "Key": key,
                    "Value": base64.b64encode(value).decode(),
                    "Offset": offset,
                }
                for key, (value, offset) in sorted(
                    self._values.get(topic, {}).items()
                )
                if after is None or key > after
            ]
        more = len(items) > self.PAGE
        return 200, {"Items": items[: self.PAGE], "HasMore": more, "End": end}

    def _join(self, request: Request):
        call = json.loads(request.body)
        with self._changed:
            members = self._members.setdefault(call["group"], {})
            self._expire(members)
            if call["Member"] not in members:
                self._generation += 1
            members[call["Member"]] = time.monotonic() + call["TtlMs"] / 1000
            self._topics = call["Topics"]
            rows = [
                [topic, part, 0]
                for topic, part, owner in self._rows(members)
                if owner == call["Member"]
            ]
            return 200, {"Generation": self._generation, "parts": rows}

    def _leave(self, request: Request):
        call = json.loads(request.body)
        with self._changed:
            self._members.get(call["group"], {}).pop(call["Member"], None)
            self._generation += 1
        return 200, {}

    def _owners(self, request: Request):
        with self._changed:
            members = self._members.get(request.query["group"], {})
            self._expire(members)
            rows = [[t, p, m, 0] for t, p, m in self._rows(members)]
        return 200, rows

    def _expire(self, members: dict[str, float]) -> None:
        now = time.monotonic()
        for member in [m for m, until in members.items() if until < now]:
            del members[member]
            self._generation += 1

    def _rows(self, members: dict[str, float]) -> list[tuple[str, int, str]]:
        """Returns the owner of each partition, which changes seldom."""
        if not members:
            return []
        parts = [
            (topic, part)
            for topic in self._topics
            for part in range(self.PARTS)
        ]
        names = sorted(members)
        most = -(-len(parts) // len(names))
        counts = dict.fromkeys(names, 0)
        for key in parts:
            owner = self._owners_of.get(key)
            if owner in counts and counts[owner] < most:
                counts[owner] += 1
            else:
                self._owners_of.pop(key, None)
        for key in parts:
            if key not in self._owners_of:
                owner = min(names, key=counts.__getitem__)
                self._owners_of[key] = owner
                counts[owner] += 1
        return [(*key, self._owners_of[key]) for key in parts]


class Backend(Server):
    """A server that registers itself in the store.

    Args:
        store: The store.
        name: Its id.
        service: Name of its service.
        port: Port; any free one if it is 0.
        zone: Its zone.
    """

    def __init__(self, store, name, service, port=0, zone="muscat-a") -> None:
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.beaten_s = 0.0
        super().__init__(port)
        threading.Thread(target=self._heartbeats, daemon=True).start()

    def entry(self) -> dict:
        """Returns its entry of the list of servers."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 6,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": self.sequence,
            "born": self.born,
        }

    def beat(self) -> None:
        """Writes its entry, if the store takes it."""
        self.sequence += 1
        self.beaten_s = time.monotonic()
        if not self.store.is_down:
            value = json.dumps(self.entry()).encode()
            self.store.put("keyed.servers/0", self.name, value)

    def _heartbeats(self) -> None:
        while self.is_open:
            self.beat()
            time.sleep(HEARTBEAT_MS / 1000)

    def misdirected(self, request: Request, sock: socket.socket) -> bool:
        """Rejects a request that names another server."""
        expected = request.get("expect-instance")
        if expected in (None, self.name):
            return False
        sock.sendall(response(421, {"Instance-Id": self.name}))
        return True


class Engine(Backend):
    """A model engine, which may be ordered to hold layers.

    Args:
        store: The store.
        name: Its id.
        service: Name of its service.
        kind: Its kind of accelerator.
        fleet: Engines by address, to which it adds itself.
        options: What engines of its service have in common.
        port: Port; any free one if it is 0.
        zone: Its zone.
    """

    def __init__(
        self,
        store,
        name,
        service,
        kind,
        fleet,
        options,
        port=0,
        zone="muscat-a",
    ) -> None:
        self.kind = kind
        self.options = options
        self.fleet = fleet
        self.holds = (0, 0)
        self.busy = False
        self.orders = 0
        self.running = 0
        self.state_lock = threading.Lock()
        super().__init__(store, name, service, port, zone)
        fleet[self.address] = self

    def _state(self) -> dict:
        table = {
            "Stage": "both",
            "Models": [{"Name": "daka510000", "Version": 1, "Adapters": []}],
            "Kind": self.kind,
            "born": self.born,
        }
        first, end = self.holds
        if end > first:
            table["Layers"] = {"From": first, "Target": end, "Version": 1}
        return table

    def entry(self) -> dict:
        """Returns its entry, with the layers that it holds."""
        return {**super().entry(), **self._state(), "Slots": 96}

    def report(self) -> dict:
        """Returns its report."""
        return {
            **self._state(),
            "Busy": self.busy,
            "Seq": self.orders,
            "Waiting": 0,
            "Running": self.running,
            "KvUsed": 0,
            "KvTotal": 50000,
            "Handles": 0,
            "Stalled": [],
            "pace": 1.0,
        }

    def answer(self, request: Request, sock: socket.socket) -> bool:
        """Answers a report, an order or a request."""
        if request.path == "/health":
            sock.sendall(response(200, {"Instance-Id": self.name}))
            return True
        if self.misdirected(request, sock):
            return True
        if request.path == "/-/report":
            data = json.dumps(self.report()).encode()
            kind = {"Content-Type": "application/json"}
            sock.sendall(response(200, kind, data))
            return True
        if request.path == "/-/order":
            status = self.order(json.loads(request.body))
            if self.is_open:
                sock.sendall(response(status))
            return self.is_open
        return self.stream(request, sock)

    def order(self, order: dict) -> int:
        """Carries out an order and returns the status of the answer."""
        if order["Op"] == "repath":
            return 404
        if order["Op"] != "place":
            return 400
        layers = (order["From"], order["Target"])
        with self.state_lock:
            if order.get("Expect", self.orders) != self.orders or self.busy:
                return 409
            if layers == self.holds:
                return 200
            self.orders += 1
            self.busy = True
        self.on_place(order)
        if not self.is_open:
            return 0
        load_s = self.options["LoadS"] * (layers[1] - layers[0])
        timer = threading.Timer(
            load_s / self.options["Layers"], self._finish, [layers]
        )
        timer.daemon = True
        timer.start()
        return 202

    def on_place(self, order: dict) -> None:
        """Is called for each order to hold layers that has begun."""

    def _finish(self, layers: tuple[int, int]) -> None:
        with self.state_lock:
            self.holds = layers
            self.busy = False
        self.beat()

    def _at_fault(self, request: Request) -> tuple[int, str] | None:
        """Returns why a request can't run, and the address at fault."""
        hops = request.get("hop-count")
        if hops is None:
            whole = (0, self.options["Layers"])
            return None if self.holds == whole else (421, self.address)
        for hop in hops.split(","):
            address, _, layers = hop.partition("=")
            first, end = map(int, layers.split("-"))
            engine = self.fleet.get(address)
            if engine is None or not engine.is_open:
                return 503, address
            if not engine.holds[0] <= first < end <= engine.holds[1]:
                return 421, address
        return None

    def stream(self, request: Request, sock: socket.socket) -> bool:
        """Answers with a stream of events."""
        fault = self._at_fault(request)
        if fault is not None:
            status, address = fault
            headers = {"Not-Executed": "1", "At-Server": address}
            sock.sendall(response(status, headers))
            return True
        request_id = request.get("request-id")
        self.on_run(request_id)
        lines = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {request_id}",
            f"Response-Seal: 3e1b.07.5a2.600.0.{request_id[-8:]}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        last = int(request.get("last-event-id") or 0)
        events = int(request.get("token-count").split(",")[1]) // 2
        with self.state_lock:
            self.running += 1
        try:
            for number in range(last + 1, events + 1):
                time.sleep(self.options.get("event_s", 0.02))
                event = f"id: {number}\ndata: {request_id} {number}\n\n"
                sock.sendall(b"%x\r\n%b\r\n" % (len(event), event.encode()))
            sock.sendall(b"0\r\n\r\n")
        finally:
            with self.state_lock:
                self.running -= 1
        return True

    def on_run(self, request_id: str) -> None:
        """Is called when a request begins to run."""


class Answer:
    """An answer as a client received it."""

    def __init__(self, status, headers, body, complete) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


def send(port, method, path, headers, body=b"", timeout_s=25.0) -> Answer:
    """Sends a request on a new connection and reads the answer."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {SITE}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    with socket.create_connection((HOST, port), timeout_s) as sock:
        sock.sendall(data)
        reader = Reader(sock)
        head = reader.head()
        if head is None:
            return Answer(0, {}, b"", False)
        status = int(head[0].split(" ")[1])
        try:
            return Answer(status, head[1], reader.body(head[1]), True)
        except (OSError, EOFError, ValueError):
            return Answer(status, head[1], b"", False)


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            _bind(sock)
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


class Gateway:
    """A process of the project's gateway, with the deploy file's command."""

    def __init__(self, folder, name, store, bootstrap=True) -> None:
        ports = free_ports(4)
        self.name = name
        self.front, self.ready = ports[0], ports[1]
        self._file = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._settings = {
            "NodeName": name,
            "Role": "gateway",
            "MachineClass": "front",
            "Serves": ["front"],
            "Ip": HOST,
            "Zone": "muscat-a",
            "Region": "muscat",
            "Zones": {"muscat-a": "muscat"},
            "Listen": {
                "Front": f"{HOST}:{self.front}",
                "Ready": f"{HOST}:{self.ready}",
            },
            "InternalPorts": ports[2:],
            "Seeds": [],
            "Bootstrap": bootstrap,
            "HeartbeatMs": HEARTBEAT_MS,
            "Bounds": BOUNDS,
            "Platform": {
                "Address": store.address,
                "form": "log",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "parts": Store.PARTS,
                "TtlMinMs": 1000,
            },
        }
        self.process = None
        self.start()

    def start(self) -> None:
        """Starts the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        self._file.write_text(json.dumps(self._settings))
        kept = ("PATH", "HOME", "LANG")
        environment = {k: v for k, v in os.environ.items() if k in kept}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["CAROBLUG_NODE_FILE"] = str(self._file)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def restart(self) -> None:
        """Starts the process again, which isn't the first one any more."""
        self._settings["Bootstrap"] = False
        self.start()

    def is_ready(self) -> bool:
        """Returns what the process answers to the question of readiness."""
        try:
            return send(self.ready, "GET", "/-/ready", {}).status == 200
        except OSError:
            return False

    def wait_ready(self, seconds: float = 20.0) -> None:
        """Waits until the process is ready.

        Raises:
            TimeoutError: If it isn't in time.
        """
        end = time.monotonic() + seconds
        while not self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise TimeoutError(f"{self.name}: {self.log()[-2000:]}")
            time.sleep(0.05)

    def log(self) -> str:
        """Returns what the process has written."""
        return self._log.read_text(errors="replace")

    def stop(self) -> None:
        """Ends the process."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()


class Site:
    """Store, servers and gateways of one script, which end with it."""

    def __init__(self, case: str) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(pathlib.Path(case) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.gateways: list[Gateway] = []

    def add_gateway(self, name: str) -> Gateway:
        """Starts a gateway."""
        gateway = Gateway(self.folder, name, self.store)
        self.gateways.append(gateway)
        return gateway

    def close(self) -> None:
        """Ends all processes."""
        for gateway in self.gateways:
            gateway.stop()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def run(case: str, play) -> int:
    """Plays a case and returns the exit code.

    Args:
        case: Folder of the case.
        play: Function of a `Site` that returns whether the rule was broken.

    Returns:
        1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
    """
    # Ends the gateways, too, if the script is ended early.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    site = Site(case)
    try:
        broken = play(site)
    except Exception as error:
        site.record.write(f"the case couldn't run: {error!r}")
        print(f"the case couldn't run: {error!r}")
        return 2
    finally:
        site.close()
    return 1 if broken else 0


def route(name, prefix, kind, service, **more) -> dict:
    """Returns a route of a configuration."""
    table = {
        "Name": name,
        "Host": SITE,
        "PathPrefix": prefix,
        "Kind": kind,
        "Service": service,
        "TimeoutMs": 800,
        "GoalMs": 300,
        "Priority": 2,
        "MaxAttempts": 1,
        "Public": False,
    }
    table.update(more)
    return table


def configuration(version, routes, services) -> dict:
    """Returns a configuration."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}],
    }


def plain_service(name: str) -> dict:
    """Returns a service of plain servers."""
    return {
        "Name": name,
        "HealthPath": "/health",
        "MaxConns": 96,
        "Protocol": "h1",
        "Tls": False,
    }


def model_service(name: str, options: dict, kinds: list[dict]) -> dict:
    """Returns a service of model engines."""
    return {
        **plain_service(name),
        "MaxConns": 968,
        "Engine": {
            "Slots": 96,
            "KvTokens": 50000,
            "KvBytes": 10650 * options["Layers"],
            "LinkMbps": 480000.0,
            "Stride": 2,
            "Models": [{"Name": "daka510000", "LoadS": options["LoadS"]}],
            "step_ms": 0.85,
            "per_seq_ms": 0.00552,
            "context_per_k": 0.0074,
            "read_per_s": 272000.0,
            "pairs_per_m": 0.12,
            "chunk": 512,
            "report_lag_ms": 200.0,
            "loads_at_once": 6,
            "delays": [],
            "usual": {"prompt": 772, "answer": 145},
            "Layers": options["Layers"],
            "LayerMb": options["LayerMb"],
            "ActBytes": 42600,
            "PipeMbps": 9300.0,
            "Kinds": kinds,
        },
    }
