"""Number of chains of a data centre, and requests that each can run."""

from caroblug.core.placement._assignment import Assignment
from caroblug.core.placement._types import ModelShape

DEFAULT_REQUESTS_PER_CHAIN = 40
"""Requests of mean length for which a chain reserves KV cache by default.

A chain consists of the fastest engines, each with as many layers as this
reserve allows. The other engines hold the same layers as replicas. A larger
reserve makes chains longer and slower and leaves fewer replicas; a smaller one
runs out when a data centre takes over the streams of another.
"""

_MAX_REQUESTS_PER_CHAIN = 60
_REQUESTS_PER_GATEWAY = 7
"""Requests to reserve for per gateway of a data centre, between the default
and the maximum. The number of gateways follows the traffic, and at a first
start nothing else is known about the traffic."""

MIN_REQUESTS = 6
"""Requests for which an engine reserves KV cache when a coverage gap can't be
closed otherwise."""


def compute_requests_per_chain(gateways: int, data_centres: int) -> int:
    """Returns for how many requests of mean length a chain reserves KV cache.

    Args:
        gateways: Number of gateways that send to the engines; 0 if unknown.
        data_centres: Number of data centres with engines.
    """
    per_data_centre = gateways / max(1, data_centres)
    wanted = int(per_data_centre * _REQUESTS_PER_GATEWAY)
    return min(_MAX_REQUESTS_PER_CHAIN, max(DEFAULT_REQUESTS_PER_CHAIN, wanted))


def size_chains(
    assignments: list[Assignment], model: ModelShape, requests_per_chain: int
) -> tuple[int, int]:
    """Returns how many whole chains fit, and how many requests each can run.

    Returns:
        Number of chains, at least one, and the largest number of requests of
        mean length, up to `requests_per_chain`, with which they fit.
    """
    held = _total_layers(assignments, model, requests_per_chain)
    chains = max(1, held // model.layers)
    low, high = MIN_REQUESTS, requests_per_chain
    while low < high:
        middle = (low + high + 1) // 2
        if _total_layers(assignments, model, middle) >= chains * model.layers:
            low = middle
        else:
            high = middle - 1
    return chains, low


def _total_layers(
    assignments: list[Assignment], model: ModelShape, requests: int
) -> int:
    return sum(
        assignment.max_layers(model, requests) for assignment in assignments
    )
