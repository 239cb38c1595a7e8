"""Which gateways read at the store for their data centre.

Two of each data centre wait there for a newer configuration, and the first of
them reads the list of backend servers; the others follow. Those whose reads
are quickest come first, so that a slow link isn't filled by what a quick one
could carry. Nobody is elected: each ranks the gateways that it hears of, and
one that hears too little reads by itself.
"""

from collections.abc import Iterable

from caroblug.gateway._lease_holder_tracker import UNKNOWN_AGE_MS
from caroblug.utils import Clock

_READERS = 2
"""Gateways of a data centre that wait at the store for a newer configuration;
one may be frozen or cut off."""

_FOLLOWED_MS = 4500
"""Time since the configuration was last known to be the newest after which a
gateway reads it itself: the wait of a reader, and some exchanges."""

_ISOLATED_MS = 1000
"""The same since any other gateway was heard of."""

_RANK_MS = 8
"""Unit of the time of a read by which gateways are ranked; each rank is twice
as long as the one before."""

_UNREACHED_RANK = 30
"""Rank of a gateway whose last read failed."""


class Readers:
    """Ranks gateways as readers.

    Args:
        clock: Source of time.
        instance: Name of this gateway.
    """

    def __init__(self, clock: Clock, instance: str) -> None:
        self._clock = clock
        self._instance = instance
        self._rank = 0
        self._ranks: dict[str, int] = {}
        self._confirmed_ms: int | None = None

    @property
    def rank(self) -> int:
        """Rank of this gateway; the lowest reads first."""
        return self._rank

    @property
    def version_age_ms(self) -> int:
        """Time since the configuration was known to be the newest."""
        if self._confirmed_ms is None:
            return UNKNOWN_AGE_MS
        return min(UNKNOWN_AGE_MS, self._clock.now_ms() - self._confirmed_ms)

    def note_read(self, took_ms: int | None) -> None:
        """Ranks this gateway by a read of the list.

        Args:
            took_ms: Time that it took; None if it failed.
        """
        if took_ms is None:
            self._rank = _UNREACHED_RANK
        else:
            self._rank = (took_ms // _RANK_MS).bit_length()

    def hear(self, name: str, rank: int) -> None:
        """Takes the rank that another gateway tells."""
        self._ranks[name] = rank

    def forget(self, name: str) -> None:
        """Drops a gateway that has left."""
        self._ranks.pop(name, None)

    def confirm_version(self, at_ms: int) -> None:
        """Notes that the configuration was the newest one at a moment."""
        if self._confirmed_ms is None or at_ms > self._confirmed_ms:
            self._confirmed_ms = at_ms

    def start_version(self, at_ms: int) -> None:
        """Notes a newer configuration, and when it was the newest one."""
        self._confirmed_ms = at_ms

    def is_first(self, neighbours: Iterable[str]) -> bool:
        """Returns whether this gateway is the first reader.

        Args:
            neighbours: Other gateways of the data centre that are heard.
        """
        return self._place(neighbours) == 0

    def waits(self, neighbours: Iterable[str], heard_ms: int) -> bool:
        """Returns whether this gateway waits at the store for changes.

        Guards against links that are full: a large configuration would come
        to each gateway from the store at the same moment, and streams would
        pause behind it.

        Args:
            neighbours: Other gateways of the data centre that are heard.
            heard_ms: When any gateway was last heard.
        """
        if self._confirmed_ms is None or self._place(neighbours) < _READERS:
            return True
        if self._clock.now_ms() - heard_ms > _ISOLATED_MS:
            return True
        return self.version_age_ms > _FOLLOWED_MS

    def _place(self, neighbours: Iterable[str]) -> int:
        """Returns how many neighbours read rather than this gateway."""
        mine = (self._rank, self._instance)
        return sum(
            (self._ranks.get(name, 0), name) < mine for name in neighbours
        )
