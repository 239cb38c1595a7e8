"""Measures latencies from this entry to the other data centres."""

import collections

from caroblug.core.routing import LatencyTable
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import PeerAddress, PeerNetwork
from caroblug.utils import Clock

_MAX_SAMPLES = 5


class LatencyProber:
    """Measures round trips to one peer in each other data centre.

    The minimum of the last `_MAX_SAMPLES` round trips counts, because a busy
    process adds delays that are not the link's.

    Args:
        data_centre: Data centre of this entry.
        network: Connections to other instances.
        latencies: Table to update.
        clock: Source of time.
    """

    def __init__(
        self,
        data_centre: str,
        network: PeerNetwork,
        latencies: LatencyTable,
        clock: Clock,
    ) -> None:
        self._data_centre = data_centre
        self._network = network
        self._latencies = latencies
        self._clock = clock
        self._round_trips_ms: dict[str, collections.deque[int]] = {}
        self._rounds = 0

    def probe(self) -> None:
        """Probes one peer in each other data centre, in rotation."""
        peers: dict[str, list[PeerAddress]] = {}
        for peer in self._network.peers:
            if peer.data_centre != self._data_centre:
                peers.setdefault(peer.data_centre, []).append(peer)
        self._rounds += 1
        for candidates in peers.values():
            target = candidates[self._rounds % len(candidates)]
            self._network.send(target, wire.LinkProbe(self._clock.now_ms()))

    def on_probe(self, peer: PeerAddress, probe: wire.LinkProbe) -> None:
        """Records a round trip; late answers to earlier probes count too."""
        if not probe.answer:
            return
        samples = self._round_trips_ms.setdefault(
            peer.data_centre, collections.deque(maxlen=_MAX_SAMPLES)
        )
        samples.append(self._clock.now_ms() - probe.sent_ms)
        self._latencies.record(
            self._data_centre, peer.data_centre, min(samples) / 2
        )
