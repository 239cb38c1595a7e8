"""What every instance knows of the fleet: its members and its bundle."""

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
from caroblug.node._snapshots import SnapshotKeeper
from caroblug.transport import (
    LogService,
    PeerAddress,
    PeerNetwork,
    make_instance_list,
    make_log_service,
)
from caroblug.utils import Clock, Metrics


class Fleet:
    """An instance's part in membership and in spreading bundles.

    Args:
        members: The view of the members.
        bundles: The bundle in force.
        snapshots: Keeps a copy of it in the log.
    """

    def __init__(
        self,
        members: Members,
        bundles: BundleFollower,
        snapshots: SnapshotKeeper,
    ) -> None:
        self.members = members
        self.bundles = bundles
        self._snapshots = snapshots

    def start(self, on_withdrawn: Callable[[], None]) -> None:
        """Begins to follow.

        Args:
            on_withdrawn: Called when the list shows this instance leaving.
        """
        gevent.spawn(self.bundles.run)
        gevent.spawn(self._snapshots.run)
        gevent.spawn(self._await_withdrawal, on_withdrawn)

    def status(self, ready: bool, running: int) -> NodeStatus:
        """Returns what this instance says of itself.

        Args:
            ready: Whether it takes new work.
            running: Requests that run here.
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
        """Takes a frame's messages about bundles and members."""
        for report in frame.reports or ():
            if report.instance == peer.instance:
                self.members.on_report(
                    peer.instance, leaving=bool(report.leaving)
                )
        self.bundles.on_frame(peer, frame)

    def on_peer_up(self, peer: PeerAddress) -> None:
        """Learns of a connection with a peer."""
        self.bundles.on_peer_up(peer)

    def on_peer_lost(self, peer: PeerAddress) -> None:
        """Learns that a peer is gone."""
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
    """Returns an instance's part in the fleet.

    Args:
        settings: The instance's settings.
        role: `entry` or `side`.
        network: Connections with peers.
        clock: Source of time.
        metrics: Where everything is counted.
        on_head: Called with each new head.
        log: The log service; None takes that of the settings.
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
    snapshots = SnapshotKeeper(
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
