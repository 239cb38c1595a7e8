"""Processor time of entry and side processes per relayed token and step.

The processes communicate over loopback. Their processor time, read from the
kernel before and after a run, is divided by the number of tokens that clients
received and by the number of steps that engines completed.
"""

import os
import pathlib

import gevent
from gevent import monkey

from benchmarks._load import Callers, RequestShape, Tally, median_of
from benchmarks._result import Result, print_result
from standins.site import EngineSpec, EntrySpec, Site, make_site

_RUNS = 3
_STREAMS = (64, 256)
_WARM_UP_S = 2.0
_MEASURE_S = 4.0
_IDLE_S = 3.0
_SHAPE = RequestShape(words=8, tokens=200)
_STAGES = ((0, 8), (8, 16), (16, 24))
_ENGINE_OPTIONS = ("--batch=256", "--step-ms=20", "--position-ms=0.01")
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_US_PER_S = 1e6
_DATA_CENTRE = "muscat-a"
_ENTRY = "entry-a"


def read_cpu_us(site: Site, name: str) -> float:
    """Returns the processor time that a process has used, in µs."""
    pid = site.processes[name].popen.pid
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * _US_PER_S / _TICKS_PER_S


def count_steps(site: Site, name: str) -> float:
    """Returns the number of items that the engine of a side has completed."""
    return site.metric(name, "caroblug_engine_items_total")


def start(site: Site, copies: int) -> list[str]:
    """Starts an entry and engines of three stages.

    Args:
        site: The site.
        copies: Number of engines of each stage.

    Returns:
        The names of the side processes.
    """
    site.start_platform()
    site.add_account("bench", streams=100_000)
    site.publish()
    for number, (first, end) in enumerate(_STAGES * copies):
        site.start_engine(
            EngineSpec(
                name=f"a-{number}",
                data_centre=_DATA_CENTRE,
                first_layer=first,
                end_layer=end,
                options=_ENGINE_OPTIONS,
            )
        )
    site.start_entry(EntrySpec(name=_ENTRY, data_centre=_DATA_CENTRE))
    site.wait_ready()
    return [p.name for p in site.processes.values() if p.role == "side"]


def measure_idle_us_per_s(site: Site, names: list[str]) -> float:
    """Returns the mean processor time of idle processes, in µs per second."""
    before = sum(read_cpu_us(site, name) for name in names)
    gevent.sleep(_IDLE_S)
    after = sum(read_cpu_us(site, name) for name in names)
    return (after - before) / len(names) / _IDLE_S


def run(site: Site, sides: list[str], streams: int, seed: int) -> dict:
    """Returns the costs with a number of concurrent streams."""
    callers = Callers(site, "bench", [_ENTRY], [_SHAPE], seed)
    callers.start(streams)
    gevent.sleep(_WARM_UP_S)
    callers.tally = Tally()
    done = sum(count_steps(site, name) for name in sides)
    entry = read_cpu_us(site, _ENTRY)
    side = sum(read_cpu_us(site, name) for name in sides)
    start_s, end_s = callers.measure(0.0, _MEASURE_S)
    entry = read_cpu_us(site, _ENTRY) - entry
    side = sum(read_cpu_us(site, name) for name in sides) - side
    done = sum(count_steps(site, name) for name in sides) - done
    callers.stop()
    tokens = callers.tally.generated_tokens(start_s, end_s)
    return {
        "entry_us_per_token": entry / tokens,
        "side_us_per_step": side / done,
        "tokens_per_s": tokens / (end_s - start_s),
        "entry_us_per_s": entry / (end_s - start_s),
    }


def main() -> None:
    """Runs the benchmark and prints its result."""
    monkey.patch_all(ssl=False)
    figures = []
    with make_site() as site:
        sides = start(site, 1)
        idle_entry_few_us = measure_idle_us_per_s(site, [_ENTRY])
        idle_side = measure_idle_us_per_s(site, sides)
        for seed in range(1, _RUNS + 1):
            few_streams = run(site, sides, _STREAMS[0], seed)
            many_streams = run(site, sides, _STREAMS[1], seed)
            print(f"seed {seed}: {few_streams} {many_streams}", flush=True)
            added = _STREAMS[1] - _STREAMS[0]
            figures.append(
                {
                    "entry_us_per_token": many_streams["entry_us_per_token"],
                    "side_us_per_step": many_streams["side_us_per_step"],
                    "tokens_per_s": many_streams["tokens_per_s"],
                    "entry_us_per_token_few": few_streams["entry_us_per_token"],
                    "side_us_per_step_few": few_streams["side_us_per_step"],
                    "slope_entry_us_per_s_per_stream": (
                        many_streams["entry_us_per_s"]
                        - few_streams["entry_us_per_s"]
                    )
                    / added,
                    "idle_side_us_per_s": idle_side,
                }
            )
    with make_site() as site:
        start(site, 3)
        idle_entry_many_us = measure_idle_us_per_s(site, [_ENTRY])
    result = median_of(figures)
    engines = 2 * len(_STAGES)
    result["slope_entry_us_per_s_per_engine"] = (
        idle_entry_many_us - idle_entry_few_us
    ) / engines
    print_result(Result("relay", _RUNS, result))


if __name__ == "__main__":
    main()
