"""Shares of client accounts among entries: reports out, grants in."""

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

TERM_MS = 4000
_REPORT_MS = 1000
_ANSWER_S = 0.1
_ASK_AGAIN_MS = 50
_UNREACHABLE_MS = 1000
_TICK_S = 0.1


class ShareClient:
    """Asks the accounts' homes for grants, and is home to some itself.

    Args:
        network: Where messages are sent.
        homes: Which entry is whose home.
        rule_of: Returns the rule of an account; None if there is none.
        clock: Source of time.
        metrics: Where reports are counted.
    """

    def __init__(
        self,
        network: PeerNetwork,
        homes: HomeEntries,
        rule_of: Callable[[str], AccountRule | None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._network = network
        self._homes = homes
        self._rule_of = rule_of
        self._clock = clock
        self._metrics = metrics
        self._home = HomeShares(TERM_MS)
        self._held = EntryShares(TERM_MS)
        self._entries: dict[str, PeerAddress] = {}
        self._lost_ms: dict[str, int] = {}
        self._asked_ms: dict[str, int] = {}
        self._answers: dict[str, event.Event] = {}

    def on_listed(self, entries: Iterable[PeerAddress]) -> None:
        """Takes the live entries that the instance list shows."""
        self._entries = {entry.instance: entry for entry in entries}
        now_ms = self._clock.now_ms()
        self._homes.on_listed(self._entries, now_ms)
        self._held.on_listed(self._homes.entries)

    def run(self) -> None:
        """Reports what is due, for ever."""
        while True:
            gevent.sleep(_TICK_S)
            self._report_due()

    def take(self, client_account: str, rule: AccountRule) -> bool:
        """Takes a place for a stream; may wait a little for the home."""
        now_ms = self._clock.now_ms()
        self._held.touch(client_account, rule, now_ms)
        if not self._held.has_grant(client_account, now_ms):
            self._ask(client_account)
        if self._held.open_stream(client_account, rule, self._clock.now_ms()):
            return True
        if not self._ask(client_account):
            return False
        return self._held.open_stream(
            client_account, rule, self._clock.now_ms()
        )

    def spend(
        self, client_account: str, rule: AccountRule, tokens: float
    ) -> bool:
        """Uses weighted tokens, if there are any left this minute."""
        now_ms = self._clock.now_ms()
        if self._held.spend(client_account, rule, tokens, now_ms):
            return True
        if not self._ask(client_account):
            return False
        now_ms = self._clock.now_ms()
        return self._held.spend(client_account, rule, tokens, now_ms)

    def give_back(self, client_account: str, unused_tokens: float) -> None:
        """Closes a stream and gives back tokens that it did not use."""
        self._held.close_stream(client_account)
        self._held.refund(client_account, unused_tokens)

    def stream_weight(self, client_account: str, weight: float) -> float:
        """Returns the weight of one more stream of an account."""
        now_ms = self._clock.now_ms()
        return self._held.stream_weight(client_account, weight, now_ms)

    def total_streams(self, client_account: str) -> int:
        """Returns the account's streams at all entries, as last heard."""
        return self._held.total_streams(client_account)

    def on_demand(self, peer: PeerAddress, demand: wire.ShareDemand) -> None:
        """Takes a report as the account's home and answers with a grant."""
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
        """Takes a grant from an account's home."""
        grant = Grant(
            message.streams, message.tokens, message.total, message.term_ms
        )
        self._take_grant(message.client_account, grant)

    def on_peer_lost(self, instance: str) -> None:
        """Lets nobody wait for an answer from a home that is gone."""
        if instance not in self._entries:
            return
        self._lost_ms[instance] = self._clock.now_ms()
        for account, answer in list(self._answers.items()):
            if self._homes.home_of(account) == instance:
                answer.set()

    def _ask(self, client_account: str) -> bool:
        """Reports an account now and waits for the grant.

        Returns:
            Whether a newer grant may have come.
        """
        now_ms = self._clock.now_ms()
        home = self._homes.home_of(client_account)
        if home == self._homes.own:
            self._report(client_account, wanted=1)
            return True
        if not self._is_reachable(home, now_ms):
            return False
        answer = self._answers.get(client_account)
        if answer is None:
            asked_ms = self._asked_ms.get(client_account)
            if asked_ms is not None and now_ms - asked_ms < _ASK_AGAIN_MS:
                return False
            answer = self._answers[client_account] = event.Event()
            self._asked_ms[client_account] = now_ms
            self._report(client_account, wanted=1)
        return answer.wait(_ANSWER_S)

    def _is_reachable(self, home: str, now_ms: int) -> bool:
        if home not in self._entries:
            return False
        lost_ms = self._lost_ms.get(home)
        if lost_ms is None or self._network.is_connected(home):
            return True
        return now_ms - lost_ms >= _UNREACHABLE_MS

    def _report_due(self) -> None:
        now_ms = self._clock.now_ms()
        for account in self._held.due_accounts(_REPORT_MS, now_ms):
            self._report(account)
        self._home.forget_idle(now_ms)
        for account, asked_ms in list(self._asked_ms.items()):
            if now_ms - asked_ms >= _ASK_AGAIN_MS:
                del self._asked_ms[account]
                self._answers.pop(account, None)
        self._metrics.gauge("accounts_held", len(self._held))
        self._metrics.gauge("accounts_homed", len(self._home))

    def _report(self, client_account: str, wanted: int = 0) -> None:
        now_ms = self._clock.now_ms()
        home = self._homes.home_of(client_account)
        own = home == self._homes.own
        if not own and not self._is_reachable(home, now_ms):
            return
        demand = self._held.report(client_account, now_ms, wanted)
        self._metrics.count("share_reports")
        if own:
            grant = self._grant(home, client_account, demand)
            if grant is not None:
                self._take_grant(client_account, grant)
            return
        message = wire.ShareDemand(client_account, demand.streams, demand.used)
        self._network.send(self._entries[home], message)

    def _grant(
        self, entry: str, client_account: str, demand: Demand
    ) -> Grant | None:
        rule = self._rule_of(client_account)
        if rule is None:
            return None
        now_ms = self._clock.now_ms()
        return self._home.on_demand(
            entry,
            client_account,
            demand,
            rule,
            now_ms,
            idle_ms=self._homes.home_age_ms(client_account, now_ms),
        )

    def _take_grant(self, client_account: str, grant: Grant) -> None:
        now_ms = self._clock.now_ms()
        self._held.on_grant(client_account, grant, now_ms)
        answer = self._answers.pop(client_account, None)
        if answer is not None:
            answer.set()
