"""Client for calls of plain services through side processes."""

import copy
import secrets

import attrs
import xxhash
from gevent import queue

from caroblug.core.limits import Hedging
from caroblug.core.state import ServiceRule
from caroblug.entry._directory import PlainServiceView, SideDirectory
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import PeerNetwork
from caroblug.utils import Clock, ExecutionStatus, Metrics, RefusalType, Refused

_CALL_ID_BYTES = 8
_RETRY_AFTER_MS = 1000
_MAX_ATTEMPTS = 3
_MS_PER_S = 1000


@attrs.frozen
class _AttemptResult:
    """Result of one attempt; `reply` is None if the peer was lost."""

    instance: str
    sent_ms: int
    reply: wire.PlainReply | None


@attrs.frozen
class _PendingAttempt:
    """An attempt that waits for its reply."""

    instance: str
    sent_ms: int
    inbox: queue.SimpleQueue


class _CallAttempts:
    """All attempts of one call."""

    def __init__(self, call: wire.PlainCall, deadline_ms: int) -> None:
        self.call = call
        self.deadline_ms = deadline_ms
        self.inbox: queue.SimpleQueue = queue.SimpleQueue()
        self.tried: set[str] = set()
        self.open: list[str] = []


class PlainServiceClient:
    """Calls plain services and retries a call only where that is safe.

    Args:
        network: Sends calls to side processes.
        directory: The known side processes of each service.
        clock: Source of time.
        metrics: Where attempts are counted.
    """

    def __init__(
        self,
        network: PeerNetwork,
        directory: SideDirectory,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._network = network
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        self._pending: dict[str, _PendingAttempt] = {}
        self._hedging: dict[str, Hedging] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def call(
        self, call: wire.PlainCall, rule: ServiceRule
    ) -> wire.PlainReply | Refused:
        """Sends a call and waits for its reply.

        A call that is not repeatable is retried only if the side process
        reports that it did not run. A repeatable call is also retried when it
        fails and hedged when it is slow, within the hedging budget.

        Args:
            call: The call to send.
            rule: The service's rule from the bundle.

        Returns:
            The service's reply, or a refusal.
        """
        attempts = _CallAttempts(call, self._clock.now_ms() + rule.timeout_ms)
        hedging = self._hedging.setdefault(call.target, Hedging())
        hedging.on_call()
        if not self._send(attempts):
            return _no_instance(call.target)
        try:
            return self._wait(attempts, hedging)
        finally:
            for call_id in attempts.open:
                self._remove(call_id)

    def on_reply(self, reply: wire.PlainReply) -> None:
        """Completes the attempt that a reply belongs to, if it still waits."""
        self._complete(reply.call, reply)

    def on_peer_lost(self, instance: str) -> None:
        """Completes all attempts at a lost instance without a reply."""
        for call_id, attempt in list(self._pending.items()):
            if attempt.instance == instance:
                self._complete(call_id, None)

    def _wait(
        self, attempts: _CallAttempts, hedging: Hedging
    ) -> wire.PlainReply | Refused:
        refused = _no_reply()
        open_attempts = len(attempts.open)
        hedge_ms = hedging.delay_ms if attempts.call.repeatable else None
        while open_attempts:
            left_ms = attempts.deadline_ms - self._clock.now_ms()
            wait_ms = left_ms if hedge_ms is None else min(left_ms, hedge_ms)
            result = _receive(attempts.inbox, wait_ms)
            if result is None:
                if left_ms <= 0 or hedge_ms is None:
                    return _no_reply()
                hedge_ms = None
                open_attempts += self._resend(attempts, hedging, "hedge")
                continue
            open_attempts -= 1
            outcome = _parse_result(result)
            if isinstance(outcome, wire.PlainReply):
                hedging.on_answer(self._clock.now_ms() - result.sent_ms)
                return outcome
            refused = outcome
            if not open_attempts and _is_retryable(attempts.call, refused):
                open_attempts += self._retry(attempts, hedging, refused)
        return refused

    def _retry(
        self, attempts: _CallAttempts, hedging: Hedging, refused: Refused
    ) -> bool:
        # A draining instance refuses a call before doing any work. A retry
        # at another instance adds no load, and a restart must not use up
        # the budget.
        if refused.type is RefusalType.LEAVING:
            return len(attempts.tried) < _MAX_ATTEMPTS and self._send(attempts)
        return self._resend(attempts, hedging, "retry")

    def _resend(
        self, attempts: _CallAttempts, hedging: Hedging, cause: str
    ) -> bool:
        if len(attempts.tried) >= _MAX_ATTEMPTS or not hedging.take():
            return False
        sent = self._send(attempts)
        if sent:
            self._metrics.count("plain_resends", cause=cause)
        return sent

    def _send(self, attempts: _CallAttempts) -> bool:
        view = self._choose_instance(attempts.call, attempts.tried)
        if view is None:
            return False
        instance = view.address.instance
        attempts.tried.add(instance)
        call = copy.copy(attempts.call)
        call.call = secrets.token_hex(_CALL_ID_BYTES)
        attempts.open.append(call.call)
        self._pending[call.call] = _PendingAttempt(
            instance, self._clock.now_ms(), attempts.inbox
        )
        self._network.add_in_flight(instance)
        self._network.send(view.address, call)
        return True

    def _remove(self, call_id: str) -> _PendingAttempt | None:
        attempt = self._pending.pop(call_id, None)
        if attempt is not None:
            self._network.add_in_flight(attempt.instance, -1)
        return attempt

    def _complete(self, call_id: str, reply: wire.PlainReply | None) -> None:
        attempt = self._remove(call_id)
        if attempt is not None:
            attempt.inbox.put(
                _AttemptResult(attempt.instance, attempt.sent_ms, reply)
            )

    def _choose_instance(
        self, call: wire.PlainCall, tried: set[str]
    ) -> PlainServiceView | None:
        views = [
            view
            for view in self._directory.plain_services(call.target)
            if view.address.instance not in tried
        ]
        if not views:
            return None
        if call.key and not call.repeatable:
            return max(views, key=lambda view: _rank(call, view))
        return min(views, key=lambda view: view.running)


def _receive(inbox: queue.SimpleQueue, wait_ms: int) -> _AttemptResult | None:
    try:
        return inbox.get(timeout=max(0, wait_ms) / _MS_PER_S)
    except queue.Empty:
        return None


def _parse_result(result: _AttemptResult) -> wire.PlainReply | Refused:
    reply = result.reply
    if reply is None:
        return _no_reply()
    if reply.status:
        return reply
    return Refused(
        RefusalType(reply.reason),
        reply.message,
        ExecutionStatus(reply.ran),
        reply.retry_after_ms,
    )


def _no_reply() -> Refused:
    return Refused(
        RefusalType.OUTCOME_UNKNOWN,
        "no reply from the service",
        ExecutionStatus.UNKNOWN,
        _RETRY_AFTER_MS,
    )


def _is_retryable(call: wire.PlainCall, refused: Refused) -> bool:
    """Returns whether a refused call may be retried at another instance.

    The owner of an idempotency key may have written an intent to the log.
    Another owner could only reply to that with an unknown outcome, so a call
    with a key is retried only if its owner is draining and has not begun.
    """
    if call.repeatable:
        return True
    if call.key:
        return refused.type is RefusalType.LEAVING
    return refused.ran is ExecutionStatus.NO


def _rank(call: wire.PlainCall, view: PlainServiceView) -> int:
    """Returns the rendezvous rank of an instance for the call's key.

    Every entry thus sends a key to the same instance.
    """
    text = f"{call.client_account}\0{call.key}\0{view.address.instance}"
    return xxhash.xxh64_intdigest(text.encode())


def _no_instance(service: str) -> Refused:
    return Refused(
        RefusalType.NO_CAPACITY,
        f"no instance of {service!r} accepts calls",
        retry_after_ms=_RETRY_AFTER_MS,
    )
