"""Keeps an engine in the state that the bundle places it in."""

import random
import secrets
from collections.abc import Callable

import attrs
import gevent

from caroblug.core.state import Placement
from caroblug.side._lease import EngineLease
from caroblug.side._settings import SideSettings
from caroblug.transport import (
    EngineOrderClient,
    OrderFailed,
    OrderTaken,
    Reserved,
    WeightsBusy,
    WeightStore,
    make_engine_order_client,
    make_log_service,
    make_weight_store,
)
from caroblug.utils import Clock, Metrics, log_state

_POLL_S = 0.2
_HOLDER_BYTES = 6
_JITTER = 0.25
_WEIGHTS_RETRY_MS = 1000


@attrs.frozen
class PlacementTarget:
    """Where the bundle in force places an engine.

    Attributes:
        version: Version of the bundle.
        placement: The state.
    """

    version: int
    placement: Placement


class PlacementReconciler:
    """Orders the engine whenever its state is not the placed one.

    Guards against a paused predecessor's late order at an engine that
    ignores numbers: orders are whole states, and the state is looked at
    again and again, so that a late order is put right at the next look.

    Args:
        orders: Orders of the engine.
        lease: The lease of the engine.
        weights: The weight store; None if there is none to ask.
        target: Returns the engine's placement in the bundle in force.
        busy: Tells whether streams still run on the engine.
        on_ordered: Called after an order, done or not.
        on_changed: Called when somebody else has changed the engine.
        clock: Source of time.
        metrics: Where orders are counted.
    """

    def __init__(
        self,
        orders: EngineOrderClient,
        lease: EngineLease,
        weights: WeightStore | None,
        target: Callable[[], PlacementTarget | None],
        busy: Callable[[], bool],
        on_ordered: Callable[[], None],
        on_changed: Callable[[], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._orders = orders
        self._lease = lease
        self._weights = weights
        self._target = target
        self._busy = busy
        self._on_ordered = on_ordered
        self._clock = clock
        self._metrics = metrics
        self._on_changed = on_changed
        self._changing = False
        self._seen: Placement | None = None
        self._ticket: tuple[Placement, str] | None = None
        self._not_before_ms = 0

    @property
    def changing(self) -> bool:
        """Whether an order is about to be given: no new stream is taken."""
        return self._changing

    def run(self) -> None:
        """Looks at the engine for ever."""
        while True:
            self._step()
            gevent.sleep(_POLL_S)

    def _step(self) -> None:
        target = self._target()
        state = self._orders.state() if target is not None else None
        if target is None or state == target.placement:
            if target is not None:
                self._look(state)
            self._set_changing(False)
            self._lease.release()
            return
        if isinstance(state, OrderFailed):
            return
        self._look(state)
        ticket = self._prepare(target.placement)
        self._set_changing(ticket is not None)
        if ticket is None or self._busy():
            return
        if self._lease.acquire(target.version):
            self._send(target.placement, ticket)

    def _look(self, state: Placement) -> None:
        """Notes the engine's state, and whether somebody else changed it.

        Guards against streams that run on over a late order of a paused
        predecessor: the engine has lost their caches, and their answers
        would be wrong from there.
        """
        seen, self._seen = self._seen, state
        if seen is not None and seen != state:
            self._metrics.count("engine_changed_by_others")
            self._on_changed()

    def _prepare(self, placement: Placement) -> str | None:
        """Returns the store's ticket once an order could follow.

        Until then the engine goes on to serve what it holds: also while the
        log service is down, or many engines wait for the weight store.
        """
        if self._clock.now_ms() < self._not_before_ms:
            return None
        if not self._lease.refresh():
            return None
        return self._reserve(placement)

    def _reserve(self, placement: Placement) -> str | None:
        """Returns the store's ticket, asked for once; None if not yet."""
        if self._weights is None:
            return ""
        if self._ticket is not None and self._ticket[0] == placement:
            return self._ticket[1]
        reserved = self._weights.reserve(
            placement.model, placement.version, placement.adapter
        )
        if isinstance(reserved, Reserved):
            self._ticket = (placement, reserved.ticket)
            return reserved.ticket
        wait_ms = _WEIGHTS_RETRY_MS
        if isinstance(reserved, WeightsBusy):
            wait_ms = reserved.retry_after_ms
        self._metrics.count(
            "weights_refused", outcome=type(reserved).__name__.lower()
        )
        # Many engines are told to come back at once; the jitter spreads them.
        spread = 1 + random.random() * _JITTER
        self._not_before_ms = self._clock.now_ms() + int(wait_ms * spread)
        return None

    def _send(self, placement: Placement, ticket: str) -> None:
        number = self._lease.number
        if number is None:
            return
        outcome = self._orders.order(number, placement, ticket)
        kind = type(outcome).__name__.lower()
        self._metrics.count("engine_orders", outcome=kind)
        log_state("engine.ordered", model=placement.model, outcome=kind)
        self._seen = None
        if isinstance(outcome, OrderTaken):
            self._ticket = None
            # A late order may land before the next look, which must see it.
            self._seen = placement
        self._on_ordered()

    def _set_changing(self, changing: bool) -> None:
        if changing != self._changing:
            log_state("engine.changing", changing=changing)
        self._changing = changing


def make_placement_reconciler(
    settings: SideSettings,
    target: Callable[[], PlacementTarget | None],
    busy: Callable[[], bool],
    on_ordered: Callable[[], None],
    on_changed: Callable[[], None],
    clock: Clock,
    metrics: Metrics,
) -> PlacementReconciler:
    """Returns the keeper of the engine in the settings."""
    store = settings.weight_store
    lease = EngineLease(
        make_log_service(settings.log.host, settings.log.port),
        settings.engine_name or settings.instance,
        f"{settings.instance}.{secrets.token_hex(_HOLDER_BYTES)}",
        clock,
        settings.lease_ms,
    )
    return PlacementReconciler(
        make_engine_order_client(settings.engine.host, settings.engine.port),
        lease,
        make_weight_store(store.host, store.port) if store else None,
        target,
        busy,
        on_ordered,
        on_changed,
        clock,
        metrics,
    )
