"""Runs a caroblug program over emulated links between data centres.

Data that a process sends to a peer in another data centre is delayed by a
latency and limited to a rate in bytes per second. Links inside a data centre
are unchanged. Each process delays only the direction in which it sends.
"""

from gevent import monkey

monkey.patch_all()

import argparse
import importlib
import json
import sys
import time
from typing import Any

import gevent
from gevent import queue, socket

from caroblug.transport import PeerNetwork

_ROLES = ("entry", "side")


class DelayedSocket:
    """Wraps a socket and delays the data that it sends.

    Args:
        sock: The wrapped socket.
        latency_ms: Delay of each send.
        bytes_per_s: Maximum rate; 0 for no limit.
    """

    def __init__(
        self, sock: socket.socket, latency_ms: float, bytes_per_s: float
    ) -> None:
        self._sock = sock
        self._latency_s = latency_ms / 1000
        self._bytes_per_s = bytes_per_s
        self._link_free_at_s = 0.0
        self._in_flight: queue.Queue = queue.Queue()
        gevent.spawn(self._deliver)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def sendall(self, data: bytes) -> None:
        """Queues bytes for a delayed send."""
        now = time.monotonic()
        self._link_free_at_s = max(now, self._link_free_at_s)
        if self._bytes_per_s:
            self._link_free_at_s += len(data) / self._bytes_per_s
        self._in_flight.put((self._link_free_at_s + self._latency_s, data))

    def _deliver(self) -> None:
        while True:
            due, data = self._in_flight.get()
            gevent.sleep(max(0.0, due - time.monotonic()))
            try:
                self._sock.sendall(data)
            except OSError:
                return


class DelayedNetwork(PeerNetwork):
    """Peer network with delayed links to other data centres.

    Attributes:
        table: (latency in ms, bytes per second) by data centre; a link has
            the slower values of its two ends.
    """

    table: dict[str, tuple[float, float]] = {}

    def _add(self, session: Any, link: Any) -> None:
        local, remote = self._hello.data_centre, link.peer.data_centre
        if local != remote:
            link_ends = [self.table[local], self.table[remote]]
            rate_bounds = [rate for _, rate in link_ends if rate]
            link.sock = DelayedSocket(
                link.sock,
                max(latency_ms for latency_ms, _ in link_ends),
                min(rate_bounds, default=0.0),
            )
        super()._add(session, link)


def main() -> None:
    """Parses the command line and runs the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--role", choices=_ROLES, required=True)
    parser.add_argument("--config", required=True)
    parser.add_argument("--links", type=json.loads, required=True)
    options = parser.parse_args()
    DelayedNetwork.table = {k: tuple(v) for k, v in options.links.items()}
    server = importlib.import_module(f"caroblug.{options.role}._server")
    server.make_peer_network = DelayedNetwork
    program = importlib.import_module(f"caroblug.cli.{options.role}")
    sys.argv = [sys.argv[0], "--config", options.config]
    sys.exit(program.main())


if __name__ == "__main__":
    main()
