"""Calls that must not be retried: each idempotency key runs at most once."""

import hashlib
import secrets

from gevent import event

from caroblug.core.limits import KEY_BYTES, KeyQuota
from caroblug.core.state import (
    CallOutcome,
    Conflict,
    IntentId,
    Joined,
    Kept,
    OutcomeKind,
    Replayed,
    ServiceRule,
    Started,
    Undecided,
    Verdict,
    digest_parts,
)
from caroblug.gen.wire import ttypes as wire
from caroblug.side._journal import CallJournal, JournalSettings, make_journal
from caroblug.side._plain import (
    MAX_ANSWER_BYTES,
    DirectCaller,
    PlainCaller,
    PlainCallHandler,
    refuse_call,
)
from caroblug.side._settings import SideSettings
from caroblug.transport import PeerNetwork, make_log_service
from caroblug.transport._checked_socket import ResponseMemory
from caroblug.utils import (
    Clock,
    ExecutionStatus,
    Metrics,
    RefusalType,
    log_state,
)

_RETRY_AFTER_MS = 1000
_MAX_STORED_BODY_BYTES = 16 * 1024
_REPLAYED_HEADER = ("Idempotent-Replayed", "true")
_DIGEST_BYTES = 20
_MS_PER_S = 1000
_SERVICE_TIMEOUT_MS = 60_000
_WRITER_ID_BYTES = 6
_BYTES_PER_MB = 1 << 20
_KEYS_MEMORY_SHARE = 0.25
"""Share of the memory for remembered keys. Half of it is for connections."""

_ANSWERS_MEMORY_SHARE = 0.125
"""Share of the memory for answers that are being received."""


class AtMostOnceCaller(PlainCaller):
    """Makes a call with a key only if its intent is first on the log.

    Args:
        direct: Caller that sends calls to the service.
        journal: Journal of the intents and outcomes of this service.
        metrics: Registry that counts admissions and verdicts.
        retention_ms: How long the log retains its records.
        quota: Decides which accounts may add a key.
        clock: Source of time.
    """

    def __init__(
        self,
        direct: DirectCaller,
        journal: CallJournal,
        metrics: Metrics,
        retention_ms: int,
        quota: KeyQuota,
        clock: Clock,
    ) -> None:
        self._retention_ms = retention_ms
        self._quota = quota
        self._clock = clock
        self._direct = direct
        self._journal = journal
        self._metrics = metrics
        self._pending_replies: dict[IntentId, event.AsyncResult] = {}

    @property
    def pending(self) -> int:
        """Number of intents and outcomes that are not on the log yet."""
        return self._journal.pending

    def start(self) -> None:
        """Starts to read and to write the log of calls."""
        self._journal.start()

    def on_rule(self, rule: ServiceRule) -> None:
        """Applies the retention of keys from a new bundle."""
        if rule.remember_ms >= self._retention_ms:
            log_state(
                "calls.window_too_long",
                remember_ms=rule.remember_ms,
                log_retention_ms=self._retention_ms,
            )
        self._journal.set_window(rule.remember_ms)

    def call(self, call: wire.PlainCall) -> wire.PlainReply:
        """Runs a call and returns its reply or a refusal."""
        if call.repeatable or not call.key:
            return self._direct.call(call)
        key = digest_parts(
            call.client_account.encode(),
            call.target.encode(),
            call.key.encode(),
        )
        request = digest_parts(
            call.method.encode(), call.path.encode(), call.body or b""
        )
        wait_ms = self._find_quota_wait_ms(call.client_account, key)
        if wait_ms:
            self._metrics.count("calls_admitted", outcome="over_quota")
            return _refuse_over_quota(call, wait_ms)
        admitted = self._journal.admit(key, request, call.deadline_ms)
        self._metrics.count(
            "calls_admitted", outcome=type(admitted).__name__.lower()
        )
        if isinstance(admitted, Started):
            self._quota.on_added(call.client_account, self._clock.now_ms())
            return self._start(call, key, request, admitted.id)
        if isinstance(admitted, Joined):
            return self._join(call, admitted.id)
        if isinstance(admitted, Replayed):
            return _replay(call, admitted.outcome)
        if isinstance(admitted, Kept):
            return self._replay_from_log(call, admitted)
        if isinstance(admitted, Conflict):
            return _refuse_conflict(call)
        if isinstance(admitted, Undecided):
            return _refuse_undecided(call)
        return self._refuse_unavailable(call)

    def _find_quota_wait_ms(self, client_account: str, key: bytes) -> int:
        """Returns the time until an account may use a key; 0 if it may now."""
        journal = self._journal
        if journal.knows(key):
            return 0
        return self._quota.wait_ms(
            client_account,
            journal.known_keys,
            self._clock.now_ms(),
            journal.window_ms,
        )

    def _start(
        self, call: wire.PlainCall, key: bytes, request: bytes, intent: IntentId
    ) -> wire.PlainReply:
        result: event.AsyncResult = event.AsyncResult()
        self._pending_replies[intent] = result
        try:
            verdict = self._journal.wait_verdict(intent)
            self._metrics.count("call_verdicts", verdict=verdict.name.lower())
            if verdict is Verdict.WON:
                reply = self._run(call, key, intent)
            elif verdict is Verdict.GIVEN_UP:
                reply = self._refuse_unavailable(call)
            else:
                reply = self._resolve_lost_intent(call, key, request)
            result.set(reply)
        finally:
            del self._pending_replies[intent]
        return reply

    def _run(
        self, call: wire.PlainCall, key: bytes, intent: IntentId
    ) -> wire.PlainReply:
        reply = self._direct.call_at_most_once(
            call, lambda: self._journal.begin(key)
        )
        ran = ExecutionStatus(reply.ran)
        if ran is ExecutionStatus.NO:
            self._journal.cancel(key)
            return reply
        self._journal.finish(_make_outcome(key, intent, reply))
        return reply

    def _join(self, call: wire.PlainCall, intent: IntentId) -> wire.PlainReply:
        """Waits for the reply to the same request until the call's deadline."""
        result = self._pending_replies.get(intent)
        reply = None
        if result is not None:
            reply = result.wait(call.deadline_ms / _MS_PER_S)
        if reply is None:
            return _refuse_undecided(call)
        return _copy_reply(call, reply)

    def _resolve_lost_intent(
        self, call: wire.PlainCall, key: bytes, request: bytes
    ) -> wire.PlainReply:
        state = self._journal.lookup(key)
        if state is not None and state.request != request:
            return _refuse_conflict(call)
        if state is not None and state.outcome is OutcomeKind.ANSWERED:
            return self._replay_from_log(call, Kept(state))
        return _refuse_undecided(call)

    def _replay_from_log(
        self, call: wire.PlainCall, kept: Kept
    ) -> wire.PlainReply:
        outcome = self._journal.read_outcome(kept.state)
        if outcome is not None:
            return _replay(call, outcome)
        return refuse_call(
            call,
            RefusalType.LOG_UNAVAILABLE,
            "the call has run; its answer cannot be read back now",
            ExecutionStatus.YES,
            _RETRY_AFTER_MS,
        )

    def _refuse_unavailable(self, call: wire.PlainCall) -> wire.PlainReply:
        """Returns a refusal because the log is unavailable.

        This call has not run. An owner that has never read the log to its end
        does not know whether an earlier call with the same key has run, and
        then the refusal says so.
        """
        ran = (
            ExecutionStatus.NO
            if self._journal.caught_up
            else ExecutionStatus.UNKNOWN
        )
        return refuse_call(
            call,
            RefusalType.LOG_UNAVAILABLE,
            "the log service takes no intents now; come back with this key",
            ran,
            _RETRY_AFTER_MS,
        )


def _make_outcome(
    key: bytes, intent: IntentId, reply: wire.PlainReply
) -> CallOutcome:
    if not reply.status:
        return CallOutcome(intent, key, OutcomeKind.UNKNOWN)
    body = reply.body or b""
    digest = ""
    if len(body) > _MAX_STORED_BODY_BYTES:
        digest = hashlib.blake2b(body, digest_size=_DIGEST_BYTES).hexdigest()
        body = b""
    headers = tuple((h.name, h.value) for h in reply.headers or ())
    return CallOutcome(
        intent,
        key,
        OutcomeKind.ANSWERED,
        reply.status,
        headers,
        body,
        digest,
    )


def _replay(call: wire.PlainCall, outcome: CallOutcome) -> wire.PlainReply:
    if outcome.body_digest:
        return refuse_call(
            call,
            RefusalType.ANSWER_NOT_KEPT,
            f"the call has run; its answer of status {outcome.status} is"
            f" over {_MAX_STORED_BODY_BYTES} bytes and was not kept;"
            f" its digest is {outcome.body_digest}",
            ExecutionStatus.YES,
            retry_after_ms=0,
        )
    headers = [
        wire.Header(n, v) for n, v in (*outcome.headers, _REPLAYED_HEADER)
    ]
    return wire.PlainReply(
        call=call.call,
        status=outcome.status,
        headers=headers,
        body=outcome.body,
        ran=ExecutionStatus.YES,
    )


def _copy_reply(
    call: wire.PlainCall, reply: wire.PlainReply
) -> wire.PlainReply:
    return wire.PlainReply(
        call=call.call,
        status=reply.status,
        headers=reply.headers,
        body=reply.body,
        reason=reply.reason,
        message=reply.message,
        ran=reply.ran,
        retry_after_ms=reply.retry_after_ms,
    )


def _refuse_conflict(call: wire.PlainCall) -> wire.PlainReply:
    return refuse_call(
        call,
        RefusalType.KEY_CONFLICT,
        "the key was used with another request; this one did not run",
        ExecutionStatus.NO,
        retry_after_ms=0,
    )


def _refuse_over_quota(call: wire.PlainCall, wait_ms: int) -> wire.PlainReply:
    return refuse_call(
        call,
        RefusalType.LIMIT_REACHED,
        "the account has used too many keys; this call did not run",
        ExecutionStatus.NO,
        wait_ms,
    )


def _refuse_undecided(call: wire.PlainCall) -> wire.PlainReply:
    return refuse_call(
        call,
        RefusalType.OUTCOME_UNKNOWN,
        "a call with this key was begun, and how it ended is not known",
        ExecutionStatus.UNKNOWN,
        _RETRY_AFTER_MS,
    )


def make_plain_call_handler(
    settings: SideSettings,
    network: PeerNetwork,
    clock: Clock,
    metrics: Metrics,
) -> PlainCallHandler:
    """Returns the call handler of the plain service in the settings."""
    plain = settings.plain
    journal = make_journal(
        make_log_service(settings.log.host, settings.log.port),
        plain.service,
        f"{settings.instance}.{secrets.token_hex(_WRITER_ID_BYTES)}",
        clock,
        metrics,
        JournalSettings(settings.intent_interval_ms),
        ServiceRule().remember_ms,
    )
    memory_bytes = settings.memory_mb * _BYTES_PER_MB
    answer_memory = ResponseMemory(
        max(MAX_ANSWER_BYTES, int(memory_bytes * _ANSWERS_MEMORY_SHARE)),
        MAX_ANSWER_BYTES,
    )
    direct = DirectCaller(
        plain.host, plain.port, _SERVICE_TIMEOUT_MS, answer_memory
    )
    key_memory_bytes = memory_bytes * _KEYS_MEMORY_SHARE
    caller = AtMostOnceCaller(
        direct,
        journal,
        metrics,
        settings.log_retention_ms,
        KeyQuota(int(key_memory_bytes / KEY_BYTES)),
        clock,
    )
    return PlainCallHandler(plain.service, caller, network, metrics)
