"""Choice of the gateways that read the reports of engines.

References:
    Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
    1998: rendezvous hashing.
"""

from collections.abc import Container


class ReportReaders:
    """Ranks the gateways of a data centre as readers of each engine's report.

    All gateways that know the same gateways compute the same ranking. A
    gateway that joins or leaves changes the first reader of few engines.

    Args:
        own_name: Name of this gateway.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._gateways: frozenset[str] = frozenset()
        self._orders: dict[str, list[str]] = {}

    def rank(
        self, engine: str, gateways: frozenset[str], live: Container[str]
    ) -> int:
        """Returns how many running gateways read an engine before this one.

        Args:
            engine: Name of the engine.
            gateways: All known gateways of the data centre, with this one.
            live: Those of them that are running.
        """
        if gateways != self._gateways:
            self._gateways = gateways
            self._orders.clear()
        order = self._orders.get(engine)
        if order is None:
            order = sorted(gateways, key=lambda name: _hash(engine, name))
            self._orders[engine] = order
        rank = 0
        for name in order:
            if name == self._own_name:
                break
            rank += name in live
        return rank


def _hash(engine: str, gateway: str) -> int:
    # The library is imported on first use, so that it doesn't delay a start.
    import xxhash

    return xxhash.xxh3_64_intdigest(f"{engine}\0{gateway}".encode())
