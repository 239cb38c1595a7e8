"""Latency estimates for chains and the check against a deadline."""

import dataclasses
from collections.abc import Sequence

import attrs

from caroblug.core.routing._types import EngineView

_MS_PER_S = 1000.0
_MIN_TOKENS_PER_S = 0.001
_MIN_RETRY_AFTER_MS = 100
_MAX_RETRY_AFTER_MS = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlineMiss:
    """The result for a request that cannot finish by its deadline.

    Attributes:
        expected_ms: Lower bound of the time until the request finishes.
        retry_after_ms: Delay after which the caller may retry: the expected
            overrun, within fixed bounds.
    """

    expected_ms: float
    retry_after_ms: int


@attrs.frozen
class LatencyTable:
    """The last measured one-way latencies between data centres.

    Attributes:
        default_ms: Latency assumed where there is no measurement.
        measured_ms: Latency by pair of data centres; the names in a pair
            are sorted.
    """

    default_ms: float = 1.0
    measured_ms: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def record(self, one: str, other: str, ms: float) -> None:
        """Records the one-way latency between two data centres."""
        self.measured_ms[min(one, other), max(one, other)] = ms

    def one_way_ms(self, one: str, other: str) -> float:
        """Returns the one-way latency in ms; 0 within a data centre.

        A pair without a measurement is assumed to be as slow as the slowest
        measured link of either end, because a data centre with degraded
        links is likely to be slow to reach from every other one.
        """
        if one == other:
            return 0.0
        key = (min(one, other), max(one, other))
        latency_ms = self.measured_ms.get(key)
        if latency_ms is not None:
            return latency_ms
        neighbours_ms = [
            ms
            for pair, ms in self.measured_ms.items()
            if one in pair or other in pair
        ]
        return max(neighbours_ms, default=self.default_ms)


def position_ms(engine: EngineView) -> float:
    """Returns the time per position at an engine's full throughput, in ms."""
    return _MS_PER_S / max(engine.tokens_per_s, _MIN_TOKENS_PER_S)


def link_round_ms(engines: Sequence[EngineView], table: LatencyTable) -> float:
    """Returns the network latency of one round through a chain, in ms.

    The last stage returns each token to the first one, so that link counts
    too.
    """
    data_centres = [engine.data_centre for engine in engines]
    next_data_centres = [*data_centres[1:], data_centres[0]]
    return sum(
        table.one_way_ms(one, other)
        for one, other in zip(data_centres, next_data_centres, strict=True)
    )


def token_round_ms(engines: Sequence[EngineView], table: LatencyTable) -> float:
    """Returns the expected time per token of a new stream, in ms.

    A stage's load is the number of positions that wait or run there, not the
    number of its open streams. Streams queue at the slowest stage of their
    chain, so an engine with many open streams may still be idle.
    """
    stages_ms = sum((1 + e.queue) * position_ms(e) for e in engines)
    return stages_ms + link_round_ms(engines, table)


def check_deadline(
    engines: Sequence[EngineView],
    table: LatencyTable,
    prompt_length: int,
    max_tokens: int,
    deadline_ms: float,
) -> DeadlineMiss | None:
    """Returns a miss if a request cannot meet its deadline, else None.

    The estimate is a lower bound. It counts only the queue of the slowest
    stage, because streams wait there while the other stages run ahead. A
    request that is rejected would have missed its deadline, but a request
    that is accepted may still miss it.

    Args:
        engines: Engines of the chain, in order.
        table: Latencies between data centres.
        prompt_length: Tokens of the prompt.
        max_tokens: Tokens to generate.
        deadline_ms: Time that the request may take, from now.
    """
    prefill_ms = max(
        (e.backlog + prompt_length) * position_ms(e) for e in engines
    )
    slowest_stage_ms = max((1 + e.load) * position_ms(e) for e in engines)
    token_ms = max(slowest_stage_ms, link_round_ms(engines, table))
    expected_ms = prefill_ms + max_tokens * token_ms
    if expected_ms <= deadline_ms:
        return None
    overrun_ms = int(expected_ms - deadline_ms)
    retry_ms = min(max(overrun_ms, _MIN_RETRY_AFTER_MS), _MAX_RETRY_AFTER_MS)
    return DeadlineMiss(expected_ms, retry_ms)
