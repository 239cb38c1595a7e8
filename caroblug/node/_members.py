"""Tracks the fleet's members from the instance list and from peers."""

import gevent
from gevent import event

from caroblug.core.state import Member, Membership, MemberView
from caroblug.transport import (
    InstanceList,
    InstanceRecord,
    InstancesUnavailable,
    PeerAddress,
    PeerNetwork,
)
from caroblug.utils import Clock, Metrics, log_state

_BYTES_PER_RECORD = 120
_MAX_BYTES_PER_MS = 1


class Members:
    """Keeps the view of the fleet's members up to date.

    The instance list is a few hundred bytes at a small site and 140 KB at
    1,180 instances. The interval between two reads grows with the list, so
    that reading it never takes more than 1 KB/s.

    Args:
        membership: Combines the instance list with the peers' connections
            and reports.
        instances: The platform's instance list.
        network: Connections to peers.
        clock: Source of time.
        metrics: Counts reads of the list and members.
        interval_ms: Minimum interval between two reads of the list.
    """

    def __init__(
        self,
        membership: Membership,
        instances: InstanceList,
        network: PeerNetwork,
        clock: Clock,
        metrics: Metrics,
        interval_ms: int,
    ) -> None:
        self._membership = membership
        self._instances = instances
        self._network = network
        self._clock = clock
        self._metrics = metrics
        self._interval_ms = interval_ms
        self._withdrawn = event.Event()
        self._list_read = event.Event()
        self._listed_records: tuple[InstanceRecord, ...] = ()

    @property
    def own(self) -> Member:
        """The member that represents this instance."""
        return self._membership.own

    @property
    def view(self) -> MemberView:
        """The members that may receive work now."""
        return self._membership.view(self._clock.now_ms())

    @property
    def listed(self) -> tuple[InstanceRecord, ...]:
        """The records of the last successful read of the list."""
        return self._listed_records

    @property
    def withdrawn(self) -> event.Event:
        """Event that is set once the list shows this instance as leaving."""
        return self._withdrawn

    def wait_for_list(self, timeout_ms: int) -> None:
        """Waits until the first attempt to read the list has ended."""
        self._list_read.wait(timeout_ms / 1000)

    def run(self) -> None:
        """Reads the list periodically until the process ends."""
        while True:
            count = self.read_list()
            min_interval_ms = count * _BYTES_PER_RECORD / _MAX_BYTES_PER_MS
            gevent.sleep(max(self._interval_ms, min_interval_ms) / 1000)

    def connect(self, members: list[Member]) -> None:
        """Opens connections to the members that have none."""
        for member in members:
            if not self._network.is_connected(member.instance):
                self._network.send(make_peer_address(member))

    def on_peer_up(self, peer: PeerAddress) -> None:
        """Records a new connection to an authenticated peer."""
        self._membership.on_connected(
            Member(
                peer.instance,
                peer.role,
                peer.host,
                peer.port,
                peer.data_centre,
            )
        )

    def on_peer_lost(self, peer: PeerAddress) -> None:
        """Records the loss of a peer's connection."""
        self._membership.on_disconnected(peer.instance, self._clock.now_ms())

    def on_report(self, instance: str, *, leaving: bool) -> None:
        """Records whether a peer reports itself as leaving."""
        self._membership.on_report(instance, leaving=leaving)

    def read_list(self) -> int:
        """Reads the list once.

        Returns:
            The number of listed instances; 0 if the list is unavailable.
        """
        listed = self._instances.fetch()
        if isinstance(listed, InstancesUnavailable):
            self._metrics.count("instance_list_failures")
            self._list_read.set()
            return 0
        self._listed_records = listed
        members = [
            Member(r.instance, r.role, r.host, r.port, r.data_centre)
            for r in listed
        ]
        leaving = [r.instance for r in listed if r.leaving]
        self._membership.on_listed(members, leaving)
        self._list_read.set()
        self._metrics.count("instance_list_reads")
        self._metrics.gauge("members", len(self.view.members))
        if self._membership.withdrawn and not self._withdrawn.is_set():
            log_state("instance.withdrawn", instance=self.own.instance)
            self._withdrawn.set()
        return len(listed)


def make_peer_address(member: Member) -> PeerAddress:
    """Returns the address on which a member listens for peers."""
    return PeerAddress(
        member.instance,
        member.host,
        member.port,
        member.role,
        member.data_centre,
    )
