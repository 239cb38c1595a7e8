"""Shares of a client account among entries, for a short term.

Each account's home adds up what the entries report and hands back a grant:
streams that may be open, tokens that may be used, and how many streams the
account has in all. Grants of one home never add up to more than the account
is allowed.

References:
    Doorman (Google, 2016): cooperative limits by leased capacity.
"""

import attrs

_MS_PER_MINUTE = 60_000
_HEADROOM_PARTS = 8
_MOST_HALVINGS = 64


@attrs.frozen
class AccountRule:
    """What an account may use over all entries.

    Attributes:
        streams: Streams open at once.
        tokens_per_minute: Weighted tokens a minute.
    """

    streams: int
    tokens_per_minute: float


@attrs.frozen
class Demand:
    """What one entry reports of an account.

    Attributes:
        streams: Streams open there, and refused for want of a grant.
        used: Weighted tokens used since the report before.
    """

    streams: int
    used: float


@attrs.frozen
class Grant:
    """What one entry may use of an account until the term ends.

    Attributes:
        streams: Streams open at once.
        tokens: Weighted tokens that may be started.
        total: Streams that the account has at all entries.
        term_ms: How long it holds.
    """

    streams: int
    tokens: float
    total: int
    term_ms: int


@attrs.define
class _Granted:
    wanted: int
    streams: int
    tokens: float
    end_ms: int


@attrs.define
class _Account:
    level: float
    filled_ms: int
    entries: dict[str, _Granted] = attrs.field(factory=dict)


class HomeShares:
    """The accounts whose home this entry is.

    State is one record for each account with a grant that holds, or with a
    minute's use that is not yet forgotten.

    Args:
        term_ms: How long a grant holds.
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
        """Takes an entry's report and returns its next grant.

        Args:
            entry: The entry.
            client_account: The account.
            demand: What the entry reports.
            rule: What the account may use in all.
            now_ms: Time now.
            idle_ms: How long an account not heard of was surely idle.
        """
        account = self._accounts.get(client_account)
        if account is None:
            account = _Account(0.0, now_ms - idle_ms)
            self._accounts[client_account] = account
        _refill(account, rule, now_ms)
        account.entries.pop(entry, None)
        account.level -= demand.used
        _expire(account, now_ms)
        others = list(account.entries.values())
        total = demand.streams + sum(other.wanted for other in others)
        streams = _streams_for(demand.streams, total, others, rule)
        tokens = _tokens_for(demand.streams, total, others, account.level)
        if demand.streams:
            account.entries[entry] = _Granted(
                demand.streams, streams, tokens, now_ms + self.term_ms
            )
        return Grant(streams, tokens, total, self.term_ms)

    def forget_idle(self, now_ms: int) -> None:
        """Drops accounts that would begin again as they are."""
        for name, account in list(self._accounts.items()):
            _expire(account, now_ms)
            idle_ms = now_ms - account.filled_ms
            if not account.entries and idle_ms >= _MS_PER_MINUTE:
                del self._accounts[name]


def _refill(account: _Account, rule: AccountRule, now_ms: int) -> None:
    elapsed_ms = now_ms - account.filled_ms
    refill = rule.tokens_per_minute * elapsed_ms / _MS_PER_MINUTE
    account.level = min(rule.tokens_per_minute, account.level + refill)
    account.filled_ms = now_ms


def _expire(account: _Account, now_ms: int) -> None:
    """Ends grants whose term is over, taking their tokens as used.

    Guards against an entry that was cut off and used what it held: without
    its report the tokens would be handed out once more.
    """
    for entry, granted in list(account.entries.items()):
        if now_ms >= granted.end_ms:
            account.level -= granted.tokens
            del account.entries[entry]


def _streams_for(
    wanted: int, total: int, others: list[_Granted], rule: AccountRule
) -> int:
    """Returns the streams to grant.

    An entry gets what it wants and a part of what is left, so that another
    one that comes next finds something; when all want more than is allowed,
    its part by demand. Never more than the others' grants leave: a grant
    once given can't be called back before its term ends.
    """
    if not wanted:
        return 0
    left = rule.streams - sum(other.streams for other in others)
    part = wanted + (left - wanted) // _HEADROOM_PARTS
    if total > rule.streams:
        part = max(1, rule.streams * wanted // total)
    return max(0, min(part, left))


def _tokens_for(
    wanted: int, total: int, others: list[_Granted], level: float
) -> float:
    """Returns the tokens to grant: a part by demand of what is left.

    Half of what is left stays for another entry that comes next: with
    nothing left its first request would be refused.
    """
    if not wanted:
        return 0.0
    left = level - sum(other.tokens for other in others)
    return max(0.0, min(level * wanted / total, left / 2))


@attrs.define
class _Held:
    grant: Grant
    got_ms: int
    tokens: float
    filled_ms: int
    open: int = 0
    refused: int = 0
    used: float = 0.0
    reported: int = 0
    reported_ms: int = 0


class EntryShares:
    """The grants that one entry holds.

    Without an answer from the home a grant decays: it halves with each term
    and ends at the entry's equal part, `1 / entries`, or where it was if that
    is less. So the entries together never have more than what the homes gave
    plus what is allowed once: twice the account's rule with one home, and
    once more for each further home at the same time.

    Args:
        term_ms: How long a grant holds.
    """

    def __init__(self, term_ms: int) -> None:
        self.term_ms = term_ms
        self._held: dict[str, _Held] = {}
        self._entries = 1

    def __len__(self) -> int:
        return len(self._held)

    def on_listed(self, entries: int) -> None:
        """Takes the number of entries listed, this one included."""
        self._entries = max(1, entries)

    def touch(
        self, client_account: str, rule: AccountRule, now_ms: int
    ) -> None:
        """Makes a record of an account that is used here now."""
        if client_account in self._held:
            return
        grant = Grant(
            max(1, rule.streams // self._entries),
            rule.tokens_per_minute / self._entries,
            1,
            self.term_ms,
        )
        self._held[client_account] = _Held(
            grant,
            now_ms - self.term_ms,
            grant.tokens,
            now_ms,
            reported_ms=now_ms - self.term_ms,
        )

    def has_grant(self, client_account: str, now_ms: int) -> bool:
        """Tells whether the account has a grant in its term."""
        held = self._held.get(client_account)
        return held is not None and _in_term(held, now_ms)

    def on_grant(self, client_account: str, grant: Grant, now_ms: int) -> None:
        """Takes a grant from the account's home.

        Guards against an account that was idle when its home was lost: the
        last grant was for nothing, and would refuse all that comes.
        """
        held = self._held.get(client_account)
        if held is None:
            return
        if not (held.reported or held.open or held.used):
            del self._held[client_account]
            return
        held.grant = grant
        held.got_ms = now_ms
        held.filled_ms = now_ms
        held.tokens = grant.tokens - held.used

    def allowed_streams(
        self, client_account: str, rule: AccountRule, now_ms: int
    ) -> int:
        """Returns how many streams may be open here."""
        held = self._held[client_account]
        if _in_term(held, now_ms):
            return held.grant.streams
        equal = max(1, rule.streams // self._entries)
        decayed = int(held.grant.streams * _decay(held, now_ms))
        return max(decayed, min(held.grant.streams, equal))

    def stream_weight(
        self, client_account: str, weight: float, now_ms: int
    ) -> float:
        """Returns the weight of one stream: the account's over all streams.

        The account's streams at all entries share its weight, so that they
        get no more over many entries than over one.
        """
        held = self._held[client_account]
        part = max(_decay(held, now_ms), 1 / self._entries)
        return weight * part / max(1, held.grant.total, held.open)

    def total_streams(self, client_account: str) -> int:
        """Returns the account's streams at all entries, as last heard."""
        held = self._held.get(client_account)
        return max(held.grant.total, held.open) if held else 0

    def open_stream(
        self, client_account: str, rule: AccountRule, now_ms: int
    ) -> bool:
        """Opens a stream if there is a place; notes a refusal if not."""
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
            raise AssertionError(f"{client_account} has fewer than 0 streams")

    def spend(
        self,
        client_account: str,
        rule: AccountRule,
        tokens: float,
        now_ms: int,
    ) -> bool:
        """Uses weighted tokens if there are any left.

        The last request may overdraw; the home takes that off the next
        grant. Without a home the entry's equal part is refilled.
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
        """Gives back tokens that were not used after all."""
        held = self._held[client_account]
        held.tokens += tokens
        held.used -= tokens

    def report(
        self, client_account: str, now_ms: int, wanted: int = 0
    ) -> Demand:
        """Returns what to report to the account's home now.

        Args:
            client_account: The account.
            now_ms: Time now.
            wanted: Streams about to be opened.
        """
        held = self._held[client_account]
        demand = Demand(held.open + held.refused + wanted, held.used)
        held.used = 0.0
        held.refused = 0
        held.reported = demand.streams
        held.reported_ms = now_ms
        return demand

    def due_accounts(self, interval_ms: int, now_ms: int) -> list[str]:
        """Returns the accounts to report, and forgets idle ones.

        An account that has become idle is reported once more, so that its
        home can grant its part to other entries before the term ends.
        """
        due = []
        for name, held in list(self._held.items()):
            if now_ms - held.reported_ms < interval_ms:
                continue
            if held.open or held.refused or held.used or held.reported:
                due.append(name)
            elif now_ms - held.got_ms >= 2 * self.term_ms:
                del self._held[name]
        return due

    def _refill(self, held: _Held, rule: AccountRule, now_ms: int) -> None:
        part = rule.tokens_per_minute / self._entries
        elapsed_ms = now_ms - held.filled_ms
        level = held.tokens + part * elapsed_ms / _MS_PER_MINUTE
        held.tokens = min(max(part, held.tokens), level)
        held.filled_ms = now_ms


def _in_term(held: _Held, now_ms: int) -> bool:
    return now_ms - held.got_ms < held.grant.term_ms


def _decay(held: _Held, now_ms: int) -> float:
    """Returns 1 within the term, then a half less for each term."""
    terms = (now_ms - held.got_ms) // held.grant.term_ms
    return 0.5 ** min(terms, _MOST_HALVINGS)
