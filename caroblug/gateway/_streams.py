"""Streams of generations, over engines that pass tokens on themselves.

The gateway chooses the path, sends the request to its first engine and passes
events on as they come. When the stream pauses it asks where the work stands
still, and goes on over other engines: by changing the path of the run that
goes on, where only a later part is lost, else by a new run that begins after
the last event passed on.
"""

import attrs
import gevent

from caroblug.core.placement import NoPath, Path
from caroblug.gateway._connecting import Connecting
from caroblug.gateway._context import Context
from caroblug.gateway._crashes import Crashes
from caroblug.gateway._events import (
    EventPace,
    EventSequence,
    Misordered,
)
from caroblug.gateway._http_client import Exchange
from caroblug.gateway._interfaces import (
    AnswerFacts,
    CallerRequest,
    OrderOutcome,
    RunState,
    Sending,
    Unavailable,
)
from caroblug.gateway._outcomes import Broken, End, Failure, Head, Quiet
from caroblug.gateway._pending import NO_ENGINES_MS, Answers, Pending
from caroblug.gateway._repeats import Repeats
from caroblug.gateway._running import RunningStream, RunningStreams
from caroblug.gateway._runs import RunEnd, RunResult
from caroblug.gateway._timeliness import Timeliness

_HEAD_LOOK_S = 0.35
"""Wait for a first event after which a run is looked into: long beside a sound
run, and a second one still brings its first event within half a second."""

_FIRST_EVENT_MS = 150
"""Time in which a sound run brings its first event, prompt and queue
included."""

_PAUSE_LOOK_S = 0.3
"""Pause between events after which a run is looked into; looking costs a
call."""

_PAUSE_MOST_MS = 1400
"""Pause after which a stream is continued elsewhere though nothing was found:
callers leave after two seconds."""

_LOOK_AGAIN_S = 0.1
"""Pause between two looks for a path for a stream that has begun."""

_ROOM_USE = 0.7
"""Use of the fullest engine of a path below which it has room for one more."""

_PATH_TRIES = 2
"""Other paths that a run is offered; each is a call, and the caller waits."""

_MOST_SENDS = 5


class Streams:
    """Answers streaming requests.

    Args:
        context: What the gateway's parts share.
        crashes: Requests that crash backend servers.
        running: Takes streams while they run.
        repeats: Allows requests to be sent once more.
    """

    def __init__(
        self,
        context: Context,
        crashes: Crashes,
        running: RunningStreams,
        repeats: Repeats,
    ) -> None:
        self._context = context
        self._crashes = crashes
        self._running = running
        self._repeats = repeats
        self._answers = Answers(context)

    def serve(self, pending: Pending) -> None:
        """Answers one request, at the end of its time at the latest."""
        _Stream(
            self._context,
            self._answers,
            self._crashes,
            self._running,
            self._repeats,
            pending,
        ).serve()


class _Stream(RunningStream):
    """One stream, over all its runs."""

    def __init__(
        self,
        context: Context,
        answers: Answers,
        crashes: Crashes,
        running: RunningStreams,
        repeats: Repeats,
        pending: Pending,
    ) -> None:
        self._context = context
        self._crashes = crashes
        self._running = running
        self._repeats = repeats
        self._answers = answers
        self._pending = pending
        self._times = Timeliness(pending.request.began_ms)
        pending.timeliness = self._times
        self._events = EventSequence(_whole(pending.caller.resume_after))
        self._path: Path | None = None
        self._exchange: Exchange | None = None
        self._avoid: set[str] = set()
        self._began_on: set[str] = set()
        self._connecting = Connecting()
        # Engines that have yet to read this run's prompt.
        self._reading: tuple[str, ...] = ()
        self._last_event_ms = 0
        self._tokens = max(1, _mean_tokens(pending.caller))
        self._repairing = False
        self._given_up = ""
        # The engine that held up this run, for the log.
        self._lost = ""
        self._has_repeat = False
        self._pace = EventPace()

    @property
    def path(self) -> Path:
        """The path that it runs over."""
        return self._path

    @property
    def event_ms(self) -> int:
        """When its newest event came, or its first one was due."""
        if self._pace.events:
            return self._last_event_ms
        return self._last_event_ms + _FIRST_EVENT_MS

    def serve(self) -> None:
        pending = self._pending
        result = RunResult(RunEnd.NOT_SENT, "no time left")
        while pending.sends < _MOST_SENDS and not self._connecting.exhausted:
            if self._left_ms() <= 0:
                result = RunResult(RunEnd.OUT_OF_TIME, "no time left")
                break
            path = self._choose_path()
            if isinstance(path, NoPath):
                result = RunResult(
                    RunEnd.NO_PATH, f"no engine for layer {path.layer}"
                )
                if self._wait_to_go_on():
                    continue
                break
            if pending.sends and not self._take_repeat():
                result = attrs.evolve(result, reason="repeats are spent")
                if self._wait_to_go_on():
                    continue
                break
            self._has_repeat = False
            result = self._run(path)
            self._note(result)
            if result.end in (RunEnd.WHOLE, RunEnd.OUT_OF_TIME):
                break
            if not self._may_run_again(result):
                break
        self._finish(result)

    def _finish(self, result: RunResult) -> None:
        pending = self._pending
        reply = pending.reply
        if result.end is RunEnd.WHOLE:
            self._answers.log(pending, 200)
            reply.finish()
        elif reply.begun:
            # The connection ends without the mark of a whole answer, so that
            # the caller can't take what it has for all there is.
            reply.end_connection()
            self._answers.log(pending, 200, result.reason, cut=True)
        elif result.end is RunEnd.ANSWERED:
            self._answers.log(pending, result.head.status, "engine's answer")
            reply.send(
                result.head.status, list(result.facts.headers), result.body
            )
        elif result.end is RunEnd.OUT_OF_TIME and pending.ran:
            self._answers.fail(pending, 504, result.reason)
        elif result.end is RunEnd.NO_PATH:
            self._answers.refuse(pending, result.reason, NO_ENGINES_MS)
        else:
            self._answers.refuse(pending, result.reason)

    # Choosing and trying again.

    def _choose_path(
        self,
        keep_first: bool = False,
        refused: frozenset[str] = frozenset(),
    ) -> Path | NoPath:
        pending = self._pending
        return self._context.fleet.choose_engines(
            pending.admitted.service,
            self._now_ms(),
            frozenset(self._avoid) | refused,
            frozenset() if keep_first else frozenset(self._began_on),
            self._path.parts[0] if keep_first else None,
        )

    def _may_run_again(self, result: RunResult) -> bool:
        if result.end in (RunEnd.NOT_SENT, RunEnd.TURNED_AWAY):
            return True
        return self._may_begin_anew()

    def _may_begin_anew(self) -> bool:
        """Returns whether one more run is allowed."""
        route = self._pending.admitted.route
        return (
            route.resumable
            and self._pending.ran < route.max_attempts
            and not self._crashes.is_quarantined(self._pending)
        )

    def _wait_to_go_on(self) -> bool:
        """Waits a moment if a stream that has begun may still go on.

        Guards against cutting what the caller has half of because engines have
        no room, or a layer no holder, at that very moment. A request that has
        not begun is refused at once and may come back; one that is cut may not
        be asked again.

        Returns:
            Whether to look for a path again.
        """
        if not self._pending.reply.begun or not self._may_begin_anew():
            return False
        if self._now_ms() - self._last_event_ms > _PAUSE_MOST_MS:
            return False
        self._avoid.clear()
        gevent.sleep(_LOOK_AGAIN_S)
        return True

    def _take_repeat(self) -> bool:
        """Takes a repeat unless one is kept; returns whether there is one."""
        if not self._has_repeat:
            service = self._pending.admitted.service.name
            self._has_repeat = self._repeats.take(service)
        return self._has_repeat

    def _prepare_another_run(self) -> bool:
        """Returns whether another run can begin, and keeps a repeat for it.

        Guards against giving up a run whose engine is at work for one that
        then may not begin: many streams lose an engine at once, and the
        repeats that are left are fewer. The caller's answer would be cut.
        """
        if not self._may_begin_anew():
            return False
        if isinstance(self._choose_path(), NoPath):
            return False
        return self._take_repeat()

    # One run.

    def _run(self, path: Path) -> RunResult:
        self._path = path
        self._given_up = ""
        self._lost = ""
        self._open_load()
        self._reading = path.names
        self._context.fleet.loads.begin_reading(self._reading)
        self._exchange = Exchange(path.first.address)
        self._context.fleet.enter(path.first.name)
        try:
            return self._send_and_read()
        finally:
            self._running.remove(self)
            self._exchange.close()
            self._context.fleet.leave(path.first.name)
            self._end_reading()
            self._close_load()

    def _send_and_read(self) -> RunResult:
        pending = self._pending
        exchange = self._exchange
        left_s = self._left_ms() / 1000
        first = self._path.first.name
        problem = exchange.connect(min(self._connecting.bound_s, left_s))
        if problem is None:
            for name in self._connecting.on_connected():
                self._avoid_engine(name, Failure.CONNECT.value)
            pending.on_send(self._context)
            pending.tried.add(first)
            # From its first byte on it may run, whatever is heard of it.
            pending.ran += 1
            self._began_on.add(first)
            problem = exchange.send(self._encode(), left_s)
        if problem is not None:
            return self._on_broken(problem)
        self._events.begin_run()
        self._pace = EventPace()
        self._last_event_ms = self._now_ms()
        self._running.add(self)
        head = self._read_head()
        if isinstance(head, RunResult):
            return head
        facts = self._context.dialect.decode_answer(head)
        if facts.run is RunState.NOT_RUN:
            pending.ran -= 1
            self._began_on.discard(first)
            return self._on_turned_away(head, facts)
        if facts.request_id != pending.caller.id or not facts.genuine:
            return RunResult(RunEnd.LOST, f"unproved answer {head.status}")
        self._context.fleet.on_answer(first, None, 0, self._now_ms())
        self._context.fleet.on_room(self._path.names)
        if head.status != 200:
            return self._read_failure(head, facts)
        return self._read_events(head, facts)

    def _read_head(self) -> Head | RunResult:
        while True:
            head = self._exchange.read_head(self._wait_s(_HEAD_LOOK_S))
            if isinstance(head, Head):
                return head
            if isinstance(head, Broken):
                return self._on_broken(head)
            result = self._on_quiet(_HEAD_LOOK_S)
            if result is not None:
                return result

    def _read_events(self, head: Head, facts: AnswerFacts) -> RunResult:
        reply = self._pending.reply
        while True:
            piece = self._exchange.read_piece(self._wait_s(_PAUSE_LOOK_S))
            if isinstance(piece, End):
                if self._events.mid_event:
                    return RunResult(RunEnd.LOST, "ended inside an event")
                if not reply.begun:
                    reply.begin(head.status, list(facts.headers))
                return RunResult(RunEnd.WHOLE)
            if isinstance(piece, Broken):
                return self._on_broken(piece)
            if isinstance(piece, Quiet):
                result = self._on_quiet(_PAUSE_LOOK_S)
                if result is not None:
                    return result
                continue
            events = self._events.feed(piece)
            if isinstance(events, Misordered):
                return RunResult(
                    RunEnd.LOST,
                    f"event {events.found} instead of {events.expected}",
                )
            if events:
                self._end_reading()
                if not reply.begun:
                    reply.begin(head.status, list(facts.headers))
                reply.send_piece(b"".join(events))
                now_ms = self._now_ms()
                self._times.on_events(now_ms)
                self._pace.add(len(events), now_ms - self._last_event_ms)
                self._last_event_ms = now_ms

    def _read_failure(self, head: Head, facts: AnswerFacts) -> RunResult:
        body = self._exchange.read_body(self._left_ms() / 1000)
        if not isinstance(body, bytes):
            return RunResult(RunEnd.LOST, f"failure {head.status} not whole")
        return RunResult(
            RunEnd.ANSWERED, f"answered {head.status}", head, facts, body
        )

    # What went wrong.

    def _on_broken(self, broken: Broken) -> RunResult:
        first = self._path.first
        if self._given_up:
            return RunResult(RunEnd.LOST, self._given_up)
        if not broken.sent:
            if broken.failure is Failure.CONNECT:
                self._connecting.on_unreached(first.name)
                self._avoid.add(first.name)
            else:
                self._avoid_engine(first.name, broken.failure.value)
            return RunResult(RunEnd.NOT_SENT, broken.failure.value)
        if broken.failure is not Failure.NOT_HTTP:
            self._check_first()
        return RunResult(RunEnd.LOST, broken.failure.value)

    def _check_first(self) -> None:
        """Avoids the first engine if it doesn't answer any more.

        Guards both ways: an engine that only broke off one answer goes on
        being used, and one that has crashed costs no second request.
        """
        first = self._path.first
        report = self._context.dialect.read_report(first.address)
        if isinstance(report, Unavailable):
            self._avoid_engine(first.name, f"report: {report.message}")
            self._crashes.on_lost(self._pending, first.name, first.address)

    def _on_turned_away(self, head: Head, facts: AnswerFacts) -> RunResult:
        reason = f"turned away with {head.status}"
        fleet = self._context.fleet
        at_fault = fleet.find(facts.at_fault) if facts.at_fault else None
        name = at_fault.name if at_fault else self._path.first.name
        self._lost = name
        if name in self._path.names:
            self._avoid.add(name)
        fleet.on_full(name, self._now_ms())
        if at_fault is not None:
            self._context.ask_about.add(at_fault.name)
        return RunResult(RunEnd.TURNED_AWAY, f"{reason} by {name}")

    def _on_quiet(self, look_s: float) -> RunResult | None:
        """Looks into a run that has paused; returns how it ends, if it does.

        A run that can't be followed by another one is waited for to the end
        of its time: silence doesn't say that no answer will come.
        """
        if self._left_ms() <= 0:
            return RunResult(RunEnd.OUT_OF_TIME, "no time left")
        paused_ms = self._now_ms() - self._last_event_ms
        if paused_ms < look_s * 1000:
            return None
        result = self._look_into(paused_ms)
        if result is None or not self._prepare_another_run():
            return None
        return result

    def _look_into(self, paused_ms: int) -> RunResult | None:
        """Asks the first engine what a run waits for.

        Where nothing waits for a place there, a run without any event has
        begun and its answer was lost on the way; it isn't waited for as long
        as one that has paused.
        """
        first = self._path.first
        report = self._context.dialect.read_report(first.address)
        if isinstance(report, Unavailable):
            self._avoid_engine(first.name, f"report: {report.message}")
            return RunResult(RunEnd.LOST, "first engine does not answer")
        for request_id, address in report.stalled:
            if request_id == self._pending.caller.id:
                return self._on_stalled(address)
        lost = not self._pace.events and not report.waiting
        if paused_ms < _PAUSE_MOST_MS and not lost:
            return None
        if not self._is_better_elsewhere():
            return None
        return RunResult(RunEnd.LOST, f"no event for {paused_ms} ms")

    def _is_better_elsewhere(self) -> bool:
        """Returns whether a run that waits would go on sooner elsewhere.

        Guards against giving up what waits for memory where all memory is
        taken: the new run reads the whole prompt again, is the first to be
        put back, and uses up a repeat that another stream needs.
        """
        path = self._choose_path()
        return isinstance(path, Path) and path.use < _ROOM_USE

    def _on_stalled(self, address: tuple[str, int]) -> RunResult | None:
        """Replaces the part of the path where the run stands still."""
        if self._repairing:
            return None
        dead = [
            p.engine for p in self._path.parts if p.engine.address == address
        ]
        for engine in dead:
            # It may be dead or have given up its layers: its report tells.
            self._avoid.add(engine.name)
            self._context.ask_about.add(engine.name)
            self._crashes.on_lost(self._pending, engine.name, engine.address)
        if not dead or dead[0].name == self._path.first.name:
            return RunResult(RunEnd.LOST, "stalled")
        problem = self._replace(dead[0].name)
        return RunResult(RunEnd.LOST, problem) if problem else None

    @property
    def gap_ms(self) -> float:
        """Mean time between its latest events; 0 before it is known."""
        return self._pace.gap_ms

    def on_engine_lost(self, name: str, ended: bool) -> None:
        """Goes on without an engine of its path.

        Runs beside the greenlet that reads the stream. Where the path can't
        be changed, that one is woken by the end of its connection, and a new
        run begins after the last event passed on.
        """
        if self._path is None or name not in self._path.names:
            return
        self._lost = name
        self._avoid.add(name)
        if ended:
            self._crashes.on_ended(self._pending, name)
        problem = ""
        if name == self._path.first.name:
            problem = "first engine is lost"
        elif not self._repairing:
            problem = self._replace(name)
        exchange = self._exchange
        if (
            problem
            and self._prepare_another_run()
            and exchange is self._exchange
        ):
            self._give_up_run(problem)

    def _give_up_run(self, reason: str) -> None:
        self._given_up = reason
        self._exchange.close()

    def _replace(self, name: str) -> str:
        """Changes the path so that it avoids an engine.

        Returns:
            What went wrong; empty if the run goes on.
        """
        self._repairing = True
        try:
            return self._change_path(name)
        finally:
            self._repairing = False

    def _change_path(self, name: str) -> str:
        exchange = self._exchange
        refused: frozenset[str] = frozenset()
        for _ in range(_PATH_TRIES):
            path = self._choose_path(keep_first=True, refused=refused)
            if isinstance(path, NoPath):
                return "part is lost, no other one"
            if path.crosses and self._prepare_another_run():
                # All that was read so far would have to cross, for every
                # stream at once; a whole path elsewhere reads it again sooner.
                return "part is lost, the next one is far"
            outcome = self._order_path(name, path)
            if exchange is not self._exchange:
                # The run ended meanwhile; its successor has its own path.
                return ""
            if outcome in (OrderOutcome.BEGUN, OrderOutcome.HOLDS):
                self._close_load()
                self._path = path
                self._open_load()
                self._last_event_ms = self._now_ms()
                return ""
            if outcome is not OrderOutcome.CONFLICT:
                break
            # A part that is new on the path is gone or has no room.
            refused |= frozenset(path.names) - frozenset(self._path.names)
        return "part is lost, path not changed"

    def _order_path(self, lost: str, path: Path) -> OrderOutcome:
        self._times.note("path changed", lost)
        outcome = self._context.dialect.change_path(
            path.first.address, self._pending.caller.id, path
        )
        self._context.tallies.count("path_changes", outcome=outcome.value)
        self._context.log.write(
            "stream.path_changed",
            request=self._pending.caller.id,
            lost=lost,
            path=path.names,
            outcome=outcome.value,
            events=self._events.count,
        )
        return outcome

    def _avoid_engine(self, name: str, reason: str) -> None:
        self._avoid.add(name)
        for_ms = self._context.fleet.avoid(name, self._now_ms())
        self._context.log.write(
            "backend_server.avoided",
            backend_server=name,
            reason=reason,
            for_ms=for_ms,
        )

    def _note(self, result: RunResult) -> None:
        if result.end is RunEnd.WHOLE:
            return
        self._times.note(result.reason, self._lost or self._path.first.name)
        self._context.tallies.count("runs_failed", end=result.end.value)
        self._context.log.write(
            "stream.run_failed",
            request=self._pending.caller.id,
            outcome=result.end.value,
            reason=result.reason,
            path=self._path.names,
            use=round(self._path.use, 2),
            events=self._events.count,
        )

    # Helpers.

    def _encode(self) -> bytes:
        pending = self._pending
        last_id = self._events.last_id
        resume_after = pending.caller.resume_after
        if last_id is not None:
            resume_after = str(last_id)
        sending = Sending(
            backend=self._path.first.name,
            left_ms=self._left_ms(),
            account=pending.account,
            priority=pending.admitted.priority,
            path=self._path,
            resume_after=resume_after,
        )
        return self._context.dialect.encode_request(
            pending.request, pending.caller, sending
        )

    def _open_load(self) -> None:
        self._context.fleet.loads.open(self._path.names, self._tokens)

    def _close_load(self) -> None:
        self._context.fleet.loads.close(self._path.names, self._tokens)

    def _end_reading(self) -> None:
        self._context.fleet.loads.end_reading(self._reading)
        self._reading = ()

    def _now_ms(self) -> int:
        return self._context.clock.now_ms()

    def _left_ms(self) -> int:
        return self._pending.left_ms(self._now_ms())

    def _wait_s(self, look_s: float) -> float:
        return max(0.001, min(look_s, self._left_ms() / 1000))


def _mean_tokens(caller: CallerRequest) -> int:
    """Returns the memory that a stream takes on the mean of its time.

    The answer grows from nothing to its end, which is the most that the
    caller allows or less.
    """
    return caller.prompt_tokens + caller.answer_tokens // 2


def _whole(text: str | None) -> int | None:
    return int(text) if text is not None and text.isdigit() else None
