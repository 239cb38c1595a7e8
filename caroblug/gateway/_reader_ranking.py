"""Ranking of the gateways of a data centre that read from the store.

In each data centre two gateways wait at the store for a newer configuration,
and the first of them also reads the list of backend servers. The other gateways
receive both through the peer exchange. The gateways with the fastest reads
rank first, so that a slow link doesn't carry what a fast one could carry. There
is no election: each gateway ranks the peers that it receives state from, and a
gateway that receives too little reads by itself.
"""

from collections.abc import Iterable

from caroblug.gateway._lease_holder_tracker import UNKNOWN_AGE_MS
from caroblug.utils import Clock

_READERS_PER_DATA_CENTRE = 2
"""Gateways of a data centre that wait at the store for a newer configuration.
With two, one of them may hang or be cut off."""

_CONFIRMATION_TIMEOUT_MS = 4500
"""Time since the configuration was last confirmed as the newest after which a
gateway reads it by itself. It covers a reader's wait at the store and several
rounds of the peer exchange."""

_ISOLATION_TIMEOUT_MS = 1000
"""Time since the last message of any peer after which a gateway reads the
configuration by itself."""

_RANK_UNIT_MS = 8
"""Unit of the read duration from which ranks are computed. Each rank spans
twice the duration of the previous one."""

_FAILED_READ_RANK = 30
"""Rank of a gateway whose last read failed."""


class ReaderRanking:
    """Ranks the gateways of a data centre as readers of the store.

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
        """Rank of this gateway. The gateway with the lowest rank reads first.

        Ties are broken by the name of the gateway.
        """
        return self._rank

    @property
    def version_age_ms(self) -> int:
        """Time since the configuration was last confirmed as the newest."""
        if self._confirmed_ms is None:
            return UNKNOWN_AGE_MS
        return min(UNKNOWN_AGE_MS, self._clock.now_ms() - self._confirmed_ms)

    def record_read(self, took_ms: int | None) -> None:
        """Updates this gateway's rank after a read of the list.

        Args:
            took_ms: Duration of the read; None if it failed.
        """
        if took_ms is None:
            self._rank = _FAILED_READ_RANK
        else:
            self._rank = (took_ms // _RANK_UNIT_MS).bit_length()

    def set_rank(self, name: str, rank: int) -> None:
        """Records the rank that another gateway reports for itself."""
        self._ranks[name] = rank

    def remove(self, name: str) -> None:
        """Removes a gateway that has left."""
        self._ranks.pop(name, None)

    def confirm_version(self, confirmed_ms: int) -> None:
        """Records that the configuration was the newest one at a given time."""
        if self._confirmed_ms is None or confirmed_ms > self._confirmed_ms:
            self._confirmed_ms = confirmed_ms

    def on_new_version(self, confirmed_ms: int) -> None:
        """Records when a newly applied configuration was the newest one."""
        self._confirmed_ms = confirmed_ms

    def is_first_reader(self, local_peers: Iterable[str]) -> bool:
        """Returns whether this gateway ranks first.

        Args:
            local_peers: Other active gateways of the data centre.
        """
        return self._count_ahead(local_peers) == 0

    def waits_for_changes(
        self, local_peers: Iterable[str], received_ms: int
    ) -> bool:
        """Returns whether this gateway waits at the store for changes.

        Guards against saturated links. If every gateway waited at the store,
        all of them would receive a large configuration from it at the same
        moment, and their streams would pause behind the transfer.

        Args:
            local_peers: Other active gateways of the data centre.
            received_ms: When the last message of any gateway arrived.
        """
        if (
            self._confirmed_ms is None
            or self._count_ahead(local_peers) < _READERS_PER_DATA_CENTRE
        ):
            return True
        if self._clock.now_ms() - received_ms > _ISOLATION_TIMEOUT_MS:
            return True
        return self.version_age_ms > _CONFIRMATION_TIMEOUT_MS

    def _count_ahead(self, local_peers: Iterable[str]) -> int:
        """Returns how many local peers rank ahead of this gateway."""
        mine = (self._rank, self._instance)
        return sum(
            (self._ranks.get(name, 0), name) < mine for name in local_peers
        )
