"""Limits of client accounts, shared among entries by short-term grants."""

from collections.abc import Callable, Iterable

import gevent
from gevent import event

from caroblug.core.limits import (
    AccountRule,
    Demand,
    EntryShares,
    Grant,
    HomeEntries,
    HomeShares,
)
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import PeerAddress, PeerNetwork
from caroblug.utils import Clock, Metrics

GRANT_TERM_MS = 4000
_REPORT_INTERVAL_MS = 1000
_GRANT_TIMEOUT_S = 0.1
_MIN_REQUEST_INTERVAL_MS = 50
_RECONNECT_AFTER_MS = 1000
_TICK_S = 0.1


class ShareClient:
    """Requests grants from the accounts' home entries and issues its own.

    Each account has a home entry that divides the account's limits among all
    entries. This entry is itself the home of some accounts.

    Args:
        network: Sends messages to other entries.
        home_entries: Maps each account to its home entry.
        get_rule: Returns the limits of an account; None if it is unknown.
        clock: Source of time.
        metrics: Where reports are counted.
    """

    def __init__(
        self,
        network: PeerNetwork,
        home_entries: HomeEntries,
        get_rule: Callable[[str], AccountRule | None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._network = network
        self._home_entries = home_entries
        self._get_rule = get_rule
        self._clock = clock
        self._metrics = metrics
        self._home_shares = HomeShares(GRANT_TERM_MS)
        self._own_shares = EntryShares(GRANT_TERM_MS)
        self._entries: dict[str, PeerAddress] = {}
        self._disconnected_ms: dict[str, int] = {}
        self._requested_ms: dict[str, int] = {}
        self._grant_events: dict[str, event.Event] = {}

    def on_listed(self, entries: Iterable[PeerAddress]) -> None:
        """Updates the available entries from the instance list."""
        self._entries = {entry.instance: entry for entry in entries}
        now_ms = self._clock.now_ms()
        self._home_entries.on_listed(self._entries, now_ms)
        self._own_shares.on_listed(self._home_entries.entries)

    def run(self) -> None:
        """Sends due reports in an endless loop."""
        while True:
            gevent.sleep(_TICK_S)
            self._send_due_reports()

    def acquire_stream(self, client_account: str, rule: AccountRule) -> bool:
        """Reserves a stream; waits up to `_GRANT_TIMEOUT_S` for each grant.

        Returns:
            Whether the account may open one more stream.
        """
        now_ms = self._clock.now_ms()
        self._own_shares.touch(client_account, rule, now_ms)
        if not self._own_shares.has_grant(client_account, now_ms):
            self._request_grant(client_account)
        if self._own_shares.open_stream(
            client_account, rule, self._clock.now_ms()
        ):
            return True
        if not self._request_grant(client_account):
            return False
        return self._own_shares.open_stream(
            client_account, rule, self._clock.now_ms()
        )

    def spend_tokens(
        self, client_account: str, rule: AccountRule, tokens: float
    ) -> bool:
        """Charges weighted tokens to the account, if enough are left.

        Returns:
            Whether the tokens were charged.
        """
        now_ms = self._clock.now_ms()
        if self._own_shares.spend(client_account, rule, tokens, now_ms):
            return True
        if not self._request_grant(client_account):
            return False
        now_ms = self._clock.now_ms()
        return self._own_shares.spend(client_account, rule, tokens, now_ms)

    def release_stream(self, client_account: str, unused_tokens: float) -> None:
        """Closes a stream and refunds its unused tokens."""
        self._own_shares.close_stream(client_account)
        self._own_shares.refund(client_account, unused_tokens)

    def stream_weight(self, client_account: str, weight: float) -> float:
        """Returns the weight of one more stream of an account."""
        now_ms = self._clock.now_ms()
        return self._own_shares.stream_weight(client_account, weight, now_ms)

    def total_streams(self, client_account: str) -> int:
        """Returns the account's streams at all entries, as last reported."""
        return self._own_shares.total_streams(client_account)

    def on_demand(self, peer: PeerAddress, demand: wire.ShareDemand) -> None:
        """Handles a report as the account's home and replies with a grant."""
        account = demand.client_account
        grant = self._grant(
            peer.instance, account, Demand(demand.streams, demand.used)
        )
        if grant is None:
            return
        message = wire.ShareGrant(
            account, grant.streams, grant.tokens, grant.total, grant.term_ms
        )
        self._network.send(peer, message)

    def on_grant(self, message: wire.ShareGrant) -> None:
        """Applies a grant from an account's home entry."""
        grant = Grant(
            message.streams, message.tokens, message.total, message.term_ms
        )
        self._apply_grant(message.client_account, grant)

    def on_peer_lost(self, instance: str) -> None:
        """Ends all waits for grants from a lost home entry."""
        if instance not in self._entries:
            return
        self._disconnected_ms[instance] = self._clock.now_ms()
        for account, granted in list(self._grant_events.items()):
            if self._home_entries.home_of(account) == instance:
                granted.set()

    def _request_grant(self, client_account: str) -> bool:
        """Sends a report for an account and waits for the grant.

        Returns:
            Whether a newer grant may have arrived.
        """
        now_ms = self._clock.now_ms()
        home = self._home_entries.home_of(client_account)
        if home == self._home_entries.own:
            self._report(client_account, wanted=1)
            return True
        if not self._is_reachable(home, now_ms):
            return False
        granted = self._grant_events.get(client_account)
        if granted is None:
            requested_ms = self._requested_ms.get(client_account)
            if (
                requested_ms is not None
                and now_ms - requested_ms < _MIN_REQUEST_INTERVAL_MS
            ):
                return False
            granted = self._grant_events[client_account] = event.Event()
            self._requested_ms[client_account] = now_ms
            self._report(client_account, wanted=1)
        return granted.wait(_GRANT_TIMEOUT_S)

    def _is_reachable(self, home: str, now_ms: int) -> bool:
        if home not in self._entries:
            return False
        disconnected_ms = self._disconnected_ms.get(home)
        if disconnected_ms is None or self._network.is_connected(home):
            return True
        return now_ms - disconnected_ms >= _RECONNECT_AFTER_MS

    def _send_due_reports(self) -> None:
        now_ms = self._clock.now_ms()
        for account in self._own_shares.due_accounts(
            _REPORT_INTERVAL_MS, now_ms
        ):
            self._report(account)
        self._home_shares.forget_idle(now_ms)
        for account, requested_ms in list(self._requested_ms.items()):
            if now_ms - requested_ms >= _MIN_REQUEST_INTERVAL_MS:
                del self._requested_ms[account]
                self._grant_events.pop(account, None)
        self._metrics.gauge("accounts_held", len(self._own_shares))
        self._metrics.gauge("accounts_homed", len(self._home_shares))

    def _report(self, client_account: str, wanted: int = 0) -> None:
        now_ms = self._clock.now_ms()
        home = self._home_entries.home_of(client_account)
        is_local = home == self._home_entries.own
        if not is_local and not self._is_reachable(home, now_ms):
            return
        demand = self._own_shares.report(client_account, now_ms, wanted)
        self._metrics.count("share_reports")
        if is_local:
            grant = self._grant(home, client_account, demand)
            if grant is not None:
                self._apply_grant(client_account, grant)
            return
        message = wire.ShareDemand(client_account, demand.streams, demand.used)
        self._network.send(self._entries[home], message)

    def _grant(
        self, entry: str, client_account: str, demand: Demand
    ) -> Grant | None:
        rule = self._get_rule(client_account)
        if rule is None:
            return None
        now_ms = self._clock.now_ms()
        return self._home_shares.on_demand(
            entry,
            client_account,
            demand,
            rule,
            now_ms,
            idle_ms=self._home_entries.home_age_ms(client_account, now_ms),
        )

    def _apply_grant(self, client_account: str, grant: Grant) -> None:
        now_ms = self._clock.now_ms()
        self._own_shares.on_grant(client_account, grant, now_ms)
        granted = self._grant_events.pop(client_account, None)
        if granted is not None:
            granted.set()
