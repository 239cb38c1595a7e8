"""A fleet of followers on a fake log and fake connections."""

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
    """A log whose records expire and whose answers get lost on order."""

    def __init__(self):
        self.records = []
        self.start = 0
        self.down = False
        self.lose_answers = 0

    def append(self, stream, data):
        """Appends one record."""
        if self.down:
            return LogUnavailable("down")
        self.records.append(data)
        if self.lose_answers:
            self.lose_answers -= 1
            return LogUnavailable("no answer", maybe_written=True)
        return Appended(len(self.records) - 1)

    def read(self, stream, offset, limit=100, wait_ms=0):
        """Reads from `offset`."""
        if self.down:
            return LogUnavailable("down")
        first = max(offset, self.start)
        end = min(first + limit, len(self.records))
        found = tuple(LogRecord(n, self.records[n]) for n in range(first, end))
        return RecordBatch(found, max(first, end), len(self.records))


class _LogOfOne(LogService):
    """The log as one instance reaches it."""

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


class FakeList(InstanceList):
    """An instance list that shows what it is told."""

    def __init__(self):
        self.shown = {}
        self.down = False

    def fetch(self):
        """Returns every listed instance."""
        if self.down:
            return InstancesUnavailable("down")
        return tuple(self.shown.values())

    def withdraw(self, instance):
        """Does nothing."""


class _FakeNetwork:
    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    def is_connected(self, instance):
        return self._fleet.is_linked(self._name, instance)

    def send(self, to, *messages):
        self._fleet.send(self._name, to.instance, messages)


class FakeFleet:
    """Followers that talk over queues which keep their order.

    Args:
        places: Data centre by instance.
    """

    def __init__(self, places):
        self.clock = ManualClock(1000)
        self.log = FakeLog()
        self.instances = FakeList()
        self.places = dict(places)
        self.nodes = {}
        self.queues = {}
        self.blocked = set()
        self.without_log = set()
        self.table = {"limits": {"max_tokens": 1}, "objectives": []}
        self.truth = BundleFold([OPERATOR], 1, [SNAPSHOT_KEY])
        self.sent = []
        for name, place in self.places.items():
            self.instances.shown[name] = InstanceRecord(
                name, "side", name, 1, place, leaving=False
            )
        for name in self.places:
            self.start(name)

    def start(self, name):
        """Starts an instance that knows nothing."""
        metrics = make_metrics()
        network = _FakeNetwork(self, name)
        own = Member(name, "side", name, 1, self.places[name])
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
            _LogOfOne(self, name),
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
        """Ends an instance and its connections."""
        for a, b in list(self.queues):
            if a == name:
                self.cut(a, b)
        del self.nodes[name]

    def publish(self, racing=1):
        """Appends children of the true head, each by another operator."""
        head = self.truth.head
        for _ in range(racing):
            self.table["limits"]["max_tokens"] += 1
            record = make_record(
                split_sections(self.table),
                head.version + 1 if head else 1,
                head.digest if head else "",
                list(head.bodies()) if head else (),
            )
            record = sign_record(record, KEY.private_bytes_raw())
            self.sent.append(encode_record(record))
            self.append(self.sent[-1])

    def append(self, data):
        """Appends a record past every outage."""
        offset = len(self.log.records)
        self.log.records.append(data)
        self.truth.on_record(data, offset)

    def is_linked(self, a, b):
        """Tells whether two instances have a connection."""
        return (a, b) in self.queues

    def send(self, a, b, messages):
        """Queues messages, making a connection if need be."""
        if not self.is_linked(a, b):
            pair = frozenset((self.places[a], self.places[b]))
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
        """Ends a connection; what was on its way is lost."""
        if not self.is_linked(a, b):
            return
        del self.queues[a, b]
        del self.queues[b, a]
        for here, there in ((a, b), (b, a)):
            if here in self.nodes:
                self.nodes[here].on_peer_lost(self._address(there))

    def block(self, place, other):
        """Lets two data centres lose each other."""
        self.blocked.add(frozenset((place, other)))
        for a, b in list(self.queues):
            if {self.places[a], self.places[b]} == {place, other}:
                self.cut(a, b)

    def deliver(self, a, b, count=1):
        """Hands over the first messages of one direction."""
        for _ in range(count):
            if not self.queues.get((a, b)):
                return
            payload = self.queues[a, b].pop(0)
            frame = decode(wire.Frame, payload)
            self.nodes[b].on_frame(self._address(a), frame)

    def run(self, rounds):
        """Lets a tenth of a second pass so many times."""
        for number in range(rounds):
            self.clock.advance(100)
            for node in list(self.nodes.values()):
                node.tick()
                if node.should_read and number % 5 == 0:
                    node.read_log()
            for a, b in list(self.queues):
                self.deliver(a, b, 100)

    def _address(self, name):
        return PeerAddress(name, name, 1, "side", self.places[name])
