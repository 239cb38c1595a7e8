"""Model of gateways that share engines, without a network.

The gateways are real as far as decisions and messages go. Engines, requests and
the passing of time are modelled. An engine takes what it is sent: it neither
rejects nor preempts anything, so that only the decisions keep its memory free.
"""

import collections
import heapq
import json
import random

import attrs

from caroblug.core.limits import LimitOwner, ServerLimits
from caroblug.core.placement import LayerRange, Path, RoomNeed
from caroblug.core.placement.tests.fleets import MODEL
from caroblug.gateway._crash_suspicions import CrashSuspicions
from caroblug.gateway._fleet import Fleet
from caroblug.gateway._interfaces import (
    BackendServer,
    EngineReport,
    Member,
    Unavailable,
)
from caroblug.gateway._peers import Peers
from caroblug.gateway._room_readers import RoomReaders
from caroblug.gateway.tests.fakes import NOWHERE, FakeRegistry, make_context
from caroblug.gateway.tests.test_fleet import POOL, list_of
from caroblug.utils import ManualClock

STEP_MS = 10
ROUND_MS = 500
_REPORT_AGE_MS = 200
_QUEUE_CHECK_MS = 50
_MAX_WAIT_MS = 500
_TOKEN_MS = 12
"""Time of one token of an answer; an answer of mean length takes 2.6 s."""

_PREFILL_MS = 100
_LAYERS_HELD = 16
_MEAN_PROMPT = 700
_MAX_PROMPT = 2300
_MEAN_ANSWER = 220
_MAX_ANSWER = 670
HIGH_USE = 0.95
DATA_CENTRES = ("a", "b", "c")


@attrs.define
class Request:
    """A request: tokens of its prompt and answer, and the announced maximum."""

    prompt: int
    answer: int
    max_answer: int
    arrived_ms: int

    @property
    def tokens(self) -> int:
        """Mean tokens in memory, as a gateway counts them."""
        return self.prompt + self.max_answer // 2


class ModelEngine:
    """An engine, which holds the tokens of its requests."""

    def __init__(self, backend: BackendServer) -> None:
        self.backend = backend
        kind = MODEL.kinds[backend.kind]
        self.capacity = MODEL.token_capacity(kind, len(backend.holds))
        self.tokens = 0.0
        self.growing = 0
        self.over_ms = 0
        self.use_sum = 0.0
        self.reads = 0
        self.reported_use: float | None = None
        self.silent = False
        self._history: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=_REPORT_AGE_MS // STEP_MS
        )

    @property
    def use(self) -> float:
        """Share of the memory in use."""
        return self.tokens / self.capacity

    def step(self) -> None:
        """Lets the answers grow for one step."""
        self._history.append((self.use, self.growing))
        self.tokens += self.growing * STEP_MS / _TOKEN_MS

    def report(self) -> EngineReport | Unavailable:
        """Returns the report as of `_REPORT_AGE_MS` ago."""
        self.reads += 1
        if self.silent:
            return Unavailable("silent")
        use, running = self._history[0]
        if self.reported_use is not None:
            use = self.reported_use
        return EngineReport(
            self.backend.holds,
            False,
            0,
            (),
            1.0,
            self.backend.kind,
            0,
            0,
            running,
            use,
            _REPORT_AGE_MS,
        )


class ModelGateway:
    """A gateway with its real view of the fleet and a queue of requests."""

    def __init__(
        self, name: str, data_centre: str, clock: ManualClock, seed: int
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.address = (name, 1)
        rng = random.Random(f"{name}{seed}")
        context = make_context(name, clock)
        context.settings = attrs.evolve(
            context.settings, data_centre=data_centre, peers=self.address
        )
        context.rng = rng
        context.fleet = Fleet(
            data_centre, rng, ServerLimits(LimitOwner(name, NOWHERE))
        )
        self.context = context
        self.peers = Peers(context, FakeRegistry(), CrashSuspicions(context))
        self.readers = RoomReaders(context, self.peers)
        self.queue: collections.deque[Request] = collections.deque()
        self.running: dict[int, tuple[Path, Request]] = {}


class Site:
    """Gateways, engines and requests.

    Args:
        gateways: Number of gateways.
        chains: Engines that hold each layer in each data centre.
        demand: Requests, as a multiple of those that fit.
        stages: Engines on a path.
        seed: Seed of all randomness.
    """

    def __init__(
        self,
        gateways: int,
        chains: int,
        demand: float,
        stages: int = 5,
        seed: int = 1,
    ) -> None:
        self.service = attrs.evolve(
            POOL,
            model=attrs.evolve(MODEL, layers=stages * _LAYERS_HELD),
        )
        self.clock = ManualClock(100_000)
        self.start_ms = self.clock.now_ms()
        self.rng = random.Random(seed)
        self.demand = demand
        self.need_room = True
        self.cut: set[frozenset[str]] = set()
        self.message_bytes: list[int] = []
        self.engines = {
            backend.name: ModelEngine(backend)
            for backend in _backends(chains, stages)
        }
        self.gateways = {
            f"g{number:03d}": ModelGateway(
                f"g{number:03d}",
                DATA_CENTRES[number % len(DATA_CENTRES)],
                self.clock,
                seed,
            )
            for number in range(gateways)
        }
        self._addresses = {
            engine.backend.address: engine for engine in self.engines.values()
        }
        self._total = gateways
        self._sequence = 0
        self._events: list[tuple[int, int, tuple]] = []
        self._admitted = 0
        self._refused = 0
        streams = sum(
            engine.capacity
            for engine in self.engines.values()
            if engine.backend.holds.first == 0
        ) / (_MEAN_PROMPT + _MEAN_ANSWER / 2)
        self.fitting_per_s = streams * 1000 / (_MEAN_ANSWER * _TOKEN_MS)
        for gateway in self.gateways.values():
            self.start(gateway)

    def start(self, gateway: ModelGateway) -> None:
        """Starts a gateway that knows three local peers and a remote one."""
        now_ms = self.clock.now_ms()
        context = gateway.context
        backends = [engine.backend for engine in self.engines.values()]
        context.fleet.update_listing(list_of(*backends), now_ms)
        context.fleet.loads.gateways = self._total
        context.configuration = attrs.evolve(
            context.configuration, services={"pool": self.service}
        )
        context.dialect.read_report = lambda address, name: self._addresses[
            address
        ].report()
        others = [g for g in self.gateways.values() if g is not gateway]
        local = [g for g in others if g.data_centre == gateway.data_centre]
        remote = [g for g in others if g.data_centre != gateway.data_centre]
        known = self.rng.sample(local, min(3, len(local)))
        known += self.rng.sample(remote, min(1, len(remote)))
        for other in known:
            gateway.peers._add_member(Member(other.name, other.address))
        for action, period_ms in (
            (self._exchange, ROUND_MS),
            (self._read_reports, ROUND_MS),
            (self._check_queue, _QUEUE_CHECK_MS),
        ):
            delay_ms = self.rng.randrange(period_ms)
            self._at(
                now_ms + delay_ms, self._repeat, gateway, action, period_ms
            )

    def replace(self, name: str, seed: int) -> None:
        """Replaces a gateway by a new process; its requests run on."""
        old = self.gateways[name]
        old.running.clear()
        self.gateways[name] = ModelGateway(
            name, old.data_centre, self.clock, seed
        )
        self.start(self.gateways[name])

    def run(self, seconds: float, judged: bool = True) -> None:
        """Lets time pass."""
        steps = int(seconds * 1000) // STEP_MS
        for _ in range(steps):
            self.clock.advance(STEP_MS)
            now_ms = self.clock.now_ms()
            for engine in self.engines.values():
                engine.step()
                if judged:
                    engine.use_sum += min(1.0, engine.use) * STEP_MS
                    if engine.use > 1.0:
                        engine.over_ms += STEP_MS
            while self._events and self._events[0][0] <= now_ms:
                _, _, (action, *arguments) = heapq.heappop(self._events)
                action(*arguments)
            self._arrive(now_ms)

    def reset(self) -> None:
        """Forgets what was measured so far."""
        for engine in self.engines.values():
            engine.over_ms = 0
            engine.use_sum = 0.0
            engine.reads = 0

    def worst_over_ms(self) -> int:
        """Longest time for which any engine was filled beyond its memory."""
        return max(engine.over_ms for engine in self.engines.values())

    def mean_use(self, ms: int) -> float:
        """Share of all memory in use, as a mean over the last `ms`."""
        engines = self.engines.values()
        return sum(e.use_sum for e in engines) / ms / len(engines)

    def _at(self, ms: int, *event) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (ms, self._sequence, event))

    def _repeat(self, gateway: ModelGateway, action, period_ms: int) -> None:
        if self.gateways.get(gateway.name) is not gateway:
            return
        self._at(
            self.clock.now_ms() + period_ms,
            self._repeat,
            gateway,
            action,
            period_ms,
        )
        action(gateway)

    def _exchange(self, gateway: ModelGateway) -> None:
        gateway.peers._remove_silent_peers()
        for name in gateway.peers._choose_partners():
            other = self.gateways.get(name)
            if other is None or frozenset((gateway.name, name)) in self.cut:
                continue
            message = self._send(gateway.peers._build_message(""))
            answer = self._send(other.peers._handle_message(message))
            gateway.peers._handle_answer(answer, name)

    def _send(self, message: dict) -> dict:
        text = json.dumps(message, separators=(",", ":"))
        self.message_bytes.append(len(text))
        return json.loads(text)

    def _read_reports(self, gateway: ModelGateway) -> None:
        due = gateway.readers.due()
        for number, engine in enumerate(due):
            delay_ms = ROUND_MS * number // len(due)
            self._at(
                self.clock.now_ms() + delay_ms, gateway.readers.read, engine
            )

    def _arrive(self, now_ms: int) -> None:
        per_step = self.demand * self.fitting_per_s * STEP_MS / 1000
        names = list(self.gateways)
        for _ in range(_poisson(self.rng, per_step)):
            gateway = self.gateways[self.rng.choice(names)]
            gateway.queue.append(self._make_request(now_ms))
            if len(gateway.queue) == 1:
                self._check_queue(gateway)

    def _make_request(self, now_ms: int) -> Request:
        rng = self.rng
        answer = max(1, min(_MAX_ANSWER, int(rng.gammavariate(4, 56))))
        return Request(
            max(20, min(_MAX_PROMPT, int(rng.gammavariate(2, 360)))),
            answer,
            min(_MAX_ANSWER, int(answer * rng.uniform(1.0, 3.0))),
            now_ms,
        )

    def _check_queue(self, gateway: ModelGateway) -> None:
        now_ms = self.clock.now_ms()
        queue = gateway.queue
        while queue and now_ms - queue[0].arrived_ms > _MAX_WAIT_MS:
            queue.popleft()
            self._refused += 1
        while queue:
            path = self._choose(gateway, queue[0], now_ms)
            if not isinstance(path, Path):
                break
            self._admit(gateway, queue.popleft(), path, now_ms)

    def _choose(self, gateway: ModelGateway, request: Request, now_ms: int):
        need = RoomNeed(request.tokens, HIGH_USE) if self.need_room else None
        return gateway.context.fleet.choose_first_path(
            self.service, now_ms, frozenset(), frozenset(), need
        )

    def _admit(
        self, gateway: ModelGateway, request: Request, path: Path, now_ms: int
    ) -> None:
        self._admitted += 1
        self._sequence += 1
        number = self._sequence
        loads = gateway.context.fleet.loads
        loads.add_request(path.names, request.tokens, now_ms)
        loads.begin_prefill(path.names)
        gateway.running[number] = (path, request)
        for name in path.names:
            self.engines[name].tokens += request.prompt
        begun_ms = now_ms + _PREFILL_MS
        self._at(begun_ms, self._begin_answer, gateway, path)
        end_ms = begun_ms + request.answer * _TOKEN_MS
        self._at(end_ms, self._end, gateway, number, path, request)

    def _begin_answer(self, gateway: ModelGateway, path: Path) -> None:
        gateway.context.fleet.loads.end_prefill(path.names)
        for name in path.names:
            self.engines[name].growing += 1

    def _end(
        self, gateway: ModelGateway, number: int, path: Path, request: Request
    ) -> None:
        for name in path.names:
            engine = self.engines[name]
            engine.growing -= 1
            engine.tokens -= request.prompt + request.answer * 1.0
        if gateway.running.pop(number, None) is None:
            return
        gateway.context.fleet.loads.remove_request(
            path.names, request.tokens, self.clock.now_ms()
        )
        self._check_queue(gateway)


def _backends(chains: int, stages: int) -> list[BackendServer]:
    return [
        BackendServer(
            f"{data_centre}{first:02d}-{chain}",
            "pool",
            (f"{data_centre}{chain}", first),
            data_centre,
            False,
            96,
            "big",
            LayerRange(first, first + _LAYERS_HELD),
        )
        for data_centre in DATA_CENTRES
        for chain in range(chains)
        for first in range(0, stages * _LAYERS_HELD, _LAYERS_HELD)
    ]


def _poisson(rng: random.Random, mean: float) -> int:
    count = 0
    ms = rng.expovariate(1.0)
    while ms < mean:
        count += 1
        ms += rng.expovariate(1.0)
    return count
