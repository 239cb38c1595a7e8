"""Request-response calls between gateways, with JSON messages over HTTP."""

import json
from collections.abc import Callable

from caroblug.gateway._caller_requests import RawRequest
from caroblug.gateway._context import Context
from caroblug.gateway._exchange_results import ExchangeFailure
from caroblug.gateway._http_client import Address, fetch, format_request
from caroblug.gateway._interfaces import Unavailable
from caroblug.gateway._responses import Reply
from caroblug.utils import DECODE_ERRORS, load_json, shorten

Handler = Callable[[dict], dict]

_CALL_TIMEOUT_S = 0.3


class PeerCalls:
    """Sends calls to other gateways and handles their calls.

    Args:
        context: Shared state of the gateway's components.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._handlers: dict[str, Handler] = {}

    def register(self, path: str, handler: Handler) -> None:
        """Registers the handler of messages that are sent to a path."""
        self._handlers[path] = handler

    def handle_request(self, request: RawRequest, reply: Reply) -> None:
        """Handles a call of another gateway."""
        handler = self._handlers.get(request.path)
        if handler is None:
            reply.send(404, [], b"no such path")
            return
        try:
            answer = handler(load_json(request.body))
        except DECODE_ERRORS as error:
            self.log_unreadable(request.path, error)
            reply.send(400, [], b"message does not parse")
            return
        reply.send(200, [], _encode(answer))

    def call(
        self, address: Address, path: str, message: dict
    ) -> dict | Unavailable:
        """Sends a message to another gateway and returns its answer.

        Returns:
            The decoded answer, or `Unavailable` if the call failed.
        """
        headers = [
            ("Host", f"{address[0]}:{address[1]}"),
            ("Connection", "close"),
        ]
        request = format_request("POST", path, headers, _encode(message))
        answer = fetch(address, request, _CALL_TIMEOUT_S)
        if isinstance(answer, ExchangeFailure):
            reason = answer.failure.value
            self._context.telemetry.count("peer_calls_failed", reason=reason)
            return Unavailable(reason)
        if answer.head.status != 200:
            return Unavailable(f"status {answer.head.status}")
        try:
            return dict(load_json(answer.body))
        except DECODE_ERRORS as error:
            self.log_unreadable(path, error)
            return Unavailable(f"answer does not parse: {shorten(error)}")

    def log_unreadable(self, path: str, error: Exception) -> None:
        """Logs a message that can't be decoded."""
        self._context.log.write(
            "peer.unreadable", path=path, reason=shorten(error)
        )


def read_count(answer: dict, field: str) -> int | Unavailable:
    """Returns a number in another gateway's answer.

    Args:
        answer: The answer.
        field: Name of the number.

    Returns:
        The number, or `Unavailable` if there is none.
    """
    try:
        return int(answer[field])
    except DECODE_ERRORS as error:
        return Unavailable(f"{field} in the answer: {shorten(error)}")


def _encode(message: dict) -> bytes:
    return json.dumps(message, separators=(",", ":")).encode()
