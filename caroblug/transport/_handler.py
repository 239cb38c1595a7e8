"""What a program does with its peers' messages."""

import abc

from caroblug.gen.wire import ttypes as wire
from caroblug.transport._links import PeerAddress


class PeerHandler(abc.ABC):
    """What a program does with its peers' messages; must not block."""

    @abc.abstractmethod
    def on_frame(self, peer: PeerAddress, frame: wire.Frame) -> None:
        """Takes a frame from a peer that has proved itself.

        Each frame is given once, in the order in which the peer sent it,
        until the peer is lost.
        """

    @abc.abstractmethod
    def on_peer_up(self, peer: PeerAddress) -> None:
        """Learns of a new session with a peer."""

    @abc.abstractmethod
    def on_peer_lost(self, peer: PeerAddress, reason: str) -> None:
        """Learns that a session has ended; what was in flight is lost."""
