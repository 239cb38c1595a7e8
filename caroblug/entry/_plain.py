"""Calls of plain services, from the entry to a side process."""

import secrets

import xxhash
from gevent import event

from caroblug.core.state import ServiceRule
from caroblug.entry._directory import Directory, PlainView
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import PeerNetwork
from caroblug.utils import Metrics, Ran, RefusalType, Refused

_CALL_BYTES = 8
_RETRY_AFTER_MS = 1000
_ATTEMPTS = 3
_MS_PER_S = 1000


class _Waiting:
    """A call that waits for its reply from one instance."""

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.reply: event.AsyncResult = event.AsyncResult()


class PlainClient:
    """Calls plain services, repeating only what may be repeated.

    Args:
        network: Where calls are sent.
        directory: What is known of the services.
        metrics: Where attempts are counted.
    """

    def __init__(
        self, network: PeerNetwork, directory: Directory, metrics: Metrics
    ) -> None:
        self._network = network
        self._directory = directory
        self._metrics = metrics
        self._waiting: dict[str, _Waiting] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def call(
        self, call: wire.PlainCall, rule: ServiceRule
    ) -> wire.PlainReply | Refused:
        """Makes a call and waits for its answer.

        A call that may not be repeated is sent once more only when its side
        process has said that it did not run.
        """
        tried: set[str] = set()
        refused = _no_instance(call.target)
        for _ in range(_ATTEMPTS):
            view = self._choose(call, tried)
            if view is None:
                return refused
            tried.add(view.address.instance)
            outcome = self._send(view, call, rule.timeout_ms)
            if isinstance(outcome, wire.PlainReply):
                return outcome
            refused = outcome
            if refused.ran is not Ran.NO and not call.repeatable:
                return refused
            self._metrics.count("plain_retries")
        return refused

    def on_reply(self, reply: wire.PlainReply) -> None:
        """Takes a reply; one that nobody waits for is dropped."""
        waiting = self._waiting.get(reply.call)
        if waiting is not None:
            waiting.reply.set(reply)

    def on_peer_lost(self, instance: str) -> None:
        """Ends the wait for replies from an instance."""
        for waiting in list(self._waiting.values()):
            if waiting.instance == instance:
                waiting.reply.set(None)

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

    def _send(
        self, view: PlainView, call: wire.PlainCall, timeout_ms: int
    ) -> wire.PlainReply | Refused:
        call.call = secrets.token_hex(_CALL_BYTES)
        waiting = _Waiting(view.address.instance)
        self._waiting[call.call] = waiting
        self._network.watch(view.address.instance)
        try:
            self._network.send(view.address, call)
            reply = waiting.reply.wait(timeout_ms / _MS_PER_S)
        finally:
            del self._waiting[call.call]
            self._network.watch(view.address.instance, -1)
        if reply is None:
            return Refused(
                RefusalType.OUTCOME_UNKNOWN,
                "no answer from the service",
                Ran.UNKNOWN,
                _RETRY_AFTER_MS,
            )
        if reply.status:
            return reply
        return Refused(
            RefusalType(reply.reason),
            reply.message,
            Ran(reply.ran),
            reply.retry_after_ms,
        )


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
