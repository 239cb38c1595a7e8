"""A larger limit of bodies, and connections that were open before it.

Clients keep their connections open. The operator raises `MaxBodyBytes`. Some
seconds later the clients send bodies that only the new limit allows.
"""

import collections
import itertools
import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import harness_2 as harness

CONNECTIONS = 16
OLD_LIMIT = 65536
NEW_LIMIT = 262144
SMALL_BYTES = 2000
LARGE_BYTES = 100_000
BEFORE_S = 3.0
APPLY_S = harness.BOUNDS["ConfigApplyMs"] / 1000
MARGIN_S = 1.0
AFTER_S = 5.0
INTERVAL_S = 0.2
ALLOWED = 5
ALLOWED_SHARE = 1 / 500
_IDS = itertools.count(1)


class Desk(harness.Backend):
    """A sound booking server."""

    def __init__(self, site, name: str) -> None:
        self._site = site
        super().__init__(site.store, name, "desk")

    def answer(self, request, sock) -> bool:
        """Runs a booking."""
        if request.path == "/health":
            sock.sendall(harness.response(200, {"Instance-Id": self.name}))
            return True
        if self.misdirected(request, sock):
            return True
        request_id = request.get("request-id")
        self._site.record.write(f"{self.name} runs {request_id}")
        headers = {
            "Request-Id": request_id,
            "Response-Seal": f"3e1b.07.5a2.600.0.{request_id[-8:]}",
        }
        sock.sendall(harness.response(200, headers, b"booked"))
        return True


class Client:
    """A client that keeps its connection open."""

    def __init__(self, site, gateway) -> None:
        self._site = site
        self._gateway = gateway
        self._socket = None
        self._reader = None

    def book(self, size: int) -> int:
        """Sends a booking with a body of some size; returns the status."""
        if self._socket is None:
            address = (harness.HOST, self._gateway.front)
            self._socket = socket.create_connection(address, 5.0)
            self._reader = harness.Reader(self._socket)
        request_id = f"{next(_IDS):016x}"
        head = (
            f"POST /puxa403/2f HTTP/1.1\r\nHost: {harness.SITE}\r\n"
            f"Request-Id: {request_id}\r\nDeadline-Ms: 1500\r\n"
            f"Authorization: Bearer {harness.KEY}\r\n"
            f"Content-Length: {size}\r\n\r\n"
        )
        try:
            self._socket.sendall(head.encode() + b"s" * size)
            found = self._reader.head()
            status = int(found[0].split(" ")[1]) if found else 0
            self._reader.body(found[1] if found else {})
        except (OSError, EOFError):
            found, status = None, 0
        if found is None or found[1].get("connection") == "close":
            self._socket.close()
            self._socket = None
        self._site.record.write(
            f"client gets {status} for {request_id} with {size} bytes"
        )
        return status


def send_bookings(client, sizes, statuses, ending) -> None:
    """Sends bookings of the current size until the end."""
    while not ending.is_set():
        statuses.append(client.book(sizes[0]))
        time.sleep(INTERVAL_S)


def make_configuration(version: int, limit: int) -> dict:
    """Returns a configuration with a limit of bodies."""
    routes = [harness.route("r-book", "/puxa403/", "unsafe", "desk")]
    services = [harness.plain_service("desk")]
    table = harness.configuration(version, routes, services)
    table["Limits"]["MaxBodyBytes"] = limit
    return table


def play(site) -> bool:
    """Returns whether too many proper bookings were denied."""
    site.store.configure(make_configuration(7, OLD_LIMIT))
    for index in range(3):
        Desk(site, f"i-{index:08x}")
    gateways = [site.add_gateway(f"front-muscat-a-{i}") for i in (1, 2, 3)]
    for gateway in gateways:
        gateway.wait_ready()
    sizes = [SMALL_BYTES]
    statuses: list[int] = []
    ending = threading.Event()
    clients = [
        threading.Thread(
            target=send_bookings,
            args=(Client(site, gateway), sizes, statuses, ending),
        )
        for gateway in gateways
        for _ in range(CONNECTIONS)
    ]
    for client in clients:
        client.start()
    time.sleep(BEFORE_S)
    if site.trouble:
        site.store.configure(make_configuration(9, NEW_LIMIT))
        site.record.write(f"version 9 is acknowledged: {NEW_LIMIT} bytes")
        time.sleep(APPLY_S + MARGIN_S)
        sizes[0] = LARGE_BYTES
        site.record.write(f"clients send {LARGE_BYTES} bytes from now on")
    time.sleep(AFTER_S)
    ending.set()
    for client in clients:
        client.join()
    denied = statuses.count(413)
    allowed = ALLOWED + len(statuses) * ALLOWED_SHARE
    summary = (
        f"{len(statuses)} bookings, statuses "
        f"{dict(collections.Counter(statuses))}; denied with 413: {denied}, "
        f"allowed: {allowed:.1f}"
    )
    site.record.write(summary)
    print(summary)
    return denied > allowed


if __name__ == "__main__":
    sys.exit(harness.run(str(pathlib.Path(__file__).parent), play))
