"""Calls of a plain service through its side process."""

import abc
from collections.abc import Callable
from urllib import parse

import gevent

from caroblug.core.state import Head, ServiceRule
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import PeerAddress, PeerNetwork
from caroblug.transport._http import (
    HttpFailure,
    HttpResponse,
    JsonHttpClient,
    request_once,
)
from caroblug.utils import ExecutionStatus, Metrics, RefusalType

_RETRY_AFTER_MS = 500
_PATH_SAFE = "%/?:@!$&'()*+,;=~-._[]"
_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "host"}
)


class PlainCaller(abc.ABC):
    """Answers calls of a plain service."""

    @property
    def pending(self) -> int:
        """What must still be written before the process may end."""
        return 0

    def start(self) -> None:
        """Starts what the caller needs in the background."""
        return

    def on_rule(self, rule: ServiceRule) -> None:
        """Takes the service's rule from a new bundle."""
        del rule

    @abc.abstractmethod
    def call(self, call: wire.PlainCall) -> wire.PlainReply:
        """Runs a call and returns its answer or refusal; may block."""


class DirectCaller(PlainCaller):
    """Passes each call to the service.

    Args:
        host: IP address of the service.
        port: Its port.
        timeout_ms: How long a call may take.
    """

    def __init__(self, host: str, port: int, timeout_ms: int) -> None:
        self._host = host
        self._port = port
        self._timeout_ms = timeout_ms
        self._client = JsonHttpClient(host, port, timeout_ms, connections=64)

    def call(self, call: wire.PlainCall) -> wire.PlainReply:
        """Runs a call and returns its answer or refusal."""
        if not call.repeatable:
            return self.call_once(call, lambda: True)
        answer = self._client.request(
            call.method, call.path, call.body or b"", _headers_of(call)
        )
        return _make_reply(call, answer)

    def call_once(
        self, call: wire.PlainCall, may_send: Callable[[], bool]
    ) -> wire.PlainReply:
        """Runs a call that must not reach the service twice.

        Args:
            call: The call.
            may_send: Asked right before the first byte leaves.
        """
        answer = request_once(
            self._host,
            self._port,
            min(self._timeout_ms, call.deadline_ms or self._timeout_ms),
            call.method,
            parse.quote(call.path, safe=_PATH_SAFE),
            call.body or b"",
            _headers_of(call),
            may_send,
        )
        return _make_reply(call, answer)


def _headers_of(call: wire.PlainCall) -> dict[str, str]:
    headers = {h.name: h.value for h in call.headers or ()}
    if call.key:
        headers["Idempotency-Key"] = call.key
    return headers


def _make_reply(
    call: wire.PlainCall, answer: HttpResponse | HttpFailure
) -> wire.PlainReply:
    if isinstance(answer, HttpFailure):
        ran = ExecutionStatus.UNKNOWN if answer.sent else ExecutionStatus.NO
        return refuse_call(
            call, RefusalType.BACKEND_FAILED, answer.message, ran
        )
    kept = [
        wire.Header(name, value)
        for name, value in answer.headers
        if name.lower() not in _HOP_HEADERS
    ]
    return wire.PlainReply(
        call=call.call,
        status=answer.status,
        headers=kept,
        body=answer.body,
        ran=ExecutionStatus.YES,
    )


def refuse_call(
    call: wire.PlainCall,
    reason: RefusalType,
    message: str,
    ran: ExecutionStatus,
    retry_after_ms: int = _RETRY_AFTER_MS,
) -> wire.PlainReply:
    """Returns the refusal of a call."""
    return wire.PlainReply(
        call=call.call,
        status=0,
        reason=reason,
        message=message,
        ran=ran,
        retry_after_ms=retry_after_ms,
    )


class PlainCallHandler:
    """The calls that run at this side process.

    Args:
        service: Name of the service.
        caller: Runs them.
        network: Where answers are sent.
        metrics: Where they are counted.
    """

    def __init__(
        self,
        service: str,
        caller: PlainCaller,
        network: PeerNetwork,
        metrics: Metrics,
    ) -> None:
        self._service = service
        self._caller = caller
        self._network = network
        self._metrics = metrics
        self._running = 0

    def __len__(self) -> int:
        return self._running

    @property
    def busy(self) -> bool:
        """Whether calls run or their outcomes are still unwritten."""
        return self._running > 0 or self._caller.pending > 0

    def start(self) -> None:
        """Starts to follow the log of calls."""
        self._caller.start()

    def on_head(self, head: Head) -> None:
        """Takes a new bundle."""
        rule = head.bundle.services.get(self._service)
        if rule is not None:
            self._caller.on_rule(rule)

    def on_call(
        self, peer: PeerAddress, call: wire.PlainCall, *, leaving: bool
    ) -> None:
        """Takes a call from an entry."""
        if leaving:
            reply = refuse_call(
                call,
                RefusalType.LEAVING,
                "instance is leaving",
                ExecutionStatus.NO,
            )
            self._network.send(peer, reply)
            return
        self._running += 1
        gevent.spawn(self._run, peer, call)

    def _run(self, peer: PeerAddress, call: wire.PlainCall) -> None:
        try:
            reply = self._caller.call(call)
        finally:
            self._running -= 1
        outcome = reply.reason or "answered"
        self._metrics.count("plain_calls", outcome=str(outcome))
        self._network.send(peer, reply)
