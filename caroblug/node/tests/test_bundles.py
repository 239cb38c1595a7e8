"""Tests of bundle dissemination in a fleet with crashes and outages."""

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from caroblug.core.state import Snapshot, encode_snapshot, make_record
from caroblug.node.tests.fakes import SNAPSHOT_KEY, FakeFleet

_DATA_CENTRES = {
    f"{data_centre}-{number}": data_centre
    for data_centre in ("a", "b")
    for number in range(5)
}
_NAMES = sorted(_DATA_CENTRES)
_names = st.sampled_from(_NAMES)
_SETTLE_ROUNDS = 250


def _make_fleet(published=1):
    fleet = FakeFleet(_DATA_CENTRES)
    for _ in range(published):
        fleet.publish()
    fleet.run(40)
    return fleet


def _collect_versions(fleet):
    return {n.head.version if n.head else 0 for n in fleet.nodes.values()}


def _encode_whole_snapshot(head):
    record = make_record(head.sections, head.version, head.record.parent)
    record = type(record)(
        record.version,
        record.parent,
        record.manifest,
        record.sections,
        head.record.signatures,
    )
    return encode_snapshot(Snapshot(record, head.offset), SNAPSHOT_KEY)


def test_few_instances_read_the_log_and_all_receive_the_head():
    fleet = _make_fleet()
    assert all(node.ready for node in fleet.nodes.values())
    readers = [n for n in fleet.nodes.values() if n.should_read]
    assert len(readers) == 6
    for node in fleet.nodes.values():
        if node not in readers:
            node.read_log = None
    fleet.publish()
    fleet.run(10)
    assert _collect_versions(fleet) == {2}


def test_new_instance_in_an_outage_adopts_the_peers_head():
    """Guards against new instances that reject all callers in a log outage.

    Several peers advertise their heads. A new instance that cannot read the
    log adopts the newest of these heads and becomes ready.
    """
    fleet = _make_fleet(2)
    fleet.log.down = True
    fleet.crash("a-3")
    fleet.start("a-3")
    assert not fleet.nodes["a-3"].ready
    fleet.run(40)
    node = fleet.nodes["a-3"]
    assert node.head.version == 2
    assert node.ready


def test_new_instance_is_not_misled_by_an_old_replay():
    """Guards against a new instance that reactivates a removed account.

    All records have expired except an old one that was appended again. The
    instance must not become ready before its peers send their newer head.
    """
    fleet = _make_fleet(3)
    fleet.append(fleet.published_records[0])
    fleet.log.start = len(fleet.log.records) - 1
    fleet.crash("b-0")
    fleet.start("b-0")
    node = fleet.nodes["b-0"]
    node.read_log()
    assert not node.ready
    fleet.run(40)
    assert node.head.version == 3
    assert node.ready


def test_other_instances_read_the_log_when_readers_cannot_reach_it():
    """Guards against a data centre that never receives a new bundle.

    Its log readers cannot reach the log and the other data centre is
    partitioned. Other instances must start to read the log.
    """
    fleet = _make_fleet()
    fleet.block("a", "b")
    fleet.without_log = {n for n in _NAMES if fleet.nodes[n].is_reader}
    fleet.publish()
    fleet.run(250)
    assert _collect_versions(fleet) == {2}


def test_data_centre_without_the_log_fetches_from_another():
    fleet = _make_fleet()
    fleet.without_log = {n for n in _NAMES if n.startswith("a")}
    fleet.publish()
    fleet.run(15)
    assert _collect_versions(fleet) == {2}


def test_new_connection_transfers_the_head():
    """Guards against data centres that differ for seconds after a partition.

    A new connection transfers the head that was published during the
    partition at once, without waiting for a heartbeat.
    """
    fleet = _make_fleet()
    fleet.block("a", "b")
    fleet.without_log = {n for n in _NAMES if n.startswith("a")}
    fleet.publish()
    fleet.run(20)
    assert _collect_versions(fleet) == {1, 2}
    fleet.blocked.clear()
    fleet.send("a-0", "b-0", [])
    for _ in range(4):
        fleet.deliver("a-0", "b-0", 10)
        fleet.deliver("b-0", "a-0", 10)
    assert fleet.nodes["a-0"].head.version == 2


def test_request_waits_for_an_advertised_newer_head():
    """Guards against a new key that one instance accepts and another rejects.

    The advert arrives before any message that depends on the new head. Until
    its sections are received, the instance with the older head is not ready.
    """
    fleet = _make_fleet()
    fleet.publish()
    sender = next(n for n in _NAMES if fleet.nodes[n].is_reader)
    fleet.nodes[sender].read_log()
    receiver = next(b for a, b in fleet.queues if a == sender)
    assert fleet.nodes[receiver].head.version == 1
    while fleet.queues[sender, receiver]:
        fleet.deliver(sender, receiver)
    assert not fleet.nodes[receiver].ready
    fleet.run(3)
    assert fleet.nodes[receiver].ready
    assert fleet.nodes[receiver].wait_for_newest_head().version == 2


class DisseminationMachine(RuleBasedStateMachine):
    """Ten instances in two data centres, with crashes and log outages."""

    def __init__(self):
        super().__init__()
        self.fleet = FakeFleet(_DATA_CENTRES)
        self.highest_versions = dict.fromkeys(_NAMES, 0)

    @rule(competing=st.integers(1, 2))
    def publish(self, competing):
        self.fleet.publish(competing)

    @rule(which=st.integers(0, 99))
    def replay(self, which):
        if self.fleet.published_records:
            self.fleet.append(
                self.fleet.published_records[
                    which % len(self.fleet.published_records)
                ]
            )

    @rule()
    def expire(self):
        """Expires all records except a new snapshot of the head."""
        if self.fleet.reference.head is not None:
            self.fleet.log.start = len(self.fleet.log.records)
            self.fleet.append(_encode_whole_snapshot(self.fleet.reference.head))

    @rule(down=st.booleans())
    def outage(self, down):
        self.fleet.log.down = down
        self.fleet.instances.down = down

    @rule(name=_names)
    def read(self, name):
        if name in self.fleet.nodes:
            self.fleet.nodes[name].read_log()

    @rule(name=_names)
    def crash(self, name):
        if name in self.fleet.nodes:
            self.fleet.crash(name)
            self.highest_versions[name] = 0

    @rule(name=_names)
    def start(self, name):
        if name not in self.fleet.nodes:
            self.fleet.start(name)

    @rule(a=_names, b=_names)
    def cut(self, a, b):
        self.fleet.cut(a, b)

    @rule(partitioned=st.booleans())
    def partition(self, partitioned):
        if partitioned:
            self.fleet.block("a", "b")
        else:
            self.fleet.blocked.clear()

    @rule(rounds=st.integers(1, 12))
    def run(self, rounds):
        self.fleet.run(rounds)

    @rule()
    def settle(self):
        """Ends all faults; checks that all instances get the reference head."""
        self.outage(down=False)
        self.partition(partitioned=False)
        for name in _NAMES:
            self.start(name)
        self.fleet.run(_SETTLE_ROUNDS)
        reference = self.fleet.reference.head
        for node in self.fleet.nodes.values():
            if reference is None:
                assert node.head is None
            else:
                assert node.ready
                assert node.head.digest == reference.digest

    @invariant()
    def versions_never_fall(self):
        for name, node in self.fleet.nodes.items():
            version = node.head.version if node.head else 0
            assert version >= self.highest_versions[name]
            self.highest_versions[name] = version


TestDisseminationMachine = DisseminationMachine.TestCase
TestDisseminationMachine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=20
)
