"""Streaming generations over paths of engines.

The engines of a path pass tokens on to each other directly. The gateway selects
the path, sends the request to its first engine and forwards events as they
arrive. When a stream pauses, the gateway finds out which engine holds it up and
continues over other engines. If only a later part of the path is lost, it
changes the path of the current run. Otherwise it starts a new run that begins
after the last forwarded event.
"""

import attrs

from caroblug.core.admission import Refuse
from caroblug.core.placement import NoPath, NoRoom, Path
from caroblug.gateway._context import Context
from caroblug.gateway._crash_suspicions import CrashSuspicions
from caroblug.gateway._limit_permits import LimitPermits
from caroblug.gateway._pending_request import (
    NO_ENGINES_RETRY_AFTER_MS,
    GatewayResponses,
    PendingRequest,
)
from caroblug.gateway._run_results import (
    QUARANTINED_REASON,
    RunEnd,
    RunResult,
    make_quarantined_result,
)
from caroblug.gateway._running_streams import RunningStream, RunningStreams
from caroblug.gateway._shared_retry_budget import SharedRetryBudget
from caroblug.gateway._stream_admission import (
    AdmissionTicket,
    StreamAdmission,
)
from caroblug.gateway._stream_path_repair import StreamPathRepair
from caroblug.gateway._stream_retry_policy import (
    LimitsReached,
    StreamRetryPolicy,
)
from caroblug.gateway._stream_runner import StreamRunner
from caroblug.gateway._stream_state import StreamState, make_stream_state

_EXPECTED_FIRST_EVENT_MS = 150
"""Time in which a run on healthy engines returns its first event, including
queueing and prefill."""

_MAX_SENDS = 5


class StreamHandler:
    """Handles streaming requests.

    Args:
        context: State shared by the gateway's components.
        crashes: Suspicions against requests that crash backend servers.
        running: Registry of running streams.
        retry_budget: Budget that retries are taken from.
        permits: Permits for engines with a limit.
    """

    def __init__(
        self,
        context: Context,
        crashes: CrashSuspicions,
        running: RunningStreams,
        retry_budget: SharedRetryBudget,
        permits: LimitPermits,
    ) -> None:
        self._context = context
        self._crashes = crashes
        self._running = running
        self._retry_budget = retry_budget
        self._permits = permits
        self._responses = GatewayResponses(context)
        self._admission = StreamAdmission(context)

    def serve(self, pending: PendingRequest) -> None:
        """Responds to a request by its deadline at the latest."""
        state = make_stream_state(self._context, pending)
        policy = StreamRetryPolicy(
            state, self._crashes, self._retry_budget, self._permits
        )
        repair = StreamPathRepair(state, policy)
        runner = StreamRunner(
            state, policy, repair, self._crashes, self._running
        )
        with self._admission.open_ticket(state, policy) as ticket:
            _Stream(
                state,
                policy,
                ticket,
                repair,
                runner,
                self._crashes,
                self._responses,
            ).serve()


class _Stream(RunningStream):
    """A stream, over all its runs."""

    def __init__(
        self,
        state: StreamState,
        policy: StreamRetryPolicy,
        ticket: AdmissionTicket,
        repair: StreamPathRepair,
        runner: StreamRunner,
        crashes: CrashSuspicions,
        responses: GatewayResponses,
    ) -> None:
        self._state = state
        self._policy = policy
        self._ticket = ticket
        self._repair = repair
        self._runner = runner
        self._crashes = crashes
        self._responses = responses

    @property
    def path(self) -> Path:
        """Path over which the stream runs."""
        return self._state.path

    @property
    def event_ms(self) -> int:
        """Time of the latest event, or when the first one was due."""
        if self._state.pace.events:
            return self._state.last_event_ms
        return self._state.last_event_ms + _EXPECTED_FIRST_EVENT_MS

    @property
    def arrived_ms(self) -> int:
        """Time of the latest event that has arrived; 0 if none has."""
        return self._state.last_event_ms if self._state.pace.events else 0

    @property
    def gap_ms(self) -> float:
        """Mean time between recent events; 0 until it is known."""
        return self._state.pace.gap_ms

    def serve(self) -> None:
        """Runs the stream until it is complete or can't be completed."""
        pending = self._state.pending
        result = RunResult(RunEnd.NOT_SENT, "no time left")
        while pending.sends < _MAX_SENDS and not self._runner.unreachable:
            if self._crashes.is_quarantined(pending):
                result = make_quarantined_result()
                break
            if self._state.left_ms <= 0:
                result = RunResult(RunEnd.OUT_OF_TIME, "no time left")
                break
            path = self._ticket.choose_path()
            if isinstance(path, Refuse):
                self._responses.refuse(
                    pending, path.reason, after_ms=path.retry_after_ms
                )
                return
            if not isinstance(path, Path):
                result = _no_run(path, self._state.lacked_room)
                if self._policy.wait_before_retry():
                    continue
                break
            if pending.sends and not self._policy.acquire_retry():
                result = attrs.evolve(result, reason="repeats are spent")
                if self._policy.wait_before_retry():
                    continue
                break
            if not self._policy.take_permit(path):
                continue
            self._policy.on_run_started()
            result = self._ticket.run(self._runner, self, path)
            self._log_failed_run(result)
            if result.end in (RunEnd.COMPLETE, RunEnd.OUT_OF_TIME):
                break
            if not self._policy.can_retry(result):
                break
        self._finish(result)

    def on_engine_lost(self, name: str, ended: bool) -> None:
        """Continues the stream without an engine of its path.

        Called in another greenlet than the one that reads the stream. If the
        path can't be changed, closing the connection wakes the reader, and a
        new run begins after the last forwarded event.

        Args:
            name: Name of the engine.
            ended: Whether the engine's process is known to have ended.
        """
        state = self._state
        if state.path is None or name not in state.path.names:
            return
        state.lost = name
        state.excluded_engines.add(name)
        process = state.processes[name]
        if ended:
            self._crashes.on_process_ended(state.pending, process)
        else:
            self._crashes.on_unreachable(state.pending, process)
        if self._crashes.is_quarantined(state.pending):
            self._runner.abort(QUARANTINED_REASON)
            return
        problem = ""
        if name == state.path.first.name:
            problem = "first engine is lost"
        elif not self._repair.repairing:
            problem = self._repair.replace(name)
        exchange = state.exchange
        if not problem or not self._policy.acquire_rerun():
            return
        # Acquiring a retry may wait for other gateways, and the run may have
        # ended meanwhile.
        if exchange is state.exchange:
            self._runner.abort(problem)

    def _finish(self, result: RunResult) -> None:
        pending = self._state.pending
        reply = pending.reply
        if result.end is RunEnd.COMPLETE:
            self._crashes.on_served(pending)
            self._responses.log(pending, 200)
            reply.finish()
        elif reply.begun:
            # The connection closes without the final chunk, so that the caller
            # can't mistake the partial response for a complete one.
            reply.end_connection()
            self._responses.log(pending, 200, result.reason, cut=True)
        elif result.end is RunEnd.ERROR_RESPONSE:
            self._responses.log(pending, result.head.status, "engine's answer")
            reply.send(
                result.head.status, list(result.metadata.headers), result.body
            )
        elif result.end is RunEnd.OUT_OF_TIME and pending.ran:
            self._responses.fail(pending, 504, result.reason)
        elif result.end is RunEnd.QUARANTINED:
            self._responses.refuse_quarantined(pending)
        elif result.end is RunEnd.NO_PATH:
            self._responses.refuse(
                pending, result.reason, NO_ENGINES_RETRY_AFTER_MS
            )
        else:
            self._responses.refuse(pending, result.reason)

    def _log_failed_run(self, result: RunResult) -> None:
        if result.end is RunEnd.COMPLETE:
            return
        state = self._state
        state.latency.record_incident(
            result.reason, state.lost or state.path.first.name
        )
        state.context.telemetry.count("runs_failed", end=result.end.value)
        state.context.log.write(
            "stream.run_failed",
            request=state.pending.caller.id,
            outcome=result.end.value,
            reason=result.reason,
            path=state.path.names,
            use=round(state.path.use, 2),
            events=state.events.count,
        )


def _no_run(
    problem: NoPath | NoRoom | LimitsReached, lacked_room: bool
) -> RunResult:
    """Returns the result of a search that found no path for a run.

    Args:
        problem: Why there is no path.
        lacked_room: Whether an engine has rejected the stream for lack of room.
            It is left out of the search, and with it perhaps the last one that
            holds a layer.
    """
    if isinstance(problem, LimitsReached):
        return RunResult(
            RunEnd.LIMITED, "engines accept no more requests a second"
        )
    if isinstance(problem, NoRoom) or lacked_room:
        return RunResult(
            RunEnd.NO_ROOM, f"no room on engines for layer {problem.layer}"
        )
    return RunResult(RunEnd.NO_PATH, f"no engine for layer {problem.layer}")
