"""Result of a benchmark, printed as its last line."""

import subprocess
from collections.abc import Mapping

import attrs
import orjson

Figures = Mapping[str, float]


@attrs.frozen
class Result:
    """Measured figures of a benchmark.

    Attributes:
        name: Name of the benchmark.
        runs: Number of runs; the figures are their medians.
        figures: Measured values by name.
        baselines: Figures of each alternative by its name.
    """

    name: str
    runs: int
    figures: Figures
    baselines: Mapping[str, Figures] = attrs.field(factory=dict)


def print_result(result: Result) -> None:
    """Prints the result as one line of JSON."""
    body = {
        "name": result.name,
        "commit": commit(),
        "runs": result.runs,
        "figures": dict(result.figures),
        "baselines": {k: dict(v) for k, v in result.baselines.items()},
    }
    print(orjson.dumps(body).decode(), flush=True)


def commit() -> str:
    """Returns the checked-out commit, marked `-dirty` if files changed."""
    command = ["git", "describe", "--always", "--dirty"]
    found = subprocess.run(command, capture_output=True, text=True, check=False)
    return found.stdout.strip() or "unknown"
