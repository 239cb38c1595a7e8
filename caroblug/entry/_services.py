"""HTTP sink for calls of plain services."""

import falcon

from caroblug.core.limits import ConcurrencyLimiter
from caroblug.core.state import Bundle, ServiceRule
from caroblug.entry._plain_service_client import PlainServiceClient
from caroblug.entry._refusals import write_refusal
from caroblug.entry._request_guard import RequestGuard
from caroblug.gen.wire import ttypes as wire
from caroblug.utils import CALLER_ERRORS, Clock, Metrics, RefusalType, Refused

_RETRY_AFTER_MS = 1000
_UNKNOWN_SERVICE = "unknown"
"""Label of calls to services that are not in the bundle. Their names come from
callers, and each label is kept."""

_FORWARDED_HEADERS = ("content-type", "accept")


class ServicesSink:
    """Handles `/services/NAME/PATH` for every HTTP method.

    Args:
        guard: Authenticates requests and reads their bodies.
        client: Sends calls to side processes.
        clock: Source of time.
        metrics: Where calls are counted.
    """

    def __init__(
        self,
        guard: RequestGuard,
        client: PlainServiceClient,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._guard = guard
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._limiters: dict[tuple[str, str], ConcurrencyLimiter] = {}

    def __call__(
        self, request: falcon.Request, response: falcon.Response, **parts: str
    ) -> None:
        """Forwards a call to the service named in the path."""
        received_ms = self._clock.now_ms()
        checked = self._guard.authenticate_request(request)
        if isinstance(checked, Refused):
            write_refusal(response, checked)
            return
        head, account = checked
        name = parts["name"]
        group = head.bundle.client_accounts[account].group
        outcome = self._call(request, head.bundle, account, name, parts)
        label = "answered"
        if isinstance(outcome, Refused):
            label = outcome.type.value
            write_refusal(response, outcome)
            if outcome.type not in CALLER_ERRORS:
                self._metrics.count_account_failure(account)
        else:
            _write_reply(response, outcome)
        service = name if name in head.bundle.services else _UNKNOWN_SERVICE
        self._metrics.count(
            "calls", service=service, group=group, outcome=label
        )
        elapsed_ms = self._clock.now_ms() - received_ms
        self._metrics.record_ms(
            "call", elapsed_ms, service=service, group=group
        )

    def _call(
        self,
        request: falcon.Request,
        bundle: Bundle,
        account: str,
        name: str,
        parts: dict[str, str],
    ) -> wire.PlainReply | Refused:
        rule = bundle.services.get(name)
        if rule is None:
            return Refused(RefusalType.UNKNOWN_SERVICE, f"no service {name!r}")
        body = self._guard.read_body(
            request, rule.body_bytes or bundle.limits.body_bytes
        )
        if isinstance(body, Refused):
            return body
        query = f"?{request.query_string}" if request.query_string else ""
        call = wire.PlainCall(
            target=name,
            method=request.method,
            path=f"/{parts.get('path', '')}{query}",
            headers=[
                wire.Header(header, request.get_header(header))
                for header in _FORWARDED_HEADERS
                if request.get_header(header)
            ],
            body=body,
            key=request.get_header("Idempotency-Key") or "",
            repeatable=request.method in rule.idempotent_methods,
            deadline_ms=rule.timeout_ms,
            client_account=account,
        )
        return self._call_limited(call, rule)

    def _call_limited(
        self, call: wire.PlainCall, rule: ServiceRule
    ) -> wire.PlainReply | Refused:
        """Makes a call unless the account has reached its limit here."""
        key = (call.target, call.client_account)
        limiter = self._limiters.setdefault(key, ConcurrencyLimiter(rule.calls))
        limiter.limit = rule.calls
        if not limiter.take():
            return Refused(
                RefusalType.LIMIT_REACHED,
                f"the account's {rule.calls} calls are open already",
                retry_after_ms=_RETRY_AFTER_MS,
            )
        try:
            return self._client.call(call, rule)
        finally:
            limiter.release()
            if not limiter.open:
                self._limiters.pop(key, None)


def _write_reply(response: falcon.Response, reply: wire.PlainReply) -> None:
    response.status = reply.status
    response.data = reply.body
    for header in reply.headers or ():
        response.set_header(header.name, header.value)
