"""Simulated fleet of bundle followers on a fake log and connections."""

import random

from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
)

from caroblug.core.state import (
    BundleDissemination,
    BundleFold,
    Member,
    Membership,
    encode_record,
    make_record,
    sign_record,
    split_sections,
)
from caroblug.gen.wire import ttypes as wire
from caroblug.node._bundles import BundleFollower
from caroblug.node._members import Members
from caroblug.transport import (
    Appended,
    InstanceList,
    InstanceRecord,
    InstancesUnavailable,
    LogRecord,
    LogService,
    LogUnavailable,
    PeerAddress,
    RecordBatch,
)
from caroblug.transport._framing import decode, encode
from caroblug.utils import ManualClock, make_metrics

KEY = Ed25519PrivateKey.from_private_bytes(bytes(range(32)))
OPERATOR = KEY.public_key().public_bytes_raw().hex()
SNAPSHOT_KEY = b"key that only instances hold"

_FIELDS = {
    wire.BundleAdvert: "bundle_adverts",
    wire.BundleFetch: "bundle_fetches",
    wire.BundleSections: "bundle_sections",
}


class FakeLog(LogService):
    """Log service whose outages, record expiry and lost replies are settable.

    A lost reply means that the record is appended but the append reports that
    the log is unavailable.
    """

    def __init__(self):
        self.records = []
        self.start = 0
        self.down = False
        self.lose_answers = 0

    def append(self, stream, data):
        """Appends a record."""
        if self.down:
            return LogUnavailable("down")
        self.records.append(data)
        if self.lose_answers:
            self.lose_answers -= 1
            return LogUnavailable("no answer", maybe_written=True)
        return Appended(len(self.records) - 1)

    def read(self, stream, offset, limit=100, wait_ms=0):
        """Reads up to `limit` records from `offset`."""
        if self.down:
            return LogUnavailable("down")
        first = max(offset, self.start)
        end = min(first + limit, len(self.records))
        found = tuple(LogRecord(n, self.records[n]) for n in range(first, end))
        return RecordBatch(found, max(first, end), len(self.records))


class _InstanceLog(LogService):
    """Log service as one instance reaches it, with outages per instance."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    def append(self, stream, data):
        if self._name in self._fleet.without_log:
            return LogUnavailable("not reached")
        return self._fleet.log.append(stream, data)

    def read(self, stream, offset, limit=100, wait_ms=0):
        if self._name in self._fleet.without_log:
            return LogUnavailable("not reached")
        return self._fleet.log.read(stream, offset, limit, wait_ms)


class FakeInstanceList(InstanceList):
    """Instance list whose records and outages are settable."""

    def __init__(self):
        self.listed_records = {}
        self.down = False

    def fetch(self):
        """Returns all listed records."""
        if self.down:
            return InstancesUnavailable("down")
        return tuple(self.listed_records.values())

    def withdraw(self, instance):
        """Ignores the withdrawal."""


class _FakeNetwork:
    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    def is_connected(self, instance):
        return self._fleet.is_linked(self._name, instance)

    def send(self, to, *messages):
        self._fleet.send(self._name, to.instance, messages)


class FakeFleet:
    """Fleet of followers that are connected by ordered queues.

    Attributes:
        reference: Fold of all records, without outages or lost connections.

    Args:
        data_centres: Data centre of each instance, by its name.
    """

    def __init__(self, data_centres):
        self.clock = ManualClock(1000)
        self.log = FakeLog()
        self.instances = FakeInstanceList()
        self.data_centres = dict(data_centres)
        self.nodes = {}
        self.queues = {}
        self.blocked = set()
        self.without_log = set()
        self.table = {"limits": {"max_tokens": 1}, "objectives": []}
        self.reference = BundleFold([OPERATOR], 1, [SNAPSHOT_KEY])
        self.published_records = []
        for name, data_centre in self.data_centres.items():
            self.instances.listed_records[name] = InstanceRecord(
                name, "side", name, 1, data_centre, leaving=False
            )
        for name in self.data_centres:
            self.start(name)

    def start(self, name):
        """Starts an instance without any state."""
        metrics = make_metrics()
        network = _FakeNetwork(self, name)
        own = Member(name, "side", name, 1, self.data_centres[name])
        members = Members(
            Membership(own),
            self.instances,
            network,
            self.clock,
            metrics,
            500,
        )
        rng = random.Random(name)
        self.nodes[name] = BundleFollower(
            _InstanceLog(self, name),
            BundleFold([OPERATOR], 1, [SNAPSHOT_KEY]),
            BundleDissemination(own, rng, self.clock.now_ms()),
            members,
            network,
            self.clock,
            metrics,
            lambda head: None,
            rng,
        )
        members.read_list()

    def crash(self, name):
        """Stops an instance and closes its connections."""
        for a, b in list(self.queues):
            if a == name:
                self.cut(a, b)
        del self.nodes[name]

    def publish(self, competing=1):
        """Appends records that are all children of the reference head."""
        head = self.reference.head
        for _ in range(competing):
            self.table["limits"]["max_tokens"] += 1
            record = make_record(
                split_sections(self.table),
                head.version + 1 if head else 1,
                head.digest if head else "",
                list(head.bodies()) if head else (),
            )
            record = sign_record(record, KEY.private_bytes_raw())
            self.published_records.append(encode_record(record))
            self.append(self.published_records[-1])

    def append(self, data):
        """Appends a record regardless of outages."""
        offset = len(self.log.records)
        self.log.records.append(data)
        self.reference.on_record(data, offset)

    def is_linked(self, a, b):
        """Returns whether two instances are connected."""
        return (a, b) in self.queues

    def send(self, a, b, messages):
        """Queues messages; connects the instances first if needed."""
        if not self.is_linked(a, b):
            pair = frozenset((self.data_centres[a], self.data_centres[b]))
            if b not in self.nodes or pair in self.blocked:
                self.nodes[a].on_peer_lost(self._address(b))
                return
            self.queues[a, b] = []
            self.queues[b, a] = []
            self.nodes[a].on_peer_up(self._address(b))
            self.nodes[b].on_peer_up(self._address(a))
        for message in messages:
            frame = wire.Frame()
            setattr(frame, _FIELDS[type(message)], [message])
            self.queues[a, b].append(encode(frame))

    def cut(self, a, b):
        """Closes a connection; undelivered messages are lost."""
        if not self.is_linked(a, b):
            return
        del self.queues[a, b]
        del self.queues[b, a]
        for here, there in ((a, b), (b, a)):
            if here in self.nodes:
                self.nodes[here].on_peer_lost(self._address(there))

    def block(self, data_centre, other):
        """Partitions two data centres from each other."""
        self.blocked.add(frozenset((data_centre, other)))
        for a, b in list(self.queues):
            if {self.data_centres[a], self.data_centres[b]} == {
                data_centre,
                other,
            }:
                self.cut(a, b)

    def deliver(self, a, b, count=1):
        """Delivers the oldest messages of one direction."""
        for _ in range(count):
            if not self.queues.get((a, b)):
                return
            payload = self.queues[a, b].pop(0)
            frame = decode(wire.Frame, payload)
            self.nodes[b].on_frame(self._address(a), frame)

    def run(self, rounds):
        """Runs the fleet for a number of rounds of 100 ms each."""
        for number in range(rounds):
            self.clock.advance(100)
            for node in list(self.nodes.values()):
                node.tick()
                if node.should_read and number % 5 == 0:
                    node.read_log()
            for a, b in list(self.queues):
                self.deliver(a, b, 100)

    def _address(self, name):
        return PeerAddress(name, name, 1, "side", self.data_centres[name])
