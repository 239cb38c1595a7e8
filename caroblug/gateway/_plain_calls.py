"""Plain calls, whose response is read completely before it is forwarded."""

import enum

import attrs
import gevent

from caroblug.core.limits import RetryClass, classify_retry
from caroblug.gateway._connect_attempts import CONNECT_TIMEOUT_S
from caroblug.gateway._context import Context
from caroblug.gateway._crash_suspicions import CrashSuspicions
from caroblug.gateway._engine_reports import record_replacement
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
from caroblug.gateway._limit_permits import LimitPermits
from caroblug.gateway._pending_request import (
    GatewayResponses,
    PendingRequest,
    read_whole_body,
)
from caroblug.gateway._process_ends import ServerProcess
from caroblug.gateway._server_advice import (
    AT_REST_REASON,
    apply_server_advice,
    is_from_another_server,
)
from caroblug.gateway._shared_retry_budget import SharedRetryBudget

_MAX_SENDS = 4
"""Maximum number of sends of one request, including rejected ones."""

_RETRYABLE_WAIT_SHARE = 0.45
"""Share of the remaining time that an idempotent call waits for one backend
server while another attempt is still allowed."""

_MIN_ERROR_STATUS = 500
_NO_SERVER_REASON = "no backend server accepts requests"


class AttemptOutcome(enum.Enum):
    """Outcome of an attempt to run a call on one backend server."""

    ANSWERED = "answered"
    REJECTED = "turned_away"
    NOT_SENT = "not_sent"
    FAILED = "failed"
    TIMED_OUT = "silent"
    QUARANTINED = "quarantined"


@attrs.frozen
class AttemptResult:
    """Result of one attempt.

    Attributes:
        outcome_kind: Outcome of the attempt.
        reason: Why the attempt failed, for the log and the caller.
        head: Head of the response, if the attempt was answered.
        metadata: Information decoded from the head.
        body: Body of the response, if the attempt was answered.
    """

    outcome_kind: AttemptOutcome
    reason: str = ""
    head: ResponseHead | None = None
    metadata: AnswerMetadata | None = None
    body: bytes = b""


_QUARANTINED = AttemptResult(
    AttemptOutcome.QUARANTINED, AttemptOutcome.QUARANTINED.value
)


class PlainCallHandler:
    """Forwards plain calls to backend servers and retries failed attempts.

    Args:
        context: State shared by the gateway's components.
        crashes: Suspicions against requests that crash backend servers.
        retry_budget: Budget that retries are taken from.
        permits: Permits for servers with a limit.
    """

    def __init__(
        self,
        context: Context,
        crashes: CrashSuspicions,
        retry_budget: SharedRetryBudget,
        permits: LimitPermits,
    ) -> None:
        self._context = context
        self._crashes = crashes
        self._retry_budget = retry_budget
        self._permits = permits
        self._responses = GatewayResponses(context)

    def serve(self, pending: PendingRequest) -> None:
        """Responds to a call by its deadline at the latest."""
        clock = self._context.clock
        retryable = pending.admitted.route.retryable
        last = AttemptResult(AttemptOutcome.NOT_SENT, _NO_SERVER_REASON)
        while pending.sends < _MAX_SENDS:
            if self._crashes.is_quarantined(pending):
                last = _select_result(last, _QUARANTINED)
                break
            if pending.left_ms(clock.now_ms()) <= 0:
                break
            backend = self._choose_backend(pending)
            if backend is None:
                break
            if pending.sends and not self._retry_budget.take(
                pending.admitted.service.name, self._retry_class(pending)
            ):
                break
            result = self._attempt(pending, backend)
            if (
                result.outcome_kind is AttemptOutcome.ANSWERED
                and not self._should_retry(pending, result)
            ):
                self._forward(pending, result)
                return
            last = _select_result(last, result)
            failed = result.outcome_kind in (
                AttemptOutcome.FAILED,
                AttemptOutcome.TIMED_OUT,
            )
            if failed and not retryable:
                break
            if pending.ran >= pending.admitted.route.max_attempts:
                break
        self._finish(pending, last)

    def _retry_class(self, pending: PendingRequest) -> RetryClass:
        """Returns the class of a retry.

        A response is complete before it is forwarded, so that none has begun.
        """
        admitted = pending.admitted
        ranks = self._context.ranks_of(admitted.service.name)
        return classify_retry(False, admitted.priority, ranks)

    def _choose_backend(self, pending: PendingRequest) -> BackendServer | None:
        """Returns a server and counts the request towards its limit."""
        fleet = self._context.fleet
        service = pending.admitted.service
        now_ms = self._context.clock.now_ms()
        backend = fleet.choose_backend(service, pending.tried, now_ms)
        if backend is None:
            limited = fleet.choose_limited_backends(
                service, pending.tried, now_ms
            )
            backend = self._permits.acquire_first(limited)
        if backend is not None and not fleet.limits.take(
            backend.name, self._context.clock.now_ms()
        ):
            return None
        return backend

    def _attempt(
        self, pending: PendingRequest, backend: BackendServer
    ) -> AttemptResult:
        """Sends the call to one backend server and waits for the response."""
        context = self._context
        pending.tried.add(backend.name)
        exchange = Exchange(backend.address)
        process = self._find_process(pending, backend)
        context.fleet.begin_request(backend.name)
        try:
            result = self._exchange(pending, backend, process, exchange)
        except gevent.GreenletExit:
            # The caller has left, and this greenlet with it.
            if exchange.sent:
                gevent.spawn(self._crashes.on_run_lost, pending, process)
            raise
        finally:
            exchange.close()
            context.fleet.end_request(backend.name)
        if result.outcome_kind is not AttemptOutcome.ANSWERED:
            context.telemetry.count("tries_failed", reason=result.reason)
            context.log.write(
                "call.try_failed",
                request=pending.caller.id,
                backend_server=backend.name,
                outcome=result.outcome_kind.value,
                reason=result.reason,
            )
        return result

    def _exchange(
        self,
        pending: PendingRequest,
        backend: BackendServer,
        process: ServerProcess,
        exchange: Exchange,
    ) -> AttemptResult:
        context = self._context
        clock = context.clock
        left_s = pending.left_ms(clock.now_ms()) / 1000
        problem = exchange.connect(min(CONNECT_TIMEOUT_S, left_s))
        if problem is not None:
            return self._on_exchange_failure(pending, process, problem)
        sent_ms = clock.now_ms()
        if context.fleet.availability.is_at_rest(backend.name, sent_ms):
            return AttemptResult(AttemptOutcome.NOT_SENT, AT_REST_REASON)
        if self._crashes.is_quarantined(pending):
            # Another gateway may have reported a crash meanwhile.
            return _QUARANTINED
        pending.on_send(self._context)
        parts = self._encode(pending, backend)
        problem = exchange.send(parts, left_s, self._is_bodiless(pending))
        if problem is not None:
            return self._on_exchange_failure(pending, process, problem)
        head = exchange.read_head(self._response_timeout_s(pending))
        if isinstance(head, ReadTimeout):
            pending.ran += 1
            gevent.spawn(self._crashes.on_run_lost, pending, process)
            return AttemptResult(AttemptOutcome.TIMED_OUT, "no answer in time")
        if isinstance(head, ExchangeFailure):
            return self._on_exchange_failure(pending, process, head)
        metadata = context.dialect.decode_answer(head)
        if metadata.request_id not in (None, pending.caller.id):
            # A response to another request says nothing about this one.
            pending.ran += 1
            return AttemptResult(
                AttemptOutcome.FAILED, FailureKind.WRONG_ANSWER.value
            )
        if is_from_another_server(
            pending.admitted.service, backend.name, metadata
        ):
            record_replacement(context, backend.name)
            return AttemptResult(
                AttemptOutcome.REJECTED, "another server at the address"
            )
        apply_server_advice(context, backend.name, metadata, sent_ms)
        context.fleet.on_response(
            backend.name, metadata.running, metadata.waiting, clock.now_ms()
        )
        if metadata.run is RunState.NOT_RUN:
            context.fleet.on_full(backend.name, clock.now_ms())
            return AttemptResult(
                AttemptOutcome.REJECTED, f"turned away with {head.status}"
            )
        pending.ran += 1
        body = read_whole_body(context, pending, exchange)
        if isinstance(body, ReadTimeout):
            gevent.spawn(self._crashes.on_run_lost, pending, process)
            return AttemptResult(
                AttemptOutcome.TIMED_OUT, "body not whole in time"
            )
        if isinstance(body, ExchangeFailure):
            if body.failure is FailureKind.TOO_LONG:
                self._eject(process, body.failure)
            self._crashes.on_run_lost(pending, process)
            return AttemptResult(
                AttemptOutcome.FAILED, f"body {body.failure.value}"
            )
        if exchange.ended_by_close and self._crashes.has_ended(
            pending, process
        ):
            return AttemptResult(
                AttemptOutcome.FAILED, "body ended with the server's process"
            )
        if metadata.request_id != pending.caller.id:
            return AttemptResult(
                AttemptOutcome.FAILED, FailureKind.WRONG_ANSWER.value
            )
        if not metadata.genuine:
            return AttemptResult(
                AttemptOutcome.FAILED, f"unproved answer {head.status}"
            )
        return AttemptResult(AttemptOutcome.ANSWERED, "", head, metadata, body)

    def _on_exchange_failure(
        self,
        pending: PendingRequest,
        process: ServerProcess,
        problem: ExchangeFailure,
    ) -> AttemptResult:
        if warrants_ejection(problem.failure):
            self._eject(process, problem.failure)
        if not problem.sent:
            return AttemptResult(AttemptOutcome.NOT_SENT, problem.failure.value)
        pending.ran += 1
        self._crashes.on_run_lost(pending, process)
        return AttemptResult(AttemptOutcome.FAILED, problem.failure.value)

    def _eject(self, process: ServerProcess, failure: FailureKind) -> None:
        context = self._context
        for_ms = context.fleet.eject(process.name, context.clock.now_ms())
        context.log.write(
            "backend_server.avoided",
            backend_server=process.name,
            reason=failure.value,
            for_ms=for_ms,
        )

    def _find_process(
        self, pending: PendingRequest, backend: BackendServer
    ) -> ServerProcess:
        """Returns the process that a call is about to be sent to."""
        pending.exposures += 1
        return ServerProcess(
            backend.name,
            backend.address,
            backend.started_ms,
            self._context.clock.now_ms(),
            pending.exposures,
            reports=False,
        )

    def _encode(
        self, pending: PendingRequest, backend: BackendServer
    ) -> tuple[bytes, ...]:
        forward_metadata = ForwardMetadata(
            backend=backend.name,
            left_ms=pending.left_ms(self._context.clock.now_ms()),
            account=pending.account,
            priority=pending.admitted.priority,
            resume_after=pending.caller.resume_after,
        )
        return self._context.dialect.encode_request(
            pending.request, pending.caller, forward_metadata
        )

    def _is_bodiless(self, pending: PendingRequest) -> bool:
        return pending.request.method == "HEAD"

    def _response_timeout_s(self, pending: PendingRequest) -> float:
        left_s = pending.left_ms(self._context.clock.now_ms()) / 1000
        route = pending.admitted.route
        if route.retryable and pending.ran + 1 < route.max_attempts:
            return left_s * _RETRYABLE_WAIT_SHARE
        return left_s

    def _should_retry(
        self, pending: PendingRequest, result: AttemptResult
    ) -> bool:
        """Returns whether to retry after an error response."""
        route = pending.admitted.route
        return (
            result.head.status >= _MIN_ERROR_STATUS
            and route.retryable
            and pending.ran < route.max_attempts
        )

    def _forward(self, pending: PendingRequest, result: AttemptResult) -> None:
        status = result.head.status
        if status < _MIN_ERROR_STATUS:
            self._crashes.on_served(pending)
        self._responses.log(pending, status)
        pending.reply.send(status, list(result.metadata.headers), result.body)

    def _finish(self, pending: PendingRequest, last: AttemptResult) -> None:
        if last.outcome_kind is AttemptOutcome.ANSWERED:
            self._forward(pending, last)
        elif last.outcome_kind is AttemptOutcome.QUARANTINED:
            self._responses.refuse_quarantined(pending)
        elif not pending.ran:
            self._responses.refuse(pending, last.reason)
        elif last.outcome_kind is AttemptOutcome.TIMED_OUT:
            self._responses.fail(pending, 504, last.reason)
        else:
            self._responses.fail(pending, 502, last.reason)


def _select_result(
    previous: AttemptResult, latest: AttemptResult
) -> AttemptResult:
    """Returns the result to report: a response if any, else the latest."""
    if (
        previous.outcome_kind is AttemptOutcome.ANSWERED
        and latest.outcome_kind is not AttemptOutcome.ANSWERED
    ):
        return previous
    return latest
