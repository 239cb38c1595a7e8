"""Light client accounts beside one that asks for 50 times its share.

Run with `python -m benchmarks.fairness`. The same load is put on sides whose
queue is fair and, as a baseline, first come first served.
"""

import sys
import time

import gevent
from gevent import monkey

from benchmarks._load import Shape, median_of, percentile
from benchmarks._open_load import OpenCallers
from benchmarks._result import Result, print_result
from standins.site import EngineSpec, EntrySpec, Site, make_site

_SEEDS = (1, 2, 3)
_LIGHT = tuple(f"school-{number}" for number in range(6))
_HEAVY = "heavy"
_ENTRIES = ("entry-a", "entry-b")
_SHAPE = Shape(words=6, tokens=24)
_POSITIONS = 30
_BATCH = 16
_STEP_MS = 40.0
_POSITION_MS = 1.0
_LIGHT_LOAD = 0.8
_HEAVY_LOAD = 50.0
_WARM_S = 2.0
_SPAN_S = 8.0
_STREAMS = (8, 16, 24, 32, 40, 48, 56)
_SIDE = "side-engine-0"


def _capacity() -> float:
    """Returns positions a second of one engine."""
    return _BATCH * 1000 / (_STEP_MS + _BATCH * _POSITION_MS)


def _start(site: Site, queue: str) -> None:
    site.start_platform()
    for account in (*_LIGHT, _HEAVY):
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


def _callers(site: Site, account: str, seed: int) -> OpenCallers:
    return OpenCallers(site, account, _ENTRIES, [_SHAPE], seed)


def _first_p95(callers: list[OpenCallers], start: float, end: float) -> float:
    times = [
        took
        for caller in callers
        for at, took in caller.tally.first
        if start <= at < end
    ]
    return percentile(times, 0.95)


def _run_light(site: Site, seed: int) -> dict[str, float]:
    """Measures the light accounts without and with the heavy one."""
    share = _capacity() / (len(_LIGHT) + 1) / _POSITIONS
    light = [
        _callers(site, account, seed * 100 + number)
        for number, account in enumerate(_LIGHT)
    ]
    heavy = _callers(site, _HEAVY, seed * 100 + 99)
    for caller in light:
        caller.start_rate(share * _LIGHT_LOAD)
    spans = []
    for number in range(2):
        if number:
            heavy.start_rate(share * _HEAVY_LOAD)
        gevent.sleep(_WARM_S)
        start = time.monotonic()
        gevent.sleep(_SPAN_S)
        spans.append((start, time.monotonic()))
    before, during = (_first_p95(light, *span) for span in spans)
    refused = sum(len(caller.refusals.times) for caller in light)
    for caller in (*light, heavy):
        caller.stop()
    return {
        "light_p95_ratio": during / before,
        "light_p95_ms": during * 1000,
        "light_p95_alone_ms": before * 1000,
        "light_refused": refused,
    }


def _run_backlogged(site: Site, seed: int) -> dict[str, float]:
    """Measures the shares of accounts with many and few streams."""
    accounts = (*_LIGHT, _HEAVY)
    callers = [
        _callers(site, account, seed * 100 + number)
        for number, account in enumerate(accounts)
    ]
    for caller, streams in zip(callers, _STREAMS, strict=True):
        caller.start(streams)
    gevent.sleep(_WARM_S)
    start, before = time.monotonic(), _positions(site)
    gevent.sleep(_SPAN_S)
    end, after = time.monotonic(), _positions(site)
    for caller in callers:
        caller.stop()
    served = [c.tally.generated(start, end) for c in callers]
    squares = sum(tokens * tokens for tokens in served)
    return {
        "jain": sum(served) ** 2 / (len(served) * squares),
        "utilisation": (after - before) / (end - start) / _capacity(),
    }


def _positions(site: Site) -> float:
    return site.metric(_SIDE, "caroblug_engine_positions_total")


def _measure(queue: str, seeds: tuple[int, ...]) -> dict[str, float]:
    runs = []
    for seed in seeds:
        with make_site() as site:
            _start(site, queue)
            figures = _run_light(site, seed)
            gevent.sleep(_WARM_S)
            figures |= _run_backlogged(site, seed)
        print(f"{queue} seed={seed} {figures}", file=sys.stderr, flush=True)
        runs.append(figures)
    return median_of(runs)


def main() -> None:
    """Runs both ways and prints the result."""
    seeds = tuple(int(seed) for seed in sys.argv[1:]) or _SEEDS
    fair = _measure("fair", seeds)
    fifo = _measure("fifo", seeds)
    print_result(Result("fairness", len(seeds), fair, {"fifo": fifo}))


if __name__ == "__main__":
    monkey.patch_all(ssl=False)
    main()
