"""Estimate of a new stream's wait per token, from engine load reports.

References:
    Little, "A Proof for the Queuing Formula L = lambda W", 1961: the number
    of streams in an engine, divided by its tokens per second, is the time
    between two tokens of a stream.
"""

from collections.abc import Iterable

import attrs

_MS_PER_S = 1000


@attrs.frozen
class EngineLoad:
    """Load and capacity of one engine.

    Attributes:
        first_layer: First layer that the engine holds.
        end_layer: One past the last layer that the engine holds.
        tokens_per_s: Capacity of the engine in tokens per second.
        streams: Number of streams open at the engine.
        client_accounts: Number of accounts with streams open at the engine.
    """

    first_layer: int
    end_layer: int
    tokens_per_s: float
    streams: int
    client_accounts: int


def estimate_wait_ms(
    engines: Iterable[EngineLoad], layers: int, account_streams: int
) -> float:
    """Returns the time that one more stream would wait for each token.

    An engine divides its capacity fairly among client accounts. For each
    token, a stream therefore waits until every account there has had one
    turn for each stream of the stream's own account, and at most until every
    stream has had one. The streams of the account are assumed to be spread
    evenly over the engines that start at the same layer. The wait of a chain
    is that of its slowest stage, and the chain with the shortest wait counts.

    Args:
        engines: Engines that serve the model.
        layers: Number of layers of the model.
        account_streams: Number of streams of the account at all engines.

    Returns:
        The wait in milliseconds; infinite if no chain covers every layer.
    """
    loads = list(engines)
    best_waits = {layers: 0.0}
    for engine in sorted(loads, key=lambda e: -e.first_layer):
        downstream_waits = [
            w for end, w in best_waits.items() if end <= engine.end_layer
        ]
        if not downstream_waits:
            continue
        replicas = sum(e.first_layer == engine.first_layer for e in loads)
        wait = max(
            min(downstream_waits), _wait_ms(engine, account_streams / replicas)
        )
        known = best_waits.get(engine.first_layer)
        best_waits[engine.first_layer] = (
            wait if known is None else min(known, wait)
        )
    return best_waits.get(0, float("inf"))


def _wait_ms(engine: EngineLoad, account_streams: float) -> float:
    turns = (account_streams + 1) * max(1, engine.client_accounts)
    tokens_ahead = min(engine.streams, turns)
    return tokens_ahead * _MS_PER_S / engine.tokens_per_s


class UnreportedStreams:
    """Counts the streams opened at each engine since its last load report.

    Guards against a burst between two reports: without the count, each new
    stream would be admitted by the same short queue, and together they would
    overfill it many times over.
    """

    def __init__(self) -> None:
        self._opened: dict[str, int] = {}

    def on_open(self, instances: Iterable[str]) -> None:
        """Counts a new stream at each of its engines."""
        for instance in instances:
            self._opened[instance] = self._opened.get(instance, 0) + 1

    def on_report(self, instance: str) -> None:
        """Resets the count: the report includes the streams opened so far."""
        self._opened.pop(instance, None)

    def count(self, instance: str) -> int:
        """Returns the number of streams opened since the last report."""
        return self._opened.get(instance, 0)
