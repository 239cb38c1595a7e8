"""Admission of streams while engines are short of memory.

The decisions are in `caroblug.core.admission`. Here, streams wait for them: a
queue is served when memory is released, and periodically, since other gateways
release memory as well.
"""

import contextlib
from collections.abc import Iterator

import gevent
from gevent import event

from caroblug.core.access import Service
from caroblug.core.admission import (
    Admission,
    Refuse,
    StreamRequest,
    Wait,
    make_admission,
)
from caroblug.core.placement import (
    NoPath,
    NoRoom,
    Path,
    RoomNeed,
)
from caroblug.gateway._admission_inputs import (
    count_path_tokens,
    find_ranks,
    has_ranked_routes,
)
from caroblug.gateway._admission_log import AdmissionLog
from caroblug.gateway._context import Context
from caroblug.gateway._room_check import RoomCheck
from caroblug.gateway._run_results import RunEnd, RunResult
from caroblug.gateway._running_streams import RunningStream
from caroblug.gateway._stream_retry_policy import (
    LimitsReached,
    StreamRetryPolicy,
)
from caroblug.gateway._stream_runner import StreamRunner
from caroblug.gateway._stream_state import StreamState

_SERVE_INTERVAL_S = 0.05

_ENGINES_PER_INTERVAL = 64
"""Engines up to which the queue is served at `_SERVE_INTERVAL_S`. With more,
the interval grows in proportion, as a search for a path takes longer."""

_UPDATE_INTERVAL_MS = 500
"""Interval at which the memory of the fleet and the ranks are determined."""

_NOT_RELEASED = (RunEnd.REJECTED, RunEnd.NOT_SENT, RunEnd.LOST)
"""Ends of runs after which no memory becomes free. An engine that is lost takes
its memory along."""


class StreamAdmission:
    """Admits the streams of all services at one gateway.

    Args:
        context: State shared by the gateway's components.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._gates: dict[str, ServiceGate] = {}

    @contextlib.contextmanager
    def open_ticket(
        self, state: StreamState, policy: StreamRetryPolicy
    ) -> Iterator["AdmissionTicket"]:
        """Provides the admission of one stream until the stream ends.

        Args:
            state: State of the stream.
            policy: Selects its paths.
        """
        service = state.pending.admitted.service
        gate = self._gates.get(service.name)
        if gate is None:
            gate = ServiceGate(
                self._context, service, make_admission(self._context.rng)
            )
            self._gates[service.name] = gate
        ticket = AdmissionTicket(gate, state, policy)
        try:
            yield ticket
        finally:
            ticket.close()


class ServiceGate:
    """Admission of the streams of one service.

    Args:
        context: State shared by the gateway's components.
        service: The service, as in the first request; it must have a model.
        admission: Decisions for the service.
    """

    def __init__(
        self, context: Context, service: Service, admission: Admission
    ) -> None:
        self._context = context
        self._service = service
        self._admission = admission
        self._log = AdmissionLog(context)
        self._tickets: dict[StreamRequest, AdmissionTicket] = {}
        self._wake = event.Event()
        self._server: gevent.Greenlet | None = None
        self._interval_s = _SERVE_INTERVAL_S
        self._updated_ms: int | None = None
        self._engines_report = False
        self._has_ranked_routes = False
        self._check = RoomCheck(context.fleet.rooms)

    @property
    def admission(self) -> Admission:
        """Decisions for the service."""
        return self._admission

    @property
    def log(self) -> AdmissionLog:
        """Log lines and counters."""
        return self._log

    @property
    def is_enforced(self) -> bool:
        """Whether streams may wait or be refused for lack of room.

        Where all routes have one priority, refusing some streams for others of
        the same urgency served fewer callers than engines that queue.
        """
        return self._has_ranked_routes and self._engines_report

    def update(self, service: Service) -> None:
        """Updates what is known about the service, at intervals."""
        self._service = service
        now_ms = self._context.clock.now_ms()
        if (
            self._updated_ms is not None
            and now_ms - self._updated_ms < _UPDATE_INTERVAL_MS
        ):
            return
        self._updated_ms = now_ms
        fleet = self._context.fleet
        engines = fleet.engines(service, now_ms)
        self._check.set_engines(engines, service.model)
        gateways = fleet.loads.gateways
        tokens = count_path_tokens(engines, service.model)
        part = tokens / gateways if gateways else 0.0
        ranks = find_ranks(self._context.configuration, service.name)
        self._admission.set_fleet(len(ranks) > 1, part, gateways)
        self._has_ranked_routes = has_ranked_routes(
            self._context.configuration, service.name
        )
        self._interval_s = _SERVE_INTERVAL_S * max(
            1.0, len(engines) / _ENGINES_PER_INTERVAL
        )
        reports = fleet.rooms.fresh_reports(engines, now_ms)
        self._log.on_update(
            self._admission, ranks, reports, service.name, now_ms
        )
        # Once engines report, admission goes on when reports stop: their use
        # is then estimated.
        if any(report.use is not None for report in reports):
            self._engines_report = True

    def on_arrival(self, request: StreamRequest) -> None:
        """Counts a stream that has arrived."""
        self._check.on_arrival(request.tokens)
        self._admission.on_arrival(
            request.rank,
            request.tokens,
            self._context.clock.now_ms(),
            request.account,
        )

    def add_waiting(self, request: StreamRequest, ticket: "AdmissionTicket"):
        """Lets a stream wait until its ticket is resolved."""
        self._tickets[request] = ticket
        if self._server is None or self._server.dead:
            self._server = gevent.spawn(self._serve)

    def on_left(self, request: StreamRequest) -> None:
        """Removes a waiting stream whose caller has left."""
        if self._tickets.pop(request, None) is not None:
            self._admission.on_left(request)

    def on_ended(self, request: StreamRequest, released: bool) -> None:
        """Records that an admitted stream has ended.

        Args:
            request: The stream.
            released: Whether memory has become free, which wakes the queue.
        """
        now_ms = self._context.clock.now_ms()
        self._admission.on_ended(request, released, now_ms)
        if released:
            self._wake.set()

    def resolve(
        self, request: StreamRequest, outcome: Path | NoPath | Refuse
    ) -> None:
        """Ends the wait of a stream."""
        ticket = self._tickets.pop(request, None)
        if ticket is not None:
            ticket.resolve(request, outcome)

    def serve_once(self) -> None:
        """Admits the waiting streams that have room, refuses overdue ones."""
        self.update(self._service)
        now_ms = self._context.clock.now_ms()
        for request, refusal in self._admission.refuse_overdue(now_ms):
            self.resolve(request, refusal)
        for request, path in self._admission.serve_waiting(
            self._find_room, now_ms
        ):
            self.resolve(request, path)
            # Lets the stream begin its run, which counts its load.
            gevent.sleep(0)

    def _serve(self) -> None:
        while self._tickets:
            self._wake.wait(self._interval_s)
            self._wake.clear()
            self.serve_once()

    def _find_room(
        self, request: StreamRequest, need: RoomNeed
    ) -> Path | NoPath | None:
        """Returns a path, or NoPath if the stream doesn't wait for memory."""
        if not self._check.may_have_room(need, self._context.clock.now_ms()):
            return None
        path = self._tickets[request].policy.choose_unlimited_path(need)
        return None if isinstance(path, NoRoom) else path


class AdmissionTicket:
    """Admission of one stream, over all its runs.

    Args:
        gate: Admission of the stream's service.
        state: State of the stream.
        policy: Selects its paths.
    """

    def __init__(
        self, gate: ServiceGate, state: StreamState, policy: StreamRetryPolicy
    ) -> None:
        self._gate = gate
        self._state = state
        self._policy = policy
        self._arrived = False
        self._held: StreamRequest | None = None
        self._outcome: event.AsyncResult | None = None

    @property
    def policy(self) -> StreamRetryPolicy:
        """Selects the paths of the stream."""
        return self._policy

    def choose_path(self) -> Path | NoPath | LimitsReached | Refuse:
        """Returns a path with room for the stream, waiting for it if needed."""
        gate = self._gate
        self._end(released=False)
        gate.update(self._state.pending.admitted.service)
        request = self._make_request()
        if not self._arrived:
            self._arrived = True
            gate.on_arrival(request)
        path = self._choose(request)
        if isinstance(path, Refuse) and (request.begun or request.ran):
            # A refusal would cut the response, or fail a request that may have
            # run, although a path exists.
            path = self._policy.choose_first_path()
        if isinstance(path, Path):
            self._admit(request)
        elif isinstance(path, Refuse):
            gate.log.on_refused(self._state, request, path)
        return path

    def run(
        self, runner: StreamRunner, stream: RunningStream, path: Path
    ) -> RunResult:
        """Runs the stream, and releases its room when the run ends.

        Args:
            runner: Runs the stream.
            stream: The stream.
            path: Path of the run.

        Returns:
            How the run ended.
        """
        released = True
        try:
            result = runner.run(stream, path)
            released = result.end not in _NOT_RELEASED
            return result
        finally:
            self._end(released)

    def resolve(
        self, request: StreamRequest, outcome: Path | NoPath | Refuse
    ) -> None:
        """Ends the wait for room."""
        if not isinstance(outcome, Refuse):
            self._held = request
        self._outcome.set(outcome)

    def close(self) -> None:
        """Gives up room that no run has used."""
        self._end(released=False)

    def _choose(
        self, request: StreamRequest
    ) -> Path | NoPath | LimitsReached | Refuse:
        gate = self._gate
        if not gate.is_enforced:
            return self._policy.choose_first_path()
        if gate.admission.is_next(request, self._state.now_ms):
            path = self._choose_with_room(request)
            if not isinstance(path, NoRoom):
                return path
        while True:
            decision = gate.admission.decide(request, self._state.now_ms)
            if isinstance(decision, Refuse):
                return decision
            for other, refusal in decision.displaced:
                gate.resolve(other, refusal)
            path = self._wait(request, decision)
            if isinstance(path, NoPath):
                # It waits for a permit of a limited engine, not for memory.
                self._end(released=False)
                path = self._choose_with_room(request)
            if not isinstance(path, NoRoom):
                return path

    def _choose_with_room(
        self, request: StreamRequest
    ) -> Path | NoPath | NoRoom | LimitsReached:
        need = self._gate.admission.need(request, self._state.now_ms)
        return self._policy.choose_first_path(need)

    def _wait(
        self, request: StreamRequest, decision: Wait
    ) -> Path | NoPath | Refuse:
        gate = self._gate
        began_ms = self._state.now_ms
        self._outcome = event.AsyncResult()
        # From here on the request leaves the queue whatever happens.
        gate.add_waiting(request, self)
        try:
            gate.log.on_wait(self._state, gate.admission, request, decision)
            outcome = self._outcome.get()
        finally:
            # The greenlet is killed here when the caller leaves.
            gate.on_left(request)
        waited_ms = self._state.now_ms - began_ms
        gate.log.on_wait_ended(self._state, request, outcome, waited_ms)
        return outcome

    def _admit(self, request: StreamRequest) -> None:
        self._gate.log.on_admitted(request)
        if self._held is None:
            self._held = request
            self._gate.admission.on_admitted(request, self._state.now_ms)

    def _end(self, released: bool) -> None:
        """Gives up the room that the stream was admitted to, if any."""
        request, self._held = self._held, None
        if request is not None:
            self._gate.on_ended(request, released)

    def _make_request(self) -> StreamRequest:
        state = self._state
        pending = state.pending
        route = pending.admitted.route
        return StreamRequest(
            rank=pending.admitted.priority,
            tokens=state.mean_tokens,
            arrived_ms=pending.request.began_ms,
            end_ms=pending.end_ms,
            timeout_ms=route.timeout_ms,
            objective_ms=route.latency_target_ms,
            account=pending.account or "",
            begun=pending.reply.begun,
            ran=pending.ran > 0,
            constrained=bool(state.excluded_engines or state.began_on),
        )
