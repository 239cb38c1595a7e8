"""State that a gateway keeps for each backend server, whatever is listed."""

import collections
import random

import attrs

from caroblug.core.placement import Engine, LayerRange

_MIN_EJECTION_MS = 500
"""Time for which a failed backend server gets no requests, in ms. It doubles
with each consecutive failure. An engine must then answer a probe before it is
readmitted; one that crashed is back after some seconds."""

_MAX_EJECTION_MS = 2000
_REPLACED_EJECTION_MS = 4000
"""Time for which a backend server gets no requests after another one has
answered at its address, in ms. Its entry is removed within that time."""

_MIN_FULL_BACKOFF_MS = 300
"""Time for which a full engine gets no requests, in ms: long enough for some
of its streams to end. It doubles with each consecutive rejection, because each
one consumes the retry budget that all gateways share."""

_MAX_FULL_BACKOFF_MS = 1200

_SLOWDOWN_PROBE_MS = 2000
"""Time between two probes of an engine known to be slow, in ms. Streams avoid
it meanwhile, so only a probe can show that it has recovered."""

_SLOWDOWN_PROBE_JITTER_MS = 1000
"""Maximum random delay added to `_SLOWDOWN_PROBE_MS`, in ms, so that one
gateway probes first and shares the result with the others."""

_REPORT_SHARING_MS = 4000
"""Time for which an engine's own report is sent to other gateways, in ms."""

_BUSY_TTL_MS = 1000
"""Time for which an engine counts as loading after it reported that it is
carrying out an order, in ms."""

_LATE_ORDER_MS = 13000
"""Time within which an unanswered order may still be carried out, in ms. An
engine can be unresponsive for seconds before it processes the order."""


@attrs.define
class BackendState:
    """State that this gateway keeps for one backend server.

    Attributes:
        in_flight: Requests of this gateway in flight.
        running: Requests that the server last reported, running or waiting.
        load_reported_ms: When it reported them.
        ejected_until_ms: End of the ejection.
        failed_since_ms: When the current series of failures began.
        pace: Reported slowdown, as a multiple of the time that engines of
            its kind need; 1 if it is not slow.
        pace_ms: When it reported the slowdown.
        pace_probe_ms: When its slowdown is to be probed next.
        full_until_ms: End of the backoff after rejections for lack of
            capacity.
        refusals: Consecutive rejections for lack of capacity.
        failures: Consecutive failures.
        ended: Whether its process has ended.
        ordered_layers: Layers that it was ordered to hold; None if no order
            is pending.
        order_deadline_ms: When the pending order is no longer waited for.
        busy_until_ms: End of the time for which it counts as busy.
        late_order_until_ms: Until when an unanswered order may still be
            carried out.
        listed_ms: When it was last in the listing.
        reported_layers: Layers that it reported itself; None if the listing
            is newer.
        layers_reported_ms: When it reported them.
        leaving_ms: When it was last found to be draining; -1 if never.
        started_ms: Latest start of its process that was listed or reported; 0
            if none was.
        proved: Whether it has shown at its address that it is the listed one.
    """

    in_flight: int = 0
    running: int = 0
    load_reported_ms: int = -1_000_000
    ejected_until_ms: int = 0
    failed_since_ms: int = 0
    pace: float = 1.0
    pace_ms: int = -1_000_000
    pace_probe_ms: int = 0
    full_until_ms: int = 0
    refusals: int = 0
    failures: int = 0
    ended: bool = False
    ordered_layers: LayerRange | None = None
    order_deadline_ms: int = 0
    busy_until_ms: int = 0
    late_order_until_ms: int = 0
    listed_ms: int = 0
    reported_layers: LayerRange | None = None
    layers_reported_ms: int = 0
    leaving_ms: int = -1
    started_ms: int = 0
    proved: bool = False


class BackendStates:
    """What this gateway has observed of each backend server.

    Args:
        rng: Source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._states: dict[str, BackendState] = collections.defaultdict(
            BackendState
        )

    def on_leaving(self, name: str, now_ms: int) -> None:
        """Records that a backend server itself reports that it is draining.

        This matters while the listing can't be read: a server that begins to
        drain then rejects every request, yet its layers still count as served.
        """
        state = self._states[name]
        state.leaving_ms = max(state.leaving_ms, now_ms)

    def recently_leaving(self, now_ms: int) -> dict[str, int]:
        """Returns servers recently found draining.

        Returns:
            Age of the observation in ms, by name of the backend server.
        """
        return {
            name: now_ms - state.leaving_ms
            for name, state in self._states.items()
            if state.leaving_ms >= 0
            and now_ms - state.leaving_ms < _REPORT_SHARING_MS
        }

    def on_order_begun(
        self, name: str, layers: LayerRange, now_ms: int, timeout_ms: int
    ) -> None:
        """Records that an engine has begun an order to hold layers.

        Beginning it increased the engine's order count. An earlier order that
        is still on its way no longer matches that count and is rejected, so
        no order to the engine is unconfirmed any more.

        Args:
            name: The engine.
            layers: Layers that it is to hold.
            now_ms: Current time.
            timeout_ms: Time after which the order is no longer waited for.
        """
        state = self._states[name]
        state.ordered_layers = layers
        state.order_deadline_ms = now_ms + timeout_ms
        state.late_order_until_ms = 0

    def on_busy(self, name: str, now_ms: int) -> None:
        """Records that an engine reports that it is carrying out an order."""
        self._states[name].busy_until_ms = now_ms + _BUSY_TTL_MS

    def on_order_unanswered(self, name: str, now_ms: int) -> None:
        """Records that an order to an engine got no response.

        The engine must not be relied on for its layers: it gives them up if
        the order is carried out after all.

        Args:
            name: The engine.
            now_ms: When the order was sent.
        """
        state = self._states[name]
        until_ms = now_ms + _LATE_ORDER_MS
        state.late_order_until_ms = max(state.late_order_until_ms, until_ms)

    def unanswered_orders(self, now_ms: int) -> dict[str, int]:
        """Returns unanswered orders that may still be carried out.

        Returns:
            Age of the order in ms, by name of the engine.
        """
        return {
            name: now_ms - (state.late_order_until_ms - _LATE_ORDER_MS)
            for name, state in self._states.items()
            if state.late_order_until_ms > now_ms
        }

    def recent_reports(self, now_ms: int) -> dict[str, tuple[LayerRange, int]]:
        """Returns the layers that engines recently reported to hold.

        Returns:
            Layers and age of the report in ms, by name of the engine.
        """
        return {
            name: (state.reported_layers, now_ms - state.layers_reported_ms)
            for name, state in self._states.items()
            if state.reported_layers is not None
            and now_ms - state.layers_reported_ms < _REPORT_SHARING_MS
        }

    def on_slowdown(self, name: str, pace: float, reported_ms: int) -> bool:
        """Records the slowdown that an engine reports.

        Args:
            name: The engine.
            pace: Time that it needs, as a multiple of the time that engines
                of its kind need; 1 if it is not slow.
            reported_ms: When it reported this. A report older than the last
                one is ignored.

        Returns:
            Whether the slowdown has changed.
        """
        state = self._states[name]
        if reported_ms < state.pace_ms:
            return False
        changed = state.pace != pace
        state.pace = pace
        state.pace_ms = reported_ms
        state.pace_probe_ms = self._next_probe_ms(reported_ms)
        return changed

    def recent_slowdowns(self, now_ms: int) -> dict[str, tuple[float, int]]:
        """Returns the slowdowns that engines recently reported.

        Returns:
            Slowdown and age of the report in ms, by name of the engine.
        """
        return {
            name: (state.pace, now_ms - state.pace_ms)
            for name, state in self._states.items()
            if now_ms - state.pace_ms < _REPORT_SHARING_MS
        }

    def _next_probe_ms(self, now_ms: int) -> int:
        jitter_ms = self._rng.randrange(_SLOWDOWN_PROBE_JITTER_MS)
        return now_ms + _SLOWDOWN_PROBE_MS + jitter_ms

    def slowdown(self, name: str) -> float:
        """Returns an engine's slowdown relative to its kind, 1 if not slow."""
        return self._states[name].pace

    def slow_engines_due(self, now_ms: int) -> list[str]:
        """Returns slow engines due for a probe and schedules their next one.

        Args:
            now_ms: Current time.

        Returns:
            Names of the engines.
        """
        due = [
            name
            for name, state in self._states.items()
            if state.pace > 1.0 and state.pace_probe_ms <= now_ms
        ]
        for name in due:
            self._states[name].pace_probe_ms = self._next_probe_ms(now_ms)
        return due

    def _with_slowdown(self, engine: Engine) -> Engine:
        """Returns an engine whose time factors include its slowdown."""
        pace = self._states[engine.name].pace
        if pace <= 1.0:
            return engine
        kind = attrs.evolve(
            engine.kind,
            step_time_factor=engine.kind.step_time_factor * pace,
            prefill_time_factor=engine.kind.prefill_time_factor * pace,
        )
        return attrs.evolve(engine, kind=kind)

    def on_loaded(self, name: str) -> None:
        """Records that an engine has carried out its order."""
        state = self._states[name]
        state.ordered_layers = None
        state.busy_until_ms = 0

    def failed_for_ms(self, name: str, now_ms: int) -> int:
        """Returns how long a backend server has been failing, 0 if not."""
        state = self._states[name]
        return now_ms - state.failed_since_ms if state.failures else 0

    def on_ended(self, name: str) -> None:
        """Records that a backend server's process has ended.

        Its layers are lost even if it restarts, so they can be placed
        elsewhere at once.
        """
        self._states[name].ended = True

    def on_replaced(self, name: str, now_ms: int) -> bool:
        """Records that another server answers at a backend server's address.

        Its process has ended then.

        Returns:
            Whether this is new.
        """
        state = self._states[name]
        state.proved = False
        is_new = not state.ended
        self.on_ended(name)
        self.eject(name, now_ms)
        state.ejected_until_ms = now_ms + _REPLACED_EJECTION_MS
        return is_new

    def on_proved(self, name: str) -> None:
        """Records that a backend server itself has answered at its address."""
        self._states[name].proved = True

    def is_proved(self, name: str) -> bool:
        """Returns whether a backend server is the one at its address."""
        return self._states[name].proved

    def on_started(self, name: str, started_ms: int) -> None:
        """Records when a process started, as it is listed or reports.

        A later process knows nothing of the orders to an earlier one.
        """
        state = self._states[name]
        if 0 < state.started_ms < started_ms:
            state.ordered_layers = None
            state.busy_until_ms = 0
            state.late_order_until_ms = 0
            state.pace = 1.0
        state.started_ms = max(state.started_ms, started_ms)

    def started_ms(self, name: str) -> int:
        """Returns the latest known start of a process; 0 if unknown."""
        return self._states[name].started_ms

    def has_ended(self, name: str) -> bool:
        """Returns whether a process has ended and not responded since."""
        return self._states[name].ended

    def is_failing(self, name: str) -> bool:
        """Returns whether the last exchange with a backend server failed."""
        return self._states[name].failures > 0

    def ejected(self, now_ms: int) -> list[str]:
        """Returns the names of backend servers that are ejected."""
        return [
            name
            for name, state in self._states.items()
            if state.failures and state.ejected_until_ms > now_ms
        ]

    def eject(self, name: str, now_ms: int) -> int:
        """Ejects a backend server after a failure that suggests it is gone.

        Failures during an ejection don't extend it.

        Args:
            name: The backend server.
            now_ms: Current time.

        Returns:
            Remaining time of the ejection, in ms.
        """
        state = self._states[name]
        if state.ejected_until_ms > now_ms:
            return state.ejected_until_ms - now_ms
        duration_ms = min(
            _MAX_EJECTION_MS, _MIN_EJECTION_MS << min(state.failures, 4)
        )
        if not state.failures:
            state.failed_since_ms = now_ms
        state.failures += 1
        state.ejected_until_ms = now_ms + duration_ms
        return duration_ms

    def on_full(self, name: str, now_ms: int) -> None:
        """Records that a backend server rejected a request as it is full."""
        state = self._states[name]
        if state.full_until_ms > now_ms:
            return
        duration_ms = min(
            _MAX_FULL_BACKOFF_MS,
            _MIN_FULL_BACKOFF_MS << min(state.refusals, 4),
        )
        state.refusals += 1
        state.full_until_ms = now_ms + duration_ms

    def on_accepted(self, names: tuple[str, ...]) -> None:
        """Records that backend servers accepted a request."""
        for name in names:
            self._states[name].refusals = 0

    def on_response(
        self, name: str, running: int | None, waiting: int, now_ms: int
    ) -> None:
        """Records a response and the load it reports; ends an ejection.

        Args:
            name: The backend server.
            running: Requests that it reports to run; None if it reports no
                load.
            waiting: Requests that it reports to be waiting.
            now_ms: Current time.
        """
        state = self._states[name]
        state.failures = 0
        state.ended = False
        state.ejected_until_ms = 0
        if running is not None:
            state.running = running + waiting
            state.load_reported_ms = now_ms

    def begin_request(self, name: str) -> None:
        """Adds a request in flight to a backend server."""
        self._states[name].in_flight += 1

    def end_request(self, name: str) -> None:
        """Removes a request in flight from a backend server."""
        self._states[name].in_flight -= 1
