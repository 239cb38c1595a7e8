"""Streams of generations, over engines that pass tokens on themselves.

The gateway chooses the path, sends the request to its first engine and passes
events on as they come. When the stream pauses it asks where the work stands
still, and goes on over other engines: by changing the path of the run that
goes on, where only a later part is lost, else by a new run that begins after
the last event passed on.
"""

import attrs

from caroblug.core.placement import NoPath, Path
from caroblug.gateway._context import Context
from caroblug.gateway._crash_suspicions import CrashSuspicions
from caroblug.gateway._pending_request import (
    NO_ENGINES_RETRY_AFTER_MS,
    GatewayResponses,
    PendingRequest,
)
from caroblug.gateway._run_results import RunEnd, RunResult
from caroblug.gateway._running_streams import RunningStream, RunningStreams
from caroblug.gateway._shared_retry_budget import SharedRetryBudget
from caroblug.gateway._stream_path_repair import StreamPathRepair
from caroblug.gateway._stream_retry_policy import StreamRetryPolicy
from caroblug.gateway._stream_runner import StreamRunner
from caroblug.gateway._stream_state import StreamState, make_stream_state

_FIRST_EVENT_MS = 150
"""Time in which a sound run brings its first event, prompt and queue
included."""

_MOST_SENDS = 5


class StreamHandler:
    """Answers streaming requests.

    Args:
        context: What the gateway's parts share.
        crashes: Requests that crash backend servers.
        running: Takes streams while they run.
        retry_budget: Allows requests to be sent once more.
    """

    def __init__(
        self,
        context: Context,
        crashes: CrashSuspicions,
        running: RunningStreams,
        retry_budget: SharedRetryBudget,
    ) -> None:
        self._context = context
        self._crashes = crashes
        self._running = running
        self._retry_budget = retry_budget
        self._responses = GatewayResponses(context)

    def serve(self, pending: PendingRequest) -> None:
        """Answers one request, at the end of its time at the latest."""
        state = make_stream_state(self._context, pending)
        policy = StreamRetryPolicy(state, self._crashes, self._retry_budget)
        repair = StreamPathRepair(state, policy)
        runner = StreamRunner(
            state, policy, repair, self._crashes, self._running
        )
        _Stream(
            state, policy, repair, runner, self._crashes, self._responses
        ).serve()


class _Stream(RunningStream):
    """One stream, over all its runs."""

    def __init__(
        self,
        state: StreamState,
        policy: StreamRetryPolicy,
        repair: StreamPathRepair,
        runner: StreamRunner,
        crashes: CrashSuspicions,
        responses: GatewayResponses,
    ) -> None:
        self._state = state
        self._policy = policy
        self._repair = repair
        self._runner = runner
        self._crashes = crashes
        self._responses = responses

    @property
    def path(self) -> Path:
        """The path that it runs over."""
        return self._state.path

    @property
    def event_ms(self) -> int:
        """When its newest event came, or its first one was due."""
        if self._state.pace.events:
            return self._state.last_event_ms
        return self._state.last_event_ms + _FIRST_EVENT_MS

    @property
    def gap_ms(self) -> float:
        """Mean time between its latest events; 0 before it is known."""
        return self._state.pace.gap_ms

    def serve(self) -> None:
        """Runs until the answer is whole or can't become so."""
        pending = self._state.pending
        result = RunResult(RunEnd.NOT_SENT, "no time left")
        while pending.sends < _MOST_SENDS and not self._runner.unreachable:
            if self._state.left_ms <= 0:
                result = RunResult(RunEnd.OUT_OF_TIME, "no time left")
                break
            path = self._policy.choose_path()
            if isinstance(path, NoPath):
                result = RunResult(
                    RunEnd.NO_PATH, f"no engine for layer {path.layer}"
                )
                if self._policy.wait_to_go_on():
                    continue
                break
            if pending.sends and not self._policy.take_repeat():
                result = attrs.evolve(result, reason="repeats are spent")
                if self._policy.wait_to_go_on():
                    continue
                break
            self._policy.on_run()
            result = self._runner.run(self, path)
            self._note(result)
            if result.end in (RunEnd.WHOLE, RunEnd.OUT_OF_TIME):
                break
            if not self._policy.may_run_again(result):
                break
        self._finish(result)

    def on_engine_lost(self, name: str, ended: bool) -> None:
        """Goes on without an engine of its path.

        Runs beside the greenlet that reads the stream. Where the path can't
        be changed, that one is woken by the end of its connection, and a new
        run begins after the last event passed on.
        """
        state = self._state
        if state.path is None or name not in state.path.names:
            return
        state.lost = name
        state.avoid.add(name)
        if ended:
            self._crashes.on_process_ended(state.pending, name)
        problem = ""
        if name == state.path.first.name:
            problem = "first engine is lost"
        elif not self._repair.repairing:
            problem = self._repair.replace(name)
        exchange = state.exchange
        if not problem or not self._policy.prepare_another_run():
            return
        # Others may have been asked for a repeat, and the run ended meanwhile.
        if exchange is state.exchange:
            self._runner.give_up(problem)

    def _finish(self, result: RunResult) -> None:
        pending = self._state.pending
        reply = pending.reply
        if result.end is RunEnd.WHOLE:
            self._responses.log(pending, 200)
            reply.finish()
        elif reply.begun:
            # The connection ends without the mark of a whole answer, so that
            # the caller can't take what it has for all there is.
            reply.end_connection()
            self._responses.log(pending, 200, result.reason, cut=True)
        elif result.end is RunEnd.ANSWERED:
            self._responses.log(pending, result.head.status, "engine's answer")
            reply.send(
                result.head.status, list(result.facts.headers), result.body
            )
        elif result.end is RunEnd.OUT_OF_TIME and pending.ran:
            self._responses.fail(pending, 504, result.reason)
        elif result.end is RunEnd.NO_PATH:
            self._responses.refuse(
                pending, result.reason, NO_ENGINES_RETRY_AFTER_MS
            )
        else:
            self._responses.refuse(pending, result.reason)

    def _note(self, result: RunResult) -> None:
        if result.end is RunEnd.WHOLE:
            return
        state = self._state
        state.times.record_incident(
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
