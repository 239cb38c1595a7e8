"""Calls of plain services: one answer, taken whole before it is passed on."""

import enum

import attrs

from caroblug.gateway._connect_attempts import CONNECT_TIMEOUT_S
from caroblug.gateway._context import Context
from caroblug.gateway._crash_suspicions import CrashSuspicions
from caroblug.gateway._exchange_results import (
    ExchangeFailure,
    FailureKind,
    ReadTimeout,
    ResponseHead,
)
from caroblug.gateway._fleet import warrants_ejection
from caroblug.gateway._http_client import Exchange
from caroblug.gateway._interfaces import (
    AnswerMetadata,
    BackendServer,
    ForwardMetadata,
    RunState,
)
from caroblug.gateway._pending_request import GatewayResponses, PendingRequest
from caroblug.gateway._shared_retry_budget import SharedRetryBudget

_MOST_SENDS = 4
"""Sends of one request, those that were turned away included."""

_PATIENCE = 0.45
"""Share of the time left that a repeatable call waits at one backend server
before it is tried at another, as long as another try is allowed."""

_ERROR = 500


class Next(enum.Enum):
    """What follows a try."""

    ANSWERED = "answered"
    TURNED_AWAY = "turned_away"
    NOT_SENT = "not_sent"
    FAILED = "failed"
    SILENT = "silent"


@attrs.frozen
class Tried:
    """What came of one try.

    Attributes:
        next: What follows.
        reason: What was seen, for the log.
        head: The answer's head, if there was one.
        facts: What the head says.
        body: The answer's body, if it is whole.
    """

    next: Next
    reason: str = ""
    head: ResponseHead | None = None
    facts: AnswerMetadata | None = None
    body: bytes = b""


class PlainCallHandler:
    """Answers calls.

    Args:
        context: What the gateway's parts share.
        crashes: Requests that crash backend servers.
        retry_budget: Allows requests to be sent once more.
    """

    def __init__(
        self,
        context: Context,
        crashes: CrashSuspicions,
        retry_budget: SharedRetryBudget,
    ) -> None:
        self._context = context
        self._crashes = crashes
        self._retry_budget = retry_budget
        self._responses = GatewayResponses(context)

    def serve(self, pending: PendingRequest) -> None:
        """Answers one call, at the end of its time at the latest."""
        clock = self._context.clock
        repeatable = pending.admitted.route.retryable
        last = Tried(Next.NOT_SENT, "no backend server")
        while pending.sends < _MOST_SENDS:
            if pending.left_ms(clock.now_ms()) <= 0:
                break
            backend = self._context.fleet.choose_backend(
                pending.admitted.service, pending.tried, clock.now_ms()
            )
            if backend is None:
                break
            if pending.sends and not self._retry_budget.take(
                pending.admitted.service.name
            ):
                break
            tried = self._try(pending, backend)
            if tried.next is Next.ANSWERED and not self._worth_another(
                pending, tried
            ):
                self._pass_on(pending, tried)
                return
            last = _better(last, tried)
            lost = tried.next in (Next.FAILED, Next.SILENT)
            if lost and not repeatable:
                break
            if pending.ran >= pending.admitted.route.max_attempts:
                break
            if self._crashes.is_quarantined(pending):
                break
        self._give_up(pending, last)

    def _try(self, pending: PendingRequest, backend: BackendServer) -> Tried:
        """Sends the call to one backend server and waits for its answer."""
        context = self._context
        pending.tried.add(backend.name)
        exchange = Exchange(backend.address)
        context.fleet.begin_request(backend.name)
        try:
            tried = self._exchange(pending, backend, exchange)
        finally:
            exchange.close()
            context.fleet.end_request(backend.name)
        if tried.next is not Next.ANSWERED:
            context.telemetry.count("tries_failed", reason=tried.reason)
            context.log.write(
                "call.try_failed",
                request=pending.caller.id,
                backend_server=backend.name,
                outcome=tried.next.value,
                reason=tried.reason,
            )
        return tried

    def _exchange(
        self,
        pending: PendingRequest,
        backend: BackendServer,
        exchange: Exchange,
    ) -> Tried:
        context = self._context
        clock = context.clock
        left_s = pending.left_ms(clock.now_ms()) / 1000
        problem = exchange.connect(min(CONNECT_TIMEOUT_S, left_s))
        if problem is None:
            pending.on_send(self._context)
            data = self._encode(pending, backend)
            problem = exchange.send(data, left_s, self._bodiless(pending))
        if problem is not None:
            return self._on_broken(pending, backend, problem)
        head = exchange.read_head(self._patience_s(pending))
        if isinstance(head, ReadTimeout):
            pending.ran += 1
            return Tried(Next.SILENT, "no answer in time")
        if isinstance(head, ExchangeFailure):
            return self._on_broken(pending, backend, head)
        facts = context.dialect.decode_answer(head)
        context.fleet.on_response(
            backend.name, facts.running, facts.waiting, clock.now_ms()
        )
        if facts.run is RunState.NOT_RUN:
            context.fleet.on_full(backend.name, clock.now_ms())
            return Tried(Next.TURNED_AWAY, f"turned away with {head.status}")
        pending.ran += 1
        left_s = pending.left_ms(clock.now_ms()) / 1000
        body = exchange.read_body(left_s)
        if isinstance(body, ReadTimeout):
            return Tried(Next.SILENT, "body not whole in time")
        if isinstance(body, ExchangeFailure):
            return Tried(Next.FAILED, f"body {body.failure.value}")
        if facts.request_id != pending.caller.id:
            # An answer to something else says nothing about this request.
            return Tried(Next.FAILED, FailureKind.WRONG_ANSWER.value)
        if not facts.genuine:
            return Tried(Next.FAILED, f"unproved answer {head.status}")
        return Tried(Next.ANSWERED, "", head, facts, body)

    def _on_broken(
        self,
        pending: PendingRequest,
        backend: BackendServer,
        broken: ExchangeFailure,
    ) -> Tried:
        context = self._context
        if warrants_ejection(broken.failure):
            for_ms = context.fleet.eject(backend.name, context.clock.now_ms())
            context.log.write(
                "backend_server.avoided",
                backend_server=backend.name,
                reason=broken.failure.value,
                for_ms=for_ms,
            )
        if not broken.sent:
            return Tried(Next.NOT_SENT, broken.failure.value)
        pending.ran += 1
        self._crashes.on_connection_lost(pending, backend.name, backend.address)
        return Tried(Next.FAILED, broken.failure.value)

    def _encode(self, pending: PendingRequest, backend: BackendServer) -> bytes:
        sending = ForwardMetadata(
            backend=backend.name,
            left_ms=pending.left_ms(self._context.clock.now_ms()),
            account=pending.account,
            priority=pending.admitted.priority,
            resume_after=pending.caller.resume_after,
        )
        return self._context.dialect.encode_request(
            pending.request, pending.caller, sending
        )

    def _bodiless(self, pending: PendingRequest) -> bool:
        return pending.request.method == "HEAD"

    def _patience_s(self, pending: PendingRequest) -> float:
        left_s = pending.left_ms(self._context.clock.now_ms()) / 1000
        route = pending.admitted.route
        if route.retryable and pending.ran + 1 < route.max_attempts:
            return left_s * _PATIENCE
        return left_s

    def _worth_another(self, pending: PendingRequest, tried: Tried) -> bool:
        """Returns whether a failure of the backend server is tried again."""
        route = pending.admitted.route
        return (
            tried.head.status >= _ERROR
            and route.retryable
            and pending.ran < route.max_attempts
        )

    def _pass_on(self, pending: PendingRequest, tried: Tried) -> None:
        status = tried.head.status
        self._responses.log(pending, status)
        pending.reply.send(status, list(tried.facts.headers), tried.body)

    def _give_up(self, pending: PendingRequest, last: Tried) -> None:
        if last.next is Next.ANSWERED:
            self._pass_on(pending, last)
        elif not pending.ran:
            self._responses.refuse(pending, last.reason)
        elif last.next is Next.SILENT:
            self._responses.fail(pending, 504, last.reason)
        else:
            self._responses.fail(pending, 502, last.reason)


def _better(before: Tried, now: Tried) -> Tried:
    """Returns what tells the caller more: an answer, else the newest."""
    if before.next is Next.ANSWERED and now.next is not Next.ANSWERED:
        return before
    return now
