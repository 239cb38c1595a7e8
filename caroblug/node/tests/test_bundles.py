"""Bundles spread over a fleet that breaks in every way."""

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from caroblug.core.state import Snapshot, encode_snapshot, make_record
from caroblug.node.tests.fakes import SNAPSHOT_KEY, FakeFleet

_PLACES = {
    f"{place}-{number}": place for place in ("a", "b") for number in range(5)
}
_NAMES = sorted(_PLACES)
_names = st.sampled_from(_NAMES)
_SETTLE_ROUNDS = 250


def _fleet(published=1):
    fleet = FakeFleet(_PLACES)
    for _ in range(published):
        fleet.publish()
    fleet.run(40)
    return fleet


def _versions(fleet):
    return {n.head.version if n.head else 0 for n in fleet.nodes.values()}


def _whole(head):
    record = make_record(head.sections, head.version, head.record.parent)
    record = type(record)(
        record.version,
        record.parent,
        record.manifest,
        record.sections,
        head.record.signatures,
    )
    return encode_snapshot(Snapshot(record, head.offset), SNAPSHOT_KEY)


def test_few_instances_read_the_log_and_all_hear():
    fleet = _fleet()
    assert all(node.ready for node in fleet.nodes.values())
    readers = [n for n in fleet.nodes.values() if n.should_read]
    assert len(readers) == 6
    for node in fleet.nodes.values():
        if node not in readers:
            node.read_log = None
    fleet.publish()
    fleet.run(10)
    assert _versions(fleet) == {2}


def test_new_instance_in_an_outage_takes_the_peers_head():
    """New instances refuse every caller while the log is down.

    The log cannot be read; several peers agree on their head, and the new
    instance takes the highest of them.
    """
    fleet = _fleet(2)
    fleet.log.down = True
    fleet.crash("a-3")
    fleet.start("a-3")
    assert not fleet.nodes["a-3"].ready
    fleet.run(40)
    node = fleet.nodes["a-3"]
    assert node.head.version == 2
    assert node.ready


def test_new_instance_is_not_misled_by_an_old_replay():
    """A replaced instance opens accounts that were closed last week.

    Its log holds nothing but an old record that somebody appended again:
    everything else has expired. Its peers know the newer head.
    """
    fleet = _fleet(3)
    fleet.append(fleet.sent[0])
    fleet.log.start = len(fleet.log.records) - 1
    fleet.crash("b-0")
    fleet.start("b-0")
    node = fleet.nodes["b-0"]
    node.read_log()
    assert not node.ready
    fleet.run(40)
    assert node.head.version == 3
    assert node.ready


def test_others_step_in_where_readers_cannot_reach_the_log():
    """A new limit never reaches a data centre.

    The instances that read the log there cannot reach it, the other data
    centre is cut off, and everybody waits for the readers.
    """
    fleet = _fleet()
    fleet.block("a", "b")
    fleet.without_log = {n for n in _NAMES if fleet.nodes[n].is_reader}
    fleet.publish()
    fleet.run(250)
    assert _versions(fleet) == {2}


def test_data_centre_without_the_log_hears_from_another():
    fleet = _fleet()
    fleet.without_log = {n for n in _NAMES if n.startswith("a")}
    fleet.publish()
    fleet.run(15)
    assert _versions(fleet) == {2}


def test_new_connection_brings_the_head():
    """Two data centres that lost each other differ for seconds more.

    What was published meanwhile is told as soon as a connection is there.
    """
    fleet = _fleet()
    fleet.block("a", "b")
    fleet.without_log = {n for n in _NAMES if n.startswith("a")}
    fleet.publish()
    fleet.run(20)
    assert _versions(fleet) == {1, 2}
    fleet.blocked.clear()
    fleet.send("a-0", "b-0", [])
    for _ in range(4):
        fleet.deliver("a-0", "b-0", 10)
        fleet.deliver("b-0", "a-0", 10)
    assert fleet.nodes["a-0"].head.version == 2


def test_request_waits_for_the_newer_head_its_peer_has_told_of():
    """A caller's new key works at one instance and is refused by the next.

    The advert arrives before anything that was decided under the new head;
    until the sections are there, the older head does not count as settled.
    """
    fleet = _fleet()
    fleet.publish()
    teller = next(n for n in _NAMES if fleet.nodes[n].is_reader)
    fleet.nodes[teller].read_log()
    hearer = next(b for a, b in fleet.queues if a == teller)
    assert fleet.nodes[hearer].head.version == 1
    while fleet.queues[teller, hearer]:
        fleet.deliver(teller, hearer)
    assert not fleet.nodes[hearer].ready
    fleet.run(3)
    assert fleet.nodes[hearer].ready
    assert fleet.nodes[hearer].wait_for_newest_head().version == 2


class SpreadMachine(RuleBasedStateMachine):
    """Ten instances in two data centres, and a log with outages."""

    def __init__(self):
        super().__init__()
        self.fleet = FakeFleet(_PLACES)
        self.seen = dict.fromkeys(_NAMES, 0)

    @rule(racing=st.integers(1, 2))
    def publish(self, racing):
        self.fleet.publish(racing)

    @rule(which=st.integers(0, 99))
    def replay(self, which):
        if self.fleet.sent:
            self.fleet.append(self.fleet.sent[which % len(self.fleet.sent)])

    @rule()
    def expire(self):
        """All records expire but for a new snapshot of the head."""
        if self.fleet.truth.head is not None:
            self.fleet.log.start = len(self.fleet.log.records)
            self.fleet.append(_whole(self.fleet.truth.head))

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
            self.seen[name] = 0

    @rule(name=_names)
    def start(self, name):
        if name not in self.fleet.nodes:
            self.fleet.start(name)

    @rule(a=_names, b=_names)
    def cut(self, a, b):
        self.fleet.cut(a, b)

    @rule(apart=st.booleans())
    def part(self, apart):
        if apart:
            self.fleet.block("a", "b")
        else:
            self.fleet.blocked.clear()

    @rule(rounds=st.integers(1, 12))
    def run(self, rounds):
        self.fleet.run(rounds)

    @rule()
    def settle(self):
        """Once all faults are over, all have the one true head."""
        self.outage(down=False)
        self.part(apart=False)
        for name in _NAMES:
            self.start(name)
        self.fleet.run(_SETTLE_ROUNDS)
        truth = self.fleet.truth.head
        for node in self.fleet.nodes.values():
            if truth is None:
                assert node.head is None
            else:
                assert node.ready
                assert node.head.digest == truth.digest

    @invariant()
    def versions_never_fall(self):
        for name, node in self.fleet.nodes.items():
            version = node.head.version if node.head else 0
            assert version >= self.seen[name]
            self.seen[name] = version


TestSpreadMachine = SpreadMachine.TestCase
TestSpreadMachine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=20
)
