"""Latency that caroblug adds to the tokens of a stream at 70% load.

Engines record the arrival and end of each item. The added latency is a
client's wait for a token minus the time in which any engine had an item of
that stream. It covers HTTP on both sides, the side processes, the entry and
the queues before the engine. All processes read the clock of one machine.
"""

import bisect
import random
import time

import attrs
import gevent
from gevent import monkey, pool

from benchmarks._load import (
    Callers,
    RequestShape,
    TokenGap,
    median_of,
    percentile,
)
from benchmarks._result import Result, print_result
from standins.site import EngineSpec, EntrySpec, Site, make_site

_SEEDS = (1, 2, 3)
_MEASURE_S = 12.0
_WARM_UP_S = 3.0
_UTILISATION = 0.7
_BATCH = 32
_STEP_MS = 20.0
_POSITION_MS = 0.25
_STAGES = ((0, 8), (8, 16), (16, 24))
_SHAPES = (RequestShape(4, 32, 0.8), RequestShape(24, 32, 0.2))
_DATA_CENTRE = "muscat-a"
_ENTRY = "entry-a"
_MS_PER_S = 1000.0
_QUANTILES = (("p50", 0.5), ("p95", 0.95))

Span = tuple[float, float]


@attrs.frozen
class Arrival:
    """Arrival of one request.

    Attributes:
        at: Time of the arrival, in seconds from the start.
        shape: Kind of the request.
    """

    at: float
    shape: RequestShape


def make_arrivals(seed: int) -> list[Arrival]:
    """Returns Poisson arrivals at the target utilisation."""
    rng = random.Random(seed)
    capacity = _BATCH * _MS_PER_S / (_STEP_MS + _BATCH * _POSITION_MS)
    positions = sum(s.share * (s.words + s.tokens - 1) for s in _SHAPES)
    rate = _UTILISATION * capacity / positions
    arrivals = []
    at = 0.0
    while at < _WARM_UP_S + _MEASURE_S:
        at += rng.expovariate(rate)
        shape = rng.choices(_SHAPES, [s.share for s in _SHAPES])[0]
        arrivals.append(Arrival(at, shape))
    return arrivals


def merge_spans(spans: list[Span]) -> list[Span]:
    """Merges overlapping spans and returns them in order of time."""
    merged: list[Span] = []
    for start, end in sorted(spans):
        if merged and start <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(end, merged[-1][1]))
        else:
            merged.append((start, end))
    return merged


def compute_overlap(spans: list[Span], start: float, end: float) -> float:
    """Returns how much of [start, end] is covered by disjoint, sorted spans."""
    index = max(0, bisect.bisect_left(spans, (start, start)) - 1)
    total = 0.0
    while index < len(spans) and spans[index][0] < end:
        low, high = spans[index]
        total += max(0.0, min(end, high) - max(start, low))
        index += 1
    return total


def read_engine_spans(site: Site) -> dict[str, list[Span]]:
    """Returns the spans in which any engine had an item, by stream."""
    spans: dict[str, list[Span]] = {}
    for process in site.processes.values():
        if process.role != "engine":
            continue
        response = site.http(process.http_port, "GET", "/timings")
        for session, start, end in response.json()["timings"]:
            stream = session.partition(".")[0]
            spans.setdefault(stream, []).append((start, end))
    return {stream: merge_spans(found) for stream, found in spans.items()}


def summarise(gaps: list[TokenGap], spans: dict[str, list[Span]]) -> dict:
    """Returns percentiles of the added and of the engines' latency, in ms."""
    figures = {}
    for name, first in (("first_token", True), ("between_tokens", False)):
        matching_gaps = [gap for gap in gaps if gap.first is first]
        in_engines = [
            compute_overlap(spans[g.stream], g.start, g.end)
            for g in matching_gaps
        ]
        added = [
            gap.end - gap.start - engine_s
            for gap, engine_s in zip(matching_gaps, in_engines, strict=True)
        ]
        for label, share in _QUANTILES:
            added_ms = percentile(added, share) * _MS_PER_S
            figures[f"added_{name}_{label}_ms"] = added_ms
            in_engines_ms = percentile(in_engines, share) * _MS_PER_S
            figures[f"engines_{name}_{label}_ms"] = in_engines_ms
    return figures


def start_site(site: Site) -> None:
    """Starts a chain of three engines and an entry."""
    site.start_platform()
    site.add_account("bench", streams=100_000)
    site.publish()
    for number, (first, end) in enumerate(_STAGES):
        site.start_engine(
            EngineSpec(
                name=f"a-{number}",
                data_centre=_DATA_CENTRE,
                first_layer=first,
                end_layer=end,
                options=(
                    f"--batch={_BATCH}",
                    f"--step-ms={_STEP_MS}",
                    f"--position-ms={_POSITION_MS}",
                    "--timings",
                ),
            )
        )
    site.start_entry(EntrySpec(name=_ENTRY, data_centre=_DATA_CENTRE))
    site.wait_ready()


def run(site: Site, seed: int) -> dict:
    """Returns the figures of one seed."""
    callers = Callers(site, "bench", [_ENTRY], _SHAPES, seed)
    running = pool.Pool()
    start = time.monotonic()
    for arrival in make_arrivals(seed):
        gevent.sleep(max(0.0, start + arrival.at - time.monotonic()))
        shape = arrival.shape
        running.spawn(callers.request, _ENTRY, shape.words, shape.tokens)
    end = time.monotonic()
    running.join()
    if callers.tally.failed:
        raise AssertionError(f"{callers.tally.failed} requests failed")
    gaps = [g for g in callers.tally.gaps if start + _WARM_UP_S <= g.end < end]
    figures = summarise(gaps, read_engine_spans(site))
    print(f"seed {seed}: {len(gaps)} tokens, {figures}", flush=True)
    return figures


def main() -> None:
    """Runs the benchmark and prints its result."""
    monkey.patch_all(ssl=False)
    with make_site() as site:
        start_site(site)
        runs = [run(site, seed) for seed in _SEEDS]
    print_result(Result("latency", len(_SEEDS), median_of(runs)))


if __name__ == "__main__":
    main()
