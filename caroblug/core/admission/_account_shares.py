"""Shares of client accounts in the memory that one rank uses.

While room is short, an account that uses more than its share of what a rank
uses yields to the accounts of this rank that use less.
"""

import collections
import heapq
from collections.abc import Mapping

import attrs

from caroblug.core.admission._arrival_rates import ArrivalRates

_SHORT_MS = 1000
"""Time after a stream waited or was refused in which room counts as short."""

_ARRIVALS_WINDOW_MS = 1000
"""Time over which arrivals are measured. A share that is no longer used is lent
to others after this time."""

_PEER_TIMEOUT_MS = 1500
"""Time after which the accounts of a gateway that has sent no message are
dropped."""

_CACHE_MS = 100
"""Time for which the shares are kept, as they are needed for each waiting
stream and there may be thousands of accounts."""

_Key = tuple[int, str]
"""Rank and name of the account."""


@attrs.frozen
class _RankShares:
    """Shares of the accounts in one rank.

    Attributes:
        computed_ms: When they were computed.
        above: Accounts that use more than their share.
        lighter_rate: Tokens per ms that arrive with streams of all others.
    """

    computed_ms: int
    above: frozenset[str]
    lighter_rate: float


class AccountShares:
    """Tracks what each account uses, at this gateway and at its peers.

    Args:
        weights: Weight of each account relative to others; 1 if missing.

    Attributes:
        gateways: Gateways that serve the same accounts, this one included; 0 if
            unknown.
    """

    def __init__(self, weights: Mapping[str, float]) -> None:
        self._weights = weights
        self._own: collections.Counter[_Key] = collections.Counter()
        self._arrivals = ArrivalRates(_ARRIVALS_WINDOW_MS)
        self._peers: dict[str, tuple[int, dict[_Key, float]]] = {}
        self._short_ms: int | None = None
        self._ranks: dict[int, _RankShares] = {}
        self.gateways = 0

    # Events.

    def on_arrival(
        self, rank: int, account: str, tokens: int, now_ms: int
    ) -> None:
        """Counts a stream that has arrived, whether it is admitted or not."""
        self._arrivals.add((rank, account), tokens, now_ms)

    def on_admitted(self, rank: int, account: str, tokens: int) -> None:
        """Adds tokens to those in use."""
        self._own[rank, account] += tokens

    def on_ended(self, rank: int, account: str, tokens: int) -> None:
        """Removes tokens from those in use."""
        self._own[rank, account] -= tokens
        if self._own[rank, account] <= 0:
            del self._own[rank, account]

    def on_short(self, now_ms: int) -> None:
        """Records that a stream waits or is refused."""
        self._short_ms = now_ms

    def update_peer(
        self, gateway: str, used: Mapping[_Key, float], now_ms: int
    ) -> None:
        """Replaces the tokens in use that another gateway reports.

        Args:
            gateway: Name of the gateway.
            used: Tokens of its largest accounts by rank and account; empty
                unless room is short there.
            now_ms: Current time.
        """
        self._peers[gateway] = (now_ms, dict(used))

    # Shares.

    def is_short(self, now_ms: int) -> bool:
        """Returns whether room is short at this gateway or a peer."""
        if self.is_short_here(now_ms):
            return True
        return any(
            used and now_ms - received_ms < _SHORT_MS
            for received_ms, used in self._peers.values()
        )

    def is_short_here(self, now_ms: int) -> bool:
        """Returns whether streams of this gateway lacked room recently."""
        return (
            self._short_ms is not None and now_ms - self._short_ms < _SHORT_MS
        )

    def largest(self, limit: int) -> dict[_Key, int]:
        """Returns the largest accounts of this gateway.

        Args:
            limit: Maximum number of accounts.

        Returns:
            Tokens in use by rank and account.
        """
        found = heapq.nlargest(limit, self._own.items(), key=lambda x: x[1])
        return dict(found)

    def is_above(self, rank: int, account: str, now_ms: int) -> bool:
        """Returns whether an account has to yield to others of a rank."""
        if not self.is_short(now_ms):
            return False
        return account in self._rank_shares(rank, now_ms).above

    def lighter_rate(self, rank: int, now_ms: int) -> float:
        """Returns the tokens per ms that arrive for accounts not above."""
        return self._rank_shares(rank, now_ms).lighter_rate

    def _rank_shares(self, rank: int, now_ms: int) -> _RankShares:
        known = self._ranks.get(rank)
        if known is None or now_ms - known.computed_ms >= _CACHE_MS:
            known = self._ranks[rank] = self._compute(rank, now_ms)
        return known

    def _compute(self, rank: int, now_ms: int) -> _RankShares:
        used = self._used(rank, now_ms)
        arriving = {
            account
            for other, account in self._arrivals.recent_keys(now_ms)
            if other == rank
        }
        weights = {
            account: self._weights.get(account, 1.0)
            for account in used.keys() | arriving
        }
        # An account that uses nothing yet has a share as well, which those
        # above theirs keep free for it.
        unit = sum(used.values()) / max(1e-9, sum(weights.values()))
        above = frozenset(a for a, n in used.items() if n > unit * weights[a])
        lighter_rate = self._arrivals.steady(
            lambda key: key[0] == rank and key[1] not in above, now_ms
        )
        return _RankShares(now_ms, above, lighter_rate)

    def _used(self, rank: int, now_ms: int) -> dict[str, float]:
        """Returns the tokens in use at all gateways, by account.

        The gateways that haven't reported are assumed to be like those that
        have.
        """
        for name, (received_ms, _) in list(self._peers.items()):
            if now_ms - received_ms >= _PEER_TIMEOUT_MS:
                del self._peers[name]
        used: collections.Counter[str] = collections.Counter()
        for _, reported in self._peers.values():
            for (other, account), tokens in reported.items():
                if other == rank:
                    used[account] += tokens
        reporting = max(1, len(self._peers))
        factor = max(1.0, (self.gateways - 1) / reporting)
        totals = {account: tokens * factor for account, tokens in used.items()}
        for (other, account), tokens in self._own.items():
            if other == rank:
                totals[account] = totals.get(account, 0.0) + tokens
        return totals
