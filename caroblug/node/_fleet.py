"""Tracks the fleet's members and bundle on each instance."""

import random
from collections.abc import Callable

import gevent

from caroblug.core.state import (
    BundleDissemination,
    BundleFold,
    Head,
    Member,
    Membership,
)
from caroblug.gen.wire import ttypes as wire
from caroblug.node._bundles import BundleFollower
from caroblug.node._http import NodeStatus
from caroblug.node._members import Members
from caroblug.node._settings import NodeSettings
from caroblug.node._snapshots import SnapshotWriter
from caroblug.transport import (
    LogService,
    PeerAddress,
    PeerNetwork,
    make_instance_list,
    make_log_service,
)
from caroblug.utils import Clock, Metrics


class Fleet:
    """Runs membership and bundle dissemination for one instance.

    Args:
        members: The current members of the fleet.
        bundles: Tracks the bundle in force.
        snapshots: Keeps a snapshot of the bundle in the log.
    """

    def __init__(
        self,
        members: Members,
        bundles: BundleFollower,
        snapshots: SnapshotWriter,
    ) -> None:
        self.members = members
        self.bundles = bundles
        self._snapshots = snapshots

    def start(self, on_withdrawn: Callable[[], None]) -> None:
        """Starts the background greenlets.

        Args:
            on_withdrawn: Called when the platform's instance list shows this
                instance as leaving.
        """
        gevent.spawn(self.bundles.run)
        gevent.spawn(self._snapshots.run)
        gevent.spawn(self._await_withdrawal, on_withdrawn)

    def status(self, ready: bool, running: int) -> NodeStatus:
        """Returns the status that this instance reports about itself.

        Args:
            ready: Whether it accepts new work.
            running: Number of requests running on it.
        """
        head = self.bundles.head
        return NodeStatus(
            self.members.own.instance,
            head.version if head else 0,
            head.digest if head else "",
            self.bundles.in_force_ms,
            self.bundles.is_reader,
            len(self.members.view.members),
            ready,
            running,
        )

    def on_frame(self, peer: PeerAddress, frame: wire.Frame) -> None:
        """Handles the bundle and membership messages of a frame."""
        for report in frame.reports or ():
            if report.instance == peer.instance:
                self.members.on_report(
                    peer.instance, leaving=bool(report.leaving)
                )
        self.bundles.on_frame(peer, frame)

    def on_peer_up(self, peer: PeerAddress) -> None:
        """Records a new connection to a peer."""
        self.bundles.on_peer_up(peer)

    def on_peer_lost(self, peer: PeerAddress) -> None:
        """Records the loss of a peer's connection."""
        self.bundles.on_peer_lost(peer)

    def _await_withdrawal(self, on_withdrawn: Callable[[], None]) -> None:
        self.members.withdrawn.wait()
        on_withdrawn()


def make_fleet(
    settings: NodeSettings,
    role: str,
    network: PeerNetwork,
    clock: Clock,
    metrics: Metrics,
    on_head: Callable[[Head], None],
    log: LogService | None = None,
) -> Fleet:
    """Creates the fleet tracking of one instance.

    Args:
        settings: The instance's settings.
        role: `entry` or `side`.
        network: Connections to peers.
        clock: Source of time.
        metrics: Counts reads, records and messages.
        on_head: Called with each new head.
        log: The log service; if None, the one named in the settings.
    """
    rng = random.Random(settings.instance)
    log = log or make_log_service(settings.log.host, settings.log.port)
    own = Member(
        settings.instance,
        role,
        settings.host,
        settings.peer_port,
        settings.data_centre,
    )
    listed = settings.instance_list
    members = Members(
        Membership(own),
        make_instance_list(listed.host, listed.port),
        network,
        clock,
        metrics,
        settings.instances_ms,
    )
    keys = [key.encode() for key in settings.shared_keys]
    bundles = BundleFollower(
        log,
        BundleFold(settings.operators, settings.signatures, keys),
        BundleDissemination(own, rng, clock.now_ms()),
        members,
        network,
        clock,
        metrics,
        on_head,
        rng,
    )
    snapshots = SnapshotWriter(
        log,
        bundles,
        members,
        clock,
        metrics,
        keys[0],
        settings.log_retention_ms,
        rng,
    )
    return Fleet(members, bundles, snapshots)
