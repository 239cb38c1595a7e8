"""Time to plan the placement and to choose a path, over the fleet size.

Prints a JSON line with the times in ms of a first plan, of a plan after the
loss of one engine, and of choosing a path, at 38, 195 and 780 engines.
"""

import json
import random
import statistics
import subprocess
import time

from caroblug.core.placement import EngineLoads, choose_path, plan_moves
from caroblug.core.placement.tests.fleets import (
    BIG,
    MIDDLE,
    MODEL,
    SMALL,
    apply_moves,
    make_engine,
)

SIZES = ((38, 3), (195, 5), (780, 11))
_RUNS = 5
_KINDS = (BIG, MIDDLE, MIDDLE, MIDDLE, SMALL, SMALL, SMALL)


def _make_engines(count: int, data_centres: int):
    return [
        make_engine(f"e{i}", _KINDS[i % 7], f"dc{i % data_centres}")
        for i in range(count)
    ]


def _median_ms(work) -> float:
    times = []
    for _ in range(_RUNS):
        start_s = time.perf_counter()
        work()
        times.append((time.perf_counter() - start_s) * 1000)
    return round(statistics.median(times), 2)


def main() -> None:
    """Measures all sizes and prints the result."""
    figures = {}
    for count, data_centres in SIZES:
        empty = _make_engines(count, data_centres)
        placed = apply_moves(empty, plan_moves(empty, MODEL))
        lost = placed[1:]
        loads = EngineLoads()
        rng = random.Random(1)
        figures[f"first_plan_ms_{count}"] = _median_ms(
            lambda e=empty: plan_moves(e, MODEL)
        )
        figures[f"repair_plan_ms_{count}"] = _median_ms(
            lambda e=lost: plan_moves(e, MODEL)
        )
        figures[f"path_ms_{count}"] = _median_ms(
            lambda e=placed, lo=loads, r=rng: choose_path(
                e, MODEL, lo, "dc0", r
            )
        )
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    ).stdout.strip()
    print(
        json.dumps(
            {
                "name": "placement",
                "commit": commit,
                "runs": _RUNS,
                "figures": figures,
                "baselines": {},
            }
        )
    )


if __name__ == "__main__":
    main()
