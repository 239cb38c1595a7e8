"""Interface through which a program receives messages from its peers."""

import abc

from caroblug.gen.wire import ttypes as wire
from caroblug.transport._links import PeerAddress


class PeerHandler(abc.ABC):
    """Callbacks of a `PeerNetwork`; they must not block."""

    @abc.abstractmethod
    def on_frame(self, peer: PeerAddress, frame: wire.Frame) -> None:
        """Handles a frame from an authenticated peer.

        Each frame is delivered once, in the order in which the peer sent it,
        until the session ends.
        """

    @abc.abstractmethod
    def on_peer_up(self, peer: PeerAddress) -> None:
        """Handles the start of a session with a peer."""

    @abc.abstractmethod
    def on_peer_lost(self, peer: PeerAddress, reason: str) -> None:
        """Handles the end of a session; messages in flight are lost.

        Args:
            peer: The peer.
            reason: Why the session has ended.
        """
