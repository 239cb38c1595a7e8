"""Bookings that crash each server that begins to run them.

The server loses power: it goes silent, without a reset, and the next
incarnation is back after some seconds. The booking comes again, with the same
path, caller and body, at any gateway.
"""

import itertools
import threading
import time

import harness_2 as harness

ATTEMPTS = 11
PAUSE_S = 2.0
DEADLINE_S = 1.5
ANSWER_BYTES = 800
HALF_BYTES = 400
CRASHING_BODY = b"seat 13"
CRASHING_PATH = "/puxa403/13"
DARK_S = 3.0
DESKS = 4
ALLOWED_CRASHES = 3
ALLOWED_LATER = 3
STABLE_S = harness.BOUNDS["StableMs"] / 1000
OTHERS_INTERVAL_S = 0.1
_NAMES = itertools.count(1)
_IDS = itertools.count(1)


class Desk(harness.Backend):
    """A booking server, which one booking crashes.

    Args:
        site: The site.
        crashes: Times of the crashes, to which it adds its own.
        mid_answer: Whether it has sent a part of the answer when it crashes.
        port: Port; any free one if it is 0.
    """

    def __init__(self, site, crashes, mid_answer, port=0) -> None:
        self._site = site
        self._crashes = crashes
        self._mid_answer = mid_answer
        super().__init__(site.store, f"i-{next(_NAMES):08x}", "desk", port)

    def answer(self, request, sock) -> bool:
        """Runs a booking."""
        if self.is_dark:
            time.sleep(60)
            return False
        if request.path == "/health":
            sock.sendall(harness.response(200, {"Instance-Id": self.name}))
            return True
        if self.misdirected(request, sock):
            return True
        request_id = request.get("request-id")
        if self._site.trouble and request.body == CRASHING_BODY:
            self._crash(request_id, sock)
            return False
        self._site.record.write(f"{self.name} runs {request_id}")
        time.sleep(0.03)
        sock.sendall(self._whole_answer(request_id))
        return True

    def _whole_answer(self, request_id: str) -> bytes:
        headers = {
            "Request-Id": request_id,
            "Response-Seal": f"3e1b.07.5a2.600.0.{request_id[-8:]}",
            "Engine-Load": "1,0,6",
        }
        return harness.response(200, headers, b"b" * ANSWER_BYTES)

    def _crash(self, request_id: str, sock) -> None:
        """Goes silent until the next incarnation is back."""
        self._crashes.append(time.monotonic())
        if self._mid_answer:
            sock.sendall(self._whole_answer(request_id)[:-HALF_BYTES])
        self._site.record.write(
            f"{self.name} begins to run {request_id} and loses power"
        )
        self.is_open = False
        self.lose_power()
        threading.Timer(DARK_S, self._come_back).start()
        time.sleep(60)

    def _come_back(self) -> None:
        """Starts the next incarnation at the same address."""
        self.crash()
        new = Desk(self._site, self._crashes, self._mid_answer, self.port)
        self._site.record.write(f"{self.name} is back as {new.name}")
        drop_s = 3 * harness.HEARTBEAT_MS / 1000 - DARK_S
        time.sleep(max(0.0, drop_s))
        self.store.put("keyed.servers/0", self.name, b"")


def headers_of(request_id: str) -> dict[str, str]:
    """Returns the headers of a booking."""
    return {
        "Request-Id": request_id,
        "Deadline-Ms": f"{DEADLINE_S * 1000:.0f}",
        "Authorization": f"Bearer {harness.KEY}",
    }


def book_others(site, gateway, statuses, ending) -> None:
    """Sends bookings that crash nothing, each with its own content."""
    while not ending.is_set():
        number = next(_IDS)
        request_id = f"{number:016x}"
        path = f"/puxa403/{number + 1000}"
        headers = headers_of(request_id)
        try:
            answer = harness.send(
                gateway.front, "POST", path, headers, b"seat", 2.0
            )
            statuses.append(answer.status)
        except OSError:
            statuses.append(0)
        site.record.write(f"client gets {statuses[-1]} for {request_id}")
        time.sleep(OTHERS_INTERVAL_S)


def book_crashing(site, gateway, patience_s: float) -> str:
    """Sends the booking that crashes servers; returns how it ended."""
    request_id = f"{next(_IDS):016x}"
    headers = headers_of(request_id)
    try:
        answer = harness.send(
            gateway.front,
            "POST",
            CRASHING_PATH,
            headers,
            CRASHING_BODY,
            patience_s,
        )
        end = str(answer.status)
    except TimeoutError:
        end = f"nothing within {patience_s} s and leaves"
    site.record.write(f"caller of {request_id} gets {end}")
    return end


def play(site, mid_answer: bool, patience_s: float) -> bool:
    """Sends the booking that crashes servers again and again.

    Args:
        site: The site.
        mid_answer: Whether a server has sent a part of its answer when it
            crashes.
        patience_s: Time after which the caller leaves.

    Returns:
        Whether the booking reached too many servers.
    """
    routes = [harness.route("r-book", "/puxa403/", "unsafe", "desk")]
    services = [harness.plain_service("desk")]
    site.store.configure(harness.configuration(7, routes, services))
    crashes: list[float] = []
    for _ in range(DESKS):
        Desk(site, crashes, mid_answer)
    gateways = [site.add_gateway(f"front-muscat-a-{i}") for i in (1, 2, 3)]
    for gateway in gateways:
        gateway.wait_ready()
    time.sleep(2)
    ending = threading.Event()
    statuses: list[int] = []
    others = [
        threading.Thread(
            target=book_others, args=(site, gateway, statuses, ending)
        )
        for gateway in gateways
    ]
    for other in others:
        other.start()
    ends = []
    for number in range(ATTEMPTS):
        gateway = gateways[number % len(gateways)]
        ends.append(book_crashing(site, gateway, patience_s))
        time.sleep(PAUSE_S)
    ending.set()
    for other in others:
        other.join()
    later = []
    if len(crashes) > ALLOWED_CRASHES:
        since_s = crashes[ALLOWED_CRASHES - 1] + STABLE_S
        later = [at_s for at_s in crashes if at_s > since_s]
    summary = (
        f"the booking was sent {len(ends)} times and crashed {len(crashes)} "
        f"servers, {len(later)} of them later than {STABLE_S} s after the "
        f"third; refused: {ends.count('503')}; other bookings: "
        f"{len(statuses)}, {statuses.count(200)} with 200"
    )
    site.record.write(summary)
    print(summary)
    return len(later) > ALLOWED_LATER
