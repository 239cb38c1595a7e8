"""State of a caller's request and the responses that the gateway generates."""

import attrs

from caroblug.core.access import Admitted
from caroblug.gateway._caller_requests import RawRequest
from caroblug.gateway._context import Context
from caroblug.gateway._exchange_results import ExchangeFailure, ReadTimeout
from caroblug.gateway._http_client import MAX_BODY_BYTES, Exchange
from caroblug.gateway._interfaces import CallerRequest
from caroblug.gateway._responses import Reply
from caroblug.gateway._stream_latency import StreamLatency

NO_CAPACITY_RETRY_AFTER_MS = 700
"""Mean retry delay sent with a refusal for lack of capacity: a third of the
time that a caller with an objective of two seconds may wait."""

NO_ENGINES_RETRY_AFTER_MS = 2500
"""Mean retry delay while no engine serves a layer: the time in which the loss
of an engine is detected and its layers are ordered from another engine and
loaded."""

LEAVING_RETRY_AFTER_MS = 150
"""Mean retry delay from a draining gateway; another gateway takes the
request."""

QUARANTINE_RETRY_AFTER_MS = 60_000
"""Mean retry delay for a quarantined request; an earlier retry would only be
refused again."""

UNREADY_RETRY_AFTER_MS = 400
"""Mean retry delay from a gateway that has no configuration yet; it reads the
configuration within some tens of ms of its start."""


@attrs.define
class PendingRequest:
    """An admitted request and the state of its attempts.

    Attributes:
        request: The request as received.
        caller: Decoded content of the request.
        admitted: Route and service of the request, and its client account.
        reply: Writer of the response.
        end_ms: Deadline of the request.
        sends: Number of times it was sent.
        ran: Number of times it may have run.
        exposures: Number of times it came to servers that it had not been on.
        crashed_exposures: Those in which a server has ended. Engines of one
            path that end together, such as those of a rack, are one crash.
        lost_server: Whether a server that it was on has ended or was silent.
        tried: Names of the backend servers that it was sent to.
        stream_latency: Times of the stream's events; None for a plain call.
        written_ms: Longest time for which one run has written, from its first
            event to its latest.
        prompt_key: Key of the parts of its prompt; None before it is needed.
    """

    request: RawRequest
    caller: CallerRequest
    admitted: Admitted
    reply: Reply
    end_ms: int
    sends: int = 0
    ran: int = 0
    exposures: int = 0
    crashed_exposures: set[int] = attrs.field(factory=set)
    lost_server: bool = False
    tried: set[str] = attrs.field(factory=set)
    stream_latency: StreamLatency | None = None
    written_ms: int = 0
    prompt_key: str | None = None

    def left_ms(self, now_ms: int) -> int:
        """Returns the time until the deadline, in ms."""
        return self.end_ms - now_ms

    def on_send(self, context: Context) -> None:
        """Counts a send; the first one adds to the retry budget."""
        if not self.sends:
            context.retry_budget.on_first_send(
                self.admitted.service.name, context.clock.now_ms()
            )
        self.sends += 1

    @property
    def is_empty_stream(self) -> bool:
        """Whether it is a stream of which no event has arrived."""
        latency = self.stream_latency
        return latency is not None and latency.first_ms is None

    @property
    def account(self) -> str | None:
        """Name of the client account; None on a public route."""
        account = self.admitted.account
        return account.name if account else None


def read_whole_body(
    context: Context, pending: PendingRequest, exchange: Exchange
) -> bytes | ReadTimeout | ExchangeFailure:
    """Reads the body of a response that is forwarded as a whole.

    A large one waits until there is memory for it. It is accounted for with
    the caller's connection while it is written.
    """
    resources = context.resources
    reserved = []

    def take_room() -> bool:
        if resources.take_room(MAX_BODY_BYTES, pending.end_ms):
            reserved.append(MAX_BODY_BYTES)
        return bool(reserved)

    left_s = pending.left_ms(context.clock.now_ms()) / 1000
    try:
        return exchange.read_body(left_s, take_room=take_room)
    finally:
        resources.give_room(sum(reserved))


class GatewayResponses:
    """Responses that the gateway generates itself.

    Args:
        context: State shared by the gateway's components.
    """

    def __init__(self, context: Context) -> None:
        self._context = context

    def refuse(
        self,
        pending: PendingRequest,
        reason: str,
        mean_ms: int = NO_CAPACITY_RETRY_AFTER_MS,
        after_ms: int | None = None,
    ) -> None:
        """Refuses a request with status 503 and a retry delay.

        The response states that the request has not run. If it may have run,
        the response is a failure with status 502 instead.

        Args:
            pending: The request.
            reason: Why it is refused, for the caller and the log.
            mean_ms: Mean retry delay.
            after_ms: Retry delay, if it is known; it replaces a random one.
        """
        if pending.ran:
            self.fail(pending, 502, reason)
            return
        if after_ms is None:
            after_ms = self._context.retry_after.ms(mean_ms)
        self._send(pending, 503, reason, after_ms)

    def refuse_quarantined(self, pending: PendingRequest) -> None:
        """Refuses a request that is suspected of crashing engines."""
        self.refuse(pending, "quarantined", QUARANTINE_RETRY_AFTER_MS)

    def fail(self, pending: PendingRequest, status: int, reason: str) -> None:
        """Fails a request that may have run.

        Args:
            pending: The request.
            status: 502 or 504.
            reason: Why it failed, for the caller and the log.
        """
        self._send(pending, status, reason, None)

    def _send(
        self,
        pending: PendingRequest,
        status: int,
        reason: str,
        after_ms: int | None,
    ) -> None:
        headers = self._context.dialect.own_headers(pending.caller, after_ms)
        self.log(pending, status, reason)
        pending.reply.send(status, headers, reason.encode())

    def log(
        self,
        pending: PendingRequest,
        status: int,
        reason: str = "",
        cut: bool = False,
    ) -> None:
        """Logs the result of a request and counts it in the metrics.

        Args:
            pending: The request.
            status: Status sent to the caller.
            reason: Why the request failed, if it did.
            cut: Whether the response ended before it was complete.
        """
        context = self._context
        now_ms = context.clock.now_ms()
        took_ms = now_ms - pending.request.began_ms
        kind = pending.admitted.route.kind.value
        good = 200 <= status < 500 and not cut
        context.telemetry.count(
            "requests", kind=kind, status=str(status), reason=reason
        )
        context.telemetry.record_ms("request", took_ms, kind=kind)
        context.log.write(
            "request" if good else "request.failed",
            request=pending.caller.id,
            route=pending.admitted.route.name,
            client_account=pending.account,
            priority=pending.admitted.priority,
            status=status,
            reason=reason,
            cut=cut,
            took_ms=took_ms,
            sends=pending.sends,
            ran=pending.ran,
            tried=sorted(pending.tried),
            configuration=pending.admitted.version,
            backends_age_ms=context.fleet.listing_age_ms(now_ms),
            **_timing_fields(pending),
        )


def _timing_fields(pending: PendingRequest) -> dict[str, str | int | None]:
    """Returns the log fields about the timing of a stream's events."""
    latency = pending.stream_latency
    if latency is None:
        return {}
    return {
        "first_ms": latency.first_ms,
        "pause_ms": latency.pause_ms,
        "late": latency.missed_objective(pending.admitted.route),
        "cause": latency.cause,
        "engine": latency.engine,
    }
