"""Reconciliation of an engine's loaded weights with its placement."""

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

_POLL_INTERVAL_S = 0.2
_HOLDER_ID_BYTES = 6
_JITTER = 0.25
_RESERVATION_RETRY_MS = 1000


@attrs.frozen
class PlacementTarget:
    """Placement of an engine in the bundle in force.

    Attributes:
        version: Version of the bundle.
        placement: State that the engine must load.
    """

    version: int
    placement: Placement


class PlacementReconciler:
    """Sends an order whenever the engine's state differs from its placement.

    An engine that does not check fencing numbers may carry out a late order
    of a predecessor that was paused. Orders name complete states and the state
    is polled, so that the next poll corrects the effect of a late order.

    Args:
        orders: Client that sends orders to the engine.
        lease: Lease of the engine.
        weights: Client of the weight store; None if there is no store.
        target: Returns the engine's placement in the bundle in force.
        busy: Returns whether streams still run on the engine.
        on_ordered: Called after each order, successful or not.
        on_foreign_change: Called when the state of the engine has changed
            without an order of this process.
        clock: Source of time.
        metrics: Registry that counts orders.
    """

    def __init__(
        self,
        orders: EngineOrderClient,
        lease: EngineLease,
        weights: WeightStore | None,
        target: Callable[[], PlacementTarget | None],
        busy: Callable[[], bool],
        on_ordered: Callable[[], None],
        on_foreign_change: Callable[[], None],
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
        self._on_foreign_change = on_foreign_change
        self._changing = False
        self._last_state: Placement | None = None
        self._ticket: tuple[Placement, str] | None = None
        self._next_reservation_ms = 0

    @property
    def changing(self) -> bool:
        """Whether an order is imminent, so that new streams are refused."""
        return self._changing

    def run(self) -> None:
        """Polls the state of the engine and reconciles it forever."""
        while True:
            self._reconcile()
            gevent.sleep(_POLL_INTERVAL_S)

    def _reconcile(self) -> None:
        target = self._target()
        state = self._orders.state() if target is not None else None
        if target is None or state == target.placement:
            if target is not None:
                self._check_state(state)
            self._set_changing(False)
            self._lease.release()
            return
        if isinstance(state, OrderFailed):
            return
        self._check_state(state)
        ticket = self._prepare_order(target.placement)
        self._set_changing(ticket is not None)
        if ticket is None or self._busy():
            return
        if self._lease.acquire(target.version):
            self._send_order(target.placement, ticket)

    def _check_state(self, state: Placement) -> None:
        """Records the engine's state and detects changes by other processes.

        A late order of a paused predecessor clears the caches of the engine.
        Streams that continued after it would get wrong results.
        """
        last_state, self._last_state = self._last_state, state
        if last_state is not None and last_state != state:
            self._metrics.count("engine_changed_by_others")
            self._on_foreign_change()

    def _prepare_order(self, placement: Placement) -> str | None:
        """Returns the ticket for an order once an order is possible.

        Until then the engine continues to serve its loaded weights, for
        example while the log service is down or the weight store is busy.

        Returns:
            The ticket, empty if there is no weight store; None if an order is
            not possible yet.
        """
        if self._clock.now_ms() < self._next_reservation_ms:
            return None
        if not self._lease.refresh():
            return None
        return self._reserve_ticket(placement)

    def _reserve_ticket(self, placement: Placement) -> str | None:
        """Returns a ticket of the weight store, reserved once per placement."""
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
        wait_ms = _RESERVATION_RETRY_MS
        if isinstance(reserved, WeightsBusy):
            wait_ms = reserved.retry_after_ms
        self._metrics.count(
            "weights_refused", outcome=type(reserved).__name__.lower()
        )
        # Many engines get the same retry time; jitter spreads their retries.
        spread = 1 + random.random() * _JITTER
        self._next_reservation_ms = self._clock.now_ms() + int(wait_ms * spread)
        return None

    def _send_order(self, placement: Placement, ticket: str) -> None:
        fencing_number = self._lease.fencing_number
        if fencing_number is None:
            return
        outcome = self._orders.order(fencing_number, placement, ticket)
        kind = type(outcome).__name__.lower()
        self._metrics.count("engine_orders", outcome=kind)
        log_state("engine.ordered", model=placement.model, outcome=kind)
        self._last_state = None
        if isinstance(outcome, OrderTaken):
            self._ticket = None
            # A late order may take effect before the next poll, which must
            # detect it.
            self._last_state = placement
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
    on_foreign_change: Callable[[], None],
    clock: Clock,
    metrics: Metrics,
) -> PlacementReconciler:
    """Returns the reconciler of the engine in the settings."""
    store = settings.weight_store
    lease = EngineLease(
        make_log_service(settings.log.host, settings.log.port),
        settings.engine_name or settings.instance,
        f"{settings.instance}.{secrets.token_hex(_HOLDER_ID_BYTES)}",
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
        on_foreign_change,
        clock,
        metrics,
    )
