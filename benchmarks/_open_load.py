"""Open-loop load generator with Poisson arrivals."""

import time

import attrs
import gevent
from gevent import socket

from benchmarks._load import Callers
from standins.site import HOST, MODEL

_TIMEOUT_S = 60.0
_STATUS_OFFSET = 9
_PEEK_BYTES = 64
_OK = b"200"


@attrs.define
class Refusals:
    """Latencies of refused and served requests, in seconds.

    Attributes:
        times: Arrival and latency of each refusal.
        statuses: Number of refusals by HTTP status.
        served: End and latency of each complete response.
    """

    times: list[tuple[float, float]] = attrs.field(factory=list)
    statuses: dict[str, int] = attrs.field(factory=dict)
    served: list[tuple[float, float]] = attrs.field(factory=list)


class OpenCallers(Callers):
    """Clients that send requests at a rate, round-robin over the entries."""

    def __init__(self, *args, **options) -> None:
        super().__init__(*args, **options)
        self.refusals = Refusals()

    def start_rate(self, per_s: float) -> None:
        """Starts to send `per_s` requests per second on average."""
        self._running.append(gevent.spawn(self._send_at_rate, per_s))

    def _send_at_rate(self, per_s: float) -> None:
        number = 0
        due = time.monotonic()
        while not self._stopped:
            due += self._random.expovariate(per_s)
            gevent.sleep(max(0.0, due - time.monotonic()))
            entry = self._entries[number % len(self._entries)]
            number += 1
            shape = self._draw_shape()
            words = [
                f"w{self._random.randrange(10_000)}" for _ in range(shape.words)
            ]
            call = gevent.spawn(
                self._send_request, entry, " ".join(words), shape.tokens
            )
            self._running.append(call)
            if number % 100 == 0:
                self._running = [g for g in self._running if not g.dead]

    def _send_request(self, entry: str, prompt: str, tokens: int) -> None:
        port = self._site.processes[entry].http_port
        body = {"model": MODEL, "prompt": prompt, "max_tokens": tokens}
        body.update(stream=True, seed=1)
        sent = time.monotonic()
        try:
            with socket.create_connection((HOST, port), _TIMEOUT_S) as sock:
                sock.sendall(self._encode_request(body))
                head = sock.recv(_PEEK_BYTES, socket.MSG_PEEK)
                status = head[_STATUS_OFFSET : _STATUS_OFFSET + 3]
                if status != _OK:
                    self._record_refusal(status.decode(), sent)
                    return
                complete = self._read_response(
                    sock, sent, tokens, len(prompt.split())
                )
        except OSError:
            complete = False
        if complete:
            self.tally.answered += 1
            now = time.monotonic()
            self.refusals.served.append((now, now - sent))
        else:
            self.tally.failed += 1

    def _record_refusal(self, status: str, sent: float) -> None:
        now = time.monotonic()
        self.refusals.times.append((now, now - sent))
        counts = self.refusals.statuses
        counts[status] = counts.get(status, 0) + 1
