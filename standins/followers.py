"""Runs many followers of the bundle log in one process, over real sockets.

The first line of standard input is a JSON list of the followers' settings.
The process prints one line for each new head: its version, the instance and
the time in ms of the machine's monotonic clock. For each further line of
input it prints the totals over all followers: bytes sent, frames sent, log
reads, followers that are ready, connections and processor time in ms.
"""

from gevent import monkey

monkey.patch_all()

import sys
import time

import gevent
import orjson
from gevent.fileobject import FileObject

from caroblug.core.state import Head
from caroblug.gen.wire import ttypes as wire
from caroblug.node import Address, NodeSettings, make_fleet
from caroblug.transport import PeerAddress, PeerHandler, make_peer_network
from caroblug.utils import MonotonicClock, make_metrics

_NS_PER_MS = 1_000_000
_CLOCK = MonotonicClock()


class _Follower(PeerHandler):
    """Follows the bundles like a side process, without an engine."""

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        self.metrics = make_metrics()
        self.network = make_peer_network(
            wire.Hello(settings.instance, "side", settings.data_centre),
            settings.shared_key.encode(),
            self,
            _CLOCK,
            self.metrics,
        )
        self.fleet = make_fleet(
            settings,
            "side",
            self.network,
            _CLOCK,
            self.metrics,
            self._print_head,
        )

    def start(self) -> None:
        self.network.start(self.settings.host, self.settings.peer_port)
        self.fleet.start(lambda: None)

    def on_frame(self, peer: PeerAddress, frame: wire.Frame) -> None:
        self.fleet.on_frame(peer, frame)

    def on_peer_up(self, peer: PeerAddress) -> None:
        self.fleet.on_peer_up(peer)

    def on_peer_lost(self, peer: PeerAddress, reason: str) -> None:
        self.fleet.on_peer_lost(peer)

    def _print_head(self, head: Head) -> None:
        now_ms = time.monotonic_ns() / _NS_PER_MS
        print(f"{head.version} {self.settings.instance} {now_ms}", flush=True)


def main() -> None:
    """Runs the followers until standard input ends."""
    commands = FileObject(sys.stdin.buffer, "rb")
    followers = []
    for table in orjson.loads(commands.readline()):
        addresses = {
            key: Address(**table.pop(key)) for key in ("log", "instance_list")
        }
        followers.append(_Follower(NodeSettings(**addresses, **table)))
    for follower in followers:
        follower.start()
        gevent.sleep(0.01)
    for _ in commands:
        sent = sum(f.metrics.value("frame_bytes_sent") for f in followers)
        frames = sum(f.metrics.value("frames_sent") for f in followers)
        reads = sum(f.metrics.value("bundle_log_reads") for f in followers)
        ready = sum(f.fleet.bundles.ready for f in followers)
        links = sum(len(f.network.peers) for f in followers)
        cpu_ms = time.process_time() * 1000
        print(
            f"sent {sent} {frames} {reads} {ready} {links} {cpu_ms}",
            flush=True,
        )


if __name__ == "__main__":
    main()
