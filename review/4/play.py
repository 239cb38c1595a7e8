"""Bookings before servers of which some send bytes after whole answers."""

import collections
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import harness_2 as harness

BOOKINGS = 1200
CLIENTS = 8
FAULTY_SERVERS = 2
FAULTY_SHARE = 0.03
WORK_S = 0.01


class Desk(harness.Backend):
    """A booking server; a faulty one adds a second response to some answers.

    The second response is the rejection of an earlier request, whose id it
    has. It is sent right after the whole answer, on the same connection.
    """

    def __init__(self, site, name: str, faulty: bool) -> None:
        self._site = site
        self._faulty = faulty and site.trouble
        self._answered = 0
        self._earlier = "0000000000000000"
        self.runs = collections.Counter()
        self._count_lock = threading.Lock()
        super().__init__(site.store, name, "desk")

    def answer(self, request, sock) -> bool:
        """Runs a booking."""
        if request.path == "/health":
            sock.sendall(harness.response(200, {"Instance-Id": self.name}))
            return True
        if self.misdirected(request, sock):
            return True
        request_id = request.get("request-id")
        with self._count_lock:
            self.runs[request_id] += 1
            self._answered += 1
            number = self._answered
            earlier, self._earlier = self._earlier, request_id
        self._site.record.write(f"{self.name} runs {request_id}")
        time.sleep(WORK_S)
        headers = {
            "Request-Id": request_id,
            "Response-Seal": f"3e1b.07.5a2.600.0.{number:08x}",
            "Engine-Load": "1,0,6",
        }
        data = harness.response(200, headers, b"booked " + request_id.encode())
        if self._faulty and number % round(1 / FAULTY_SHARE) == 0:
            shed = {"Request-Id": earlier, "Not-Executed": "1"}
            data += harness.response(503, shed)
            self._site.record.write(
                f"{self.name} answers {request_id} with 200, and adds a "
                f"rejection of {earlier}"
            )
        sock.sendall(data)
        return True


def book(site, gateway, statuses, first: int) -> None:
    """Sends every n-th booking, one after the other."""
    for number in range(first, BOOKINGS, CLIENTS):
        request_id = f"{number + 1:016x}"
        headers = {
            "Request-Id": request_id,
            "Deadline-Ms": "1500",
            "Authorization": f"Bearer {harness.KEY}",
        }
        path = f"/puxa403/{number}"
        answer = harness.send(gateway.front, "POST", path, headers, b"seat")
        statuses[request_id] = answer.status
        site.record.write(f"client gets {answer.status} for {request_id}")


def play(site) -> bool:
    """Returns whether a booking ran twice."""
    routes = [harness.route("r-book", "/puxa403/", "unsafe", "desk")]
    services = [harness.plain_service("desk")]
    site.store.configure(harness.configuration(7, routes, services))
    desks = [
        Desk(site, f"i-{index:08x}", index < FAULTY_SERVERS)
        for index in range(3)
    ]
    gateway = site.add_gateway("front-muscat-a-1")
    gateway.wait_ready()
    statuses: dict[str, int] = {}
    clients = [
        threading.Thread(target=book, args=(site, gateway, statuses, first))
        for first in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    for client in clients:
        client.join()
    runs = sum((desk.runs for desk in desks), collections.Counter())
    twice = sorted(key for key, count in runs.items() if count > 1)
    foreign = set(runs) - set(statuses)
    refused = [
        key
        for key, status in statuses.items()
        if status in (429, 503) and runs[key]
    ]
    summary = (
        f"{len(statuses)} bookings, statuses "
        f"{dict(collections.Counter(statuses.values()))}; ran more than once: "
        f"{len(twice)}; refused as not run, but ran: {len(refused)}; of no "
        f"client: {len(foreign)}"
    )
    for key in twice:
        site.record.write(f"TWICE: {key} ran {runs[key]} times")
    site.record.write(summary)
    print(summary)
    return bool(twice)


if __name__ == "__main__":
    sys.exit(harness.run(str(pathlib.Path(__file__).parent), play))
