"""Fairness between light accounts and one that requests 50 times its share.

Run with `python -m benchmarks.fairness`. The same load runs against side
processes with a fair queue and, as a baseline, with a FIFO queue.
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
_LIGHT_ACCOUNTS = tuple(f"school-{number}" for number in range(6))
_HEAVY_ACCOUNT = "heavy"
_ENTRIES = ("entry-a", "entry-b")
_SHAPE = RequestShape(words=6, tokens=24)
_POSITIONS_PER_REQUEST = 30
_BATCH = 16
_STEP_MS = 40.0
_POSITION_MS = 1.0
_LIGHT_LOAD_FACTOR = 0.8
_HEAVY_LOAD_FACTOR = 50.0
_WARM_UP_S = 2.0
_MEASURE_S = 8.0
_STREAMS_BY_ACCOUNT = (8, 16, 24, 32, 40, 48, 56)
_SIDE = "side-engine-0"


def _positions_per_s() -> float:
    """Returns the positions per second of one engine in full batches."""
    return _BATCH * 1000 / (_STEP_MS + _BATCH * _POSITION_MS)


def _start(site: Site, queue: str) -> None:
    site.start_platform()
    for account in (*_LIGHT_ACCOUNTS, _HEAVY_ACCOUNT):
        site.add_account(account, streams=256)
    site.bundle["sharing"] = {"prompt_weight": 1.0}
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


def _make_callers(site: Site, account: str, seed: int) -> OpenCallers:
    return OpenCallers(site, account, _ENTRIES, [_SHAPE], seed)


def _first_token_p95_s(
    callers: list[OpenCallers], start: float, end: float
) -> float:
    times = [
        took
        for caller in callers
        for at, took in caller.tally.first
        if start <= at < end
    ]
    return percentile(times, 0.95)


def _measure_light(site: Site, seed: int) -> dict[str, float]:
    """Measures the light accounts without and with the heavy account."""
    share = (
        _positions_per_s() / (len(_LIGHT_ACCOUNTS) + 1) / _POSITIONS_PER_REQUEST
    )
    light = [
        _make_callers(site, account, seed * 100 + number)
        for number, account in enumerate(_LIGHT_ACCOUNTS)
    ]
    heavy = _make_callers(site, _HEAVY_ACCOUNT, seed * 100 + 99)
    for caller in light:
        caller.start_rate(share * _LIGHT_LOAD_FACTOR)
    spans = []
    for number in range(2):
        if number:
            heavy.start_rate(share * _HEAVY_LOAD_FACTOR)
        gevent.sleep(_WARM_UP_S)
        start = time.monotonic()
        gevent.sleep(_MEASURE_S)
        spans.append((start, time.monotonic()))
    before, during = (_first_token_p95_s(light, *span) for span in spans)
    refused = sum(len(caller.refusals.times) for caller in light)
    for caller in (*light, heavy):
        caller.stop()
    return {
        "light_p95_ratio": during / before,
        "light_p95_ms": during * 1000,
        "light_p95_alone_ms": before * 1000,
        "light_refused": refused,
    }


def _measure_backlogged(site: Site, seed: int) -> dict[str, float]:
    """Measures the throughput shares of accounts with unequal stream counts."""
    accounts = (*_LIGHT_ACCOUNTS, _HEAVY_ACCOUNT)
    callers = [
        _make_callers(site, account, seed * 100 + number)
        for number, account in enumerate(accounts)
    ]
    for caller, streams in zip(callers, _STREAMS_BY_ACCOUNT, strict=True):
        caller.start(streams)
    gevent.sleep(_WARM_UP_S)
    start, before = time.monotonic(), _count_positions(site)
    gevent.sleep(_MEASURE_S)
    end, after = time.monotonic(), _count_positions(site)
    for caller in callers:
        caller.stop()
    served = [c.tally.generated_tokens(start, end) for c in callers]
    squares = sum(tokens * tokens for tokens in served)
    return {
        "jain": sum(served) ** 2 / (len(served) * squares),
        "utilisation": (after - before) / (end - start) / _positions_per_s(),
    }


def _count_positions(site: Site) -> float:
    return site.metric(_SIDE, "caroblug_engine_positions_total")


def _measure(queue: str, seeds: tuple[int, ...]) -> dict[str, float]:
    runs = []
    for seed in seeds:
        with make_site() as site:
            _start(site, queue)
            figures = _measure_light(site, seed)
            gevent.sleep(_WARM_UP_S)
            figures |= _measure_backlogged(site, seed)
        print(f"{queue} seed={seed} {figures}", file=sys.stderr, flush=True)
        runs.append(figures)
    return median_of(runs)


def main() -> None:
    """Measures both queues and prints the result."""
    seeds = tuple(int(seed) for seed in sys.argv[1:]) or _SEEDS
    fair = _measure("fair", seeds)
    fifo = _measure("fifo", seeds)
    print_result(Result("fairness", len(seeds), fair, {"fifo": fifo}))


if __name__ == "__main__":
    monkey.patch_all(ssl=False)
    main()
