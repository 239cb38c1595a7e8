"""How long a chain is expected to take, and whether that is in time."""

import dataclasses
from collections.abc import Sequence

import attrs

from caroblug.core.routing._types import EngineView

_MS_PER_S = 1000.0
_LOWEST_RATE = 0.001
_LEAST_RETRY_MS = 100
_MOST_RETRY_MS = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlineMiss:
    """A request that cannot be answered by its deadline.

    Attributes:
        expected_ms: When it would be answered, at the earliest.
        retry_after_ms: When enough work will have drained.
    """

    expected_ms: float
    retry_after_ms: int


@attrs.frozen
class LatencyTable:
    """One-way latencies between data centres, as last measured.

    Attributes:
        default_ms: Latency where nothing was measured.
        measured_ms: Latency by pair of data centres, in sorted order.
    """

    default_ms: float = 1.0
    measured_ms: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def record(self, one: str, other: str, ms: float) -> None:
        """Records the one-way latency between two data centres."""
        self.measured_ms[min(one, other), max(one, other)] = ms

    def one_way_ms(self, one: str, other: str) -> float:
        """Returns the one-way latency in ms; 0 inside a data centre.

        A pair that was not measured is taken to be as slow as the slowest
        measured link of its two ends: a data centre whose links have
        degraded is slow towards everyone.
        """
        if one == other:
            return 0.0
        pair = (min(one, other), max(one, other))
        known = self.measured_ms.get(pair)
        if known is not None:
            return known
        ends = [
            ms
            for ends, ms in self.measured_ms.items()
            if one in ends or other in ends
        ]
        return max(ends, default=self.default_ms)


def position_ms(engine: EngineView) -> float:
    """Returns the engine's time for one position in full batches, in ms."""
    return _MS_PER_S / max(engine.tokens_per_s, _LOWEST_RATE)


def links_ms(engines: Sequence[EngineView], table: LatencyTable) -> float:
    """Returns the latency of a token's whole way round a chain, in ms."""
    places = [engine.data_centre for engine in engines]
    ahead = [*places[1:], places[0]]
    return sum(
        table.one_way_ms(one, other)
        for one, other in zip(places, ahead, strict=True)
    )


def round_ms(engines: Sequence[EngineView], table: LatencyTable) -> float:
    """Returns the expected time of a new stream's token round, in ms.

    Each stage counts with the positions that wait or run there now, not with
    the streams open there: streams gather at the slowest stage of their own
    chains, and an engine that many pass through may be idle all the same.
    """
    queues = sum((1 + e.queue) * position_ms(e) for e in engines)
    return queues + links_ms(engines, table)


def check_deadline(
    engines: Sequence[EngineView],
    table: LatencyTable,
    prompt_length: int,
    max_tokens: int,
    deadline_ms: float,
) -> DeadlineMiss | None:
    """Returns why a request can't be in time, or None if it may be.

    The estimate is a lower bound: only the slowest stage's queue counts, as
    streams wait there while the other stages run ahead. So a request that is
    refused would have been late, while a late one may still be taken.

    Args:
        engines: Engines of the chain, in order.
        table: Latencies between data centres.
        prompt_length: Tokens of the prompt.
        max_tokens: Tokens to generate.
        deadline_ms: How long the request may take.
    """
    prefill_ms = max(
        (e.backlog + prompt_length) * position_ms(e) for e in engines
    )
    busy_ms = max((1 + e.load) * position_ms(e) for e in engines)
    token_ms = max(busy_ms, links_ms(engines, table))
    expected_ms = prefill_ms + max_tokens * token_ms
    if expected_ms <= deadline_ms:
        return None
    late_ms = int(expected_ms - deadline_ms)
    retry_ms = min(max(late_ms, _LEAST_RETRY_MS), _MOST_RETRY_MS)
    return DeadlineMiss(expected_ms, retry_ms)
