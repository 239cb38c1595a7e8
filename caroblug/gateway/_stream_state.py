"""State that the components handling one stream share."""

import attrs

from caroblug.core.placement import Engine, Path
from caroblug.gateway._context import Context
from caroblug.gateway._events import EventPace, EventSequence
from caroblug.gateway._http_client import Exchange
from caroblug.gateway._pending_request import PendingRequest
from caroblug.gateway._process_ends import ServerProcess
from caroblug.gateway._stream_latency import StreamLatency
from caroblug.utils import parse_digits


@attrs.define
class StreamState:
    """State of one stream over all its runs.

    Attributes:
        context: State shared by the gateway's components.
        pending: The request.
        latency: Times of the forwarded events.
        events: Parser and order check of the stream's events.
        path: Path of the latest run; None before the first run.
        exchange: HTTP exchange of the latest run; None before the first run.
        excluded_engines: Engines that this stream must not use.
        began_on: Engines that were the first of a path on which a run began.
        pace: Time between the events of the latest run.
        last_event_ms: Time of the latest event, of the start of the run or of
            the latest path change, whichever is last.
        lost: Engine that interrupted the latest run, for the log.
        processes: Processes of the engines on the path, by name.
        lacked_room: Whether an engine rejected the stream for lack of room
            since it was last accepted.
        is_unbroken_run: Whether the latest run is still on its first path and
            hasn't yet written for long enough to show that its prompt crashes
            nothing.
    """

    context: Context
    pending: PendingRequest
    latency: StreamLatency
    events: EventSequence
    path: Path | None = None
    exchange: Exchange | None = None
    excluded_engines: set[str] = attrs.field(factory=set)
    began_on: set[str] = attrs.field(factory=set)
    pace: EventPace = attrs.field(factory=EventPace)
    last_event_ms: int = 0
    lost: str = ""
    lacked_room: bool = False
    processes: dict[str, ServerProcess] = attrs.field(factory=dict)
    is_unbroken_run: bool = False
    _prefilling_engines: tuple[str, ...] = ()
    _run_counted: bool = False

    @property
    def now_ms(self) -> int:
        """Current time, in ms."""
        return self.context.clock.now_ms()

    @property
    def left_ms(self) -> int:
        """Time until the request's deadline, in ms."""
        return self.pending.left_ms(self.now_ms)

    @property
    def resume_after(self) -> str | None:
        """Id of the event after which a new run begins; None for the start."""
        last_id = self.events.last_id
        if last_id is not None:
            return str(last_id)
        return self.pending.caller.resume_after

    @property
    def mean_tokens(self) -> int:
        """Mean number of tokens in memory over the stream's time.

        The response grows from nothing to at most the length that the caller
        allows, so that half of this length is counted.
        """
        caller = self.pending.caller
        return max(1, caller.prompt_tokens + caller.answer_tokens // 2)

    def begin_run(self, path: Path) -> None:
        """Sets up a run over a path and counts its load."""
        self.processes = {}
        self.lost = ""
        self._run_counted = False
        self.is_unbroken_run = True
        self._enter_path(path)
        self._prefilling_engines = path.names
        self.context.fleet.loads.begin_prefill(self._prefilling_engines)
        self.exchange = Exchange(path.first.address)
        self.context.fleet.begin_request(path.first.name)

    def count_run(self) -> None:
        """Counts the current run as one that may execute the request."""
        self.pending.ran += 1
        self.began_on.add(self.path.first.name)
        self._run_counted = True

    def discount_run(self) -> None:
        """Takes back the count of a run that did not execute the request.

        A request that no engine has run must be refused, so that its caller may
        retry, and must not be reported as failed.
        """
        if self._run_counted:
            self.pending.ran -= 1
            self.began_on.discard(self.path.first.name)
            self._run_counted = False

    def end_run(self) -> None:
        """Closes the run's exchange and releases its load."""
        self.exchange.close()
        self.context.fleet.end_request(self.path.first.name)
        self.end_prefill()
        self._leave_path()

    def change_path(self, path: Path) -> None:
        """Moves the load of the current run to another path."""
        self.is_unbroken_run = False
        self._leave_path()
        self._enter_path(path)
        self.last_event_ms = self.now_ms

    def end_prefill(self) -> None:
        """Releases the prefill load of the current run."""
        self.context.fleet.loads.end_prefill(self._prefilling_engines)
        self._prefilling_engines = ()

    def eject_engine(self, name: str, reason: str) -> None:
        """Excludes an engine from this stream and ejects it for all others.

        Args:
            name: Name of the engine.
            reason: Why it is ejected, for the log.
        """
        self.excluded_engines.add(name)
        for_ms = self.context.fleet.eject(name, self.now_ms)
        self.context.log.write(
            "backend_server.avoided",
            backend_server=name,
            reason=reason,
            for_ms=for_ms,
        )

    def _enter_path(self, path: Path) -> None:
        self.path = path
        self.pending.exposures += 1
        self.processes = {
            part.engine.name: self.processes.get(part.engine.name)
            or self._find_process(part.engine)
            for part in path.parts
        }
        self.context.fleet.loads.add_request(
            path.names, self.mean_tokens, self.now_ms
        )

    def _find_process(self, engine: Engine) -> ServerProcess:
        return ServerProcess(
            engine.name,
            engine.address,
            self.context.fleet.started_ms(engine.name),
            self.now_ms,
            self.pending.exposures,
            reports=True,
        )

    def _leave_path(self) -> None:
        self.context.fleet.loads.remove_request(
            self.path.names, self.mean_tokens, self.now_ms
        )


def make_stream_state(context: Context, pending: PendingRequest) -> StreamState:
    """Returns the state of a stream that hasn't run yet."""
    latency = StreamLatency(pending.request.began_ms)
    pending.stream_latency = latency
    events = EventSequence(_parse_event_id(pending.caller.resume_after))
    return StreamState(context, pending, latency, events)


def _parse_event_id(text: str | None) -> int | None:
    return parse_digits(text) if text is not None else None
