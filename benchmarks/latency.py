"""What caroblug adds to the first token and between tokens at 70% load.

The same requests, arriving at the same times, go once through an entry and
three side processes, and once straight to the three engines: a caller that
knows the chain and calls one stage after the other. The figures are the
differences of the 95th percentiles; `direct` has the engines' own.
"""

import random
import time

import attrs
import gevent
from gevent import monkey, pool

from benchmarks._load import Callers, Shape, Tally, median_of, percentile
from benchmarks._result import Result, print_result
from caroblug.transport import (
    EngineClient,
    EngineFailed,
    EngineItem,
    make_engine_client,
)
from standins.site import (
    HOST,
    EngineSpec,
    EntrySpec,
    Site,
    make_site,
)

_SEEDS = (1, 2, 3)
_SECONDS = 12.0
_WARM_S = 3.0
_LOAD = 0.7
_BATCH = 32
_STEP_MS = 20.0
_POSITION_MS = 0.25
_STAGES = ((0, 8), (8, 16), (16, 24))
_SHAPES = (Shape(4, 32, 0.8), Shape(24, 32, 0.2))
_CONNECTIONS = 512
_PLACE = "muscat-a"
_ENTRY = "entry-a"
_MS_PER_S = 1000.0
_TIMEOUT_MS = 30_000
_P95 = 0.95


@attrs.frozen
class Arrival:
    """One request.

    Attributes:
        at: When it comes, in seconds from the start.
        shape: Its kind.
    """

    at: float
    shape: Shape


def make_arrivals(seed: int) -> list[Arrival]:
    """Returns Poisson arrivals at the load."""
    rng = random.Random(seed)
    capacity = _BATCH * _MS_PER_S / (_STEP_MS + _BATCH * _POSITION_MS)
    positions = sum(s.share * (s.words + s.tokens - 1) for s in _SHAPES)
    rate = _LOAD * capacity / positions
    arrivals = []
    at = 0.0
    while at < _WARM_S + _SECONDS:
        at += rng.expovariate(rate)
        shape = rng.choices(_SHAPES, [s.share for s in _SHAPES])[0]
        arrivals.append(Arrival(at, shape))
    return arrivals


class DirectCaller:
    """Calls the engines of a chain itself.

    Args:
        site: The running site.
    """

    def __init__(self, site: Site) -> None:
        self.tally = Tally()
        self._engines: list[EngineClient] = [
            make_engine_client(
                HOST, p.http_port, _TIMEOUT_MS, connections=_CONNECTIONS
            )
            for p in site.processes.values()
            if p.role == "engine"
        ]
        self._ended: list[list[str]] = [[] for _ in self._engines]
        self._count = 0

    def request(self, shape: Shape) -> None:
        """Runs one request to its end."""
        self._count += 1
        session = f"direct-{self._count}-{id(self)}"
        inputs = tuple(range(shape.words))
        position = 0
        last = time.monotonic()
        for number in range(shape.tokens):
            token = self._step(session, position, inputs)
            position += len(inputs)
            inputs = (token,)
            now = time.monotonic()
            times = self.tally.between if number else self.tally.first
            times.append((now, now - last))
            last = now
        for ended in self._ended:
            ended.append(session)

    def _step(self, session: str, position: int, inputs: tuple) -> int:
        token = -1
        for index, (first, end) in enumerate(_STAGES):
            item = EngineItem(session, first, end, position, inputs, 1)
            ended, self._ended[index] = self._ended[index], []
            outcome = self._engines[index].run((item,), ended)
            if isinstance(outcome, EngineFailed):
                raise AssertionError(outcome.message)
            inputs, token = outcome[0].states, outcome[0].token
        return token


def run_arrivals(arrivals: list[Arrival], send, tally: Tally) -> dict:
    """Sends each request at its time and returns the percentiles, in ms."""
    start = time.monotonic()
    running = pool.Pool()
    for arrival in arrivals:
        gevent.sleep(max(0.0, start + arrival.at - time.monotonic()))
        running.spawn(send, arrival.shape)
    end = time.monotonic()
    running.join()
    figures = {}
    for name, times in (
        ("first_token", tally.first),
        ("between_tokens", tally.between),
    ):
        seen = [s for at, s in times if start + _WARM_S <= at < end]
        for label, share in (("p50", 0.5), ("p95", _P95)):
            ms = percentile(seen, share) * _MS_PER_S
            figures[f"{name}_{label}_ms"] = ms
    return figures


def start_site(site: Site) -> None:
    """Starts three engines in a row and an entry."""
    site.start_platform()
    site.add_account("bench", streams=100_000)
    site.publish()
    for number, (first, end) in enumerate(_STAGES):
        site.start_engine(
            EngineSpec(
                name=f"a-{number}",
                data_centre=_PLACE,
                first_layer=first,
                end_layer=end,
                options=(
                    f"--batch={_BATCH}",
                    f"--step-ms={_STEP_MS}",
                    f"--position-ms={_POSITION_MS}",
                ),
            )
        )
    site.start_entry(EntrySpec(name=_ENTRY, data_centre=_PLACE))
    site.wait_ready()


def measure(site: Site, seed: int) -> tuple[dict, dict]:
    """Returns the figures of one seed, through caroblug and direct."""
    arrivals = make_arrivals(seed)
    direct = DirectCaller(site)
    own = run_arrivals(arrivals, direct.request, direct.tally)
    callers = Callers(site, "bench", [_ENTRY], _SHAPES, seed)
    through = run_arrivals(
        arrivals,
        lambda shape: callers.request(_ENTRY, shape.words, shape.tokens),
        callers.tally,
    )
    print(f"seed {seed}: direct {own}, through caroblug {through}", flush=True)
    if callers.tally.failed:
        raise AssertionError(f"{callers.tally.failed} requests failed")
    added = {f"added_{name}": through[name] - own[name] for name in own}
    return added, own


def main() -> None:
    """Runs the benchmark and prints its result."""
    monkey.patch_all(ssl=False)
    with make_site() as site:
        start_site(site)
        measured = [measure(site, seed) for seed in _SEEDS]
    figures = median_of([added for added, _ in measured])
    direct = median_of([own for _, own in measured])
    print_result(Result("latency", len(_SEEDS), figures, {"direct": direct}))


if __name__ == "__main__":
    main()
