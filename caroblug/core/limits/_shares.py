"""Division of an account's limits among entries by short-lived grants.

Each entry reports its demand for a client account to the account's home
entry, which answers with a grant: the number of streams that may be open, the
tokens that may be used, and the number of streams of the account at all
entries. The grants of one home never add up to more than the account's limit.

References:
    Doorman (Google, 2016): cooperative limits by leased capacity.
"""

import attrs

_MS_PER_MINUTE = 60_000
_HEADROOM_DIVISOR = 8
_MAX_HALVINGS = 64


@attrs.frozen
class AccountRule:
    """Limits of a client account over all entries.

    Attributes:
        streams: Maximum number of open streams.
        tokens_per_minute: Maximum number of weighted tokens per minute.
    """

    streams: int
    tokens_per_minute: float


@attrs.frozen
class Demand:
    """Demand for an account that one entry reports to the home.

    Attributes:
        streams: Number of streams that are open or were refused by the grant.
        used: Weighted tokens used since the previous report.
    """

    streams: int
    used: float


@attrs.frozen
class Grant:
    """Part of an account's limits that one entry may use for a term.

    Attributes:
        streams: Maximum number of open streams at the entry.
        tokens: Weighted tokens that the entry may use.
        total: Number of streams of the account at all entries.
        term_ms: How long the grant is valid.
    """

    streams: int
    tokens: float
    total: int
    term_ms: int


@attrs.define
class _EntryGrant:
    wanted: int
    streams: int
    tokens: float
    end_ms: int


@attrs.define
class _Account:
    level: float
    filled_ms: int
    entries: dict[str, _EntryGrant] = attrs.field(factory=dict)


class HomeShares:
    """Grants shares of the accounts whose home is this entry.

    The state is one record for each account that has a valid grant or has
    used tokens within the last minute.

    Args:
        term_ms: How long a grant is valid.
    """

    def __init__(self, term_ms: int) -> None:
        self.term_ms = term_ms
        self._accounts: dict[str, _Account] = {}

    def __len__(self) -> int:
        return len(self._accounts)

    def on_demand(
        self,
        entry: str,
        client_account: str,
        demand: Demand,
        rule: AccountRule,
        now_ms: int,
        *,
        idle_ms: int = _MS_PER_MINUTE,
    ) -> Grant:
        """Records the demand of an entry and returns its next grant.

        Args:
            entry: Name of the entry.
            client_account: Name of the account.
            demand: Demand that the entry reports.
            rule: Limits of the account.
            now_ms: Current time.
            idle_ms: How long an account without a record is known to have
                been idle, which decides its first token level.

        Returns:
            The grant for the entry.
        """
        account = self._accounts.get(client_account)
        if account is None:
            account = _Account(0.0, now_ms - idle_ms)
            self._accounts[client_account] = account
        _refill(account, rule, now_ms)
        account.entries.pop(entry, None)
        account.level -= demand.used
        _expire_grants(account, now_ms)
        others = list(account.entries.values())
        total = demand.streams + sum(other.wanted for other in others)
        streams = _streams_to_grant(demand.streams, total, others, rule)
        tokens = _tokens_to_grant(demand.streams, total, others, account.level)
        if demand.streams:
            account.entries[entry] = _EntryGrant(
                demand.streams, streams, tokens, now_ms + self.term_ms
            )
        return Grant(streams, tokens, total, self.term_ms)

    def forget_idle(self, now_ms: int) -> None:
        """Drops accounts whose record equals a new one."""
        for name, account in list(self._accounts.items()):
            _expire_grants(account, now_ms)
            idle_ms = now_ms - account.filled_ms
            if not account.entries and idle_ms >= _MS_PER_MINUTE:
                del self._accounts[name]


def _refill(account: _Account, rule: AccountRule, now_ms: int) -> None:
    elapsed_ms = now_ms - account.filled_ms
    refill = rule.tokens_per_minute * elapsed_ms / _MS_PER_MINUTE
    account.level = min(rule.tokens_per_minute, account.level + refill)
    account.filled_ms = now_ms


def _expire_grants(account: _Account, now_ms: int) -> None:
    """Removes grants past their term and counts their tokens as used.

    Guards against an entry that was cut off and has used its grant: without
    its report the same tokens would be granted again.
    """
    for entry, granted in list(account.entries.items()):
        if now_ms >= granted.end_ms:
            account.level -= granted.tokens
            del account.entries[entry]


def _streams_to_grant(
    wanted: int, total: int, others: list[_EntryGrant], rule: AccountRule
) -> int:
    """Returns the number of streams to grant.

    An entry gets its demand and a fraction of the remaining streams, which
    leaves some for the next entry. When the total demand exceeds the limit,
    the entry gets a part in proportion to its demand. The result never
    exceeds what the other grants leave, because a grant can't be revoked
    before its term ends.
    """
    if not wanted:
        return 0
    left = rule.streams - sum(other.streams for other in others)
    part = wanted + (left - wanted) // _HEADROOM_DIVISOR
    if total > rule.streams:
        part = max(1, rule.streams * wanted // total)
    return max(0, min(part, left))


def _tokens_to_grant(
    wanted: int, total: int, others: list[_EntryGrant], level: float
) -> float:
    """Returns the tokens to grant, in proportion to the demand.

    At most half of the remaining tokens are granted: with none left, the
    first request at another entry would be refused.
    """
    if not wanted:
        return 0.0
    left = level - sum(other.tokens for other in others)
    return max(0.0, min(level * wanted / total, left / 2))


@attrs.define
class _HeldGrant:
    grant: Grant
    granted_ms: int
    tokens: float
    filled_ms: int
    open: int = 0
    refused: int = 0
    used: float = 0.0
    reported: int = 0
    reported_ms: int = 0


class EntryShares:
    """Applies the grants that one entry has received.

    Without an answer from the home, a grant decays after its term: it halves
    with each further term down to the entry's equal part of the limit,
    `1 / entries`, unless it was smaller from the start. The entries
    together therefore never use more than what the homes have granted plus
    the account's limit once: twice the limit with one home, and once more
    for each additional home at the same time.

    Args:
        term_ms: How long a grant is valid.
    """

    def __init__(self, term_ms: int) -> None:
        self.term_ms = term_ms
        self._held: dict[str, _HeldGrant] = {}
        self._entries = 1

    def __len__(self) -> int:
        return len(self._held)

    def on_listed(self, entries: int) -> None:
        """Sets the number of listed entries, this one included."""
        self._entries = max(1, entries)

    def touch(
        self, client_account: str, rule: AccountRule, now_ms: int
    ) -> None:
        """Creates a record with the equal part for an account without one."""
        if client_account in self._held:
            return
        grant = Grant(
            max(1, rule.streams // self._entries),
            rule.tokens_per_minute / self._entries,
            1,
            self.term_ms,
        )
        self._held[client_account] = _HeldGrant(
            grant,
            now_ms - self.term_ms,
            grant.tokens,
            now_ms,
            reported_ms=now_ms - self.term_ms,
        )

    def has_grant(self, client_account: str, now_ms: int) -> bool:
        """Returns whether the account has a grant within its term."""
        held = self._held.get(client_account)
        return held is not None and _in_term(held, now_ms)

    def on_grant(self, client_account: str, grant: Grant, now_ms: int) -> None:
        """Applies a grant from the account's home.

        Guards against an account that was idle when its home was lost: its
        last grant was empty and would refuse every request, so the record is
        dropped instead.
        """
        held = self._held.get(client_account)
        if held is None:
            return
        if not (held.reported or held.open or held.used):
            del self._held[client_account]
            return
        held.grant = grant
        held.granted_ms = now_ms
        held.filled_ms = now_ms
        held.tokens = grant.tokens - held.used

    def allowed_streams(
        self, client_account: str, rule: AccountRule, now_ms: int
    ) -> int:
        """Returns how many streams may be open at this entry."""
        held = self._held[client_account]
        if _in_term(held, now_ms):
            return held.grant.streams
        equal = max(1, rule.streams // self._entries)
        decayed = int(held.grant.streams * _decay_factor(held, now_ms))
        return max(decayed, min(held.grant.streams, equal))

    def stream_weight(
        self, client_account: str, weight: float, now_ms: int
    ) -> float:
        """Returns the fair-queueing weight of one stream of an account.

        The streams of the account at all entries divide its weight, so that
        the account gains nothing by spreading over many entries.
        """
        held = self._held[client_account]
        part = max(_decay_factor(held, now_ms), 1 / self._entries)
        return weight * part / max(1, held.grant.total, held.open)

    def total_streams(self, client_account: str) -> int:
        """Returns the last known number of streams at all entries."""
        held = self._held.get(client_account)
        return max(held.grant.total, held.open) if held else 0

    def open_stream(
        self, client_account: str, rule: AccountRule, now_ms: int
    ) -> bool:
        """Opens a stream if the grant allows it, else counts a refusal."""
        held = self._held[client_account]
        if held.open >= self.allowed_streams(client_account, rule, now_ms):
            held.refused += 1
            return False
        held.open += 1
        return True

    def close_stream(self, client_account: str) -> None:
        """Closes a stream."""
        held = self._held[client_account]
        held.open -= 1
        if held.open < 0:
            raise AssertionError(
                f"{client_account} has fewer than 0 open streams"
            )

    def spend(
        self,
        client_account: str,
        rule: AccountRule,
        tokens: float,
        now_ms: int,
    ) -> bool:
        """Uses weighted tokens; returns False if none remain.

        The last request may overdraw the grant; the home deducts that from
        the next one. Without a valid grant, the entry's equal part of the
        limit is refilled instead.
        """
        held = self._held[client_account]
        if not _in_term(held, now_ms):
            self._refill(held, rule, now_ms)
        if held.tokens <= 0:
            return False
        held.tokens -= tokens
        held.used += tokens
        return True

    def refund(self, client_account: str, tokens: float) -> None:
        """Credits the account with tokens that a request has not used."""
        held = self._held[client_account]
        held.tokens += tokens
        held.used -= tokens

    def report(
        self, client_account: str, now_ms: int, wanted: int = 0
    ) -> Demand:
        """Returns the demand to report to the home and resets the counts.

        Args:
            client_account: Name of the account.
            now_ms: Current time.
            wanted: Number of streams about to be opened.
        """
        held = self._held[client_account]
        demand = Demand(held.open + held.refused + wanted, held.used)
        held.used = 0.0
        held.refused = 0
        held.reported = demand.streams
        held.reported_ms = now_ms
        return demand

    def due_accounts(self, interval_ms: int, now_ms: int) -> list[str]:
        """Returns the accounts to report and drops records of idle ones.

        An account that has become idle is reported once more, so that its
        home can grant its part to other entries before the term ends.
        """
        due = []
        for name, held in list(self._held.items()):
            if now_ms - held.reported_ms < interval_ms:
                continue
            if held.open or held.refused or held.used or held.reported:
                due.append(name)
            elif now_ms - held.granted_ms >= 2 * self.term_ms:
                del self._held[name]
        return due

    def _refill(self, held: _HeldGrant, rule: AccountRule, now_ms: int) -> None:
        part = rule.tokens_per_minute / self._entries
        elapsed_ms = now_ms - held.filled_ms
        level = held.tokens + part * elapsed_ms / _MS_PER_MINUTE
        held.tokens = min(max(part, held.tokens), level)
        held.filled_ms = now_ms


def _in_term(held: _HeldGrant, now_ms: int) -> bool:
    return now_ms - held.granted_ms < held.grant.term_ms


def _decay_factor(held: _HeldGrant, now_ms: int) -> float:
    """Returns 1 within the term, then half as much after each term."""
    terms = (now_ms - held.granted_ms) // held.grant.term_ms
    return 0.5 ** min(terms, _MAX_HALVINGS)
