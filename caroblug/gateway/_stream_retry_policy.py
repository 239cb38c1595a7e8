"""Retry decisions and path selection for one stream."""

import attrs
import gevent

from caroblug.core.limits import RetryClass, classify_retry
from caroblug.core.placement import NoPath, NoRoom, Path, RoomNeed
from caroblug.gateway._crash_suspicions import CrashSuspicions
from caroblug.gateway._limit_permits import LimitPermits
from caroblug.gateway._run_results import RunEnd, RunResult
from caroblug.gateway._shared_retry_budget import SharedRetryBudget
from caroblug.gateway._stream_state import StreamState

MAX_PAUSE_MS = 1400
"""Pause after which a stream moves to another path although no fault was found;
callers give up after two seconds."""

_PATH_RETRY_INTERVAL_S = 0.1
"""Interval between searches for a path for a stream that has begun."""

_MAX_PERMIT_REQUESTS = 3
"""Paths for which a permit is requested before a stream is refused."""

_MAX_RERUN_PATH_USE = 0.7
"""Use of the fullest engine of a path below which the path can take a stream
moved from another one."""

_MAX_USE_AFTER_REJECTION = 0.95
"""Use of an engine's memory up to which a rejected stream may fill it. Above
it, engines preempt streams or reject them again."""


@attrs.frozen
class LimitsReached:
    """No run can begin, since the first engines of all paths are limited."""


class StreamRetryPolicy:
    """Decides whether and over which path one stream runs again.

    Args:
        state: State of the stream.
        crashes: Suspicions against requests that crash backend servers.
        retry_budget: Budget that retries are taken from.
        permits: Permits for engines with a limit.
    """

    def __init__(
        self,
        state: StreamState,
        crashes: CrashSuspicions,
        retry_budget: SharedRetryBudget,
        permits: LimitPermits,
    ) -> None:
        self._state = state
        self._crashes = crashes
        self._retry_budget = retry_budget
        self._permits = permits
        self._holds_retry = False

    def choose_path(self) -> Path | NoPath | NoRoom:
        """Returns a path for a new run, or why there is none."""
        return self._choose_path(frozenset(self._state.began_on))

    def choose_first_path(
        self, need: RoomNeed | None = None
    ) -> Path | NoPath | NoRoom | LimitsReached:
        """Returns a path whose first engine accepts a request now.

        Requests permits from the owners of limits if there is no path over
        other engines.

        Args:
            need: Memory that the run needs; None if any engine will do.
        """
        path = self.choose_unlimited_path(need)
        if not isinstance(path, NoPath):
            return path
        return self._choose_limited_path(need)

    def choose_unlimited_path(
        self, need: RoomNeed | None = None
    ) -> Path | NoPath | NoRoom:
        """Returns a path that needs no permit, without waiting.

        Args:
            need: Memory that the run needs; None if any engine will do.
        """
        state = self._state
        return state.context.fleet.choose_first_path(
            state.pending.admitted.service,
            state.now_ms,
            frozenset(state.excluded_engines),
            frozenset(state.began_on),
            need or self._room_need(),
        )

    def _choose_limited_path(
        self, need: RoomNeed | None
    ) -> Path | NoPath | NoRoom | LimitsReached:
        """Returns a path for which the owner of a limit grants a permit."""
        excluded_first = set(self._state.began_on)
        limited = False
        for _ in range(_MAX_PERMIT_REQUESTS):
            path = self._choose_path(frozenset(excluded_first), need)
            if not isinstance(path, Path):
                return LimitsReached() if limited else path
            if self._permits.acquire(path.first.name):
                return path
            excluded_first.add(path.first.name)
            limited = True
        return LimitsReached()

    def _choose_path(
        self, excluded_first: frozenset[str], need: RoomNeed | None = None
    ) -> Path | NoPath | NoRoom:
        state = self._state
        return state.context.fleet.choose_engines(
            state.pending.admitted.service,
            state.now_ms,
            frozenset(state.excluded_engines),
            excluded_first,
            need=need or self._room_need(),
        )

    def _room_need(self) -> RoomNeed | None:
        """Returns the room that a path must have for the stream.

        A stream that was rejected for lack of room isn't sent to another full
        engine, which would reject it too. Every send counts as a retry.
        """
        state = self._state
        if not state.lacked_room:
            return None
        return RoomNeed(state.mean_tokens, _MAX_USE_AFTER_REJECTION)

    def take_permit(self, path: Path) -> bool:
        """Counts a run towards the limit of its path's first engine.

        Returns:
            Whether the run may begin. The limit may have been reached, or
            named, while the retry was acquired.
        """
        state = self._state
        return state.context.fleet.limits.take(path.first.name, state.now_ms)

    def choose_replacement_path(self, refused: frozenset[str]) -> Path | NoPath:
        """Returns a path that continues the current run.

        The path keeps the first part of the current one.

        Args:
            refused: Engines that refused to take over a part of the path.
        """
        state = self._state
        return state.context.fleet.choose_engines(
            state.pending.admitted.service,
            state.now_ms,
            frozenset(state.excluded_engines) | refused,
            after=state.path.parts[0],
        )

    def is_quarantined(self) -> bool:
        """Returns whether the request must not reach another engine."""
        return self._crashes.is_quarantined(self._state.pending)

    def can_retry(self, result: RunResult) -> bool:
        """Returns whether another run may follow one with this result."""
        if result.end in (RunEnd.NOT_SENT, RunEnd.REJECTED):
            return True
        return self._can_rerun()

    def wait_before_retry(self) -> bool:
        """Waits for a path if the caller already has a part of the response.

        Without this, a response would be cut because engines have no capacity,
        or no engine serves a layer, at one moment. A request whose response
        hasn't begun is refused at once, since its caller can retry; a caller
        whose response was cut might not.

        Returns:
            Whether to search for a path again.
        """
        state = self._state
        if not state.pending.reply.begun or not self._can_rerun():
            return False
        if state.now_ms - state.last_event_ms > MAX_PAUSE_MS:
            return False
        state.excluded_engines.clear()
        gevent.sleep(_PATH_RETRY_INTERVAL_S)
        return True

    def acquire_retry(self) -> bool:
        """Takes a retry from the budget unless one is held already.

        Returns:
            Whether a retry is held.
        """
        if not self._holds_retry:
            service = self._state.pending.admitted.service.name
            self._holds_retry = self._retry_budget.take(
                service, self._retry_class()
            )
        return self._holds_retry

    def on_run_started(self) -> None:
        """Uses up the retry that is held, because a run begins."""
        self._holds_retry = False

    def acquire_rerun(self) -> bool:
        """Checks that another run can begin and acquires a retry for it.

        A run must not be aborted before this succeeds. Many streams lose an
        engine at once and the retries left are fewer, so that the new run might
        not be allowed and the response would be cut, although the engine of
        the old run was still working.

        Returns:
            Whether another run can begin.
        """
        if not self._can_rerun():
            return False
        if not isinstance(self.choose_path(), Path):
            return False
        return self.acquire_retry()

    def has_less_loaded_path(self) -> bool:
        """Returns whether another path has capacity for a run that waits.

        When the memory of all engines is taken, moving a run that waits for
        memory does harm: the new run prefills the whole prompt again, is the
        first to be preempted, and uses up a retry that another stream needs.
        """
        path = self.choose_path()
        return isinstance(path, Path) and path.use < _MAX_RERUN_PATH_USE

    def _retry_class(self) -> RetryClass:
        pending = self._state.pending
        return classify_retry(
            pending.reply.begun,
            pending.admitted.priority,
            self._state.context.ranks_of(pending.admitted.service.name),
        )

    def _can_rerun(self) -> bool:
        """Returns whether one more run is allowed for this request."""
        pending = self._state.pending
        route = pending.admitted.route
        return (
            route.resumable
            and pending.ran < route.max_attempts
            and not self.is_quarantined()
        )
