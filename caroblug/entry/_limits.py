"""Assembles admission control and routes its messages."""

import random
from collections.abc import Sequence

import gevent

from caroblug.core.limits import (
    AccountRule,
    ConcurrencyLimiter,
    HomeEntries,
    RetryAfter,
)
from caroblug.core.state import Quarantine
from caroblug.entry._admission import StreamAdmission, make_account_rule
from caroblug.entry._quarantine import QuarantineClient
from caroblug.entry._settings import EntrySettings
from caroblug.entry._shares import ShareClient
from caroblug.entry._wait_estimator import WaitEstimator
from caroblug.gen.wire import ttypes as wire
from caroblug.node import BundleFollower
from caroblug.transport import InstanceRecord, PeerAddress, PeerNetwork
from caroblug.utils import Clock, Metrics

_ENTRY_ROLE = "entry"
_HOME_SETTLED_MS = 60_000


class EntryLimits:
    """Connects admission control to the network and the instance list.

    Args:
        settings: The entry's settings.
        network: Sends messages to other instances.
        bundles: Provides the bundle in force.
        clock: Source of time.
        metrics: Where refusals and reports are counted.
    """

    def __init__(
        self,
        settings: EntrySettings,
        network: PeerNetwork,
        bundles: BundleFollower,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._bundles = bundles
        home_entries = HomeEntries(settings.instance, _HOME_SETTLED_MS)
        self.wait_estimator = WaitEstimator(clock, settings.report_age_ms)
        self.shares = ShareClient(
            network, home_entries, self._account_rule, clock, metrics
        )
        self.quarantine = QuarantineClient(
            network, home_entries, self._quarantine_rule, clock, metrics
        )
        self.admission = StreamAdmission(
            ConcurrencyLimiter(settings.streams),
            self.shares,
            self.quarantine,
            self.wait_estimator,
            RetryAfter(random.Random()),
        )

    def start(self) -> None:
        """Starts the reports to home entries and the run gate's timeouts."""
        gevent.spawn(self.shares.run)
        gevent.spawn(self.quarantine.run)

    def on_listed(self, listed: Sequence[InstanceRecord]) -> None:
        """Updates the known entries from the instance list."""
        entries = [
            PeerAddress(r.instance, r.host, r.port)
            for r in listed
            if r.role == _ENTRY_ROLE and not r.leaving
        ]
        self.shares.on_listed(entries)
        self.quarantine.on_listed(entries)

    def on_frame(self, peer: PeerAddress, frame: wire.Frame) -> None:
        """Handles load reports, shares, suspicions and run requests."""
        for report in frame.reports or ():
            self.wait_estimator.on_report(report)
        for demand in frame.demands or ():
            self.shares.on_demand(peer, demand)
        for grant in frame.grants or ():
            self.shares.on_grant(grant)
        for suspicion in frame.suspicions or ():
            self.quarantine.on_suspicion(suspicion)
        for run_request in frame.run_requests or ():
            self.quarantine.on_run_request(peer, run_request)
        for admitted in frame.run_admitted or ():
            self.quarantine.on_run_admitted(admitted)

    def on_peer_lost(self, instance: str) -> None:
        """Drops state that depends on an unreachable instance."""
        self.wait_estimator.remove(instance)
        self.shares.on_peer_lost(instance)
        self.quarantine.on_peer_lost(instance)

    def _account_rule(self, client_account: str) -> AccountRule | None:
        head = self._bundles.head
        if head is None:
            return None
        account = head.bundle.client_accounts.get(client_account)
        return make_account_rule(account) if account is not None else None

    def _quarantine_rule(self) -> Quarantine:
        head = self._bundles.head
        return head.bundle.quarantine if head is not None else Quarantine()
