"""Replacement of lost engines on the path of a running stream."""

from caroblug.core.placement import NoPath, Path
from caroblug.gateway._engine_reports import find_unproved
from caroblug.gateway._interfaces import OrderOutcome
from caroblug.gateway._run_results import QUARANTINED_REASON
from caroblug.gateway._stream_retry_policy import StreamRetryPolicy
from caroblug.gateway._stream_state import StreamState

_MAX_REPLACEMENT_PATHS = 2
"""Maximum number of replacement paths to try; each costs a call while the
caller waits."""


class StreamPathRepair:
    """Replaces lost parts of the path of a running stream.

    Args:
        state: State of the stream.
        policy: Retry policy, which selects paths.
    """

    def __init__(self, state: StreamState, policy: StreamRetryPolicy) -> None:
        self._state = state
        self._policy = policy
        self._repairing = False

    @property
    def repairing(self) -> bool:
        """Whether a path change is in progress."""
        return self._repairing

    def replace(self, name: str) -> str:
        """Moves the running stream to a path without an engine.

        Args:
            name: Name of the engine to replace.

        Returns:
            Why the path was not changed; empty if the run continues.
        """
        self._repairing = True
        try:
            return self._change_path(name)
        finally:
            self._repairing = False

    def _change_path(self, name: str) -> str:
        state = self._state
        exchange = state.exchange
        refused: frozenset[str] = frozenset()
        for _ in range(_MAX_REPLACEMENT_PATHS):
            if self._policy.is_quarantined():
                return QUARANTINED_REASON
            path = self._policy.choose_replacement_path(refused)
            if isinstance(path, NoPath):
                return "part is lost, no other one"
            if path.crosses_data_centres and self._policy.acquire_rerun():
                # The data of all tokens processed so far would have to cross
                # between data centres, for all affected streams at once. A new
                # run elsewhere that prefills them again is faster.
                return "part is lost, the next one is far"
            unproved = find_unproved(state.context, path)
            if unproved:
                refused |= unproved
                continue
            outcome = self._request_path_change(name, path)
            if exchange is not state.exchange:
                # The run ended meanwhile, and the next run has its own path.
                return ""
            if outcome in (OrderOutcome.BEGUN, OrderOutcome.HOLDS):
                state.change_path(path)
                return ""
            if outcome is not OrderOutcome.CONFLICT:
                break
            # An engine that is new on the path is unavailable or full.
            refused |= frozenset(path.names) - frozenset(state.path.names)
        return "part is lost, path not changed"

    def _request_path_change(self, lost: str, path: Path) -> OrderOutcome:
        state = self._state
        context = state.context
        state.latency.record_incident("path changed", lost)
        outcome = context.dialect.change_path(state.pending.caller.id, path)
        context.telemetry.count("path_changes", outcome=outcome.value)
        context.log.write(
            "stream.path_changed",
            request=state.pending.caller.id,
            lost=lost,
            path=path.names,
            outcome=outcome.value,
            events=state.events.count,
        )
        return outcome
