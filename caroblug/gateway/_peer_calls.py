"""Calls between gateways: a message there, a message back."""

import json
from collections.abc import Callable

from caroblug.gateway._caller_requests import RawRequest
from caroblug.gateway._context import Context
from caroblug.gateway._exchange_results import ExchangeFailure
from caroblug.gateway._http_client import Address, fetch, format_request
from caroblug.gateway._http_server import Reply
from caroblug.gateway._interfaces import Unavailable

Handler = Callable[[dict], dict]

_CALL_S = 0.3
UNREADABLE = (KeyError, TypeError, ValueError, AttributeError)
"""What a message of another form raises where it is taken apart."""


class PeerCalls:
    """Asks other gateways, and answers them.

    Args:
        context: What the gateway's parts share.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._handlers: dict[str, Handler] = {}

    def serve(self, path: str, handler: Handler) -> None:
        """Lets a handler answer the messages that are sent to a path."""
        self._handlers[path] = handler

    def answer(self, request: RawRequest, reply: Reply) -> None:
        """Answers another gateway."""
        handler = self._handlers.get(request.path)
        if handler is None:
            reply.send(404, [], b"no such path")
            return
        try:
            answer = handler(json.loads(request.body))
        except UNREADABLE as error:
            self.note_unreadable(request.path, error)
            reply.send(400, [], b"message does not parse")
            return
        reply.send(200, [], _encode(answer))

    def call(
        self, address: Address, path: str, message: dict
    ) -> dict | Unavailable:
        """Sends a message to another gateway and returns its answer."""
        headers = [
            ("Host", f"{address[0]}:{address[1]}"),
            ("Connection", "close"),
        ]
        request = format_request("POST", path, headers, _encode(message))
        answer = fetch(address, request, _CALL_S)
        if isinstance(answer, ExchangeFailure):
            reason = answer.failure.value
            self._context.telemetry.count("peer_calls_failed", reason=reason)
            return Unavailable(reason)
        if answer.head.status != 200:
            return Unavailable(f"status {answer.head.status}")
        try:
            return dict(json.loads(answer.body))
        except UNREADABLE as error:
            self.note_unreadable(path, error)
            return Unavailable(f"answer does not parse: {error!r}")

    def note_unreadable(self, path: str, error: Exception) -> None:
        """Writes a line for a message that can't be taken apart."""
        self._context.log.write(
            "peer.unreadable", path=path, reason=repr(error)
        )


def _encode(message: dict) -> bytes:
    return json.dumps(message, separators=(",", ":")).encode()
