"""Execution of the runs of one stream.

A run sends the request to the first engine of a path and reads the response.
"""

import gevent

from caroblug.core.limits import WRITING_MS
from caroblug.core.placement import Engine, Path
from caroblug.gateway._connect_attempts import ConnectAttempts
from caroblug.gateway._crash_suspicions import CrashSuspicions
from caroblug.gateway._engine_reports import (
    find_unproved,
    read_report,
    record_load,
    record_replacement,
)
from caroblug.gateway._events import (
    MAX_EVENT_BYTES,
    EventPace,
    OutOfOrderEvent,
    OversizedEvent,
)
from caroblug.gateway._exchange_results import (
    EndOfBody,
    ExchangeFailure,
    FailureKind,
    ReadTimeout,
    ResponseHead,
)
from caroblug.gateway._interfaces import (
    AnswerMetadata,
    ForwardMetadata,
    RunState,
    Unavailable,
)
from caroblug.gateway._pending_request import read_whole_body
from caroblug.gateway._process_ends import ProcessState
from caroblug.gateway._run_results import (
    RunEnd,
    RunResult,
    make_quarantined_result,
)
from caroblug.gateway._running_streams import RunningStream, RunningStreams
from caroblug.gateway._server_advice import (
    AT_REST_REASON,
    apply_server_advice,
    is_from_another_server,
    lacked_room,
)
from caroblug.gateway._stream_path_repair import StreamPathRepair
from caroblug.gateway._stream_retry_policy import (
    MAX_PAUSE_MS,
    StreamRetryPolicy,
)
from caroblug.gateway._stream_state import StreamState

_FIRST_EVENT_CHECK_S = 0.35
"""Wait for the first event after which a run is investigated. A healthy run
takes much less, and a second run still returns its first event within half a
second."""

_MAX_OVERRUN_MS = 50
"""Time past the deadline within which the end of a stream is still read while
its events arrive without a pause, in ms."""

_STALLED_CHECK_S = 0.05
"""Wait for the check of an engine that stalls a run. A port that refuses
connections does so at once."""

_PAUSE_CHECK_S = 0.3
"""Pause between events after which a run is investigated, which costs a
call."""


class StreamRunner:
    """Runs one stream over successive paths.

    Args:
        state: State of the stream.
        policy: Retry policy, which selects paths.
        repair: Replaces lost parts of the current path.
        crashes: Suspicions against requests that crash backend servers.
        running: Registry of running streams.
    """

    def __init__(
        self,
        state: StreamState,
        policy: StreamRetryPolicy,
        repair: StreamPathRepair,
        crashes: CrashSuspicions,
        running: RunningStreams,
    ) -> None:
        self._state = state
        self._context = state.context
        self._policy = policy
        self._repair = repair
        self._crashes = crashes
        self._running = running
        self._connect_attempts = ConnectAttempts()
        self._abort_reason = ""
        self._sent_ms = 0

    @property
    def unreachable(self) -> bool:
        """Whether connecting failed for too many engines in a row."""
        return self._connect_attempts.exhausted

    def run(self, stream: RunningStream, path: Path) -> RunResult:
        """Runs the stream over a path until the run ends.

        Args:
            stream: The stream, to be registered as running.
            path: Path of the run.

        Returns:
            How the run ended.
        """
        self._abort_reason = ""
        self._state.begin_run(path)
        try:
            result = self._send_and_read(stream)
            if result.end is RunEnd.OUT_OF_TIME:
                self._check_paused()
            return result
        except gevent.GreenletExit:
            # The caller has left, and this greenlet with it.
            self._check_paused()
            raise
        finally:
            self._running.remove(stream)
            self._state.end_run()

    def abort(self, reason: str) -> None:
        """Ends the run from another greenlet than the one that reads it.

        Args:
            reason: Why the run ends, for its result.
        """
        self._abort_reason = reason
        self._state.exchange.close()

    def _send_and_read(self, stream: RunningStream) -> RunResult:
        state = self._state
        result = self._send()
        if result is not None:
            return result
        state.events.begin_run()
        state.pace = EventPace()
        state.last_event_ms = state.now_ms
        self._running.add(stream)
        head = self._read_head()
        if isinstance(head, RunResult):
            return head
        return self._read_response(head)

    def _send(self) -> RunResult | None:
        """Sends the request to the first engine of the path.

        Returns:
            How the run ended, if it could not be sent.
        """
        state = self._state
        pending = state.pending
        first = state.path.first.name
        unproved = find_unproved(self._context, state.path)
        if unproved:
            state.excluded_engines |= unproved
            return RunResult(RunEnd.NOT_SENT, "engines have been replaced")
        left_s = state.left_ms / 1000
        timeout_s = min(self._connect_attempts.timeout_s, left_s)
        problem = state.exchange.connect(timeout_s)
        if problem is not None:
            return self._on_exchange_failure(problem)
        if self._context.fleet.availability.is_at_rest(first, state.now_ms):
            return RunResult(RunEnd.NOT_SENT, AT_REST_REASON)
        if self._crashes.is_quarantined(pending):
            # Another gateway may have reported a crash meanwhile.
            return make_quarantined_result()
        for name in self._connect_attempts.on_connected():
            state.eject_engine(name, FailureKind.CONNECT.value)
        pending.on_send(self._context)
        self._crashes.on_run(pending)
        self._sent_ms = state.now_ms
        pending.tried.add(first)
        # Once the first byte is sent, the request may run even if no response
        # arrives.
        state.count_run()
        problem = state.exchange.send(self._encode(), left_s)
        return self._on_exchange_failure(problem) if problem else None

    def _read_head(self) -> ResponseHead | RunResult:
        while True:
            head = self._state.exchange.read_head(
                self._read_timeout_s(_FIRST_EVENT_CHECK_S)
            )
            if isinstance(head, ResponseHead):
                return head
            if isinstance(head, ExchangeFailure):
                return self._on_exchange_failure(head)
            result = self._on_read_timeout(_FIRST_EVENT_CHECK_S)
            if result is not None:
                return result

    def _read_response(self, head: ResponseHead) -> RunResult:
        state = self._state
        pending = state.pending
        first = state.path.first.name
        metadata = self._context.dialect.decode_answer(head)
        if metadata.request_id not in (None, pending.caller.id):
            return RunResult(RunEnd.LOST, "answer to another request")
        if is_from_another_server(pending.admitted.service, first, metadata):
            state.discount_run()
            state.lost = first
            state.excluded_engines.add(first)
            record_replacement(self._context, first)
            return RunResult(RunEnd.REJECTED, f"another engine than {first}")
        apply_server_advice(self._context, first, metadata, self._sent_ms)
        if metadata.run is RunState.NOT_RUN:
            state.discount_run()
            record_load(self._context, first, metadata)
            return self._on_rejected(head, metadata)
        if metadata.request_id != pending.caller.id or not metadata.genuine:
            return RunResult(RunEnd.LOST, f"unproved answer {head.status}")
        self._context.fleet.on_response(
            first, metadata.running, metadata.waiting, state.now_ms
        )
        record_load(self._context, first, metadata)
        self._context.fleet.on_accepted(state.path.names)
        state.lacked_room = False
        if head.status != 200:
            return self._read_error_response(head, metadata)
        return self._read_events(head, metadata)

    def _read_events(
        self, head: ResponseHead, metadata: AnswerMetadata
    ) -> RunResult:
        state = self._state
        reply = state.pending.reply
        while True:
            chunk = state.exchange.read_chunk(
                self._read_timeout_s(_PAUSE_CHECK_S)
            )
            if isinstance(chunk, EndOfBody):
                problem = self._find_early_end(chunk)
                if problem:
                    return RunResult(RunEnd.LOST, problem)
                if not reply.begun:
                    reply.begin(head.status, list(metadata.headers))
                return RunResult(RunEnd.COMPLETE)
            if isinstance(chunk, ExchangeFailure):
                return self._on_exchange_failure(chunk)
            if isinstance(chunk, ReadTimeout):
                result = self._on_read_timeout(_PAUSE_CHECK_S)
                if result is not None:
                    return result
                continue
            events = state.events.feed(chunk)
            if isinstance(events, OutOfOrderEvent):
                return RunResult(
                    RunEnd.LOST,
                    f"event {events.found} instead of {events.expected}",
                )
            if isinstance(events, OversizedEvent):
                state.eject_engine(state.path.first.name, "endless event")
                return RunResult(
                    RunEnd.LOST, f"event of over {MAX_EVENT_BYTES} bytes"
                )
            if events:
                if not reply.begun:
                    reply.begin(head.status, list(metadata.headers))
                self._forward(events)
            if state.left_ms <= -_MAX_OVERRUN_MS:
                return RunResult(RunEnd.OUT_OF_TIME, "no time left")

    def _find_early_end(self, end: EndOfBody) -> str:
        """Returns why the end of a body isn't the end of the stream, if so."""
        state = self._state
        if state.events.mid_event:
            self._check_processes()
            return "ended inside an event"
        if not end.by_close:
            return ""
        found = self._check_processes()
        if found is not ProcessState.ALIVE:
            return f"ended by close, process: {found.value}"
        return "" if state.events.count else "ended without an event"

    def _forward(self, events: list[bytes]) -> None:
        state = self._state
        state.end_prefill()
        state.pending.reply.send_chunk(b"".join(events))
        now_ms = state.now_ms
        state.latency.on_events(now_ms)
        state.pace.add(len(events), now_ms - state.last_event_ms)
        state.last_event_ms = now_ms
        written_ms = state.pace.written_ms
        pending = state.pending
        pending.written_ms = max(pending.written_ms, written_ms)
        if state.is_unbroken_run and written_ms >= WRITING_MS:
            state.is_unbroken_run = False
            self._crashes.on_written(pending, now_ms - written_ms)

    def _read_error_response(
        self, head: ResponseHead, metadata: AnswerMetadata
    ) -> RunResult:
        state = self._state
        body = read_whole_body(self._context, state.pending, state.exchange)
        if not isinstance(body, bytes):
            return RunResult(RunEnd.LOST, f"failure {head.status} not whole")
        if state.exchange.ended_by_close:
            found = self._check_processes()
            if found is not ProcessState.ALIVE:
                return RunResult(
                    RunEnd.LOST, f"ended by close, process: {found.value}"
                )
        return RunResult(
            RunEnd.ERROR_RESPONSE,
            f"answered {head.status}",
            head,
            metadata,
            body,
        )

    # Failures.

    def _on_exchange_failure(self, problem: ExchangeFailure) -> RunResult:
        state = self._state
        first = state.path.first
        if not problem.sent:
            state.discount_run()
        if self._abort_reason:
            return RunResult(RunEnd.LOST, self._abort_reason)
        if not problem.sent:
            if problem.failure is FailureKind.CONNECT:
                self._connect_attempts.on_connect_failed(first.name)
                state.excluded_engines.add(first.name)
            else:
                state.eject_engine(first.name, problem.failure.value)
            return RunResult(RunEnd.NOT_SENT, problem.failure.value)
        if problem.failure is FailureKind.TOO_LONG:
            state.eject_engine(first.name, problem.failure.value)
        elif problem.failure is not FailureKind.NOT_HTTP:
            self._check_processes()
        return RunResult(RunEnd.LOST, problem.failure.value)

    def _check_paused(self) -> None:
        """Checks the processes of a run that nobody reads any more.

        One whose events arrived until now has not lost an engine.
        """
        state = self._state
        paused_ms = state.now_ms - state.last_event_ms
        if not state.exchange.sent or paused_ms < _PAUSE_CHECK_S * 1000:
            return
        for process in state.processes.values():
            gevent.spawn(self._crashes.on_run_lost, state.pending, process)

    def _check_processes(self) -> ProcessState:
        """Ejects the first engine if its process no longer responds.

        An engine that only broke off one response stays in use, and one that
        has crashed is not sent a second request. The later engines of the path
        are checked while the next run begins.

        Returns:
            What is known of the first engine's process.
        """
        state = self._state
        first, *later = state.processes.values()
        found = self._crashes.on_run_lost(state.pending, first)
        if found is not ProcessState.ALIVE:
            state.eject_engine(first.name, f"process: {found.value}")
        for process in later:
            gevent.spawn(self._crashes.on_run_lost, state.pending, process)
        return found

    def _on_rejected(
        self, head: ResponseHead, metadata: AnswerMetadata
    ) -> RunResult:
        state = self._state
        reason = f"turned away with {head.status}"
        fleet = self._context.fleet
        name = self._find_at_fault(metadata) or state.path.first.name
        state.lost = name
        if name in state.path.names:
            state.excluded_engines.add(name)
        fleet.on_full(name, state.now_ms)
        if lacked_room(head, metadata):
            state.lacked_room = True
        if metadata.at_fault is not None or metadata.misdirected:
            self._context.engines_to_probe.add(name)
        return RunResult(RunEnd.REJECTED, f"{reason} by {name}")

    def _find_at_fault(self, metadata: AnswerMetadata) -> str | None:
        """Returns the engine whose address a rejection names, if it is known.

        Another engine may have been listed at the address of one of the path
        since.
        """
        for part in self._state.path.parts:
            if part.engine.address == metadata.at_fault:
                return part.engine.name
        at_fault = self._context.fleet.find(metadata.at_fault)
        return at_fault.name if at_fault else None

    def _on_read_timeout(self, check_after_s: float) -> RunResult | None:
        """Decides whether a run that has paused ends.

        If no other run can follow, the current one continues to its deadline,
        since events may still arrive after a pause.

        Args:
            check_after_s: Pause after which the run is investigated.

        Returns:
            How the run ends, or None if it continues.
        """
        state = self._state
        if state.left_ms <= 0:
            return RunResult(RunEnd.OUT_OF_TIME, "no time left")
        paused_ms = state.now_ms - state.last_event_ms
        if paused_ms < check_after_s * 1000:
            return None
        result = self._investigate_pause(paused_ms)
        if result is None:
            return None
        if self._crashes.is_quarantined(state.pending):
            return make_quarantined_result()
        return result if self._policy.acquire_rerun() else None

    def _investigate_pause(self, paused_ms: int) -> RunResult | None:
        """Reads from the first engine's report what a run waits for.

        If no request is queued at that engine, a run without any event has
        started and its response was lost on the way. Such a run ends sooner
        than one that paused after events.

        Args:
            paused_ms: Time since the latest event.

        Returns:
            How the run should end, or None if it should continue.
        """
        state = self._state
        first = state.path.first
        report = read_report(self._context, first.name, first.address)
        if isinstance(report, Unavailable):
            state.eject_engine(first.name, f"report: {report.message}")
            self._check_stalled(first)
            return RunResult(RunEnd.LOST, "first engine does not answer")
        for request_id, address in report.stalled:
            if request_id == state.pending.caller.id:
                return self._on_stalled(address)
        lost = not state.pace.events and not report.waiting
        if paused_ms < MAX_PAUSE_MS and not lost:
            return None
        if not self._policy.has_less_loaded_path():
            return None
        return RunResult(RunEnd.LOST, f"no event for {paused_ms} ms")

    def _on_stalled(self, address: tuple[str, int]) -> RunResult | None:
        """Replaces the part of the path that stalls the run.

        Args:
            address: Host and port of the engine that the run waits for.

        Returns:
            How the run should end, or None if it continues.
        """
        if self._repair.repairing:
            return None
        state = self._state
        stalled_engines = [
            p.engine for p in state.path.parts if p.engine.address == address
        ]
        for engine in stalled_engines:
            # The engine may have crashed or released its layers. Its next
            # report shows which.
            state.excluded_engines.add(engine.name)
            self._context.engines_to_probe.add(engine.name)
            self._check_stalled(engine)
        if (
            not stalled_engines
            or stalled_engines[0].name == state.path.first.name
        ):
            return RunResult(RunEnd.LOST, "stalled")
        problem = self._repair.replace(stalled_engines[0].name)
        return RunResult(RunEnd.LOST, problem) if problem else None

    def _check_stalled(self, engine: Engine) -> None:
        """Checks an engine that stalls the run, for a short time at most.

        The result decides whether the request may go on to another engine.
        """
        state = self._state
        gevent.spawn(
            self._crashes.on_run_lost,
            state.pending,
            state.processes[engine.name],
        ).join(_STALLED_CHECK_S)

    def _encode(self) -> tuple[bytes, ...]:
        state = self._state
        pending = state.pending
        forward_metadata = ForwardMetadata(
            backend=state.path.first.name,
            left_ms=state.left_ms,
            account=pending.account,
            priority=pending.admitted.priority,
            path=state.path,
            resume_after=state.resume_after,
        )
        return self._context.dialect.encode_request(
            pending.request, pending.caller, forward_metadata
        )

    def _read_timeout_s(self, check_after_s: float) -> float:
        return max(0.001, min(check_after_s, self._state.left_ms / 1000))
