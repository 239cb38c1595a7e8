"""Whether, and over which path, a stream runs once more."""

import gevent

from caroblug.core.placement import NoPath, Path
from caroblug.gateway._crash_suspicions import CrashSuspicions
from caroblug.gateway._run_results import RunEnd, RunResult
from caroblug.gateway._shared_retry_budget import SharedRetryBudget
from caroblug.gateway._stream_state import StreamState

MAX_PAUSE_MS = 1400
"""Pause after which a stream is continued elsewhere though nothing was found:
callers leave after two seconds."""

_LOOK_AGAIN_S = 0.1
"""Pause between two looks for a path for a stream that has begun."""

_ROOM_USE = 0.7
"""Use of the fullest engine of a path below which it has room for one more."""


class StreamRetryPolicy:
    """Chooses paths for one stream and counts its runs.

    Args:
        state: The stream.
        crashes: Requests that crash backend servers.
        retry_budget: Allows requests to be sent once more.
    """

    def __init__(
        self,
        state: StreamState,
        crashes: CrashSuspicions,
        retry_budget: SharedRetryBudget,
    ) -> None:
        self._state = state
        self._crashes = crashes
        self._retry_budget = retry_budget
        self._has_repeat = False

    def choose_path(self) -> Path | NoPath:
        """Returns a path for a new run."""
        state = self._state
        return state.context.fleet.choose_engines(
            state.pending.admitted.service,
            state.now_ms,
            frozenset(state.avoid),
            frozenset(state.began_on),
        )

    def choose_other_parts(self, refused: frozenset[str]) -> Path | NoPath:
        """Returns another path for the run that goes on.

        Args:
            refused: Engines that did not take the run as a part of its path.
        """
        state = self._state
        return state.context.fleet.choose_engines(
            state.pending.admitted.service,
            state.now_ms,
            frozenset(state.avoid) | refused,
            after=state.path.parts[0],
        )

    def may_run_again(self, result: RunResult) -> bool:
        """Returns whether a run that ended so may be followed by another."""
        if result.end in (RunEnd.NOT_SENT, RunEnd.TURNED_AWAY):
            return True
        return self._may_begin_anew()

    def wait_to_go_on(self) -> bool:
        """Waits a moment if a stream that has begun may still go on.

        Guards against cutting what the caller has half of because engines have
        no room, or a layer no holder, at that very moment. A request that has
        not begun is refused at once and may come back; one that is cut may not
        be asked again.

        Returns:
            Whether to look for a path again.
        """
        state = self._state
        if not state.pending.reply.begun or not self._may_begin_anew():
            return False
        if state.now_ms - state.last_event_ms > MAX_PAUSE_MS:
            return False
        state.avoid.clear()
        gevent.sleep(_LOOK_AGAIN_S)
        return True

    def take_repeat(self) -> bool:
        """Takes a repeat unless one is kept; returns whether there is one."""
        if not self._has_repeat:
            service = self._state.pending.admitted.service.name
            self._has_repeat = self._retry_budget.take(service)
        return self._has_repeat

    def on_run(self) -> None:
        """Notes that a run begins, which uses up the repeat that was kept."""
        self._has_repeat = False

    def prepare_another_run(self) -> bool:
        """Returns whether another run can begin, and keeps a repeat for it.

        Guards against giving up a run whose engine is at work for one that
        then may not begin: many streams lose an engine at once, and the
        repeats that are left are fewer. The caller's answer would be cut.
        """
        if not self._may_begin_anew():
            return False
        if isinstance(self.choose_path(), NoPath):
            return False
        return self.take_repeat()

    def is_better_elsewhere(self) -> bool:
        """Returns whether a run that waits would go on sooner elsewhere.

        Guards against giving up what waits for memory where all memory is
        taken: the new run reads the whole prompt again, is the first to be
        put back, and uses up a repeat that another stream needs.
        """
        path = self.choose_path()
        return isinstance(path, Path) and path.use < _ROOM_USE

    def _may_begin_anew(self) -> bool:
        """Returns whether one more run is allowed."""
        pending = self._state.pending
        route = pending.admitted.route
        return (
            route.resumable
            and pending.ran < route.max_attempts
            and not self._crashes.is_quarantined(pending)
        )
