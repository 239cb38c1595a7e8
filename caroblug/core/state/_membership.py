"""Who belongs to the fleet: the instance list joined with what is heard.

The platform's list lags: it misses an instance that has just started and
still shows one that has just died. What an instance hears on its own
connections is newer but covers only its few peers. The joined view takes the
list for everybody and its own ears for those it is connected with.
"""

from collections.abc import Iterable

import attrs
import xxhash

_RETRY_MS = 10_000


@attrs.frozen
class Member:
    """An instance of the fleet.

    Attributes:
        instance: Its name.
        role: `entry` or `side`.
        host: IP address.
        port: Port for caroblug's own processes.
        data_centre: Where it runs.
    """

    instance: str
    role: str
    host: str
    port: int
    data_centre: str


@attrs.frozen
class MemberView:
    """The members as one instance sees them at one moment.

    Attributes:
        members: In the order of their names.
    """

    members: tuple[Member, ...] = ()

    def live(self, role: str = "", data_centre: str = "") -> list[Member]:
        """Returns the members of a role and data centre; empty means any."""
        return [
            m
            for m in self.members
            if role in ("", m.role) and data_centre in ("", m.data_centre)
        ]

    def data_centres(self) -> list[str]:
        """Returns the data centres that have members."""
        return sorted({m.data_centre for m in self.members})


def rank_members(key: str, members: Iterable[Member]) -> list[Member]:
    """Returns members by rendezvous hashing, the first choice first.

    Two views that differ in one member agree on the first choice for all
    keys but those that this member would win.

    Args:
        key: What is to be placed.
        members: Candidates.
    """

    def _weight(member: Member) -> int:
        text = f"{key}\n{member.instance}"
        return xxhash.xxh64_intdigest(text.encode())

    return sorted(members, key=_weight, reverse=True)


class Membership:
    """Joins the instance list with what is heard directly.

    Args:
        own: This instance; always part of its own view.
        retry_ms: How long a lost instance that is still listed is left out.
    """

    def __init__(self, own: Member, retry_ms: int = _RETRY_MS) -> None:
        self._own = own
        self._retry_ms = retry_ms
        self._listed: dict[str, Member] = {}
        self._listed_leaving: frozenset[str] = frozenset()
        self._connected: dict[str, Member] = {}
        self._said_leaving: set[str] = set()
        self._lost_ms: dict[str, int] = {}

    @property
    def own(self) -> Member:
        """This instance."""
        return self._own

    @property
    def withdrawn(self) -> bool:
        """Whether the list shows this instance as leaving."""
        return self._own.instance in self._listed_leaving

    def on_listed(
        self, members: Iterable[Member], leaving: Iterable[str]
    ) -> None:
        """Takes a whole answer of the instance list."""
        self._listed = {m.instance: m for m in members}
        self._listed_leaving = frozenset(leaving)
        known = self._listed.keys() | self._connected.keys()
        self._said_leaving &= known
        self._lost_ms = {k: v for k, v in self._lost_ms.items() if k in known}

    def on_connected(self, member: Member) -> None:
        """Learns of a connection with a member that has proved itself."""
        self._connected[member.instance] = member
        self._said_leaving.discard(member.instance)
        self._lost_ms.pop(member.instance, None)

    def on_disconnected(self, instance: str, now_ms: int) -> None:
        """Learns that the last connection with a member has ended."""
        self._connected.pop(instance, None)
        self._lost_ms[instance] = now_ms

    def on_report(self, instance: str, *, leaving: bool) -> None:
        """Learns from a member itself whether it is leaving.

        Guards against the list's lag: it shows the instance as live for
        some seconds more, but its own word stands until it is heard anew.
        """
        if leaving:
            self._said_leaving.add(instance)
        else:
            self._said_leaving.discard(instance)

    def view(self, now_ms: int) -> MemberView:
        """Returns the members that may be given work now."""
        found = {**self._listed, **self._connected}
        found[self._own.instance] = self._own
        members = [
            member
            for name, member in sorted(found.items())
            if name == self._own.instance or self._is_live(name, now_ms)
        ]
        return MemberView(tuple(members))

    def _is_live(self, name: str, now_ms: int) -> bool:
        if name in self._said_leaving or name in self._listed_leaving:
            return False
        lost_ms = self._lost_ms.get(name)
        return lost_ms is None or now_ms - lost_ms >= self._retry_ms
