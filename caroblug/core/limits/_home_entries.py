"""Assignment of client accounts to home entries, by rendezvous hashing.

References:
    Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous",
    1996: only the accounts of an entry that has left change their home.
"""

from collections.abc import Iterable

import xxhash

MAX_HOMES = 32


def _rank(first: str, second: str) -> int:
    return xxhash.xxh64_intdigest(f"{first}\0{second}".encode())


class HomeEntries:
    """Assigns client accounts to home entries among the listed entries.

    The home entry of a client account accounts for its use at all entries.
    At most `MAX_HOMES` entries are homes, the same ones at every entry, which
    bounds the number of connections from an entry to homes.

    Args:
        own: Name of this entry.
        settled_ms: Age returned for a home that the last change of homes did
            not affect; the upper bound of `home_age_ms`.
    """

    def __init__(self, own: str, settled_ms: int) -> None:
        self.own = own
        self.settled_ms = settled_ms
        self._homes: tuple[str, ...] = (own,)
        self._entries = 1
        self._previous_homes: tuple[str, ...] = ()
        self._changed_ms: int | None = None

    @property
    def entries(self) -> int:
        """Number of listed entries, this one included."""
        return self._entries

    def on_listed(self, entries: Iterable[str], now_ms: int) -> None:
        """Updates the homes from the entries that are listed as live."""
        listed = {*entries, self.own}
        self._entries = len(listed)
        ranked = sorted(listed, key=lambda name: _rank("home", name))
        homes = tuple(sorted(ranked[:MAX_HOMES]))
        if homes != self._homes or self._changed_ms is None:
            started = self._changed_ms is None
            self._previous_homes = () if started else self._homes
            self._homes = homes
            self._changed_ms = now_ms

    def home_of(self, client_account: str) -> str:
        """Returns the name of the home entry of an account."""
        return _choose_home(client_account, self._homes)

    def home_age_ms(self, client_account: str, now_ms: int) -> int:
        """Returns how long this entry has been the home of an account.

        Guards against a new home that takes an account without a record for
        an idle one and grants it a full minute of tokens again: the use that
        the previous home has recorded is lost with that entry.
        """
        if self._changed_ms is None:
            return 0
        if _choose_home(client_account, self._previous_homes) == self.own:
            return self.settled_ms
        return min(self.settled_ms, now_ms - self._changed_ms)


def _choose_home(client_account: str, homes: tuple[str, ...]) -> str:
    """Returns the home of an account among entries; empty if none."""
    return max(homes, key=lambda name: _rank(client_account, name), default="")
