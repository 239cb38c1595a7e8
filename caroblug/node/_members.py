"""Keeps the view of the members: the list fetched, the peers heard."""

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

_RECORD_BYTES = 120
_BUDGET_BYTES_PER_MS = 1


class Members:
    """The joined view, kept up to date.

    The list is a few hundred bytes at a small site and 140 KB at 1,180
    instances; the time between two reads grows with it, so that it never
    costs more than 1 KB/s.

    Args:
        membership: Joins what is listed and what is heard.
        instances: The platform's instance list.
        network: Connections with peers.
        clock: Source of time.
        metrics: Where reads and members are counted.
        interval_ms: Least time between two reads of the list.
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
        self._listed = event.Event()
        self._records: tuple[InstanceRecord, ...] = ()

    @property
    def own(self) -> Member:
        """This instance."""
        return self._membership.own

    @property
    def view(self) -> MemberView:
        """The members that may be given work now."""
        return self._membership.view(self._clock.now_ms())

    @property
    def listed(self) -> tuple[InstanceRecord, ...]:
        """What the list showed when it was last read."""
        return self._records

    @property
    def withdrawn(self) -> event.Event:
        """Set once the platform's list shows this instance as leaving."""
        return self._withdrawn

    def wait_listed(self, timeout_ms: int) -> None:
        """Waits until the list was read once, or in vain."""
        self._listed.wait(timeout_ms / 1000)

    def run(self) -> None:
        """Reads the list for ever."""
        while True:
            count = self.read_list()
            grown_ms = count * _RECORD_BYTES / _BUDGET_BYTES_PER_MS
            gevent.sleep(max(self._interval_ms, grown_ms) / 1000)

    def connect(self, members: list[Member]) -> None:
        """Dials the members that have no connection yet."""
        for member in members:
            if not self._network.is_connected(member.instance):
                self._network.send(address_of(member))

    def on_peer_up(self, peer: PeerAddress) -> None:
        """Learns of a connection with a peer that has proved itself."""
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
        """Learns that a peer is gone."""
        self._membership.on_disconnected(peer.instance, self._clock.now_ms())

    def on_report(self, instance: str, *, leaving: bool) -> None:
        """Learns from a peer itself whether it is leaving."""
        self._membership.on_report(instance, leaving=leaving)

    def read_list(self) -> int:
        """Reads the list once and returns how many instances it shows."""
        listed = self._instances.fetch()
        if isinstance(listed, InstancesUnavailable):
            self._metrics.count("instance_list_failures")
            self._listed.set()
            return 0
        self._records = listed
        members = [
            Member(r.instance, r.role, r.host, r.port, r.data_centre)
            for r in listed
        ]
        leaving = [r.instance for r in listed if r.leaving]
        self._membership.on_listed(members, leaving)
        self._listed.set()
        self._metrics.count("instance_list_reads")
        self._metrics.gauge("members", len(self.view.members))
        if self._membership.withdrawn and not self._withdrawn.is_set():
            log_state("instance.withdrawn", instance=self.own.instance)
            self._withdrawn.set()
        return len(listed)


def address_of(member: Member) -> PeerAddress:
    """Returns where a member listens for its peers."""
    return PeerAddress(
        member.instance,
        member.host,
        member.port,
        member.role,
        member.data_centre,
    )
