"""One caller's request on its way to an answer."""

import attrs

from caroblug.core.access import Admitted
from caroblug.gateway._caller_requests import RawRequest
from caroblug.gateway._context import Context
from caroblug.gateway._http_server import Reply
from caroblug.gateway._interfaces import CallerRequest
from caroblug.gateway._stream_latency import StreamLatency

NO_CAPACITY_RETRY_AFTER_MS = 700
"""Mean time after which a request that found no room is asked to come back:
a third of what a caller of a two-second objective may wait."""

NO_ENGINES_RETRY_AFTER_MS = 2500
"""The same where layers are held by nobody: the time in which a lost engine
is missed, its layers are ordered elsewhere and loaded."""

LEAVING_RETRY_AFTER_MS = 150
"""The same for a gateway that leaves: another one takes the request."""

QUARANTINE_RETRY_AFTER_MS = 60_000
"""The same for a request that has crashed backend servers; sooner it would
only be refused again."""

UNREADY_RETRY_AFTER_MS = 400
"""The same for a gateway that doesn't know the configuration yet; it reads it
within some tens of ms of its start."""


@attrs.define
class PendingRequest:
    """One request, with what was decided about it so far.

    Attributes:
        request: As it was read.
        caller: What it says.
        admitted: Where it goes.
        reply: Its answer.
        end_ms: When its time is over.
        sends: Times it was sent.
        ran: Times it may have run.
        tried: Backend servers that it was sent to.
        stream_latency: When events came; None if it is no stream.
    """

    request: RawRequest
    caller: CallerRequest
    admitted: Admitted
    reply: Reply
    end_ms: int
    sends: int = 0
    ran: int = 0
    tried: set[str] = attrs.field(factory=set)
    stream_latency: StreamLatency | None = None

    def left_ms(self, now_ms: int) -> int:
        """Returns the time left, in ms."""
        return self.end_ms - now_ms

    def on_send(self, context: Context) -> None:
        """Counts a send; the first one earns a part of a later repeat."""
        if not self.sends:
            context.retry_budget.on_first_send(
                self.admitted.service.name, context.clock.now_ms()
            )
        self.sends += 1

    @property
    def account(self) -> str | None:
        """Name of the client account."""
        account = self.admitted.account
        return account.name if account else None


class GatewayResponses:
    """Answers that the gateway gives by itself.

    Args:
        context: What the gateway's parts share.
    """

    def __init__(self, context: Context) -> None:
        self._context = context

    def refuse(
        self,
        pending: PendingRequest,
        reason: str,
        mean_ms: int = NO_CAPACITY_RETRY_AFTER_MS,
    ) -> None:
        """Answers that the request has not run, and when to come back.

        If it may have run, the answer says nothing of the kind.

        Args:
            pending: The request.
            reason: Why, for the caller and the log.
            mean_ms: Mean time after which to come back.
        """
        if pending.ran:
            self.fail(pending, 502, reason)
            return
        after_ms = self._context.retry_after.ms(mean_ms)
        self._end(pending, 503, reason, after_ms)

    def fail(self, pending: PendingRequest, status: int, reason: str) -> None:
        """Answers 502 or 504: the request may have run."""
        self._end(pending, status, reason, None)

    def _end(
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
        """Writes the request's line and counts it.

        Args:
            pending: The request.
            status: Status that the caller got.
            reason: Why, if it failed.
            cut: Whether the answer ended before it was whole.
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
            status=status,
            reason=reason,
            cut=cut,
            took_ms=took_ms,
            sends=pending.sends,
            ran=pending.ran,
            tried=sorted(pending.tried),
            configuration=pending.admitted.version,
            backends_age_ms=context.fleet.listing_age_ms(now_ms),
            **_describe(pending),
        )


def _describe(pending: PendingRequest) -> dict[str, str | int | None]:
    """Returns what a line says of the times of a stream's events."""
    times = pending.stream_latency
    if times is None:
        return {}
    return {
        "first_ms": times.first_ms,
        "pause_ms": times.pause_ms,
        "late": times.missed_objective(pending.admitted.route),
        "cause": times.cause,
        "engine": times.engine,
    }
