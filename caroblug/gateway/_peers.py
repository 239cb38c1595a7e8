"""What gateways tell each other: load, configuration, list, suspicions.

It makes estimates of load better, and carries the configuration and the list
from those that read them at the store to the others. Each tells a bounded
number of others, however many there are.
"""

import enum

import gevent
from gevent import event

from caroblug.core.placement import LayerRange
from caroblug.gateway._context import Context
from caroblug.gateway._crash_suspicions import CrashSuspicions
from caroblug.gateway._http_client import Address
from caroblug.gateway._interfaces import Member, Registry, Unavailable
from caroblug.gateway._lease_holder_tracker import (
    UNKNOWN_AGE_MS,
    LeaseHolderTracker,
)
from caroblug.gateway._packing import Packer, unpack
from caroblug.gateway._peer_calls import UNREADABLE, PeerCalls
from caroblug.gateway._readers import Readers

TELL_PATH = "/tell"

_EVERY_MS = 500
"""How often two gateways exchange: short beside the two seconds of a stream
whose load is told, and beside the time in which a change is to be in force."""

_FRESH_MS = 300
"""Two gateways exchange once for both: who was told this lately does not tell.
It halves the exchanges."""

_PARTNERS = 4
"""Gateways told each time: with five or fewer, everybody."""

_FAR_PARTNERS = 1
"""Of these, how many are in other data centres if there are enough at home:
bytes between data centres are paid for, and it is the own data centre's
engines that are shared. One each time still carries news through fifty
gateways in two seconds."""

_READER_PARTNERS = 8
"""The same for the gateway that reads the list for its data centre: what it
has read is to reach the others before they read it themselves."""

_MEMBERS_MS = 30000
"""How often the members are read: most gateways learn of a new one sooner, as
it tells them."""

_FIRST_MEMBERS_MS = 1000
_FIRST_READS = 4
"""Reads with the shorter pause after a start, while gateways join."""

_KEPT_MS = 45000
"""How long a gateway that has left the group is still told: its lease may
have run out only because the store was away."""

_SILENT_MS = 1500
"""After this a gateway's load is forgotten: its streams have been taken over
or are lost."""


class LeaseState(enum.Enum):
    """How a gateway stands to the lease on placing layers."""

    NONE = "none"
    HELD = "held"
    LEAVING = "leaving"


class Peers:
    """Talks with other gateways.

    Args:
        context: What the gateway's parts share.
        registry: Who takes part.
        crashes: Requests that crash backend servers.
    """

    def __init__(
        self, context: Context, registry: Registry, crashes: CrashSuspicions
    ) -> None:
        self._context = context
        self._crashes = crashes
        self._registry = registry
        self._members: dict[str, Address] = {}
        self._seen_ms: dict[str, int] = {}
        self._heard_ms: dict[str, int] = {}
        self._busy: set[str] = set()
        self._fetch_from: set[str] = set()
        self._lease_states: dict[str, LeaseState] = {}
        self._near: set[str] = set()
        self._far: set[str] = set()
        self._holders = LeaseHolderTracker(context.clock.now_ms())
        self._versions: dict[str, int] = {}
        self._readers = Readers(context.clock, context.settings.instance)
        self._repeats_left: dict[str, dict[str, int]] = {}
        self._fetching_version = -1
        self._news = event.Event()
        self._configurations = Packer()
        self._lists = Packer()
        self._calls = PeerCalls(context)
        self._calls.serve(TELL_PATH, self._handle_message)
        self.lease_state = LeaseState.NONE

    @property
    def readers(self) -> Readers:
        """Who reads at the store for this data centre."""
        return self._readers

    @property
    def calls(self) -> PeerCalls:
        """Answers other gateways' messages."""
        return self._calls

    def run_members(self) -> None:
        """Reads who takes part until the process ends."""
        reads = 0
        while True:
            members = self._registry.read_members()
            reads += 1
            if not isinstance(members, Unavailable):
                for member in members:
                    self._add_member(member)
            self._forget_old()
            young = reads <= _FIRST_READS and not self._enough()
            pause_ms = _FIRST_MEMBERS_MS if young else _MEMBERS_MS
            gevent.sleep(pause_ms / 1000)

    def run_exchange(self) -> None:
        """Tells others until the process ends."""
        while True:
            if self._news.wait(_EVERY_MS / 1000):
                self._news.clear()
                partners = self._uninformed()
            else:
                self._forget_silent()
                partners = self._partners()
            for name in partners:
                if name not in self._busy:
                    self._busy.add(name)
                    gevent.spawn(self._tell, name)

    def on_new_version(self, confirmed_ms: int) -> None:
        """Tells others at once of a newer configuration.

        Args:
            confirmed_ms: When it was known to be the newest one.
        """
        self._readers.start_version(confirmed_ms)
        self._news.set()

    def call(self, name: str, path: str, message: dict) -> dict | Unavailable:
        """Sends a message to a gateway by its name."""
        address = self._members.get(name)
        if address is None:
            return Unavailable(f"gateway {name} is not known")
        return self._calls.call(address, path, message)

    def lenders(self, service: str) -> list[str]:
        """Returns the gateways that have repeats left, most first."""
        left = {
            name: counts.get(service, 0)
            for name, counts in self._repeats_left.items()
            if name in self._members
        }
        names = [name for name, count in left.items() if count > 1]
        return sorted(names, key=lambda name: (-left[name], name))

    def on_lent(self, name: str, service: str, lent: int) -> None:
        """Notes that a gateway has lent repeats, or had none to lend."""
        counts = self._repeats_left.get(name)
        if counts is not None:
            left = counts.get(service, 0) - lent if lent else 0
            counts[service] = left

    # Telling.

    def _partners(self) -> list[str]:
        now_ms = self._context.clock.now_ms()
        wanted = sorted(self._fetch_from & set(self._members))
        self._fetch_from.clear()
        names = [
            name
            for name in sorted(self._members)
            if now_ms - self._heard_ms.get(name, -_FRESH_MS) >= _FRESH_MS
            and name not in wanted
        ]
        rng = self._context.rng
        reads = bool(self._lease_states) and self.is_first_local_reader()
        most = _READER_PARTNERS if reads else _PARTNERS
        chosen = rng.sample(wanted, min(len(wanted), most))
        return chosen + self._sample(names, most - len(chosen))

    def _uninformed(self) -> list[str]:
        """Returns whom to tell of a newer configuration."""
        mine = self._version()
        names = [
            name
            for name in sorted(self._members)
            if self._versions.get(name, -1) < mine
        ]
        return self._sample(names, _PARTNERS)

    def _sample(self, names: list[str], most: int) -> list[str]:
        """Chooses gateways at random, most of them in the own data centre."""
        if len(names) <= most:
            return names
        rng = self._context.rng
        far = [name for name in names if name in self._far]
        near = [name for name in names if name not in self._far]
        chosen = rng.sample(far, min(len(far), most, _FAR_PARTNERS))
        rest = most - len(chosen)
        return chosen + rng.sample(near, min(len(near), rest))

    def _tell(self, name: str) -> None:
        try:
            answer = self.call(name, TELL_PATH, self._build_message())
        finally:
            self._busy.discard(name)
        if isinstance(answer, Unavailable):
            return
        try:
            self._take_answer(answer, name)
        except UNREADABLE as error:
            self._calls.note_unreadable(TELL_PATH, error)

    def _build_message(self) -> dict:
        context = self._context
        now_ms = context.clock.now_ms()
        settings = context.settings
        told = context.fleet.recent_reports(now_ms)
        return {
            "name": settings.instance,
            "address": list(settings.peers),
            "data_centre": settings.data_centre,
            "loads": context.fleet.loads.own_tokens(),
            "version": self._version(),
            "version_age_ms": self._readers.version_age_ms,
            "rank": self._readers.rank,
            "repeats": self._count_repeats(now_ms),
            "list_age_ms": self._list_age_ms(),
            "list_digest": context.fleet.listing.digest,
            "list_end": context.fleet.listing.end,
            "suspects": context.fleet.ejected(now_ms),
            "told": {
                engine: [layers.first, layers.end, age_ms]
                for engine, (layers, age_ms) in told.items()
            },
            "paces": context.fleet.recent_slowdowns(now_ms),
            "leaving": context.fleet.recently_leaving(now_ms),
            "unanswered": context.fleet.unanswered_orders(now_ms),
            "crashes": self._crashes.export(),
            "tenure": self.lease_state.value,
            "holder_age_ms": self._holder_age_ms(now_ms),
        }

    def _handle_message(self, message: dict) -> dict:
        """Takes another gateway's message; returns the answer."""
        name = message["name"]
        host, port = message["address"]
        self._add_member(Member(name, (str(host), int(port))))
        self._apply_peer_state(name, message)
        answer = self._build_message()
        if message["version"] < self._version():
            raw = self._context.raw_configuration
            answer["packed_configuration"] = self._configurations.pack(raw)
        elif message["version"] > self._version():
            self._fetch(name, int(message["version"]))
        if self._differs(message) and answer["list_age_ms"] < int(
            message["list_age_ms"]
        ):
            raw = self._context.fleet.listing.raw
            answer["packed_list"] = self._lists.pack(raw)
        return answer

    def _fetch(self, name: str, version: int) -> None:
        """Asks a gateway for its newer configuration, at once.

        Only an answer carries a configuration. Who is told often enough tells
        nobody itself, and would never get the newer one.
        """
        self._fetch_from.add(name)
        if version > self._fetching_version and name not in self._busy:
            self._fetching_version = version
            self._busy.add(name)
            gevent.spawn(self._tell, name)

    def _count_repeats(self, now_ms: int) -> dict[str, int]:
        """Returns how many repeats are left, by service."""
        context = self._context
        known = context.configuration
        gateways = context.fleet.loads.gateways
        return {
            name: int(context.retry_budget.remaining(name, gateways, now_ms))
            for name in (known.services if known is not None else ())
        }

    def _differs(self, message: dict) -> bool:
        """Returns whether another gateway's list has other entries."""
        return message["list_digest"] != self._context.fleet.listing.digest

    def _take_answer(self, answer: dict, name: str) -> None:
        context = self._context
        self._apply_peer_state(name, answer)
        packed = answer.get("packed_configuration")
        if packed and int(answer["version"]) > self._version():
            raw = unpack(packed)
            configuration = self._registry.decode_configuration(raw)
            if not isinstance(
                configuration, Unavailable
            ) and context.apply_configuration(configuration, raw, name):
                self.on_new_version(
                    context.clock.now_ms()
                    - int(answer.get("version_age_ms", UNKNOWN_AGE_MS))
                )
        packed_list = answer.get("packed_list")
        if packed_list:
            listing = self._registry.decode_listing(
                unpack(packed_list), int(answer["list_end"])
            )
            if not isinstance(listing, Unavailable):
                age_ms = int(answer["list_age_ms"])
                listed_ms = context.clock.now_ms() - age_ms
                context.fleet.update_listing(listing, listed_ms)

    # What was told.

    def _add_member(self, member: Member) -> None:
        if member.name == self._context.settings.instance:
            return
        self._members[member.name] = member.address
        self._seen_ms[member.name] = self._context.clock.now_ms()

    def _apply_peer_state(self, name: str, message: dict) -> None:
        home = message["data_centre"] == self._context.settings.data_centre
        (self._near if home else self._far).add(name)
        self._on_loads(name, message["loads"])
        self._on_suspects(message["suspects"])
        self._on_told(message["told"])
        self._on_leaving(message["leaving"])
        # Gateways of the version before don't say it.
        self._on_paces(message.get("paces", {}))
        self._on_unanswered(message.get("unanswered", {}))
        self._on_list_age(name, message)
        # Gateways of the version before say neither rank nor age.
        self._readers.hear(name, int(message.get("rank", 0)))
        self._versions[name] = int(message["version"])
        if self._versions[name] == self._version():
            age_ms = int(message.get("version_age_ms", UNKNOWN_AGE_MS))
            self._readers.confirm_version(self._context.clock.now_ms() - age_ms)
        self._repeats_left[name] = {
            str(service): int(left)
            for service, left in message.get("repeats", {}).items()
        }
        self._crashes.merge(message["crashes"])
        now_ms = self._context.clock.now_ms()
        before = self._lease_states.get(name)
        self._lease_states[name] = LeaseState(message["tenure"])
        holder_age_ms = int(message["holder_age_ms"])
        if holder_age_ms < UNKNOWN_AGE_MS:
            self._holders.on_heard(now_ms - holder_age_ms)
        if (before, self._lease_states[name]) == (
            LeaseState.HELD,
            LeaseState.LEAVING,
        ):
            # It gives no more orders: a deputy need not wait for its silence.
            self._holders.on_left(now_ms)

    def _on_list_age(self, name: str, message: dict) -> None:
        """Takes the age of another gateway's list as one's own if it's equal.

        A list that differs and is younger is fetched with the next exchange.
        """
        age_ms = int(message["list_age_ms"])
        if not self._differs(message):
            listed_ms = self._context.clock.now_ms() - age_ms
            self._context.fleet.confirm_listing(
                message["list_digest"], int(message["list_end"]), listed_ms
            )
        elif age_ms < self._list_age_ms():
            self._fetch_from.add(name)

    def _on_told(self, told: dict) -> None:
        """Takes what engines have told another gateway of their layers."""
        now_ms = self._context.clock.now_ms()
        for engine, (first, end, age_ms) in told.items():
            layers = LayerRange(int(first), int(end))
            self._context.fleet.on_report(engine, layers, now_ms - int(age_ms))

    def _on_leaving(self, leaving: dict) -> None:
        """Takes which backend servers another gateway has found to leave.

        Guards against a store that is away: each gateway would find out by
        itself, a turned away request and a question at a time.
        """
        now_ms = self._context.clock.now_ms()
        for name, age_ms in leaving.items():
            self._context.fleet.on_leaving(str(name), now_ms - int(age_ms))

    def _on_paces(self, paces: dict) -> None:
        """Takes how slow engines have told another gateway that they are.

        Guards against finding out one gateway after the other: each has few
        streams over a slow engine, and asks only once they have lagged.
        """
        now_ms = self._context.clock.now_ms()
        for name, (pace, age_ms) in paces.items():
            self._context.fleet.on_slowdown(
                str(name), float(pace), now_ms - int(age_ms)
            )

    def _on_unanswered(self, unanswered: dict) -> None:
        """Takes which orders of another gateway may still be carried out.

        Guards against the death of who gave them: the next one to place
        layers would rely on engines that give theirs up later.
        """
        now_ms = self._context.clock.now_ms()
        for name, age_ms in unanswered.items():
            self._context.fleet.on_order_unanswered(
                str(name), now_ms - int(age_ms)
            )

    def _on_loads(self, name: str, loads: dict) -> None:
        tokens = {str(key): float(value) for key, value in loads.items()}
        self._heard_ms[name] = self._context.clock.now_ms()
        loads = self._context.fleet.loads
        loads.update_peer(name, tokens, local=name not in self._far)
        # Whose data centre isn't known yet is no neighbour: at the start
        # that is everybody, for a second.
        known = self._near & set(self._members)
        loads.local_gateways = len(known) + 1

    def _on_suspects(self, names: list) -> None:
        """Looks into what another gateway takes to be gone.

        Its word alone isn't believed: it may itself be cut off.
        """
        self._context.engines_to_probe.update(str(name) for name in names)

    def is_first_local_reader(self) -> bool:
        """Returns whether this is the first reader of its data centre."""
        return self._readers.is_first(self._neighbours())

    def reads_configuration(self) -> bool:
        """Returns whether this gateway waits at the store for changes."""
        heard_ms = max(self._heard_ms.values(), default=0)
        return self._readers.waits(self._neighbours(), heard_ms)

    def _neighbours(self) -> list[str]:
        """Returns other gateways of the data centre that are heard."""
        return [name for name in self._staying() if name not in self._far]

    def is_acting_standby(self) -> bool:
        """Returns whether this gateway places layers for want of a holder.

        That is the first by name of those that are heard and stay, once no
        holder of the lease has been heard of for some time.
        """
        if self.lease_state is LeaseState.HELD:
            return False
        if not self._holders.is_missing(self._context.clock.now_ms()):
            return False
        me = self._context.settings.instance
        return me == min([me, *self._staying()])

    def another_holds_lease(self) -> bool:
        """Returns whether another gateway says that it holds the lease."""
        return LeaseState.HELD in self._lease_states.values()

    def _staying(self) -> list[str]:
        """Returns the names of gateways that are heard and don't leave."""
        return [
            name
            for name, state in self._lease_states.items()
            if state is not LeaseState.LEAVING
        ]

    def _holder_age_ms(self, now_ms: int) -> int:
        """Returns how long ago a holder of the lease was heard of."""
        if self.lease_state is LeaseState.HELD:
            return 0
        return self._holders.age_ms(now_ms)

    def describe_lease_states(self) -> dict[str, str]:
        """Returns how the gateways that are heard stand to the lease."""
        return {name: t.value for name, t in self._lease_states.items()}

    def _forget_old(self) -> None:
        now_ms = self._context.clock.now_ms()
        for name, seen_ms in list(self._seen_ms.items()):
            if now_ms - seen_ms > _KEPT_MS:
                del self._seen_ms[name]
                del self._members[name]
                self._versions.pop(name, None)
                self._readers.forget(name)
                self._near.discard(name)
                self._far.discard(name)

    def _forget_silent(self) -> None:
        now_ms = self._context.clock.now_ms()
        for name, heard_ms in list(self._heard_ms.items()):
            if now_ms - heard_ms > _SILENT_MS:
                del self._heard_ms[name]
                self._lease_states.pop(name, None)
                self._repeats_left.pop(name, None)
                self._context.fleet.loads.remove_peer(name)

    def _enough(self) -> bool:
        """Returns whether as many are known as are told each time."""
        gateways = self._context.fleet.loads.gateways
        return len(self._members) >= max(1, min(gateways - 1, _PARTNERS))

    def _version(self) -> int:
        known = self._context.configuration
        return known.version if known is not None else -1

    def _list_age_ms(self) -> int:
        fleet = self._context.fleet
        if not fleet.has_listing:
            return 1_000_000
        return fleet.listing_age_ms(self._context.clock.now_ms())
