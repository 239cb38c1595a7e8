"""Quarantine of requests that crash engines.

Identical requests run one at a time until one of them has run its whole
prompt, so that a harmful request can't crash many engines at once.
"""

from collections.abc import Callable, Iterable

import gevent
from gevent import event

from caroblug.core.limits import (
    HomeEntries,
    RunGate,
    Suspicion,
    Suspicions,
    Ticket,
    Verdict,
)
from caroblug.core.state import Quarantine
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import (
    PeerAddress,
    PeerNetwork,
    suspicion_from_wire,
    suspicion_to_wire,
)
from caroblug.utils import (
    Clock,
    ExecutionStatus,
    Metrics,
    RefusalType,
    Refused,
    log_state,
)

_SIDE_ROLE = "side"
_RUN_GATE_TERM_MS = 120_000
_RETRY_AFTER_MS = 1000
_TICK_S = 0.5
_MS_PER_S = 1000


class QuarantineClient:
    """Refuses quarantined requests and serialises identical requests.

    The home entry of a client account coordinates the account's requests
    among all entries.

    Args:
        network: Sends messages to other instances.
        home_entries: Maps each account to its home entry.
        rule: Returns the quarantine rule of the bundle in force.
        clock: Source of time.
        metrics: Where quarantines are counted.
    """

    def __init__(
        self,
        network: PeerNetwork,
        home_entries: HomeEntries,
        rule: Callable[[], Quarantine],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._network = network
        self._home_entries = home_entries
        self._rule = rule
        self._clock = clock
        self._metrics = metrics
        self._suspicions = Suspicions()
        self._gate = RunGate(_RUN_GATE_TERM_MS)
        self._entries: dict[str, PeerAddress] = {}
        self._requesters: dict[str, PeerAddress] = {}
        self._last_ticket_number = 0
        self._waiting: dict[Ticket, tuple[str, event.Event]] = {}

    def on_listed(self, entries: Iterable[PeerAddress]) -> None:
        """Updates the available entries from the instance list."""
        self._entries = {entry.instance: entry for entry in entries}

    def run(self) -> None:
        """Removes requests that held the run gate too long, in a loop."""
        while True:
            gevent.sleep(_TICK_S)
            now_ms = self._clock.now_ms()
            for fingerprint, ticket in self._gate.drop_expired(now_ms):
                self._admit(fingerprint, ticket)
            quarantined = self._suspicions.count_quarantined(now_ms)
            self._metrics.gauge("quarantined_requests", quarantined)

    def isolate_until(self, fingerprint: str) -> int:
        """Returns the position up to which a request must run in isolation."""
        return self._suspicions.isolate_until(fingerprint, self._clock.now_ms())

    def refusal(self, fingerprint: str, ran: ExecutionStatus) -> Refused | None:
        """Returns a refusal if a request is quarantined, else None.

        Args:
            fingerprint: The request.
            ran: Whether it may have run, for the refusal.
        """
        now_ms = self._clock.now_ms()
        if (
            self._suspicions.verdict(fingerprint, now_ms)
            is not Verdict.QUARANTINED
        ):
            return None
        left_ms = self._suspicions.remaining_ms(fingerprint, now_ms)
        return Refused(
            RefusalType.QUARANTINED,
            "this request has made backend servers crash",
            ran,
            max(1, min(left_ms, self._rule().retry_after_ms)),
        )

    def enter(
        self, fingerprint: str, client_account: str, timeout_ms: int
    ) -> Ticket | Refused:
        """Waits until no identical unproved request runs.

        A request is proved when an identical one has run its whole prompt.

        Args:
            fingerprint: The request.
            client_account: The account that sent it; its home entry queues
                identical requests.
            timeout_ms: Maximum time to wait.

        Returns:
            A ticket to pass to `leave`, or a refusal.
        """
        if self._gate.is_proved(fingerprint, self._clock.now_ms()):
            return self.refusal(fingerprint, ExecutionStatus.NO) or Ticket(
                "", 0
            )
        self._last_ticket_number += 1
        ticket = Ticket(self._home_entries.own, self._last_ticket_number)
        end_ms = self._clock.now_ms() + timeout_ms
        admitted = self._enter_at_home(
            fingerprint, client_account, ticket, timeout_ms
        )
        if not admitted:
            left_ms = end_ms - self._clock.now_ms()
            admitted = self._enter_locally(fingerprint, ticket, left_ms)
        refused = self.refusal(fingerprint, ExecutionStatus.NO)
        if refused is None and not admitted:
            refused = Refused(
                RefusalType.LIMIT_REACHED,
                "an equal request is still running",
                retry_after_ms=_RETRY_AFTER_MS,
            )
        if refused is not None:
            self.leave(fingerprint, client_account, ticket)
            return refused
        return ticket

    def leave(
        self,
        fingerprint: str,
        client_account: str,
        ticket: Ticket,
        *,
        proved: bool = False,
    ) -> None:
        """Removes a request from the run gate; leaving twice has no effect.

        Args:
            fingerprint: The request.
            client_account: The account that sent it.
            ticket: The ticket that `enter` returned.
            proved: Whether the request has produced its first token. If so,
                all identical requests may run, else the next one in line.
        """
        if not ticket.number:
            return
        home = self._home_entries.home_of(client_account)
        if home in self._entries and home != self._home_entries.own:
            message = wire.RunRequest(
                fingerprint, ticket.number, leave=True, proved=proved
            )
            if self._network.is_connected(home):
                self._network.send(self._entries[home], message)
        self._leave_locally(fingerprint, ticket, proved=proved)

    def on_progress(self, fingerprint: str, length: int) -> None:
        """Clears suspicions of a request that has run past a crash's position.

        Args:
            fingerprint: The request.
            length: Number of its tokens, prompt included.
        """
        now_ms = self._clock.now_ms()
        for suspicion in self._suspicions.clear(fingerprint, length, now_ms):
            self._forward_to_home(suspicion)

    def on_suspicion(self, message: wire.Suspicion) -> None:
        """Records a suspicion; one that is new is forwarded to the home."""
        suspicion = suspicion_from_wire(message)
        now_ms = self._clock.now_ms()
        before = self._suspicions.verdict(suspicion.fingerprint, now_ms)
        if not self._suspicions.on_suspicion(suspicion, now_ms):
            return
        self._metrics.count("suspicions")
        self._gate.revoke_proved(suspicion.fingerprint)
        self._forward_to_home(suspicion)
        after = self._suspicions.verdict(suspicion.fingerprint, now_ms)
        if after is Verdict.QUARANTINED and before is not after:
            log_state(
                "request.quarantined",
                fingerprint=suspicion.fingerprint,
                client_account=suspicion.client_account,
            )
            self._metrics.count("quarantines")
            self._broadcast_to_sides(suspicion.fingerprint)

    def on_run_request(
        self, peer: PeerAddress, message: wire.RunRequest
    ) -> None:
        """Handles another entry's use of the run gate, as the account's home.

        A home entry that has just started may not have read the instance
        list. It replies to the requesting entry whether or not that is
        listed, because the request would otherwise wait until its deadline.

        Args:
            peer: The requesting entry.
            message: The request that enters or leaves the run gate.
        """
        self._requesters[peer.instance] = peer
        ticket = Ticket(peer.instance, message.number)
        if message.leave:
            self._leave_locally(
                message.fingerprint, ticket, proved=bool(message.proved)
            )
            return
        now_ms = self._clock.now_ms()
        if self._gate.enter(message.fingerprint, ticket, now_ms):
            self._admit(message.fingerprint, ticket)

    def on_run_admitted(self, message: wire.RunAdmitted) -> None:
        """Starts a waiting request that its account's home has admitted."""
        for known in message.known or ():
            self.on_suspicion(known)
        waiting = self._waiting.get(
            Ticket(self._home_entries.own, message.number)
        )
        if waiting is not None:
            waiting[1].set()

    def on_peer_lost(self, instance: str) -> None:
        """Removes a lost entry's requests and ends waits for a lost home."""
        requester = self._requesters.pop(instance, None)
        if requester is None and instance not in self._entries:
            return
        now_ms = self._clock.now_ms()
        for fingerprint, ticket in self._gate.drop_entry(instance, now_ms):
            self._admit(fingerprint, ticket)
        for home, reply_received in list(self._waiting.values()):
            if home == instance:
                reply_received.set()

    def _enter_at_home(
        self,
        fingerprint: str,
        client_account: str,
        ticket: Ticket,
        timeout_ms: int,
    ) -> bool:
        home = self._home_entries.home_of(client_account)
        if home == self._home_entries.own or home not in self._entries:
            return False
        reply_received = event.Event()
        self._waiting[ticket] = (home, reply_received)
        message = wire.RunRequest(fingerprint, ticket.number, leave=False)
        self._network.send(self._entries[home], message)
        try:
            replied = reply_received.wait(timeout_ms / _MS_PER_S)
        finally:
            del self._waiting[ticket]
        return replied and self._network.is_connected(home)

    def _enter_locally(
        self, fingerprint: str, ticket: Ticket, timeout_ms: int
    ) -> bool:
        """Waits in this entry's run gate, as the home or if none replied."""
        if timeout_ms <= 0:
            return False
        if self._gate.enter(fingerprint, ticket, self._clock.now_ms()):
            return True
        reply_received = event.Event()
        self._waiting[ticket] = (self._home_entries.own, reply_received)
        try:
            return reply_received.wait(timeout_ms / _MS_PER_S)
        finally:
            del self._waiting[ticket]

    def _leave_locally(
        self, fingerprint: str, ticket: Ticket, *, proved: bool
    ) -> None:
        now_ms = self._clock.now_ms()
        if proved:
            for waiting in self._gate.mark_proved(fingerprint, now_ms):
                self._admit(fingerprint, waiting)
            return
        following = self._gate.leave(fingerprint, ticket, now_ms)
        if following is not None:
            self._admit(fingerprint, following)

    def _admit(self, fingerprint: str, ticket: Ticket) -> None:
        if ticket.entry == self._home_entries.own:
            waiting = self._waiting.get(ticket)
            if waiting is not None:
                waiting[1].set()
            return
        entry = self._requesters.get(ticket.entry)
        if entry is None:
            return
        known = self._suspicions.for_request(fingerprint, self._clock.now_ms())
        self._network.send(
            entry,
            wire.RunAdmitted(
                fingerprint,
                ticket.number,
                [suspicion_to_wire(s) for s in known],
            ),
        )

    def _forward_to_home(self, suspicion: Suspicion) -> None:
        """Sends a suspicion to the account's home entry.

        The home includes its suspicions of a request when it admits one for
        another entry.
        """
        home = self._home_entries.home_of(suspicion.client_account)
        if home != self._home_entries.own and home in self._entries:
            self._network.send(
                self._entries[home], suspicion_to_wire(suspicion)
            )

    def _broadcast_to_sides(self, fingerprint: str) -> None:
        known = self._suspicions.for_request(fingerprint, self._clock.now_ms())
        self._network.broadcast(
            _SIDE_ROLE, *(suspicion_to_wire(s) for s in known)
        )
