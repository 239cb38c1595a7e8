"""Stand-ins of a small deployment: store, plain servers, clients, gateways.

Standard library only. Everything runs on asyncio in the process of the test,
but for the gateways, which are processes of their own.
"""

import asyncio
import base64
import json
import os
import pathlib
import resource
import shutil
import signal
import socket
import struct
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST_NAME = "desk.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
PARTS = 12
HEARTBEAT_S = 1.2
ADDRESS_BYTES = 3 << 30

# Bounds of the site Falaj Stars (sites/falaj-caroblug.toml).
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
    "StrictRevoke": False,
    "RevokeMs": 5000,
    "BudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetExtra": 196,
    "RecoverS": 12,
    "PassMs": 120,
    "AgainS": 0,
    "stall_ms": 3000,
    "RequireFence": False,
}
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4194304,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}

LAYERS = 80
KIND = "a100"
POOL = {
    "Name": "caroblug-pool",
    "HealthPath": "/health",
    "MaxConns": 968,
    "Protocol": "h1",
    "Tls": False,
    "Engine": {
        "Slots": 96,
        "KvTokens": 50000,
        "KvBytes": 852000,
        "LinkMbps": 480000.0,
        "Stride": 2,
        "Models": [{"Name": "daka510000", "pace": 1.0, "LoadS": 2.0}],
        "step_ms": 0.85,
        "per_seq_ms": 0.00552,
        "context_per_k": 0.0074,
        "read_per_s": 272000.0,
        "pairs_per_m": 0.12,
        "chunk": 512,
        "report_lag_ms": 200.0,
        "loads_at_once": 6,
        "usual": {"prompt": 772, "answer": 145},
        "Layers": LAYERS,
        "LayerMb": 1750.0,
        "ActBytes": 42600,
        "PipeMbps": 9300.0,
        "Kinds": [{"Name": KIND, "Mb": 72000.0, "pace": 2.4, "ReadX": 3.2}],
    },
}
"""Service of the engines, as in examples of the pages."""


class Record:
    """Writes record.txt: what was sent, answered and run, with times."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Writes one line."""
        now_s = time.monotonic() - self._began_s
        self._file.write(f"{now_s:8.3f} {text}\n")
        self._file.flush()


async def read_head(reader) -> tuple[str, dict[str, str]] | None:
    """Reads a request or response head; None at the end of the stream."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers.setdefault(name.strip().lower(), value.strip())
    return first, headers


async def read_body(reader, headers: dict[str, str]) -> bytes:
    """Reads a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(headers.get("content-length") or 0))


def format_response(status: int, headers: list, body: bytes) -> bytes:
    """Returns the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpStandin:
    """Server that calls `answer` for each request of each connection."""

    def __init__(self) -> None:
        self.port = 0
        self._server = None
        self._writers = set()

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Closes the port and all connections, as the end of a process."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                data = await self.answer(method, target, head[1], body)
                writer.write(data)
                await writer.drain()
                if head[1].get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The test ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, method, target, headers, body) -> bytes:
        """Returns the bytes of the response to a request."""
        raise NotImplementedError


class Store(HttpStandin):
    """The platform's store: keyed topics and one group."""

    def __init__(self) -> None:
        super().__init__()
        self._values: dict[str, dict[str, tuple[bytes, int]]] = {}
        self._records: dict[str, list[bytes]] = {}
        self._members: dict[str, float] = {}
        self._generation = 0
        self._changed = asyncio.Event()

    def put(self, topic: str, key: str, value: bytes, part: int = 0) -> None:
        """Appends a record; one without a value drops its key."""
        name = f"{topic}/{part}"
        records = self._records.setdefault(name, [])
        values = self._values.setdefault(name, {})
        if value:
            values[key] = (value, len(records))
        else:
            values.pop(key, None)
        record = bytes([len(key.encode())]) + key.encode() + value
        records.append(struct.pack(">I", len(record)) + record)
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, method, target, headers, body) -> bytes:
        """Answers a call of a gateway."""
        del method, headers
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        handler = getattr(
            self, "_" + path.removeprefix("/-/").replace("-", "_")
        )
        found = handler(query, body)
        if asyncio.iscoroutine(found):
            found = await found
        if not isinstance(found, bytes):
            found = json.dumps(found).encode()
        return format_response(200, [], found)

    def _log_append(self, query, body):
        topic, part = query["Topic"], int(query["part"])
        offset = len(self._records.get(f"{topic}/{part}", []))
        at = 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            record = body[at + 4 : at + 4 + length]
            end = 1 + record[0]
            self.put(topic, record[1:end].decode(), record[end:], part)
            at += 4 + length
        end = len(self._records.get(f"{topic}/{part}", []))
        return {"Offset": offset, "End": end}

    def _log_newest(self, query, body):
        del body
        name = f"{query['Topic']}/{query['part']}"
        items = [
            {"Key": k, "Value": base64.b64encode(v).decode(), "Offset": o}
            for k, (v, o) in sorted(self._values.get(name, {}).items())
            if k > query.get("After", "")
        ]
        end = len(self._records.get(name, []))
        return {"Items": items[:500], "HasMore": len(items) > 500, "End": end}

    async def _log_read(self, query, body):
        del body
        name = f"{query['Topic']}/{query['part']}"
        start = int(query["From"])
        end_s = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while len(self._records.get(name, [])) <= start:
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        records = self._records.get(name, [])
        return struct.pack(">QQ", len(records), 0) + b"".join(records[start:])

    def _expire(self) -> None:
        now_s = time.monotonic()
        for member in [m for m, t in self._members.items() if t < now_s]:
            del self._members[member]
            self._generation += 1

    def _rows(self, topics) -> list[list]:
        members = sorted(self._members)
        pairs = [(topic, part) for topic in topics for part in range(PARTS)]
        return [
            [topic, part, members[n % len(members)], 0]
            for n, (topic, part) in enumerate(pairs)
            if members
        ]

    def _log_join(self, query, body):
        del query
        order = json.loads(body)
        self._expire()
        if order["Member"] not in self._members:
            self._generation += 1
        self._members[order["Member"]] = time.monotonic() + order["TtlMs"] / 1e3
        self._topics = order["Topics"]
        rows = [
            [topic, part, offset]
            for topic, part, member, offset in self._rows(order["Topics"])
            if member == order["Member"]
        ]
        return {"Generation": self._generation, "parts": rows}

    def _log_leave(self, query, body):
        del query
        self._members.pop(json.loads(body)["Member"], None)
        self._generation += 1
        return {}

    def _log_owners(self, query, body):
        del query, body
        self._expire()
        return self._rows(getattr(self, "_topics", []))


class Desk(HttpStandin):
    """A plain server, which registers itself and runs what it is sent."""

    def __init__(self, store, record, zone, work_s, number) -> None:
        super().__init__()
        self.id = f"i-desk-{number}"
        self.store = store
        self.record = record
        self.zone = zone
        self.work_s = work_s
        self.slots = 6
        self.queue = 6
        self.state = "ready"
        self.began_ms = int(time.time() * 1000)
        self.running = 0
        self.runs: list[str] = []
        self.arrivals: list[tuple[float, str]] = []
        self._beats = 0
        self._task = None

    async def start(self) -> None:
        """Listens and registers itself."""
        await super().start()
        self.beat()
        self._task = asyncio.create_task(self._run_beats())

    def beat(self) -> None:
        """Writes the entry of this server."""
        self._beats += 1
        entry = {
            "Service": "booking-desk",
            "Address": f"127.0.0.1:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdLeftMs": 0,
            "Seq": self._beats,
            "born": self.began_ms,
        }
        self.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    async def _run_beats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beat()

    def leave(self) -> None:
        """Reports `draining`; the store's answer is the acknowledgement."""
        self.state = "draining"
        self.beat()
        self.record.write(f"{self.id} is draining, acknowledged by the store")

    def stop(self) -> None:
        """Ends the process; its entry is removed."""
        self._task.cancel()
        super().stop()
        self.store.put("keyed.servers", self.id, b"")
        self.record.write(f"{self.id} has exited")

    async def answer(self, method, target, headers, body) -> bytes:
        """Answers a health check or runs a request."""
        del method, body
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            return format_response(status, [("Instance-Id", self.id)], b"")
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", self.id) != self.id:
            return format_response(421, [("Request-Id", request_id)], b"")
        self.arrivals.append((time.monotonic(), request_id))
        if self.running >= self.slots + self.queue:
            return self.reject(request_id)
        self.running += 1
        self.runs.append(request_id)
        self.record.write(f"{self.id} runs {request_id}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self.record.write(f"{self.id} has run {request_id}: 200")
        return self.respond(request_id)

    def reject(self, request_id: str) -> bytes:
        """Returns the response to a request that isn't run."""
        headers = [
            ("Request-Id", request_id),
            ("Instance-Id", self.id),
            ("Not-Executed", "1"),
            ("Engine-Load", self.load),
        ]
        return format_response(503, headers, b"full")

    @property
    def load(self) -> str:
        """Running, waiting and slots, as in `Engine-Load`."""
        waiting = max(0, self.running - self.slots)
        return f"{min(self.running, self.slots)},{waiting},{self.slots}"

    def respond(self, request_id: str) -> bytes:
        """Returns the response to a request that has run."""
        headers = [
            ("Request-Id", request_id),
            ("Response-Seal", f"3e1b.{self.id}.{request_id}"),
            ("Engine-Load", self.load),
        ]
        return format_response(200, headers, b"done " + request_id.encode())


class Engine(HttpStandin):
    """A model engine that holds layers as it is ordered; it serves no stream.

    Args:
        store: The platform's store.
        zone: Zone of its machine.
        number: Number in its id.
    """

    def __init__(self, store, zone, number) -> None:
        super().__init__()
        self.id = f"i-engine-{number}"
        self.orders = 0
        self._store = store
        self._zone = zone
        self._began_ms = int(time.time() * 1000)
        self._holds = (0, 0)
        self._busy = False
        self._tasks = []

    async def start(self) -> None:
        """Listens and registers itself."""
        await super().start()
        self._beat()
        self._tasks.append(asyncio.create_task(self._run_beats()))

    def _models(self) -> list[dict]:
        first, end = self._holds
        layers = {"From": first, "Target": end, "Version": 1} if end else None
        model = {"Name": "daka510000", "Version": 1, "Adapters": []}
        return [{**model, "Layers": layers}]

    def _beat(self) -> None:
        entry = {
            "Service": "caroblug-pool",
            "Address": f"127.0.0.1:{self.port}",
            "Zone": self._zone,
            "Version": "v1",
            "Slots": 96,
            "State": "ready",
            "ColdLeftMs": 0,
            "Kind": KIND,
            "Stage": "both",
            "Models": self._models(),
            "Seq": self.orders,
            "born": self._began_ms,
        }
        self._store.put("keyed.servers", self.id, json.dumps(entry).encode())

    async def _run_beats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._beat()

    async def _load(self, holds) -> None:
        self._busy = True
        await asyncio.sleep(2.0 * (holds[1] - holds[0]) / LAYERS)
        self._holds, self._busy = holds, False
        self._beat()

    async def answer(self, method, target, headers, body) -> bytes:
        """Answers a health check, a report or an order."""
        del method, headers
        if target == "/health":
            return format_response(200, [("Instance-Id", self.id)], b"")
        if target == "/-/report":
            report = {
                "Stage": "both",
                "Models": self._models(),
                "Kind": KIND,
                "Busy": self._busy,
                "Seq": self.orders,
                "Waiting": 0,
                "Running": 0,
                "KvUsed": 0,
                "KvTotal": 90000,
                "Handles": 0,
                "Stalled": [],
                "pace": 1.0,
                "born": self._began_ms,
            }
            return format_response(200, [], json.dumps(report).encode())
        order = json.loads(body) if target == "/-/order" else {}
        if order.get("Op") != "place":
            return format_response(400, [("Not-Executed", "1")], b"")
        if self._busy or order.get("Expect", self.orders) != self.orders:
            return format_response(409, [], b"")
        self.orders += 1
        holds = (order["From"], order["Target"])
        self._tasks.append(asyncio.create_task(self._load(holds)))
        return format_response(202, [], b"")


def make_configuration(version: int = 7) -> bytes:
    """Returns a configuration of one service, with one route of each kind."""

    def route(name, prefix, kind, attempts):
        return {
            "Name": name,
            "Host": HOST_NAME,
            "PathPrefix": prefix,
            "Kind": kind,
            "TimeoutMs": 1500,
            "GoalMs": 400,
            "Priority": 1,
            "Service": "booking-desk",
            "MaxAttempts": attempts,
            "Public": False,
        }

    table = {
        "Version": version,
        "Routes": [
            route("r-book", "/book/", "unsafe", 1),
            route("r-look", "/look/", "safe", 2),
        ],
        "Services": [
            {
                "Name": "booking-desk",
                "HealthPath": "/health",
                "MaxConns": 96,
                "Protocol": "h1",
                "Tls": False,
            },
            POOL,
        ],
        "Limits": LIMITS,
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}],
    }
    return json.dumps(table).encode()


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def limit_address_space() -> None:
    """Bounds a process far above its `MemoryMb`, for the test's machine."""
    resource.setrlimit(resource.RLIMIT_AS, (ADDRESS_BYTES, ADDRESS_BYTES))


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, name, zone, store_port, folder, record) -> None:
        self.name = name
        self.record = record
        self.folder = folder / name
        self.folder.mkdir()
        self.front, self.ready, *internal = free_ports(4)
        table = {
            "NodeName": name,
            "Role": "gateway",
            "MachineClass": "front",
            "Serves": ["front"],
            "Ip": "127.0.0.1",
            "Zone": zone,
            "Region": "muscat",
            "Zones": {f"muscat-{z}": "muscat" for z in "abc"},
            "Listen": {
                "Front": f"127.0.0.1:{self.front}",
                "Ready": f"127.0.0.1:{self.ready}",
            },
            "InternalPorts": internal,
            "Seeds": [],
            "Bootstrap": True,
            "CountsLoss": False,
            "Limits": {
                "CpuShare": 0.817,
                "Cores": 1,
                "MemoryMb": 300,
                "MaxFds": 4200,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "vip",
            "HeartbeatMs": int(HEARTBEAT_S * 1000),
            "Contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
                "platform",
                "layers",
            ],
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": BOUNDS,
            "Platform": {
                "Address": f"127.0.0.1:{store_port}",
                "form": "log",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "parts": PARTS,
                "AppendMs": 2.0,
                "PartMbS": 20.0,
                "ReadMbS": 80.0,
                "RecordBytes": 262144,
                "CallBytes": 2097152,
                "keep_s": 300,
                "PartMb": 200,
                "TtlMinMs": 1000,
            },
        }
        self.settings = self.folder / "boot.json"
        self.settings.write_text(json.dumps(table))
        self.process = None

    async def start(self) -> None:
        """Starts the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CAROBLUG_NODE_FILE"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-S",
                "platform/gateway.py",
                preexec_fn=limit_address_space,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.write(f"{self.name} started")

    async def is_ready(self) -> bool:
        """Returns whether the gateway says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ready
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 2)
            return head is not None and " 200 " in head[0]
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()

    async def stop(self) -> None:
        """Kills the process if it runs."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    def log_lines(self, word: str) -> list[str]:
        """Returns the lines of the log that contain a word."""
        lines = (self.folder / "log").read_text().splitlines()
        return [line for line in lines if word in line]


class Client:
    """Sends requests, each on a new connection, and records the answers."""

    def __init__(self, record) -> None:
        self.record = record
        self.sent: dict[str, str] = {}
        self.answers: dict[str, tuple[int, dict, bytes]] = {}
        self._number = 0

    async def send(self, gateway, kind: str, deadline_s=1.5):
        """Sends a request; returns its id and status (0: none in time)."""
        self._number += 1
        request_id = f"9c41d07b{self._number:08x}"
        self.sent[request_id] = kind
        self.record.write(f"client sends {kind} {request_id} to {gateway.name}")
        try:
            status, headers, body = await asyncio.wait_for(
                self._exchange(gateway, kind, request_id, deadline_s),
                deadline_s + 0.5,
            )
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            status, headers, body = 0, {}, b""
        self.answers[request_id] = (status, headers, body)
        self.record.write(f"client gets {status or 'nothing'} for {request_id}")
        return request_id, status

    async def _exchange(self, gateway, kind, request_id, deadline_s):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", gateway.front
        )
        body = json.dumps({"seat": request_id}).encode()
        method = "POST" if kind == "book" else "GET"
        head = (
            f"{method} /{kind}/2f HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"Request-Id: {request_id}\r\n"
            f"Deadline-Ms: {int(deadline_s * 1000)}\r\n"
            f"Authorization: Bearer {KEY}\r\n"
        )
        if kind == "book":
            head += f"Content-Length: {len(body)}\r\n"
        else:
            body = b""
        try:
            writer.write(head.encode() + b"\r\n" + body)
            found = await read_head(reader)
            if found is None:
                return 0, {}, b""
            status = int(found[0].split(" ")[1])
            return status, found[1], await read_body(reader, found[1])
        finally:
            writer.close()


async def wait_until(check, what: str, seconds: float) -> None:
    """Waits until `check` returns a true value.

    Raises:
        TimeoutError: If that takes longer than `seconds`.
    """
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        found = check()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return
        await asyncio.sleep(0.05)
    raise TimeoutError(f"not within {seconds} s: {what}")


class Deployment:
    """Store, three desks in three zones and some gateways."""

    def __init__(self, record, work_s: float = 0.09) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="caroblug-review-"))
        self.store = Store()
        self.work_s = work_s
        self.desks: list[Desk] = []
        self.engines: list[Engine] = []
        self.gateways: list[Gateway] = []

    async def start(self, gateways: int, desk_types) -> None:
        """Starts everything and waits until the gateways are ready."""
        await self.store.start()
        self.store.put("keyed.op", "config", make_configuration())
        for number, desk_type in enumerate(desk_types, 1):
            await self.add_desk(desk_type, number)
        for number in range(gateways):
            await self.add_gateway(number)
        for gateway in self.gateways:
            await wait_until(gateway.is_ready, f"{gateway.name} is ready", 30)

    async def add_desk(self, desk_type, number) -> Desk:
        """Starts a desk."""
        zone = f"muscat-{'abc'[number % 3]}"
        desk = desk_type(self.store, self.record, zone, self.work_s, number)
        self.desks.append(desk)
        await desk.start()
        return desk

    async def add_engines(self, count: int) -> None:
        """Starts engines in two zones."""
        for number in range(1, count + 1):
            zone = f"muscat-{'ab'[number % 2]}"
            engine = Engine(self.store, zone, number)
            self.engines.append(engine)
            await engine.start()

    async def add_gateway(self, number: int) -> Gateway:
        """Starts a gateway; the first four lie in three zones."""
        gateway = Gateway(
            f"front-muscat-{'abc'[number % 3]}-{number // 3 + 1}",
            f"muscat-{'abc'[number % 3]}",
            self.store.port,
            self.folder,
            self.record,
        )
        self.gateways.append(gateway)
        await gateway.start()
        return gateway

    async def stop(self) -> None:
        """Ends all processes and removes their files."""
        for gateway in self.gateways:
            await gateway.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    def runs(self) -> dict[str, list[str]]:
        """Returns the desks that have run each request, by its id."""
        found: dict[str, list[str]] = {}
        for desk in self.desks:
            for request_id in desk.runs:
                found.setdefault(request_id, []).append(desk.id)
        return found


def main(case, folder: str) -> int:
    """Runs a case: returns 1 if the rule is broken, 0 if it holds, else 2."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {trouble}")

    async def run() -> int:
        deployment = Deployment(record)
        try:
            return await asyncio.wait_for(
                case(deployment, record, trouble), 110
            )
        finally:
            await deployment.stop()

    try:
        result = asyncio.run(run())
    except Exception as error:  # The case couldn't run.
        record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    verdict = "rule broken" if result else "rule held"
    record.write(verdict)
    print(verdict)
    return result
