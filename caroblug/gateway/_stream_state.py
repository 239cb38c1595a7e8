"""What the parts of one stream share."""

import attrs

from caroblug.core.placement import Path
from caroblug.gateway._context import Context
from caroblug.gateway._events import EventPace, EventSequence
from caroblug.gateway._http_client import Exchange
from caroblug.gateway._pending_request import PendingRequest
from caroblug.gateway._stream_latency import StreamLatency


@attrs.define
class StreamState:
    """One stream, over all its runs.

    Attributes:
        context: What the gateway's parts share.
        pending: The request.
        times: When events came.
        events: Events passed on.
        path: The path of the newest run; None before the first.
        exchange: The connection of the newest run; None before the first.
        avoid: Engines that this stream doesn't use.
        began_on: Engines on which a run of it has begun.
        pace: Time between the events of the newest run.
        last_event_ms: When its newest event came, or the run began.
        lost: Engine that held up the newest run, for the log.
    """

    context: Context
    pending: PendingRequest
    times: StreamLatency
    events: EventSequence
    path: Path | None = None
    exchange: Exchange | None = None
    avoid: set[str] = attrs.field(factory=set)
    began_on: set[str] = attrs.field(factory=set)
    pace: EventPace = attrs.field(factory=EventPace)
    last_event_ms: int = 0
    lost: str = ""
    _reading: tuple[str, ...] = ()

    @property
    def now_ms(self) -> int:
        """Time now."""
        return self.context.clock.now_ms()

    @property
    def left_ms(self) -> int:
        """Time left for the request."""
        return self.pending.left_ms(self.now_ms)

    @property
    def resume_after(self) -> str | None:
        """Id of the event after which a new run is to begin."""
        last_id = self.events.last_id
        if last_id is not None:
            return str(last_id)
        return self.pending.caller.resume_after

    def begin_run(self, path: Path) -> None:
        """Starts a run over a path."""
        self.lost = ""
        self._take_path(path)
        self._reading = path.names
        self.context.fleet.loads.begin_prefill(self._reading)
        self.exchange = Exchange(path.first.address)
        self.context.fleet.begin_request(path.first.name)

    def end_run(self) -> None:
        """Ends a run, however it went."""
        self.exchange.close()
        self.context.fleet.end_request(self.path.first.name)
        self.end_reading()
        self._leave_path()

    def change_path(self, path: Path) -> None:
        """Notes that the run goes on over another path."""
        self._leave_path()
        self._take_path(path)
        self.last_event_ms = self.now_ms

    def end_reading(self) -> None:
        """Notes that no engine has this run's prompt to read any more."""
        self.context.fleet.loads.end_prefill(self._reading)
        self._reading = ()

    def avoid_engine(self, name: str, reason: str) -> None:
        """Lets this stream, and for a while all others, avoid an engine."""
        self.avoid.add(name)
        for_ms = self.context.fleet.eject(name, self.now_ms)
        self.context.log.write(
            "backend_server.avoided",
            backend_server=name,
            reason=reason,
            for_ms=for_ms,
        )

    def _take_path(self, path: Path) -> None:
        self.path = path
        self.context.fleet.loads.add_request(path.names, self._mean_tokens())

    def _leave_path(self) -> None:
        self.context.fleet.loads.remove_request(
            self.path.names, self._mean_tokens()
        )

    def _mean_tokens(self) -> int:
        """Returns the memory that the stream takes on the mean of its time.

        The answer grows from nothing to its end, which is the most that the
        caller allows or less.
        """
        caller = self.pending.caller
        return max(1, caller.prompt_tokens + caller.answer_tokens // 2)


def make_stream_state(context: Context, pending: PendingRequest) -> StreamState:
    """Returns the state of a stream that has not run yet."""
    times = StreamLatency(pending.request.began_ms)
    pending.stream_latency = times
    events = EventSequence(_whole(pending.caller.resume_after))
    return StreamState(context, pending, times, events)


def _whole(text: str | None) -> int | None:
    return int(text) if text is not None and text.isdigit() else None
