"""Calls of plain services, from the entry to a side process."""

import copy
import secrets

import attrs
import xxhash
from gevent import queue

from caroblug.core.limits import Hedging
from caroblug.core.state import ServiceRule
from caroblug.entry._directory import Directory, PlainView
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import PeerNetwork
from caroblug.utils import Clock, ExecutionStatus, Metrics, RefusalType, Refused

_CALL_BYTES = 8
_RETRY_AFTER_MS = 1000
_ATTEMPTS = 3
_MS_PER_S = 1000


@attrs.frozen
class _Reply:
    """What came of one sending; `reply` is None if the peer was lost."""

    instance: str
    sent_ms: int
    reply: wire.PlainReply | None


@attrs.frozen
class _Waiting:
    """One sending of a call that waits for its reply."""

    instance: str
    sent_ms: int
    inbox: queue.SimpleQueue


class _Sendings:
    """All sendings of one call."""

    def __init__(self, call: wire.PlainCall, deadline_ms: int) -> None:
        self.call = call
        self.deadline_ms = deadline_ms
        self.inbox: queue.SimpleQueue = queue.SimpleQueue()
        self.tried: set[str] = set()
        self.open: list[str] = []


class PlainClient:
    """Calls plain services, repeating only what may be repeated.

    Args:
        network: Where calls are sent.
        directory: What is known of the services.
        clock: Source of time.
        metrics: Where attempts are counted.
    """

    def __init__(
        self,
        network: PeerNetwork,
        directory: Directory,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._network = network
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        self._waiting: dict[str, _Waiting] = {}
        self._hedging: dict[str, Hedging] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def call(
        self, call: wire.PlainCall, rule: ServiceRule
    ) -> wire.PlainReply | Refused:
        """Makes a call and waits for its answer.

        A call that may not be repeated is sent once more only when its side
        process has said that it did not run. One that may be is also sent
        again when it fails or takes long, within the budget.
        """
        sendings = _Sendings(call, self._clock.now_ms() + rule.timeout_ms)
        hedging = self._hedging.setdefault(call.target, Hedging())
        hedging.on_call()
        if not self._send(sendings):
            return _no_instance(call.target)
        try:
            return self._await(sendings, hedging)
        finally:
            for identity in sendings.open:
                self._forget(identity)

    def on_reply(self, reply: wire.PlainReply) -> None:
        """Takes a reply; one that nobody waits for is dropped."""
        self._end(reply.call, reply)

    def on_peer_lost(self, instance: str) -> None:
        """Ends the wait for replies from an instance."""
        for identity, waiting in list(self._waiting.items()):
            if waiting.instance == instance:
                self._end(identity, None)

    def _await(
        self, sendings: _Sendings, hedging: Hedging
    ) -> wire.PlainReply | Refused:
        refused = _no_answer()
        pending = len(sendings.open)
        hedge_ms = hedging.delay_ms if sendings.call.repeatable else None
        while pending:
            left_ms = sendings.deadline_ms - self._clock.now_ms()
            wait_ms = left_ms if hedge_ms is None else min(left_ms, hedge_ms)
            received = _take(sendings.inbox, wait_ms)
            if received is None:
                if left_ms <= 0 or hedge_ms is None:
                    return _no_answer()
                hedge_ms = None
                pending += self._resend(sendings, hedging, "hedge")
                continue
            pending -= 1
            outcome = _outcome_of(received)
            if isinstance(outcome, wire.PlainReply):
                hedging.on_answer(self._clock.now_ms() - received.sent_ms)
                return outcome
            refused = outcome
            if not pending and _may_try_another(sendings.call, refused):
                pending += self._retry(sendings, hedging, refused)
        return refused

    def _retry(
        self, sendings: _Sendings, hedging: Hedging, refused: Refused
    ) -> bool:
        # An instance that leaves has done nothing: asking another one adds
        # no load, and a restart must not use up the budget.
        if refused.type is RefusalType.LEAVING:
            return len(sendings.tried) < _ATTEMPTS and self._send(sendings)
        return self._resend(sendings, hedging, "retry")

    def _resend(
        self, sendings: _Sendings, hedging: Hedging, cause: str
    ) -> bool:
        if len(sendings.tried) >= _ATTEMPTS or not hedging.take():
            return False
        sent = self._send(sendings)
        if sent:
            self._metrics.count("plain_resends", cause=cause)
        return sent

    def _send(self, sendings: _Sendings) -> bool:
        view = self._choose(sendings.call, sendings.tried)
        if view is None:
            return False
        instance = view.address.instance
        sendings.tried.add(instance)
        call = copy.copy(sendings.call)
        call.call = secrets.token_hex(_CALL_BYTES)
        sendings.open.append(call.call)
        self._waiting[call.call] = _Waiting(
            instance, self._clock.now_ms(), sendings.inbox
        )
        self._network.watch(instance)
        self._network.send(view.address, call)
        return True

    def _forget(self, identity: str) -> _Waiting | None:
        waiting = self._waiting.pop(identity, None)
        if waiting is not None:
            self._network.watch(waiting.instance, -1)
        return waiting

    def _end(self, identity: str, reply: wire.PlainReply | None) -> None:
        waiting = self._forget(identity)
        if waiting is not None:
            waiting.inbox.put(_Reply(waiting.instance, waiting.sent_ms, reply))

    def _choose(
        self, call: wire.PlainCall, tried: set[str]
    ) -> PlainView | None:
        views = [
            view
            for view in self._directory.plain(call.target)
            if view.address.instance not in tried
        ]
        if not views:
            return None
        if call.key and not call.repeatable:
            return max(views, key=lambda view: _rank(call, view))
        return min(views, key=lambda view: view.running)


def _take(inbox: queue.SimpleQueue, wait_ms: int) -> _Reply | None:
    try:
        return inbox.get(timeout=max(0, wait_ms) / _MS_PER_S)
    except queue.Empty:
        return None


def _outcome_of(received: _Reply) -> wire.PlainReply | Refused:
    reply = received.reply
    if reply is None:
        return _no_answer()
    if reply.status:
        return reply
    return Refused(
        RefusalType(reply.reason),
        reply.message,
        ExecutionStatus(reply.ran),
        reply.retry_after_ms,
    )


def _no_answer() -> Refused:
    return Refused(
        RefusalType.OUTCOME_UNKNOWN,
        "no answer from the service",
        ExecutionStatus.UNKNOWN,
        _RETRY_AFTER_MS,
    )


def _may_try_another(call: wire.PlainCall, refused: Refused) -> bool:
    """Tells whether another instance may be asked after a refusal.

    A key's owner may have left an intent on the log, which another owner
    could only answer by `unknown`; one that leaves has not begun.
    """
    if call.repeatable:
        return True
    if call.key:
        return refused.type is RefusalType.LEAVING
    return refused.ran is ExecutionStatus.NO


def _rank(call: wire.PlainCall, view: PlainView) -> int:
    """Rendezvous rank: every entry sends a key to the same instance."""
    text = f"{call.client_account}\0{call.key}\0{view.address.instance}"
    return xxhash.xxh64_intdigest(text.encode())


def _no_instance(service: str) -> Refused:
    return Refused(
        RefusalType.NO_CAPACITY,
        f"no instance of {service!r} takes calls",
        retry_after_ms=_RETRY_AFTER_MS,
    )
