"""The last line of a benchmark."""

import subprocess
from collections.abc import Mapping

import attrs
import orjson

Figures = Mapping[str, float]


@attrs.frozen
class Result:
    """What a benchmark measured.

    Attributes:
        name: Name of the benchmark.
        runs: How many runs the figures are medians of.
        figures: Measured values by name.
        baselines: The same figures for each other way.
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
    """Returns the commit that is checked out, marked if it was changed."""
    command = ["git", "describe", "--always", "--dirty"]
    found = subprocess.run(command, capture_output=True, text=True, check=False)
    return found.stdout.strip() or "unknown"
