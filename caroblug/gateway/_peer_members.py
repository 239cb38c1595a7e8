"""Other gateways that a gateway knows, with their addresses."""

from caroblug.gateway._http_client import Address
from caroblug.gateway._interfaces import Member

_RETENTION_MS = 45000
"""How long a gateway that is missing from the group is still contacted. Its
membership may have expired only because the store was unavailable."""


class PeerMembers:
    """The other gateways, and which of them run in the local data centre.

    Args:
        own_name: Name of this gateway.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._addresses: dict[str, Address] = {}
        self._seen_ms: dict[str, int] = {}
        self._local: set[str] = set()
        self._remote: set[str] = set()

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
        if member.name == self._own_name:
            return
        self._addresses[member.name] = member.address
        self._seen_ms[member.name] = now_ms

    def set_local(self, name: str, local: bool) -> None:
        """Records whether a gateway runs in the local data centre."""
        (self._local if local else self._remote).add(name)

    def is_remote(self, name: str) -> bool:
        """Returns whether a gateway runs in another data centre."""
        return name in self._remote

    def count_local(self) -> int:
        """Returns how many gateways are known to be local.

        A gateway whose data centre is unknown doesn't count.
        """
        return len(self._local & self._addresses.keys())

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
            self._local.discard(name)
            self._remote.discard(name)
        return expired
