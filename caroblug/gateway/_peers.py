"""Periodic exchange of state between gateways.

Gateways exchange the load that they put on engines, the configuration, the list
of backend servers and suspicions. The exchange makes the load estimates more
accurate, and it distributes the configuration and the list from the gateways
that read them from the store. In each round a gateway contacts a bounded number
of peers, independent of the number of gateways.
"""

import enum

import gevent
from gevent import event

from caroblug.gateway._account_messages import apply_accounts, encode_accounts
from caroblug.gateway._compression import TextCompressor, decompress_text
from caroblug.gateway._context import Context
from caroblug.gateway._crash_suspicions import CrashSuspicions
from caroblug.gateway._interfaces import Member, Registry, Unavailable
from caroblug.gateway._lease_holder_tracker import (
    UNKNOWN_AGE_MS,
    LeaseHolderTracker,
)
from caroblug.gateway._peer_calls import PeerCalls
from caroblug.gateway._peer_members import PeerMembers, read_name
from caroblug.gateway._reader_ranking import ReaderRanking
from caroblug.gateway._server_state_messages import ServerStateMessages
from caroblug.utils import DECODE_ERRORS

EXCHANGE_PATH = "/tell"

_EXCHANGE_INTERVAL_MS = 500
"""Interval between rounds. It is short compared with the two seconds of a
stream, during which its load is reported, and with the time within which a
changed configuration has to take effect."""

_RECENT_EXCHANGE_MS = 300
"""Time since a peer's last message within which it is not contacted. An
exchange transfers state in both directions, so this halves the number of
exchanges."""

_MAX_PARTNERS = 4
"""Peers contacted in each round. With five or fewer gateways, that is all of
them."""

_MAX_REMOTE_PARTNERS = 1
"""Remote peers contacted in each round, as long as there are enough local ones.
Traffic between data centres costs money, and the engines that a gateway shares
with others are mostly local. One remote peer in each round still distributes a
change to fifty gateways within two seconds."""

_MAX_READER_PARTNERS = 8
"""Peers contacted in each round by the first reader of the list in its data
centre. The list has to reach the other gateways before they read it from the
store themselves."""

_MEMBERS_INTERVAL_MS = 30000
"""Interval at which the members of the group are read. Most gateways learn of
a new member earlier, when it contacts them."""

_INITIAL_MEMBERS_INTERVAL_MS = 1000
_INITIAL_MEMBERS_READS = 4
"""Reads at the shorter interval after a start, while gateways join."""

_MAX_SHARED_MEMBERS = 6
"""Gateways named in each message. A gateway knows all gateways of a small data
centre after a few rounds, and messages stay short."""

_PEER_TIMEOUT_MS = 1500
"""Time without a message after which a gateway's load is discarded. By then its
streams have been taken over or are lost."""


class LeaseState(enum.Enum):
    """The state of the placement lease at one gateway.

    `LEAVING` means that the gateway is shutting down and gives no more orders.
    """

    NONE = "none"
    HELD = "held"
    LEAVING = "leaving"


class Peers:
    """Exchanges state with other gateways and tracks what they report.

    Args:
        context: Shared state of the gateway's components.
        registry: Access to the members of the group.
        crashes: Suspicions of requests that crash backend servers.

    Attributes:
        lease_state: State of the placement lease at this gateway.
    """

    def __init__(
        self, context: Context, registry: Registry, crashes: CrashSuspicions
    ) -> None:
        self._context = context
        self._crashes = crashes
        self._registry = registry
        self._members = PeerMembers(
            context.settings.instance, context.settings.data_centre
        )
        self._received_ms: dict[str, int] = {}
        self._exchanging: set[str] = set()
        self._fetch_from: set[str] = set()
        self._lease_states: dict[str, LeaseState] = {}
        self._holder_tracker = LeaseHolderTracker(context.clock.now_ms())
        self._versions: dict[str, int] = {}
        self._reader_ranking = ReaderRanking(
            context.clock, context.settings.instance
        )
        self._retries_left: dict[str, dict[str, int]] = {}
        self._crash_digests: dict[str, str] = {}
        self._fetching_version = -1
        self._new_version = event.Event()
        self._configuration_compressor = TextCompressor()
        self._list_compressor = TextCompressor()
        self._server_state = ServerStateMessages(context)
        self._calls = PeerCalls(context)
        self._calls.register(EXCHANGE_PATH, self._handle_message)
        self.lease_state = LeaseState.NONE

    @property
    def reader_ranking(self) -> ReaderRanking:
        """Ranking of the local gateways that read from the store."""
        return self._reader_ranking

    @property
    def hears_nobody(self) -> bool:
        """Whether there are other gateways, and none of them is heard."""
        return len(self._members) > 0 and not self._received_ms

    @property
    def calls(self) -> PeerCalls:
        """Calls to and from other gateways."""
        return self._calls

    def run_members(self) -> None:
        """Reads the members of the group until the process ends."""
        reads = 0
        while True:
            members = self._registry.read_members()
            reads += 1
            if not isinstance(members, Unavailable):
                for member in members:
                    self._add_member(member)
            self._remove_expired_members()
            starting = (
                reads <= _INITIAL_MEMBERS_READS
                and not self._knows_enough_members()
            )
            pause_ms = (
                _INITIAL_MEMBERS_INTERVAL_MS
                if starting
                else _MEMBERS_INTERVAL_MS
            )
            gevent.sleep(pause_ms / 1000)

    def run_exchange(self) -> None:
        """Exchanges state with peers until the process ends."""
        while True:
            if self._new_version.wait(_EXCHANGE_INTERVAL_MS / 1000):
                self._new_version.clear()
                partners = self._choose_outdated()
            else:
                self._remove_silent_peers()
                partners = self._choose_partners()
            for name in partners:
                if name not in self._exchanging:
                    self._exchanging.add(name)
                    gevent.spawn(self._exchange, name)

    def on_new_version(self, confirmed_ms: int) -> None:
        """Starts a round at once to distribute a newer configuration.

        Args:
            confirmed_ms: When the configuration was known to be the newest one.
        """
        self._reader_ranking.on_new_version(confirmed_ms)
        self._new_version.set()

    def call(self, name: str, path: str, message: dict) -> dict | Unavailable:
        """Sends a message to a gateway given by name and returns its answer.

        Returns:
            The answer, or `Unavailable` if the gateway is unknown or the call
            failed.
        """
        address = self._members.address(name)
        if address is None:
            return Unavailable(f"gateway {name} is not known")
        return self._calls.call(address, path, message)

    def lenders(self, service: str) -> list[str]:
        """Returns gateways with more than one retry left, most left first."""
        left = {
            name: counts.get(service, 0)
            for name, counts in self._retries_left.items()
            if name in self._members
        }
        names = [name for name, count in left.items() if count > 1]
        return sorted(names, key=lambda name: (-left[name], name))

    def on_lent(self, name: str, service: str, lent: int) -> None:
        """Records that a gateway has lent retries, or had none to lend."""
        counts = self._retries_left.get(name)
        if counts is not None:
            left = counts.get(service, 0) - lent if lent else 0
            counts[service] = left

    # Exchange of messages.

    def _choose_partners(self) -> list[str]:
        now_ms = self._context.clock.now_ms()
        sources = sorted(self._fetch_from.intersection(self._members.names()))
        self._fetch_from.clear()
        names = [
            name
            for name in self._members.names()
            if now_ms - self._received_ms.get(name, -_RECENT_EXCHANGE_MS)
            >= _RECENT_EXCHANGE_MS
            and name not in sources
        ]
        rng = self._context.rng
        is_reader = bool(self._lease_states) and self.is_first_local_reader()
        limit = _MAX_READER_PARTNERS if is_reader else _MAX_PARTNERS
        chosen = rng.sample(sources, min(len(sources), limit))
        return chosen + self._sample(names, limit - len(chosen))

    def _choose_outdated(self) -> list[str]:
        """Returns peers to contact that have an older configuration."""
        version = self._version()
        names = [
            name
            for name in self._members.names()
            if self._versions.get(name, -1) < version
        ]
        return self._sample(names, _MAX_PARTNERS)

    def _sample(self, names: list[str], limit: int) -> list[str]:
        """Chooses gateways at random, most of them local."""
        if len(names) <= limit:
            return names
        rng = self._context.rng
        remote = [name for name in names if self._members.is_remote(name)]
        local = [name for name in names if not self._members.is_remote(name)]
        chosen = rng.sample(
            remote, min(len(remote), limit, _MAX_REMOTE_PARTNERS)
        )
        rest = limit - len(chosen)
        return chosen + rng.sample(local, min(len(local), rest))

    def _exchange(self, name: str) -> None:
        message = self._build_message(name)
        try:
            answer = self.call(name, EXCHANGE_PATH, message)
        finally:
            self._exchanging.discard(name)
        if isinstance(answer, Unavailable):
            return
        self._on_exported(message)
        try:
            self._handle_answer(answer, name)
        except DECODE_ERRORS as error:
            self._calls.log_unreadable(EXCHANGE_PATH, error)

    def _build_message(self, receiver: str) -> dict:
        context = self._context
        now_ms = context.clock.now_ms()
        settings = context.settings
        return {
            "name": settings.instance,
            "address": list(settings.peers),
            "data_centre": settings.data_centre,
            "members": self._choose_members(),
            "loads": context.fleet.loads.own_tokens(),
            **self._server_state.encode(now_ms),
            "version": self._version(),
            "version_age_ms": self._reader_ranking.version_age_ms,
            "rank": self._reader_ranking.rank,
            "repeats": self._count_retries_left(now_ms),
            "list_age_ms": self._server_state.list_age_ms(),
            "list_digest": context.fleet.listing.digest,
            "list_end": context.fleet.listing.end,
            "accounts": encode_accounts(context.admissions, now_ms),
            "crashes": self._crashes.export(self._crash_digests.get(receiver)),
            "crash_digest": self._crashes.digest(),
            "cleared_crashes": self._crashes.export_cleared(),
            "tenure": self.lease_state.value,
            "holder_age_ms": self._holder_age_ms(now_ms),
        }

    def _on_exported(self, message: dict) -> None:
        """Counts what another gateway has received as told."""
        self._crashes.on_exported(message["crashes"])
        self._crashes.on_cleared_exported(message["cleared_crashes"])

    def _choose_members(self) -> dict[str, list]:
        """Returns some gateways to tell a peer of.

        Only gateways that recently sent a message themselves are chosen, so
        that gateways that have left are not named to each other for ever.
        """
        names = [
            name
            for name in sorted(self._received_ms)
            if self._lease_states.get(name) is not LeaseState.LEAVING
        ]
        rng = self._context.rng
        chosen = rng.sample(names, min(len(names), _MAX_SHARED_MEMBERS))
        members = map(self._members.find, chosen)
        return {
            member.name: [*member.address, member.data_centre]
            for member in members
            if member is not None
        }

    def _apply_members(self, members: dict) -> None:
        """Adds gateways that a peer names."""
        now_ms = self._context.clock.now_ms()
        for name, (host, port, data_centre) in members.items():
            address = (read_name(host), int(port))
            self._members.add_reported(
                Member(str(name), address, read_name(data_centre)), now_ms
            )

    def _handle_message(self, message: dict) -> dict:
        """Applies another gateway's message and returns the answer to it."""
        name = message["name"]
        host, port = message["address"]
        self._add_member(Member(name, (read_name(host), int(port))))
        if name not in self._members:
            raise ValueError(f"gateway {name[:64]!r} is one too many")
        self._apply_peer_state(name, message)
        answer = self._build_message(name)
        self._on_exported(answer)
        if message["version"] < self._version():
            raw = self._context.raw_configuration
            answer["packed_configuration"] = (
                self._configuration_compressor.compress(raw)
            )
        elif message["version"] > self._version():
            self._fetch_configuration(name, int(message["version"]))
        if self._has_different_list(message) and answer["list_age_ms"] < int(
            message["list_age_ms"]
        ):
            raw = self._context.fleet.listing.raw
            answer["packed_list"] = self._list_compressor.compress(raw)
        return answer

    def _fetch_configuration(self, name: str, version: int) -> None:
        """Starts an exchange at once to fetch a peer's newer configuration.

        Only answers contain a configuration. A gateway that its peers contact
        often enough starts no exchanges itself, and would never receive the
        newer one.
        """
        self._fetch_from.add(name)
        if version > self._fetching_version and name not in self._exchanging:
            self._fetching_version = version
            self._exchanging.add(name)
            gevent.spawn(self._exchange, name)

    def _count_retries_left(self, now_ms: int) -> dict[str, int]:
        """Returns the number of retries left, by service."""
        context = self._context
        known = context.configuration
        gateways = context.fleet.loads.gateways
        return {
            name: int(context.retry_budget.remaining(name, gateways, now_ms))
            for name in (known.services if known is not None else ())
        }

    def _has_different_list(self, message: dict) -> bool:
        """Returns whether another gateway's list differs from this one's."""
        return message["list_digest"] != self._context.fleet.listing.digest

    def _handle_answer(self, answer: dict, name: str) -> None:
        context = self._context
        # The rest names servers of the list.
        self._apply_list(answer)
        self._apply_peer_state(name, answer)
        packed = answer.get("packed_configuration")
        if packed and int(answer["version"]) > self._version():
            raw = decompress_text(packed)
            configuration = self._registry.decode_configuration(raw)
            if not isinstance(
                configuration, Unavailable
            ) and context.apply_configuration(configuration, raw, name):
                self.on_new_version(
                    context.clock.now_ms()
                    - int(answer.get("version_age_ms", UNKNOWN_AGE_MS))
                )

    def _apply_list(self, answer: dict) -> None:
        """Adopts the list of servers, if another gateway has sent it."""
        packed_list = answer.get("packed_list")
        if not packed_list:
            return
        listing = self._registry.decode_listing(
            decompress_text(packed_list), int(answer["list_end"])
        )
        if not isinstance(listing, Unavailable):
            age_ms = int(answer["list_age_ms"])
            listed_ms = self._context.clock.now_ms() - age_ms
            self._context.fleet.update_listing(listing, listed_ms)

    # State reported by peers.

    def _add_member(self, member: Member) -> None:
        self._members.add(member, self._context.clock.now_ms())

    def _apply_peer_state(self, name: str, message: dict) -> None:
        self._members.on_message(
            name,
            read_name(message["data_centre"]),
            self._context.clock.now_ms(),
        )
        # Gateways of the previous version don't send members.
        self._apply_members(message.get("members", {}))
        self._apply_loads(name, message["loads"])
        self._server_state.apply(message)
        self._apply_list_age(name, message)
        # Gateways of the previous version report neither rank nor age.
        self._reader_ranking.set_rank(name, int(message.get("rank", 0)))
        self._versions[name] = int(message["version"])
        if self._versions[name] == self._version():
            age_ms = int(message.get("version_age_ms", UNKNOWN_AGE_MS))
            self._reader_ranking.confirm_version(
                self._context.clock.now_ms() - age_ms
            )
        self._apply_retries_left(name, message.get("repeats", {}))
        self._crashes.merge(message["crashes"])
        # Gateways of the previous version send neither of the following.
        self._crashes.merge_cleared(message.get("cleared_crashes", []))
        self._crash_digests[name] = read_name(message.get("crash_digest", ""))
        now_ms = self._context.clock.now_ms()
        accounts = message.get("accounts", {})
        apply_accounts(self._context.admissions, name, accounts, now_ms)
        before = self._lease_states.get(name)
        self._lease_states[name] = LeaseState(message["tenure"])
        holder_age_ms = int(message["holder_age_ms"])
        if holder_age_ms < UNKNOWN_AGE_MS:
            self._holder_tracker.on_holder_seen(now_ms - holder_age_ms)
        if (before, self._lease_states[name]) == (
            LeaseState.HELD,
            LeaseState.LEAVING,
        ):
            # It gives no more orders, so the standby gateway doesn't have to
            # wait for the holder timeout.
            self._holder_tracker.on_holder_left(now_ms)

    def _apply_list_age(self, name: str, message: dict) -> None:
        """Adopts the age of another gateway's list if the lists are equal.

        A different and newer list is fetched with the next exchange.
        """
        age_ms = int(message["list_age_ms"])
        if not self._has_different_list(message):
            listed_ms = self._context.clock.now_ms() - age_ms
            self._context.fleet.confirm_listing(
                message["list_digest"], int(message["list_end"]), listed_ms
            )
        elif age_ms < self._server_state.list_age_ms():
            self._fetch_from.add(name)

    def _apply_retries_left(self, name: str, left: dict) -> None:
        known = self._context.configuration
        services = known.services if known is not None else ()
        self._retries_left[name] = {
            service: int(count)
            for service, count in left.items()
            if service in services
        }

    def _apply_loads(self, name: str, loads: dict) -> None:
        backends = self._context.fleet.listing.backends
        tokens = {
            engine: float(value)
            for engine, value in loads.items()
            if engine in backends
        }
        self._received_ms[name] = self._context.clock.now_ms()
        loads = self._context.fleet.loads
        loads.update_peer(
            name,
            tokens,
            local=not self._members.is_remote(name),
            now_ms=self._received_ms[name],
        )
        loads.local_gateways = len(self._members.local()) + 1

    def local_gateways(self) -> frozenset[str]:
        """Returns the gateways known in this data centre, with this one."""
        return self._members.local() | {self._context.settings.instance}

    def live_local_gateways(self) -> set[str]:
        """Returns the running gateways of this data centre, with this one."""
        live = self._members.live_local(self._context.clock.now_ms())
        leaving = {
            name
            for name, state in self._lease_states.items()
            if state is LeaseState.LEAVING
        }
        return (live - leaving) | {self._context.settings.instance}

    def is_first_local_reader(self) -> bool:
        """Returns whether this gateway reads first in its data centre."""
        return self._reader_ranking.is_first_reader(self._local_peers())

    def reads_configuration(self) -> bool:
        """Returns whether this gateway waits at the store for changes."""
        received_ms = max(self._received_ms.values(), default=0)
        return self._reader_ranking.waits_for_changes(
            self._local_peers(), received_ms
        )

    def _local_peers(self) -> list[str]:
        """Returns the other active gateways of the data centre."""
        return [
            name
            for name in self._active_peers()
            if not self._members.is_remote(name)
        ]

    def is_acting_standby(self) -> bool:
        """Returns whether this gateway replaces a missing lease holder.

        The standby is the first by name of the active gateways. It places
        layers once no lease holder has been seen for the holder timeout.
        """
        if self.lease_state is LeaseState.HELD:
            return False
        if not self._holder_tracker.is_missing(self._context.clock.now_ms()):
            return False
        own_name = self._context.settings.instance
        return own_name == min([own_name, *self._active_peers()])

    def another_holds_lease(self) -> bool:
        """Returns whether another gateway reports that it holds the lease."""
        return LeaseState.HELD in self._lease_states.values()

    def _active_peers(self) -> list[str]:
        """Returns the names of peers that report state and are not leaving."""
        return [
            name
            for name, state in self._lease_states.items()
            if state is not LeaseState.LEAVING
        ]

    def _holder_age_ms(self, now_ms: int) -> int:
        """Returns the time since a lease holder was seen, in ms."""
        if self.lease_state is LeaseState.HELD:
            return 0
        return self._holder_tracker.age_ms(now_ms)

    def describe_lease_states(self) -> dict[str, str]:
        """Returns the lease states that other gateways report, by name."""
        return {name: t.value for name, t in self._lease_states.items()}

    def _remove_expired_members(self) -> None:
        now_ms = self._context.clock.now_ms()
        for name in self._members.remove_expired(now_ms):
            self._versions.pop(name, None)
            self._reader_ranking.remove(name)

    def _remove_silent_peers(self) -> None:
        now_ms = self._context.clock.now_ms()
        for name, received_ms in list(self._received_ms.items()):
            if now_ms - received_ms > _PEER_TIMEOUT_MS:
                del self._received_ms[name]
                self._lease_states.pop(name, None)
                self._retries_left.pop(name, None)
                self._crash_digests.pop(name, None)
                self._context.fleet.loads.remove_peer(name)

    def _knows_enough_members(self) -> bool:
        """Returns whether as many members are known as a round contacts."""
        gateways = self._context.fleet.loads.gateways
        return len(self._members) >= max(1, min(gateways - 1, _MAX_PARTNERS))

    def _version(self) -> int:
        known = self._context.configuration
        return known.version if known is not None else -1
