"""All machines lose power in a deployment with two services of model engines.

One engine is lost for good first, as happens on any day, so that the services
have different numbers of engines. Then all gateways and engines lose power and
are back after some seconds; engines start empty.
"""

import itertools
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import harness_2 as harness

CLIENTS = 6
BEFORE_S = 6.0
AFTER_LOSS_S = 8.0
DOWN_S = 1.3
RECOVER_S = harness.BOUNDS["RecoverS"]
MEASURED_S = 12.0
LAYERS = 16
OPTIONS = {"LoadS": 2.0, "Layers": LAYERS, "LayerMb": 1750.0}
KINDS = [{"Name": "a100s", "Mb": 36000.0, "pace": 3.1, "ReadX": 3.2}]
PATHS = {"day": "/lohu930/", "night": "/pufi791/"}
_IDS = itertools.count(1)


class Engine(harness.Engine):
    """An engine, which starts and restarts empty."""

    def __init__(self, site, service, fleet, port=0, name=None) -> None:
        name = name or f"i-{next(_IDS):08x}"
        super().__init__(
            site.store, name, service, "a100s", fleet, OPTIONS, port
        )
        site.record.write(f"{name} ({service}) starts at port {self.port}")
        self._site = site

    def on_run(self, request_id: str) -> None:
        """Records a run."""
        self._site.record.write(f"{self.name} runs {request_id}")

    def on_place(self, order: dict) -> None:
        """Records an order."""
        self._site.record.write(
            f"{self.name} is ordered to hold {order['From']} to "
            f"{order['Target']}"
        )


class Results:
    """Statuses of the streams, by the time at which they were sent."""

    def __init__(self) -> None:
        self._rows: list[tuple[float, str, int]] = []

    def add(self, sent_s: float, service: str, status: int) -> None:
        """Adds a stream."""
        self._rows.append((sent_s, service, status))

    def share(self, since_s: float, until_s: float) -> tuple[int, int]:
        """Returns how many streams were sent in a time, and served."""
        statuses = [
            status
            for at_s, _, status in self._rows
            if since_s <= at_s < until_s
        ]
        return len(statuses), statuses.count(200)


def request_streams(site, gateways, number, results, ending) -> None:
    """Sends streams one after the other, to each service in turn."""
    for turn in itertools.count(number):
        if ending.is_set():
            return
        service = list(PATHS)[turn % 2]
        request_id = f"{next(_IDS):016x}"
        headers = {
            "Request-Id": request_id,
            "Model": "daka510000",
            "Token-Count": "200,40",
            "Prompt-Prefix": f"{request_id}:200",
            "Deadline-Ms": "20000",
            "Authorization": f"Bearer {harness.KEY}",
        }
        port = gateways[turn % len(gateways)].front
        sent_s = time.monotonic()
        try:
            answer = harness.send(
                port, "POST", f"{PATHS[service]}2f", headers, b"prompt"
            )
            status = answer.status if answer.complete else 0
        except OSError:
            status = 0
        results.add(sent_s, service, status)
        site.record.write(f"{service}: client gets {status} for {request_id}")
        if status != 200:
            time.sleep(0.2)


def wait_loaded(engines, seconds: float) -> None:
    """Waits until all engines hold layers.

    Raises:
        TimeoutError: If they don't in time.
    """
    end = time.monotonic() + seconds
    while not all(engine.holds[1] for engine in engines):
        if time.monotonic() > end:
            raise TimeoutError("engines got no layers at the first start")
        time.sleep(0.1)


def lose_power(site, gateways, engines, fleet) -> list[Engine]:
    """Ends all processes and starts them again; returns the new engines."""
    site.record.write("all machines lose power")
    for gateway in gateways:
        gateway.stop()
    for engine in engines:
        engine.crash()
    time.sleep(DOWN_S)
    started = [
        Engine(site, engine.service, fleet, engine.port, engine.name)
        for engine in engines
    ]
    for gateway in gateways:
        gateway.restart()
    site.record.write("all machines are back")
    return started


def drop_entries(site, engines) -> None:
    """Removes the entries of engines that are silent."""
    for engine in engines:
        site.store.put("keyed.servers/0", engine.name, b"")


def play(site) -> bool:
    """Returns whether less than a quarter is served after the recovery."""
    stream = {
        "TimeoutMs": 20000,
        "GoalMs": 500,
        "Resumable": True,
        "Sticky": True,
        "GapAimMs": 200,
        "MaxAttempts": 2,
    }
    routes = [
        harness.route(f"r-{name}", path, "streaming", name, **stream)
        for name, path in PATHS.items()
    ]
    services = [harness.model_service(name, OPTIONS, KINDS) for name in PATHS]
    site.store.configure(harness.configuration(7, routes, services))
    fleet: dict = {}
    engines = [Engine(site, name, fleet) for name in PATHS for _ in range(3)]
    gateways = [site.add_gateway(f"front-muscat-a-{i}") for i in (1, 2, 3)]
    for gateway in gateways:
        gateway.wait_ready()
    wait_loaded(engines, 20.0)
    results = Results()
    ending = threading.Event()
    clients = [
        threading.Thread(
            target=request_streams, args=(site, gateways, i, results, ending)
        )
        for i in range(CLIENTS)
    ]
    began_s = time.monotonic()
    for client in clients:
        client.start()
    time.sleep(BEFORE_S)
    if site.trouble:
        lost = engines.pop()
        site.record.write(f"{lost.name} ({lost.service}) is lost for good")
        lost.crash()
        threading.Timer(3.0, drop_entries, [site, [lost]]).start()
        time.sleep(AFTER_LOSS_S)
        fault_s = time.monotonic()
        engines = lose_power(site, gateways, engines, fleet)
    else:
        time.sleep(AFTER_LOSS_S)
        fault_s = time.monotonic()
    back_s = time.monotonic()
    time.sleep(RECOVER_S + MEASURED_S)
    ending.set()
    for client in clients:
        client.join()
    before, served_before = results.share(began_s, fault_s)
    after, served_after = results.share(back_s + RECOVER_S, time.monotonic())
    orders = sum(engine.orders for engine in engines)
    summary = (
        f"before the fault: {served_before} of {before} streams served; later "
        f"than {RECOVER_S} s after the machines are back: {served_after} of "
        f"{after}; orders to the engines since they started: {orders}"
    )
    site.record.write(summary)
    print(summary)
    return (
        served_before >= before / 4 and after > 0 and served_after < after / 4
    )


if __name__ == "__main__":
    sys.exit(harness.run(str(pathlib.Path(__file__).parent), play))
