"""Other gateways that a gateway knows, with their addresses."""

from caroblug.gateway._http_client import Address
from caroblug.gateway._interfaces import Member

_RETENTION_MS = 45000
"""How long a gateway that is missing from the group is still contacted. Its
membership may have expired only because the store was unavailable."""

_LIVE_MS = 5000
"""Time since a gateway was last seen within which it counts as running. In a
data centre with a hundred gateways, each one is named to a gateway at least
every few rounds."""

_MAX_MEMBERS = 4096
"""Gateways that are known at most. A fleet has some hundreds, but anything that
reaches the port may name others."""

MAX_NAME_CHARACTERS = 256
"""Length of what is kept of a name in a message of another gateway."""


def read_name(value: object) -> str:
    """Returns a name in a message of another gateway.

    Raises:
        ValueError: If it is too long.
    """
    name = str(value)
    if len(name) > MAX_NAME_CHARACTERS:
        raise ValueError(
            f"{name[:64]!r}... has {len(name)} characters,"
            f" {MAX_NAME_CHARACTERS} are allowed"
        )
    return name


class PeerMembers:
    """The other gateways, and which of them run in the local data centre.

    Args:
        own_name: Name of this gateway.
        data_centre: Data centre of this gateway.
    """

    def __init__(self, own_name: str, data_centre: str) -> None:
        self._own_name = own_name
        self._data_centre = data_centre
        self._addresses: dict[str, Address] = {}
        self._seen_ms: dict[str, int] = {}
        self._data_centres: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._addresses)

    def __contains__(self, name: str) -> bool:
        return name in self._addresses

    def names(self) -> list[str]:
        """Returns the names of all gateways, sorted."""
        return sorted(self._addresses)

    def address(self, name: str) -> Address | None:
        """Returns the address of a gateway; None if it is not known."""
        return self._addresses.get(name)

    def add(self, member: Member, now_ms: int) -> None:
        """Adds a gateway, or records that it is still there."""
        if member.name == self._own_name or not self._has_place(member.name):
            return
        self._addresses[member.name] = member.address
        self._seen_ms[member.name] = now_ms
        if member.data_centre:
            self._data_centres[member.name] = member.data_centre

    def _has_place(self, name: str) -> bool:
        """Returns whether a gateway is known or may be added."""
        if name in self._addresses:
            return True
        if len(name) > MAX_NAME_CHARACTERS:
            return False
        return len(self._addresses) < _MAX_MEMBERS

    def add_reported(self, member: Member, now_ms: int) -> None:
        """Adds a gateway that another one names.

        A known address isn't replaced: the gateway itself states its own one.
        """
        known = self._addresses.get(member.name)
        if known is None or known == member.address:
            self.add(member, now_ms)

    def on_message(self, name: str, data_centre: str, now_ms: int) -> None:
        """Records that a gateway has sent a message from a data centre."""
        if name in self._addresses:
            self._data_centres[name] = data_centre
            self._seen_ms[name] = now_ms

    def is_remote(self, name: str) -> bool:
        """Returns whether a gateway runs in another data centre."""
        known = self._data_centres.get(name)
        return known is not None and known != self._data_centre

    def local(self) -> frozenset[str]:
        """Returns the gateways that are known to be local.

        A gateway whose data centre is unknown doesn't count.
        """
        return frozenset(
            name
            for name in self._addresses
            if self._data_centres.get(name) == self._data_centre
        )

    def live_local(self, now_ms: int) -> set[str]:
        """Returns the local gateways that were seen a short time ago."""
        return {
            name
            for name in self.local()
            if now_ms - self._seen_ms[name] <= _LIVE_MS
        }

    def find(self, name: str) -> Member | None:
        """Returns a gateway whose address and data centre are known."""
        address = self._addresses.get(name)
        data_centre = self._data_centres.get(name)
        if address is None or data_centre is None:
            return None
        return Member(name, address, data_centre)

    def remove_expired(self, now_ms: int) -> list[str]:
        """Removes gateways not seen for long and returns their names."""
        expired = [
            name
            for name, seen_ms in self._seen_ms.items()
            if now_ms - seen_ms > _RETENTION_MS
        ]
        for name in expired:
            del self._seen_ms[name]
            del self._addresses[name]
            self._data_centres.pop(name, None)
        return expired
