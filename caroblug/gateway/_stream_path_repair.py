"""Replacement of lost engines on the path of a running stream."""

from caroblug.core.placement import NoPath, Path
from caroblug.gateway._engine_prober import EngineProber
from caroblug.gateway._interfaces import OrderOutcome
from caroblug.gateway._stream_retry_policy import StreamRetryPolicy
from caroblug.gateway._stream_state import StreamState

_MAX_REPLACEMENT_PATHS = 3
"""Maximum number of replacement paths to try; each costs probes and a call
while the caller waits."""


class StreamPathRepair:
    """Replaces lost parts of the path of a running stream.

    Args:
        state: State of the stream.
        policy: Retry policy, which selects paths.
        prober: Probes the engines that are new on a path.
    """

    def __init__(
        self,
        state: StreamState,
        policy: StreamRetryPolicy,
        prober: EngineProber,
    ) -> None:
        self._state = state
        self._policy = policy
        self._prober = prober
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
            path = self._policy.choose_replacement_path(refused)
            if isinstance(path, NoPath):
                return "part is lost, no other one"
            if path.crosses_data_centres and self._policy.acquire_rerun():
                # The data of all tokens processed so far would have to cross
                # between data centres, for all affected streams at once. A new
                # run elsewhere that prefills them again is faster.
                return "part is lost, the next one is far"
            added = state.begin_path_change(path)
            silent = self._find_silent(path, added)
            outcome = OrderOutcome.CONFLICT
            if not silent and exchange is state.exchange:
                outcome = self._request_path_change(name, path)
            if exchange is state.exchange and outcome in (
                OrderOutcome.BEGUN,
                OrderOutcome.HOLDS,
            ):
                state.change_path(path, added)
                return ""
            state.end_path_change(added)
            if exchange is not state.exchange:
                # The run ended meanwhile, and the next run has its own path.
                return ""
            if outcome is not OrderOutcome.CONFLICT:
                break
            # An engine that is new on the path is unavailable or full.
            refused |= silent or frozenset(added)
        return "part is lost, path not changed"

    def _find_silent(
        self, path: Path, added: tuple[str, ...]
    ) -> frozenset[str]:
        """Returns new engines of a path that accept no connection.

        Guards against engines that are lost at the same time. An order to
        continue over a silent engine succeeds, and the stream stalls again
        until the next check. The first engine is probed for comparison, as
        every probe fails while the gateway's own link is saturated.
        """
        engines = [p.engine for p in path.parts if p.engine.name in added]
        if not engines:
            return frozenset()
        silent = self._prober.find_unreachable([path.first, *engines])
        if path.first.name in silent:
            return frozenset()
        self._state.context.engines_to_probe.update(silent)
        return silent

    def _request_path_change(self, lost: str, path: Path) -> OrderOutcome:
        state = self._state
        context = state.context
        state.latency.record_incident("path changed", lost)
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
