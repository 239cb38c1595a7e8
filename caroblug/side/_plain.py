"""Calls to a plain HTTP service, made by its side process."""

import abc
from collections.abc import Callable
from urllib import parse

import gevent

from caroblug.core.state import Head, ServiceRule
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import PeerAddress, PeerNetwork
from caroblug.transport._checked_socket import ResponseMemory
from caroblug.transport._http import (
    HttpFailure,
    HttpResponse,
    JsonHttpClient,
    request_once,
)
from caroblug.utils import ExecutionStatus, Metrics, RefusalType

_RETRY_AFTER_MS = 500
_MAX_CONNECTIONS = 64
MAX_ANSWER_BYTES = 4 << 20
"""Limit on the body of an answer, as in the gateway."""

_PATH_SAFE_CHARACTERS = "%/?:@!$&'()*+,;=~-._[]"
_HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "host"}
)


class PlainCaller(abc.ABC):
    """Interface for making calls to a plain service."""

    @property
    def pending(self) -> int:
        """Number of records to write before the process may exit."""
        return 0

    def start(self) -> None:
        """Starts background work."""
        return

    def on_rule(self, rule: ServiceRule) -> None:
        """Applies the rule of the service from a new bundle."""
        del rule

    @abc.abstractmethod
    def call(self, call: wire.PlainCall) -> wire.PlainReply:
        """Runs a call and returns its reply or a refusal; may block."""


class DirectCaller(PlainCaller):
    """Sends each call to the service.

    Args:
        host: IP address of the service.
        port: Port of the service.
        timeout_ms: Timeout of a call.
        memory: Accounts for the bodies of answers; by default, with four times
            the limit on one body.
    """

    def __init__(
        self,
        host: str,
        port: int,
        timeout_ms: int,
        memory: ResponseMemory | None = None,
    ) -> None:
        self._host = host
        self._port = port
        self._timeout_ms = timeout_ms
        self._memory = memory or ResponseMemory(
            4 * MAX_ANSWER_BYTES, MAX_ANSWER_BYTES
        )
        self._client = JsonHttpClient(
            host, port, timeout_ms, _MAX_CONNECTIONS, self._memory
        )

    def call(self, call: wire.PlainCall) -> wire.PlainReply:
        """Runs a call and returns its reply or a refusal."""
        if not call.repeatable:
            return self.call_at_most_once(call, lambda: True)
        response = self._client.request(
            call.method, call.path, call.body or b"", _make_headers(call)
        )
        return _make_reply(call, response)

    def call_at_most_once(
        self, call: wire.PlainCall, may_send: Callable[[], bool]
    ) -> wire.PlainReply:
        """Runs a call that must not reach the service twice.

        Args:
            call: The call.
            may_send: Called right before the first byte is sent. The call is
                made only if it returns True.
        """
        response = request_once(
            self._host,
            self._port,
            min(self._timeout_ms, call.deadline_ms or self._timeout_ms),
            call.method,
            parse.quote(call.path, safe=_PATH_SAFE_CHARACTERS),
            call.body or b"",
            _make_headers(call),
            may_send,
            self._memory,
        )
        return _make_reply(call, response)


def _make_headers(call: wire.PlainCall) -> dict[str, str]:
    headers = {h.name: h.value for h in call.headers or ()}
    if call.key:
        headers["Idempotency-Key"] = call.key
    return headers


def _make_reply(
    call: wire.PlainCall, response: HttpResponse | HttpFailure
) -> wire.PlainReply:
    if isinstance(response, HttpFailure):
        ran = ExecutionStatus.UNKNOWN if response.sent else ExecutionStatus.NO
        return refuse_call(
            call, RefusalType.BACKEND_FAILED, response.message, ran
        )
    headers = [
        wire.Header(name, value)
        for name, value in response.headers
        if name.lower() not in _HOP_BY_HOP_HEADERS
    ]
    return wire.PlainReply(
        call=call.call,
        status=response.status,
        headers=headers,
        body=response.body,
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
    """Handles the calls that entries send to this side process.

    Args:
        service: Name of the service.
        caller: Makes the calls.
        network: Network that sends the replies.
        metrics: Registry that counts calls.
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
        """Whether calls run or their outcomes are not on the log yet."""
        return self._running > 0 or self._caller.pending > 0

    def start(self) -> None:
        """Starts the background work of the caller."""
        self._caller.start()

    def on_head(self, head: Head) -> None:
        """Applies the service's rule from a new bundle."""
        rule = head.bundle.services.get(self._service)
        if rule is not None:
            self._caller.on_rule(rule)

    def on_call(
        self, peer: PeerAddress, call: wire.PlainCall, *, leaving: bool
    ) -> None:
        """Handles a call from an entry.

        Args:
            peer: The entry.
            call: The call.
            leaving: Whether this instance is draining; the call is refused
                then.
        """
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
