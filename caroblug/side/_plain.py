"""Calls of a plain service through its side process."""

import abc

import gevent

from caroblug.gen.wire import ttypes as wire
from caroblug.transport import PeerAddress, PeerNetwork
from caroblug.transport._http import HttpFailed, JsonHttp
from caroblug.utils import Metrics, Ran, RefusalType

_RETRY_AFTER_MS = 500
_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "host"}
)


class PlainCaller(abc.ABC):
    """Answers calls of a plain service."""

    @abc.abstractmethod
    def call(self, call: wire.PlainCall) -> wire.PlainReply:
        """Runs a call and returns its answer or refusal; may block."""


class DirectCaller(PlainCaller):
    """Passes each call to the service once.

    Args:
        host: IP address of the service.
        port: Its port.
        timeout_ms: How long a call may take.
    """

    def __init__(self, host: str, port: int, timeout_ms: int) -> None:
        self._client = JsonHttp(host, port, timeout_ms, connections=64)

    def call(self, call: wire.PlainCall) -> wire.PlainReply:
        """Runs a call and returns its answer or refusal."""
        headers = {h.name: h.value for h in call.headers or ()}
        if call.key:
            headers["Idempotency-Key"] = call.key
        answer = self._client.request(
            call.method, call.path, call.body or b"", headers
        )
        if isinstance(answer, HttpFailed):
            ran = Ran.UNKNOWN if answer.sent else Ran.NO
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
            ran=Ran.YES,
        )


def refuse_call(
    call: wire.PlainCall,
    reason: RefusalType,
    message: str,
    ran: Ran,
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


class PlainCalls:
    """The calls that run at this side process.

    Args:
        caller: Runs them.
        network: Where answers are sent.
        metrics: Where they are counted.
    """

    def __init__(
        self, caller: PlainCaller, network: PeerNetwork, metrics: Metrics
    ) -> None:
        self._caller = caller
        self._network = network
        self._metrics = metrics
        self._running = 0

    def __len__(self) -> int:
        return self._running

    def on_call(
        self, peer: PeerAddress, call: wire.PlainCall, *, leaving: bool
    ) -> None:
        """Takes a call from an entry."""
        if leaving:
            reply = refuse_call(
                call, RefusalType.LEAVING, "instance is leaving", Ran.NO
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
