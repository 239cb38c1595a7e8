"""Requests that crash engines: what is known, and one at a time."""

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
    Metrics,
    Ran,
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
    """Keeps quarantined requests out and equal requests in line.

    Args:
        network: Where messages are sent.
        homes: Which entry is whose home.
        rule: Returns the bundle's rule.
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
        self._known = Suspicions()
        self._gate = RunGate(_RUN_GATE_TERM_MS)
        self._entries: dict[str, PeerAddress] = {}
        self._requesters: dict[str, PeerAddress] = {}
        self._last_number = 0
        self._waiting: dict[Ticket, tuple[str, event.Event]] = {}

    def on_listed(self, entries: Iterable[PeerAddress]) -> None:
        """Takes the live entries that the instance list shows."""
        self._entries = {entry.instance: entry for entry in entries}

    def run(self) -> None:
        """Takes away places held for too long, for ever."""
        while True:
            gevent.sleep(_TICK_S)
            now_ms = self._clock.now_ms()
            for fingerprint, ticket in self._gate.drop_expired(now_ms):
                self._admit(fingerprint, ticket)
            quarantined = self._known.count_quarantined(now_ms)
            self._metrics.gauge("quarantined_requests", quarantined)

    def isolate_until(self, fingerprint: str) -> int:
        """Returns the position up to which a request is to run alone."""
        return self._known.isolate_until(fingerprint, self._clock.now_ms())

    def refusal(self, fingerprint: str, ran: Ran) -> Refused | None:
        """Returns the refusal of a quarantined request, else None."""
        now_ms = self._clock.now_ms()
        if self._known.verdict(fingerprint, now_ms) is not Verdict.QUARANTINED:
            return None
        left_ms = self._known.remaining_ms(fingerprint, now_ms)
        return Refused(
            RefusalType.QUARANTINED,
            "this request has made backend servers crash",
            ran,
            max(1, min(left_ms, self._rule().retry_after_ms)),
        )

    def enter(
        self, fingerprint: str, client_account: str, timeout_ms: int
    ) -> Ticket | Refused:
        """Waits until no equal request runs that is not proved yet.

        Args:
            fingerprint: The request.
            client_account: Whose it is: its home keeps the line.
            timeout_ms: How long to wait.

        Returns:
            What to give to `leave`, or a refusal.
        """
        if self._gate.is_proved(fingerprint, self._clock.now_ms()):
            return self.refusal(fingerprint, Ran.NO) or Ticket("", 0)
        self._last_number += 1
        ticket = Ticket(self._home_entries.own, self._last_number)
        end_ms = self._clock.now_ms() + timeout_ms
        admitted = self._enter_at_home(
            fingerprint, client_account, ticket, timeout_ms
        )
        if not admitted:
            left_ms = end_ms - self._clock.now_ms()
            admitted = self._enter_locally(fingerprint, ticket, left_ms)
        refused = self.refusal(fingerprint, Ran.NO)
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
        """Lets equal requests run; leaving twice does nothing.

        Args:
            fingerprint: The request.
            client_account: Whose it is.
            ticket: What `enter` returned.
            proved: Whether it has had its first token.
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
        """Clears a request that has run on past where a crash met it.

        Args:
            fingerprint: The request.
            length: Its tokens, prompt included.
        """
        now_ms = self._clock.now_ms()
        for suspicion in self._known.clear(fingerprint, length, now_ms):
            self._forward_to_home(suspicion)

    def on_suspicion(self, message: wire.Suspicion) -> None:
        """Takes news of a crash, and passes it on if it is news."""
        suspicion = suspicion_from_wire(message)
        now_ms = self._clock.now_ms()
        before = self._known.verdict(suspicion.fingerprint, now_ms)
        if not self._known.on_suspicion(suspicion, now_ms):
            return
        self._metrics.count("suspicions")
        self._gate.revoke_proved(suspicion.fingerprint)
        self._forward_to_home(suspicion)
        after = self._known.verdict(suspicion.fingerprint, now_ms)
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
        """Takes a request that wants to run, as its account's home.

        Guards against a home that has just started and has not read the
        instance list yet: it answers whoever asked it, listed or not, or the
        request would wait for its turn until its deadline.
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
        """Lets a request run that its account's home has admitted."""
        for known in message.known or ():
            self.on_suspicion(known)
        waiting = self._waiting.get(
            Ticket(self._home_entries.own, message.number)
        )
        if waiting is not None:
            waiting[1].set()

    def on_peer_lost(self, instance: str) -> None:
        """Frees the places of a lost entry; waits no more for a lost home."""
        requester = self._requesters.pop(instance, None)
        if requester is None and instance not in self._entries:
            return
        now_ms = self._clock.now_ms()
        for fingerprint, ticket in self._gate.drop_entry(instance, now_ms):
            self._admit(fingerprint, ticket)
        for home, answer in list(self._waiting.values()):
            if home == instance:
                answer.set()

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
        answer = event.Event()
        self._waiting[ticket] = (home, answer)
        message = wire.RunRequest(fingerprint, ticket.number, leave=False)
        self._network.send(self._entries[home], message)
        try:
            answered = answer.wait(timeout_ms / _MS_PER_S)
        finally:
            del self._waiting[ticket]
        return answered and self._network.is_connected(home)

    def _enter_locally(
        self, fingerprint: str, ticket: Ticket, timeout_ms: int
    ) -> bool:
        """Waits in this entry's own line: as home, or for want of one."""
        if timeout_ms <= 0:
            return False
        if self._gate.enter(fingerprint, ticket, self._clock.now_ms()):
            return True
        answer = event.Event()
        self._waiting[ticket] = (self._home_entries.own, answer)
        try:
            return answer.wait(timeout_ms / _MS_PER_S)
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
        known = self._known.for_request(fingerprint, self._clock.now_ms())
        self._network.send(
            entry,
            wire.RunAdmitted(
                fingerprint,
                ticket.number,
                [suspicion_to_wire(s) for s in known],
            ),
        )

    def _forward_to_home(self, suspicion: Suspicion) -> None:
        """Tells the account's home, which tells whoever asks it."""
        home = self._home_entries.home_of(suspicion.client_account)
        if home != self._home_entries.own and home in self._entries:
            self._network.send(
                self._entries[home], suspicion_to_wire(suspicion)
            )

    def _broadcast_to_sides(self, fingerprint: str) -> None:
        known = self._known.for_request(fingerprint, self._clock.now_ms())
        self._network.broadcast(
            _SIDE_ROLE, *(suspicion_to_wire(s) for s in known)
        )
