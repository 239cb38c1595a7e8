"""Engines whose addresses go to engines of another service.

Two services have model engines. An engine of the first one crashes for good
under streams. After `ReuseAfterS`, an engine of the second one, which has less
memory, starts at its address. The entry of the crashed engine leaves the list
after three heartbeat intervals of silence.
"""

import itertools
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import harness_2 as harness

FIRST_PART_ROUNDS = (2,)
ROUNDS = 5
REUSE_AFTER_S = 2.1
ROUND_S = 12.0
CLIENTS = 12
LAYERS = 16
LAYER_MB = 1750.0
LARGE_MB = 20000.0
SMALL_MB = 14400.0
OPTIONS = {"LoadS": 1.0, "Layers": LAYERS, "LayerMb": LAYER_MB}
LARGE = {"Name": "a100s", "Mb": LARGE_MB, "pace": 3.1, "ReadX": 3.2}
SMALL = {"Name": "t4", "Mb": SMALL_MB, "pace": 15.0, "ReadX": 15.0}
MEMORY_MB = {"a100s": LARGE_MB, "t4": SMALL_MB}
_IDS = itertools.count(1)


class Engine(harness.Engine):
    """An engine that crashes if it is to hold more than its memory."""

    def __init__(self, site, service, kind, fleet, port=0) -> None:
        self._site = site
        self.overloaded = False
        self.strangers: set[str] = set()
        name = f"i-{next(_IDS):08x}"
        super().__init__(site.store, name, service, kind, fleet, OPTIONS, port)
        site.record.write(
            f"{self.name} ({kind}, {service}) starts at port {self.port}"
        )

    def stream(self, request, sock) -> bool:
        """Runs a stream, and records at which engines it runs."""
        hops = request.get("hop-count")
        if hops and self._at_fault(request) is None:
            request_id = request.get("request-id")
            for hop in hops.split(","):
                engine = self.fleet[hop.partition("=")[0]]
                if engine.service != self.service:
                    engine.on_stranger(request_id, self.service)
        return super().stream(request, sock)

    def on_run(self, request_id: str) -> None:
        """Records a run, which the first engine of a path begins."""
        self._site.record.write(f"{self.name} runs {request_id}")

    def on_stranger(self, request_id: str, service: str) -> None:
        """Records a request of another service that it runs layers for."""
        self.strangers.add(request_id)
        self._site.record.write(
            f"ROUTE: {request_id}, a request to service {service}, runs at "
            f"{self.name} of service {self.service}"
        )

    def on_place(self, order: dict) -> None:
        """Crashes if the layers don't fit."""
        count = order["Target"] - order["From"]
        self._site.record.write(
            f"{self.name} ({self.kind}, {self.service}) is ordered to hold "
            f"{order['From']} to {order['Target']}, Expect {order['Expect']}"
        )
        if count * LAYER_MB > MEMORY_MB[self.kind]:
            self.overloaded = True
            self._site.record.write(
                f"LIMIT: {self.name} has {MEMORY_MB[self.kind]} MB and is "
                f"ordered to hold {count * LAYER_MB} MB; it crashes"
            )
            self.crash()


def request_streams(site, gateway, statuses, ending) -> None:
    """Sends streams one after the other."""
    while not ending.is_set():
        request_id = f"{next(_IDS):016x}"
        headers = {
            "Request-Id": request_id,
            "Model": "daka510000",
            "Token-Count": "200,60",
            "Prompt-Prefix": f"{request_id}:200",
            "Deadline-Ms": "20000",
            "Authorization": f"Bearer {harness.KEY}",
        }
        try:
            answer = harness.send(
                gateway.front, "POST", "/lohu930/2f", headers, b"prompt"
            )
        except OSError as error:
            site.record.write(f"client gets {error!r} for {request_id}")
            continue
        statuses.append(answer.status)
        site.record.write(f"client gets {answer.status} for {request_id}")
        if answer.status != 200 or not answer.complete:
            time.sleep(0.3)


def wait_loaded(engines, seconds: float) -> None:
    """Waits until all engines hold layers.

    Raises:
        TimeoutError: If they don't in time.
    """
    end = time.monotonic() + seconds
    while not all(engine.holds[1] for engine in engines):
        if time.monotonic() > end:
            raise TimeoutError("engines got no layers")
        time.sleep(0.1)


def lose_engine(site, large, fleet, number: int) -> Engine:
    """Crashes an engine for good; returns the one that gets its address."""
    first = number in FIRST_PART_ROUNDS
    lost = next(e for e in large if e.holds[1] and (not e.holds[0]) == first)
    large.remove(lost)
    site.record.write(
        f"{lost.name}, which holds {lost.holds[0]} to {lost.holds[1]}, "
        f"crashes for good"
    )
    lost.crash()
    time.sleep(REUSE_AFTER_S)
    new = Engine(site, "small", "t4", fleet, lost.port)
    drop_s = harness.HEARTBEAT_MS * 3 / 1000
    time.sleep(max(0.0, lost.beaten_s + drop_s - time.monotonic()))
    site.store.put("keyed.servers/0", lost.name, b"")
    site.record.write(f"the entry of {lost.name} is removed")
    return new


def play(site) -> bool:
    """Returns whether a request ran at an engine of the other service."""
    stream = {
        "TimeoutMs": 20000,
        "GoalMs": 500,
        "Resumable": True,
        "Sticky": True,
        "GapAimMs": 200,
        "MaxAttempts": 2,
    }
    routes = [
        harness.route("r-large", "/lohu930/", "streaming", "large", **stream),
        harness.route("r-small", "/pufi791/", "streaming", "small", **stream),
    ]
    services = [
        harness.model_service("large", OPTIONS, [LARGE]),
        harness.model_service("small", OPTIONS, [SMALL]),
    ]
    site.store.configure(harness.configuration(7, routes, services))
    fleet: dict = {}
    large = [Engine(site, "large", "a100s", fleet) for _ in range(4)]
    small = [Engine(site, "small", "t4", fleet) for _ in range(4)]
    gateways = [site.add_gateway(f"front-muscat-a-{i}") for i in (1, 2, 3)]
    for gateway in gateways:
        gateway.wait_ready()
    wait_loaded(large, 20.0)
    statuses: list[int] = []
    ending = threading.Event()
    clients = [
        threading.Thread(
            target=request_streams,
            args=(site, gateways[i % 3], statuses, ending),
        )
        for i in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    engines = [*large, *small]
    try:
        time.sleep(2)
        for number in range(ROUNDS):
            if site.trouble:
                engines.append(lose_engine(site, large, fleet, number))
                time.sleep(ROUND_S / 3)
                large.append(Engine(site, "large", "a100s", fleet))
                engines.append(large[-1])
            time.sleep(ROUND_S / 2)
    finally:
        ending.set()
        for client in clients:
            client.join()
    strangers = {key for engine in engines for key in engine.strangers}
    overloaded = [engine.name for engine in engines if engine.overloaded]
    summary = (
        f"{len(statuses)} streams, {statuses.count(200)} with 200; run by an "
        f"engine of the other service: {len(strangers)}; engines ordered to "
        f"hold more than fits: {len(overloaded)}"
    )
    site.record.write(summary)
    print(summary)
    return bool(strangers)


if __name__ == "__main__":
    sys.exit(harness.run(str(pathlib.Path(__file__).parent), play))
