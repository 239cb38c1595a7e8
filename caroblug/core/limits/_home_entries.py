"""Which entry is the home of a client account.

References:
    Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous",
    1996: only the accounts of an entry that left get another home.
"""

from collections.abc import Iterable

import xxhash

MAX_HOMES = 32


def _rank(first: str, second: str) -> int:
    return xxhash.xxh64_intdigest(f"{first}\0{second}".encode())


class HomeEntries:
    """The listed entries, and the accounts' homes among them.

    Homes are at most `MAX_HOMES` of the entries, the same ones for all, so
    that an entry has a bounded number of connections to others.

    Args:
        own: Name of this entry.
        settled_ms: Time after which a list counts as having always been so.
    """

    def __init__(self, own: str, settled_ms: int) -> None:
        self.own = own
        self.settled_ms = settled_ms
        self._homes: tuple[str, ...] = (own,)
        self._entries = 1
        self._before: tuple[str, ...] = ()
        self._changed_ms: int | None = None

    @property
    def entries(self) -> int:
        """How many entries are listed, this one included."""
        return self._entries

    def on_listed(self, entries: Iterable[str], now_ms: int) -> None:
        """Takes the entries that the instance list shows as live."""
        listed = {*entries, self.own}
        self._entries = len(listed)
        ranked = sorted(listed, key=lambda name: _rank("home", name))
        homes = tuple(sorted(ranked[:MAX_HOMES]))
        if homes != self._homes or self._changed_ms is None:
            started = self._changed_ms is None
            self._before = () if started else self._homes
            self._homes = homes
            self._changed_ms = now_ms

    def home_of(self, client_account: str) -> str:
        """Returns the account's home."""
        return _home(client_account, self._homes)

    def home_age_ms(self, client_account: str, now_ms: int) -> int:
        """Returns how long this entry has been the account's home.

        Guards against a successor that takes an account it has not heard of
        for one that was idle, and hands it a full minute's tokens again:
        use that the former home added up is gone with it.
        """
        if self._changed_ms is None:
            return 0
        if _home(client_account, self._before) == self.own:
            return self.settled_ms
        return min(self.settled_ms, now_ms - self._changed_ms)


def _home(client_account: str, homes: tuple[str, ...]) -> str:
    """Returns the home among some entries; empty if there are none."""
    return max(homes, key=lambda name: _rank(client_account, name), default="")
