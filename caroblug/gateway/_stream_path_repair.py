"""Changing the path of a stream that runs."""

from caroblug.core.placement import NoPath, Path
from caroblug.gateway._interfaces import OrderOutcome
from caroblug.gateway._stream_retry_policy import StreamRetryPolicy
from caroblug.gateway._stream_state import StreamState

_PATH_TRIES = 2
"""Other paths that a run is offered; each is a call, and the caller waits."""


class StreamPathRepair:
    """Replaces a lost part of the path of a stream that runs.

    Args:
        state: The stream.
        policy: Chooses its paths.
    """

    def __init__(self, state: StreamState, policy: StreamRetryPolicy) -> None:
        self._state = state
        self._policy = policy
        self._repairing = False

    @property
    def repairing(self) -> bool:
        """Whether a path is being changed at this moment."""
        return self._repairing

    def replace(self, name: str) -> str:
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
        state = self._state
        exchange = state.exchange
        refused: frozenset[str] = frozenset()
        for _ in range(_PATH_TRIES):
            path = self._policy.choose_other_parts(refused)
            if isinstance(path, NoPath):
                return "part is lost, no other one"
            if path.crosses_data_centres and self._policy.prepare_another_run():
                # All that was read so far would have to cross, for every
                # stream at once; a whole path elsewhere reads it again sooner.
                return "part is lost, the next one is far"
            outcome = self._order_path(name, path)
            if exchange is not state.exchange:
                # The run ended meanwhile; its successor has its own path.
                return ""
            if outcome in (OrderOutcome.BEGUN, OrderOutcome.HOLDS):
                state.change_path(path)
                return ""
            if outcome is not OrderOutcome.CONFLICT:
                break
            # A part that is new on the path is gone or has no room.
            refused |= frozenset(path.names) - frozenset(state.path.names)
        return "part is lost, path not changed"

    def _order_path(self, lost: str, path: Path) -> OrderOutcome:
        state = self._state
        context = state.context
        state.times.record_incident("path changed", lost)
        outcome = context.dialect.change_path(
            path.first.address, state.pending.caller.id, path
        )
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
