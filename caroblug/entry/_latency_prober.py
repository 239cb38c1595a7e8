"""Latencies to the other data centres, measured from this entry."""

import collections

from caroblug.core.routing import LatencyTable
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import PeerAddress, PeerNetwork
from caroblug.utils import Clock

_MAX_SAMPLES = 5


class LatencyProber:
    """Asks one peer in each other data centre how long its answer takes.

    The least of the last few round trips counts: what a busy process adds
    to some of them is not the link's.

    Args:
        data_centre: Where this entry runs.
        network: Connections with the side processes.
        latencies: Where the latencies are kept.
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
        """Sends one probe to each other data centre, to peers in turn."""
        peers: dict[str, list[PeerAddress]] = {}
        for peer in self._network.peers:
            if peer.data_centre != self._data_centre:
                peers.setdefault(peer.data_centre, []).append(peer)
        self._rounds += 1
        for candidates in peers.values():
            target = candidates[self._rounds % len(candidates)]
            self._network.send(target, wire.LinkProbe(self._clock.now_ms()))

    def on_probe(self, peer: PeerAddress, probe: wire.LinkProbe) -> None:
        """Takes a peer's answer; one to an old probe counts as well."""
        if not probe.answer:
            return
        samples = self._round_trips_ms.setdefault(
            peer.data_centre, collections.deque(maxlen=_MAX_SAMPLES)
        )
        samples.append(self._clock.now_ms() - probe.sent_ms)
        self._latencies.record(
            self._data_centre, peer.data_centre, min(samples) / 2
        )
