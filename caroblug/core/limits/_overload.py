"""Whether the engines can take one more stream, from their load reports.

References:
    Little, "A Proof for the Queuing Formula L = lambda W", 1961: streams in
    the engines over tokens a second is the time between two tokens.
"""

from collections.abc import Iterable

import attrs

_MS_PER_S = 1000


@attrs.frozen
class EngineLoad:
    """What is known of one engine.

    Attributes:
        first_layer: First layer it holds.
        end_layer: One past the last layer it holds.
        tokens_per_s: Its capacity.
        streams: Streams open there.
        client_accounts: Accounts that have streams open there.
    """

    first_layer: int
    end_layer: int
    tokens_per_s: float
    streams: int
    client_accounts: int


def estimate_wait_ms(
    engines: Iterable[EngineLoad], layers: int, account_streams: int
) -> float:
    """Returns the wait for each token that one more stream would meet.

    Each engine shares its capacity by client account, so a stream waits for
    one turn of each account there for each stream that its own account has
    there, and never longer than for all streams. The chain's wait is its
    slowest stage's; the best chain counts.

    Args:
        engines: The engines of the model.
        layers: Layers of the model.
        account_streams: Streams that the account has at all engines.

    Returns:
        The wait in milliseconds; infinite if no chain covers every layer.
    """
    loads = list(engines)
    best = {layers: 0.0}
    for engine in sorted(loads, key=lambda e: -e.first_layer):
        rests = [w for end, w in best.items() if end <= engine.end_layer]
        if not rests:
            continue
        peers = sum(e.first_layer == engine.first_layer for e in loads)
        wait = max(min(rests), _wait_ms(engine, account_streams / peers))
        known = best.get(engine.first_layer)
        best[engine.first_layer] = wait if known is None else min(known, wait)
    return best.get(0, float("inf"))


def _wait_ms(engine: EngineLoad, account_streams: float) -> float:
    turns = (account_streams + 1) * max(1, engine.client_accounts)
    ahead = min(engine.streams, turns)
    return ahead * _MS_PER_S / engine.tokens_per_s


class UnreportedStreams:
    """Streams opened at each engine since its last report.

    Guards against a burst between two reports: each of its streams would see
    the same short queue, and together they would fill it many times over.
    """

    def __init__(self) -> None:
        self._opened: dict[str, int] = {}

    def on_open(self, instances: Iterable[str]) -> None:
        """Counts a stream at each of its engines."""
        for instance in instances:
            self._opened[instance] = self._opened.get(instance, 0) + 1

    def on_report(self, instance: str) -> None:
        """Takes it that a report counts what came before."""
        self._opened.pop(instance, None)

    def count(self, instance: str) -> int:
        """Returns the streams opened since the instance's last report."""
        return self._opened.get(instance, 0)
