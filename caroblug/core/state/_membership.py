"""Fleet membership from the instance list and the direct connections.

The instance list of the platform lags behind: it lacks an instance that has
just started and still contains one that has just failed. Direct connections
are more current but exist with only a few peers. The combined view uses the
connections where there are any, and the list otherwise.
"""

from collections.abc import Iterable

import attrs
import xxhash

_RETRY_MS = 10_000


@attrs.frozen
class Member:
    """An instance of the fleet.

    Attributes:
        instance: Name of the instance.
        role: `entry` or `side`.
        host: IP address.
        port: Port for caroblug's own processes.
        data_centre: Data centre in which it runs.
    """

    instance: str
    role: str
    host: str
    port: int
    data_centre: str


@attrs.frozen
class MemberView:
    """The live members as one instance sees them at one moment.

    Attributes:
        members: The members, sorted by name.
    """

    members: tuple[Member, ...] = ()

    def live(self, role: str = "", data_centre: str = "") -> list[Member]:
        """Returns the members with a role and data centre; empty means any."""
        return [
            m
            for m in self.members
            if role in ("", m.role) and data_centre in ("", m.data_centre)
        ]

    def data_centres(self) -> list[str]:
        """Returns the data centres that have members."""
        return sorted({m.data_centre for m in self.members})


def rank_members(key: str, members: Iterable[Member]) -> list[Member]:
    """Returns members ranked by rendezvous hashing, the first choice first.

    Two views that differ in one member agree on the first choice of all keys
    except those whose first choice is that member.

    Args:
        key: The key to place.
        members: The candidates.
    """

    def _hash_weight(member: Member) -> int:
        text = f"{key}\n{member.instance}"
        return xxhash.xxh64_intdigest(text.encode())

    return sorted(members, key=_hash_weight, reverse=True)


class Membership:
    """Combines the instance list with the state of direct connections.

    Args:
        own: This instance; it is always part of its own view.
        retry_ms: Time for which an instance with a lost connection is left
            out while the list still contains it.
    """

    def __init__(self, own: Member, retry_ms: int = _RETRY_MS) -> None:
        self._own = own
        self._retry_ms = retry_ms
        self._listed: dict[str, Member] = {}
        self._listed_leaving: frozenset[str] = frozenset()
        self._connected: dict[str, Member] = {}
        self._reported_leaving: set[str] = set()
        self._lost_ms: dict[str, int] = {}

    @property
    def own(self) -> Member:
        """This instance."""
        return self._own

    @property
    def withdrawn(self) -> bool:
        """Whether the list marks this instance as leaving."""
        return self._own.instance in self._listed_leaving

    def on_listed(
        self, members: Iterable[Member], leaving: Iterable[str]
    ) -> None:
        """Replaces the listed members by a complete instance list.

        Args:
            members: All listed instances.
            leaving: Names of the instances that the list marks as leaving.
        """
        self._listed = {m.instance: m for m in members}
        self._listed_leaving = frozenset(leaving)
        known = self._listed.keys() | self._connected.keys()
        self._reported_leaving &= known
        self._lost_ms = {k: v for k, v in self._lost_ms.items() if k in known}

    def on_connected(self, member: Member) -> None:
        """Adds a connection with an authenticated member."""
        self._connected[member.instance] = member
        self._reported_leaving.discard(member.instance)
        self._lost_ms.pop(member.instance, None)

    def on_disconnected(self, instance: str, now_ms: int) -> None:
        """Notes that the last connection with a member has ended."""
        self._connected.pop(instance, None)
        self._lost_ms[instance] = now_ms

    def on_report(self, instance: str, *, leaving: bool) -> None:
        """Notes a member's own report whether it is leaving.

        The list may show a leaving member as live for some seconds more. The
        member's report takes precedence until it connects again or reports
        otherwise.
        """
        if leaving:
            self._reported_leaving.add(instance)
        else:
            self._reported_leaving.discard(instance)

    def view(self, now_ms: int) -> MemberView:
        """Returns the members that can take new work at this time."""
        found = {**self._listed, **self._connected}
        found[self._own.instance] = self._own
        members = [
            member
            for name, member in sorted(found.items())
            if name == self._own.instance or self._is_live(name, now_ms)
        ]
        return MemberView(tuple(members))

    def _is_live(self, name: str, now_ms: int) -> bool:
        if name in self._reported_leaving or name in self._listed_leaving:
            return False
        lost_ms = self._lost_ms.get(name)
        return lost_ms is None or now_ms - lost_ms >= self._retry_ms
