"""Small model of gateways and engines that runs the real decisions.

Each gateway knows the memory of all engines exactly. Time advances in steps,
and the order of events within a step is fixed, so that a run is deterministic.
"""

import random

import attrs

from caroblug.core.admission import (
    Admission,
    Refuse,
    StreamRequest,
    Wait,
    make_admission,
)
from caroblug.core.placement import RoomNeed

STEP_MS = 10
FIRST_EVENT_MS = 150
TIMEOUT_MS = 20_000
EXCHANGE_MS = 500
MAX_ACCOUNTS = 16


@attrs.frozen
class Kind:
    """A kind of requests.

    Attributes:
        name: Name of the kind.
        rank: Priority.
        per_s: Requests per second at each gateway.
        objective_ms: When the first event is due.
        account: Client account.
        at_once: Whether its callers ignore retry delays, and retry for as
            long as they have time.
        tokens: Tokens of each request; 0 if they vary widely.
    """

    name: str
    rank: int
    per_s: float
    objective_ms: int = 500
    account: str = ""
    at_once: bool = False
    tokens: int = 0


@attrs.define(eq=False)
class Stream:
    """A caller's stream over all its attempts.

    Attributes:
        kind: Kind of the request.
        tokens: Tokens that it holds.
        holds_ms: Time for which it holds them.
        began_ms: First attempt.
        gateway: Index of the gateway.
        attempts: Number of attempts.
        refused_ms: Times of the refusals.
        admitted_ms: When it was admitted; None if it was not.
        engine: Index of its engine.
        request: Its admitted request.
    """

    kind: Kind
    tokens: int
    holds_ms: int
    began_ms: int
    gateway: int
    attempts: int = 0
    refused_ms: list[int] = attrs.field(factory=list)
    admitted_ms: int | None = None
    engine: int = -1
    request: StreamRequest | None = None

    @property
    def on_time(self) -> bool:
        """Whether the first event came in time after the first attempt."""
        if self.admitted_ms is None:
            return False
        first_ms = self.admitted_ms + FIRST_EVENT_MS - self.began_ms
        return first_ms <= self.kind.objective_ms


class Model:
    """Gateways that share engines.

    Args:
        engines: Tokens that each engine holds.
        gateways: Number of gateways.
        ranked: Whether ranks are in force.
        seed: Seed of arrivals and sizes.
    """

    def __init__(
        self,
        engines: list[int],
        gateways: int = 1,
        ranked: bool = True,
        seed: int = 1,
    ) -> None:
        self.now_ms = 100_000
        self.rng = random.Random(seed)
        self.capacities = list(engines)
        self.used = [0] * len(engines)
        self.streams: list[Stream] = []
        self.ranked = ranked
        self.gateways: list[Admission] = [
            make_admission(random.Random(seed * 100 + n))
            for n in range(gateways)
        ]
        self.rates: dict[tuple[int, Kind], float] = {}
        self.use_samples: list[float] = []
        self._running: list[tuple[int, Stream]] = []
        self._returns: list[tuple[int, Stream]] = []
        self._requests: dict[StreamRequest, Stream] = {}
        self._update_fleet()

    @property
    def use(self) -> float:
        """Share of all memory that is used."""
        return sum(self.used) / max(1, sum(self.capacities))

    def set_rate(self, kind: Kind, gateway: int | None = None) -> None:
        """Sets the rate of a kind, at one gateway or at all."""
        numbers = range(len(self.gateways)) if gateway is None else [gateway]
        for number in numbers:
            for key in list(self.rates):
                if key[0] == number and key[1].name == kind.name:
                    del self.rates[key]
            self.rates[number, kind] = kind.per_s

    def run(self, ms: int) -> None:
        """Advances the time."""
        for _ in range(ms // STEP_MS):
            self.now_ms += STEP_MS
            if self.now_ms % EXCHANGE_MS == 0:
                self._exchange()
            self._end_streams()
            for number in range(len(self.gateways)):
                self._serve_waiting(number)
            self._return_callers()
            self._arrive()
            self.use_samples.append(self.use)

    def lose_engine(self, number: int) -> list[Stream]:
        """Removes an engine; returns its streams, whose responses had begun."""
        lost = [s for _, s in self._running if s.engine == number]
        self._running = [x for x in self._running if x[1] not in lost]
        self.capacities[number] = self.used[number] = 0
        self._update_fleet()
        for stream in lost:
            self.gateways[stream.gateway].on_ended(
                stream.request, False, self.now_ms
            )
            stream.admitted_ms = None
            self.ask(stream, begun=True)
        return lost

    def ask(self, stream: Stream, begun: bool = False) -> None:
        """Lets a stream ask its gateway for room."""
        stream.attempts += 1
        admission = self.gateways[stream.gateway]
        kind = stream.kind
        request = StreamRequest(
            rank=kind.rank,
            tokens=stream.tokens,
            arrived_ms=self.now_ms,
            end_ms=stream.began_ms + TIMEOUT_MS,
            timeout_ms=TIMEOUT_MS,
            objective_ms=kind.objective_ms,
            account=kind.account,
            begun=begun,
        )
        self._requests[request] = stream
        admission.on_arrival(
            request.rank, request.tokens, self.now_ms, request.account
        )
        if admission.is_next(request, self.now_ms):
            need = admission.need(request, self.now_ms)
            engine = self.find_engine(request, need)
            if engine is not None:
                admission.on_admitted(request, self.now_ms)
                self._start(request, engine)
                return
        decision = admission.decide(request, self.now_ms)
        if isinstance(decision, Wait):
            for other, refusal in decision.displaced:
                self._on_refused(other, refusal)
        else:
            self._on_refused(request, decision)

    def find_engine(self, request: StreamRequest, need: RoomNeed) -> int | None:
        """Returns the emptiest engine that has the room needed."""
        del request
        found = [
            (used / capacity, number)
            for number, (used, capacity) in enumerate(
                zip(self.used, self.capacities, strict=True)
            )
            if capacity and used + need.tokens <= need.max_use * capacity
        ]
        return min(found)[1] if found else None

    def of(self, name: str, since_ms: int = 0) -> list[Stream]:
        """Returns the streams of a kind."""
        return [
            s
            for s in self.streams
            if s.kind.name == name and s.began_ms >= since_ms
        ]

    def _update_fleet(self) -> None:
        part = sum(self.capacities) / len(self.gateways)
        for admission in self.gateways:
            admission.set_fleet(self.ranked, part, len(self.gateways))

    def _exchange(self) -> None:
        """Exchanges what the accounts use between all gateways."""
        for number, admission in enumerate(self.gateways):
            used = {}
            if admission.shares.is_short_here(self.now_ms):
                used = admission.shares.largest(MAX_ACCOUNTS)
            for other in self.gateways:
                if other is not admission:
                    other.shares.update_peer(f"g{number}", used, self.now_ms)

    def _arrive(self) -> None:
        for (gateway, kind), per_s in list(self.rates.items()):
            count = int(per_s * STEP_MS / 1000)
            rest = per_s * STEP_MS / 1000 - count
            count += self.rng.random() < rest
            for _ in range(count):
                tokens = kind.tokens or min(
                    2900, 200 + int(self.rng.expovariate(1 / 600))
                )
                stream = Stream(
                    kind,
                    tokens,
                    self.rng.randrange(3000, 9000),
                    self.now_ms,
                    gateway,
                )
                self.streams.append(stream)
                self.ask(stream)

    def _start(self, request: StreamRequest, engine: int) -> None:
        stream = self._requests.pop(request)
        stream.admitted_ms = self.now_ms
        stream.engine = engine
        stream.request = request
        self.used[engine] += stream.tokens
        self._running.append((self.now_ms + stream.holds_ms, stream))

    def _end_streams(self) -> None:
        ended = [s for end_ms, s in self._running if end_ms <= self.now_ms]
        self._running = [x for x in self._running if x[0] > self.now_ms]
        for stream in ended:
            self.used[stream.engine] -= stream.tokens
            self.gateways[stream.gateway].on_ended(
                stream.request, True, self.now_ms
            )

    def _serve_waiting(self, number: int) -> None:
        admission = self.gateways[number]
        for request, refusal in admission.refuse_overdue(self.now_ms):
            self._on_refused(request, refusal)
        for request, engine in admission.serve_waiting(
            self.find_engine, self.now_ms
        ):
            self._start(request, engine)

    def _return_callers(self) -> None:
        due = [s for at_ms, s in self._returns if at_ms <= self.now_ms]
        self._returns = [x for x in self._returns if x[0] > self.now_ms]
        for stream in due:
            self.ask(stream)

    def _on_refused(self, request: StreamRequest, refusal: Refuse) -> None:
        stream = self._requests.pop(request)
        stream.refused_ms.append(self.now_ms)
        left_ms = request.end_ms - self.now_ms
        if stream.kind.at_once:
            if left_ms > 0:
                self._returns.append((self.now_ms + STEP_MS, stream))
        elif stream.attempts == 1:
            after_ms = min(refusal.retry_after_ms, left_ms // 3)
            self._returns.append((self.now_ms + after_ms, stream))


def share(found: list[Stream], predicate) -> float:
    """Returns the share of streams for which a predicate holds."""
    return sum(map(predicate, found)) / max(1, len(found))
