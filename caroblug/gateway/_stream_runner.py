"""One run of a stream: sent to the first engine of a path, read to its end."""

from caroblug.core.placement import Path
from caroblug.gateway._connect_attempts import ConnectAttempts
from caroblug.gateway._crash_suspicions import CrashSuspicions
from caroblug.gateway._events import EventPace, Misordered
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
from caroblug.gateway._run_results import RunEnd, RunResult
from caroblug.gateway._running_streams import RunningStream, RunningStreams
from caroblug.gateway._stream_path_repair import StreamPathRepair
from caroblug.gateway._stream_retry_policy import (
    MAX_PAUSE_MS,
    StreamRetryPolicy,
)
from caroblug.gateway._stream_state import StreamState

_HEAD_LOOK_S = 0.35
"""Wait for a first event after which a run is looked into: long beside a sound
run, and a second one still brings its first event within half a second."""

_PAUSE_LOOK_S = 0.3
"""Pause between events after which a run is looked into; looking costs a
call."""


class StreamRunner:
    """Runs one stream over one path after the other.

    Args:
        state: The stream.
        policy: Chooses its paths.
        repair: Changes the path of a run.
        crashes: Requests that crash backend servers.
        running: Takes the stream while it runs.
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
        self._given_up = ""

    @property
    def unreachable(self) -> bool:
        """Whether too many engines in a row took no connection."""
        return self._connect_attempts.exhausted

    def run(self, stream: RunningStream, path: Path) -> RunResult:
        """Runs the stream over a path; returns how that ended."""
        self._given_up = ""
        self._state.begin_run(path)
        try:
            return self._send_and_read(stream)
        finally:
            self._running.remove(stream)
            self._state.end_run()

    def give_up(self, reason: str) -> None:
        """Ends the run from beside the greenlet that reads it."""
        self._given_up = reason
        self._state.exchange.close()

    def _send_and_read(self, stream: RunningStream) -> RunResult:
        state = self._state
        problem = self._send()
        if problem is not None:
            return self._on_broken(problem)
        state.events.begin_run()
        state.pace = EventPace()
        state.last_event_ms = state.now_ms
        self._running.add(stream)
        head = self._read_head()
        if isinstance(head, RunResult):
            return head
        return self._read_answer(head)

    def _send(self) -> ExchangeFailure | None:
        """Sends the request to the first engine of the path."""
        state = self._state
        pending = state.pending
        first = state.path.first.name
        left_s = state.left_ms / 1000
        timeout_s = min(self._connect_attempts.timeout_s, left_s)
        problem = state.exchange.connect(timeout_s)
        if problem is not None:
            return problem
        for name in self._connect_attempts.on_connected():
            state.avoid_engine(name, FailureKind.CONNECT.value)
        pending.on_send(self._context)
        pending.tried.add(first)
        # From its first byte on it may run, whatever is heard of it.
        pending.ran += 1
        state.began_on.add(first)
        return state.exchange.send(self._encode(), left_s)

    def _read_head(self) -> ResponseHead | RunResult:
        while True:
            head = self._state.exchange.read_head(self._wait_s(_HEAD_LOOK_S))
            if isinstance(head, ResponseHead):
                return head
            if isinstance(head, ExchangeFailure):
                return self._on_broken(head)
            result = self._on_quiet(_HEAD_LOOK_S)
            if result is not None:
                return result

    def _read_answer(self, head: ResponseHead) -> RunResult:
        state = self._state
        pending = state.pending
        first = state.path.first.name
        facts = self._context.dialect.decode_answer(head)
        if facts.run is RunState.NOT_RUN:
            pending.ran -= 1
            state.began_on.discard(first)
            return self._on_turned_away(head, facts)
        if facts.request_id != pending.caller.id or not facts.genuine:
            return RunResult(RunEnd.LOST, f"unproved answer {head.status}")
        self._context.fleet.on_response(first, None, 0, state.now_ms)
        self._context.fleet.on_accepted(state.path.names)
        if head.status != 200:
            return self._read_failure(head, facts)
        return self._read_events(head, facts)

    def _read_events(
        self, head: ResponseHead, facts: AnswerMetadata
    ) -> RunResult:
        state = self._state
        reply = state.pending.reply
        while True:
            piece = state.exchange.read_chunk(self._wait_s(_PAUSE_LOOK_S))
            if isinstance(piece, EndOfBody):
                if state.events.mid_event:
                    return RunResult(RunEnd.LOST, "ended inside an event")
                if not reply.begun:
                    reply.begin(head.status, list(facts.headers))
                return RunResult(RunEnd.WHOLE)
            if isinstance(piece, ExchangeFailure):
                return self._on_broken(piece)
            if isinstance(piece, ReadTimeout):
                result = self._on_quiet(_PAUSE_LOOK_S)
                if result is not None:
                    return result
                continue
            events = state.events.feed(piece)
            if isinstance(events, Misordered):
                return RunResult(
                    RunEnd.LOST,
                    f"event {events.found} instead of {events.expected}",
                )
            if events:
                if not reply.begun:
                    reply.begin(head.status, list(facts.headers))
                self._pass_on(events)

    def _pass_on(self, events: list[bytes]) -> None:
        state = self._state
        state.end_reading()
        state.pending.reply.send_chunk(b"".join(events))
        now_ms = state.now_ms
        state.times.on_events(now_ms)
        state.pace.add(len(events), now_ms - state.last_event_ms)
        state.last_event_ms = now_ms

    def _read_failure(
        self, head: ResponseHead, facts: AnswerMetadata
    ) -> RunResult:
        body = self._state.exchange.read_body(self._state.left_ms / 1000)
        if not isinstance(body, bytes):
            return RunResult(RunEnd.LOST, f"failure {head.status} not whole")
        return RunResult(
            RunEnd.ANSWERED, f"answered {head.status}", head, facts, body
        )

    # What went wrong.

    def _on_broken(self, broken: ExchangeFailure) -> RunResult:
        state = self._state
        first = state.path.first
        if self._given_up:
            return RunResult(RunEnd.LOST, self._given_up)
        if not broken.sent:
            if broken.failure is FailureKind.CONNECT:
                self._connect_attempts.on_connect_failed(first.name)
                state.avoid.add(first.name)
            else:
                state.avoid_engine(first.name, broken.failure.value)
            return RunResult(RunEnd.NOT_SENT, broken.failure.value)
        if broken.failure is not FailureKind.NOT_HTTP:
            self._check_first()
        return RunResult(RunEnd.LOST, broken.failure.value)

    def _check_first(self) -> None:
        """Avoids the first engine if it doesn't answer any more.

        Guards both ways: an engine that only broke off one answer goes on
        being used, and one that has crashed costs no second request.
        """
        state = self._state
        first = state.path.first
        report = self._context.dialect.read_report(first.address)
        if isinstance(report, Unavailable):
            state.avoid_engine(first.name, f"report: {report.message}")
            self._crashes.on_connection_lost(
                state.pending, first.name, first.address
            )

    def _on_turned_away(
        self, head: ResponseHead, facts: AnswerMetadata
    ) -> RunResult:
        state = self._state
        reason = f"turned away with {head.status}"
        fleet = self._context.fleet
        at_fault = fleet.find(facts.at_fault) if facts.at_fault else None
        name = at_fault.name if at_fault else state.path.first.name
        state.lost = name
        if name in state.path.names:
            state.avoid.add(name)
        fleet.on_full(name, state.now_ms)
        if at_fault is not None:
            self._context.engines_to_probe.add(at_fault.name)
        return RunResult(RunEnd.TURNED_AWAY, f"{reason} by {name}")

    def _on_quiet(self, look_s: float) -> RunResult | None:
        """Looks into a run that has paused; returns how it ends, if it does.

        A run that can't be followed by another one is waited for to the end
        of its time: silence doesn't say that no answer will come.
        """
        state = self._state
        if state.left_ms <= 0:
            return RunResult(RunEnd.OUT_OF_TIME, "no time left")
        paused_ms = state.now_ms - state.last_event_ms
        if paused_ms < look_s * 1000:
            return None
        result = self._look_into(paused_ms)
        if result is None or not self._policy.prepare_another_run():
            return None
        return result

    def _look_into(self, paused_ms: int) -> RunResult | None:
        """Asks the first engine what a run waits for.

        Where nothing waits for a place there, a run without any event has
        begun and its answer was lost on the way; it isn't waited for as long
        as one that has paused.
        """
        state = self._state
        first = state.path.first
        report = self._context.dialect.read_report(first.address)
        if isinstance(report, Unavailable):
            state.avoid_engine(first.name, f"report: {report.message}")
            return RunResult(RunEnd.LOST, "first engine does not answer")
        for request_id, address in report.stalled:
            if request_id == state.pending.caller.id:
                return self._on_stalled(address)
        lost = not state.pace.events and not report.waiting
        if paused_ms < MAX_PAUSE_MS and not lost:
            return None
        if not self._policy.is_better_elsewhere():
            return None
        return RunResult(RunEnd.LOST, f"no event for {paused_ms} ms")

    def _on_stalled(self, address: tuple[str, int]) -> RunResult | None:
        """Replaces the part of the path where the run stands still."""
        if self._repair.repairing:
            return None
        state = self._state
        dead = [
            p.engine for p in state.path.parts if p.engine.address == address
        ]
        for engine in dead:
            # It may be dead or have given up its layers: its report tells.
            state.avoid.add(engine.name)
            self._context.engines_to_probe.add(engine.name)
            self._crashes.on_connection_lost(
                state.pending, engine.name, engine.address
            )
        if not dead or dead[0].name == state.path.first.name:
            return RunResult(RunEnd.LOST, "stalled")
        problem = self._repair.replace(dead[0].name)
        return RunResult(RunEnd.LOST, problem) if problem else None

    def _encode(self) -> bytes:
        state = self._state
        pending = state.pending
        sending = ForwardMetadata(
            backend=state.path.first.name,
            left_ms=state.left_ms,
            account=pending.account,
            priority=pending.admitted.priority,
            path=state.path,
            resume_after=state.resume_after,
        )
        return self._context.dialect.encode_request(
            pending.request, pending.caller, sending
        )

    def _wait_s(self, look_s: float) -> float:
        return max(0.001, min(look_s, self._state.left_ms / 1000))
