"""Goodput under a load beyond the capacity of the engines.

Run with `python -m benchmarks.overload`. The baseline admits all requests:
`queue_ms` in its bundle is so long that no request is refused for load, and
the queue of its side processes is FIFO.
"""

import sys
import time

import gevent
from gevent import monkey

from benchmarks._load import RequestShape, median_of, percentile
from benchmarks._open_load import OpenCallers
from benchmarks._result import Result, print_result
from standins.site import EngineSpec, EntrySpec, Site, make_site

_SEEDS = (1, 2, 3)
_ACCOUNTS = tuple(f"school-{number}" for number in range(8))
_ENTRIES = ("entry-a", "entry-b")
_SHAPE = RequestShape(words=6, tokens=8)
_POSITIONS_PER_REQUEST = 14
_BATCH = 16
_STEP_MS = 40.0
_POSITION_MS = 1.0
_LOAD_FACTORS = (1, 2, 5, 10)
_GOOD_WITHIN_S = 5.0
_WARM_UP_S = 4.0
_MEASURE_S = 10.0
_QUEUE_MS = 200
_NO_LIMIT_MS = 600_000


def _requests_per_s() -> float:
    """Returns the requests per second that one engine can serve."""
    iteration_ms = _STEP_MS + _BATCH * _POSITION_MS
    return _BATCH * 1000 / iteration_ms / _POSITIONS_PER_REQUEST


def _start(site: Site, queue_ms: int, queue: str) -> None:
    site.start_platform()
    for account in _ACCOUNTS:
        site.add_account(account, streams=2000)
    site.bundle["sharing"] = {"prompt_weight": 1.0}
    site.bundle["limits"] = {"queue_ms": queue_ms, "deadline_ms": 60_000}
    site.publish()
    options = (
        f"--batch={_BATCH}",
        f"--step-ms={_STEP_MS}",
        f"--position-ms={_POSITION_MS}",
    )
    for number, (first, end) in enumerate(((0, 12), (12, 24))):
        site.start_engine(
            EngineSpec(
                name=f"engine-{number}",
                data_centre="muscat-a",
                first_layer=first,
                end_layer=end,
                options=options,
                side={"queue": queue},
            )
        )
    for entry in _ENTRIES:
        site.start_entry(EntrySpec(name=entry, data_centre="muscat-a"))
    site.wait_ready()


def _offer_load(
    site: Site, load_factor: int, seed: int
) -> tuple[float, list[float]]:
    """Offers a multiple of the engines' capacity.

    Args:
        site: The running site.
        load_factor: Offered load relative to the capacity.
        seed: Seed of the requests.

    Returns:
        Responses per second within the latency goal, and the latencies of
        refusals in seconds.
    """
    callers = [
        OpenCallers(site, account, _ENTRIES, [_SHAPE], seed * 100 + number)
        for number, account in enumerate(_ACCOUNTS)
    ]
    for caller in callers:
        caller.start_rate(_requests_per_s() * load_factor / len(callers))
    gevent.sleep(_WARM_UP_S)
    start = time.monotonic()
    gevent.sleep(_MEASURE_S)
    end = time.monotonic()
    for caller in callers:
        caller.stop()
    good = sum(
        start <= at < end and took <= _GOOD_WITHIN_S
        for caller in callers
        for at, took in caller.refusals.served
    )
    refusals = [
        took
        for caller in callers
        for at, took in caller.refusals.load_factor
        if start <= at < end
    ]
    return good / (end - start), refusals


def _run(queue_ms: int, queue: str, seed: int) -> dict[str, float]:
    goodput = {}
    refusals: list[float] = []
    for load_factor in _LOAD_FACTORS:
        with make_site() as site:
            _start(site, queue_ms, queue)
            goodput[load_factor], refused = _offer_load(site, load_factor, seed)
            refusals += refused
    figures = {
        f"goodput_{load_factor}x": goodput[load_factor] / max(goodput[1], 0.001)
        for load_factor in _LOAD_FACTORS[1:]
    }
    figures["goodput_per_s"] = goodput[1]
    if refusals:
        figures["refusal_p95_ms"] = percentile(refusals, 0.95) * 1000
    return figures


def _measure(name: str, queue_ms: int, queue: str, seeds: tuple[int, ...]):
    runs = []
    for seed in seeds:
        runs.append(_run(queue_ms, queue, seed))
        print(f"{name} seed={seed} {runs[-1]}", file=sys.stderr, flush=True)
    return median_of(runs)


def main() -> None:
    """Measures both variants, the baseline once, and prints the result."""
    seeds = tuple(int(seed) for seed in sys.argv[1:]) or _SEEDS
    figures = _measure("limits", _QUEUE_MS, "fair", seeds)
    baseline = _measure("fifo", _NO_LIMIT_MS, "fifo", seeds[:1])
    print_result(Result("overload", len(seeds), figures, {"fifo": baseline}))


if __name__ == "__main__":
    monkey.patch_all(ssl=False)
    main()
