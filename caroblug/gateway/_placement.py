"""Placement of model layers on engines, by the holder of the placement lease.

The platform's store grants the lease to one gateway at a time. Its holder
compares the layers that engines report with the plan and sends the missing
orders. The plan is computed anew each time, so a successor needs no state of
its predecessor. Each order contains the number of orders that the engine has
begun. An order that arrives late, from a holder that was paused or in a call
whose response was lost, contains an outdated number and is rejected.
"""

import gevent

from caroblug.core import placement
from caroblug.core.access import Service
from caroblug.core.placement import Engine, Move, StartupWait
from caroblug.gateway._context import Context
from caroblug.gateway._engine_reports import read_report, record_replacement
from caroblug.gateway._fleet import require_model
from caroblug.gateway._interfaces import (
    EngineReport,
    OrderOutcome,
    Registry,
    Unavailable,
)
from caroblug.gateway._peers import LeaseState, Peers

_RENEWAL_INTERVAL_MS = 800
_LEASE_DURATION_MS = 2600
"""Duration of the lease, in ms. A holder that dies is replaced within this
time, and a holder may fail to renew three times in a row."""

_PLAN_INTERVAL_MS = 400
"""Time between two comparisons of the plan with the fleet, in ms."""

_MAX_PARALLEL_ORDERS = 12
"""Orders sent in parallel. Each takes two short calls."""

_REPLACEMENT_DELAY_MS = 700
"""Time for which an engine must have been failing before its layers are placed
on others, in ms. By then a second probe, half a second after the first failure,
has failed as well. Loading layers for an engine that comes back intact after
all costs less than waiting: a data centre without a complete chain sends every
request to other data centres."""

_MAX_SLOWDOWN = 3.0
"""Slowdown of an engine, relative to its kind, from which its layers are placed
on others. Callers notice each pause of the streams over it, and unless another
engine of the data centre holds these layers, all streams there go to other data
centres."""

_LOAD_SLACK_MS = 2500
"""Added to the expected time of a load before the load is ordered again, in ms,
as other engines may be loading at the same time."""

_LOAD_POLL_INTERVAL_S = 0.4
"""Time between two polls of an engine that is loading, in s. A load takes one
to two seconds."""


class PlacementController:
    """Renews the placement lease and places layers while it is held.

    Args:
        context: State that the gateway's components share.
        registry: The platform's registry, which grants the lease.
        peers: Exchange with other gateways.
    """

    def __init__(
        self, context: Context, registry: Registry, peers: Peers
    ) -> None:
        self._context = context
        self._registry = registry
        self._peers = peers
        self._lease_until_ms = -1
        self._renewal_unanswered = False
        self._stopped = False
        self._max_gateways = 0
        self._startup_waits: dict[str, StartupWait] = {}

    @property
    def holds_lease(self) -> bool:
        """Whether this gateway holds the lease now.

        The duration counts from the time just before the lease was requested,
        on a clock that advances while the instance is suspended. A holder that
        was paused therefore sees that its lease has expired before it does
        anything else.
        """
        return self._context.clock.now_ms() < self._lease_until_ms

    @property
    def is_active(self) -> bool:
        """Whether this gateway sends orders now, as lease holder or standby.

        While the store is unavailable every lease expires, and after the death
        of a holder it takes seconds until the store names the next one, while
        engines go on failing. So a holder whose renewal got no response remains
        active until a peer reports that it holds the lease, and a standby
        replaces a holder that has disappeared. Neither needs an agreement, and
        two gateways that are partitioned from each other may both be active.
        This does no harm: each order contains the number of orders that the
        engine has begun, so the engine accepts the first and rejects the
        second.
        """
        if self._stopped:
            return False
        return (
            self.holds_lease
            or self._retains_role()
            or self._peers.is_acting_standby()
        )

    def _retains_role(self) -> bool:
        """Returns whether to stay active after an unanswered renewal."""
        return (
            self._renewal_unanswered and not self._peers.another_holds_lease()
        )

    def run_lease(self) -> None:
        """Renews the lease until stopped."""
        while not self._stopped:
            lost = self.renew_lease()
            if not lost:
                gevent.sleep(_RENEWAL_INTERVAL_MS / 1000)

    def renew_lease(self) -> bool:
        """Renews the lease once.

        Returns:
            Whether the store is passing the lease to another gateway. The
            transfer takes effect when this gateway calls again. Waiting for
            the renewal interval first would leave no gateway to place layers
            meanwhile.
        """
        requested_ms = self._context.clock.now_ms()
        held = self.holds_lease
        lease = self._registry.renew_placement_lease(_LEASE_DURATION_MS)
        answered = not isinstance(lease, Unavailable)
        if answered:
            self._lease_until_ms = (
                requested_ms + _LEASE_DURATION_MS if lease.holder else -1
            )
            self._renewal_unanswered = False
            self._context.fleet.loads.gateways = lease.gateways
        elif held:
            self._renewal_unanswered = True
        self._peers.lease_state = self._lease_state()
        if held != self.holds_lease:
            self._context.log.write("placement.lease", held=self.holds_lease)
        return answered and held and not lease.holder

    def _lease_state(self) -> LeaseState:
        if self._stopped:
            return LeaseState.LEAVING
        held = self.holds_lease or self._retains_role()
        return LeaseState.HELD if held else LeaseState.NONE

    def run_plan(self) -> None:
        """Compares the plan with the fleet periodically until stopped."""
        was_active = False
        while not self._stopped:
            if self.is_active != was_active:
                was_active = self.is_active
                self._context.log.write(
                    "placement.acting",
                    acting=was_active,
                    lease=self.holds_lease,
                    gateways=self._peers.describe_lease_states(),
                )
            self.plan_once()
            gevent.sleep(_PLAN_INTERVAL_MS / 1000)

    def plan_once(self) -> None:
        """Sends the missing orders of all services if active."""
        configuration = self._context.configuration
        if not self.is_active or configuration is None:
            return
        services = configuration.services
        self._startup_waits = {
            name: wait
            for name, wait in self._startup_waits.items()
            if name in services
        }
        for service in services.values():
            if service.model is not None:
                self._place_layers(service)

    def stop(self) -> None:
        """Stops sending orders and releases the lease."""
        self._stopped = True
        self._peers.lease_state = self._lease_state()
        if self.holds_lease:
            self._lease_until_ms = -1
            self._registry.release_placement_lease()

    def _place_layers(self, service: Service) -> None:
        context = self._context
        now_ms = context.clock.now_ms()
        engines = self._reliable_engines(service, now_ms)
        if not self._startup_wait(service.name).is_over(engines, now_ms):
            return
        moves = placement.plan_moves(
            engines, require_model(service), self._requests_per_chain(engines)
        )
        moves = placement.select_moves(moves, engines)
        for start in range(0, len(moves), _MAX_PARALLEL_ORDERS):
            batch = moves[start : start + _MAX_PARALLEL_ORDERS]
            jobs = [
                gevent.spawn(self._execute_move, service, move)
                for move in batch
            ]
            gevent.joinall(jobs)

    def _reliable_engines(self, service: Service, now_ms: int) -> list[Engine]:
        """Returns the engines whose layers needn't be placed on others.

        An engine that has become slow is left out, though it still serves
        where no other engine holds its layers. A failing engine is waited for
        as long as every layer has another holder. Where a layer has none, every
        request is rejected meanwhile, so loading it elsewhere costs less, even
        if the engine comes back intact.
        """
        fleet = self._context.fleet
        engines = [
            e
            for e in fleet.engines(service, now_ms)
            if not fleet.has_ended(e.name)
            and fleet.failed_for_ms(e.name, now_ms) < _REPLACEMENT_DELAY_MS
            and fleet.slowdown(e.name) < _MAX_SLOWDOWN
        ]
        healthy = [e for e in engines if not fleet.is_failing(e.name)]
        return (
            engines
            if placement.covers_model(healthy, require_model(service))
            else healthy
        )

    def _requests_per_chain(self, engines: list[Engine]) -> int:
        """Returns the number of requests that a chain reserves memory for.

        It is based on the highest number of gateways seen. After all of them
        were lost, only a few have joined again, while all callers are back.
        """
        gateways = self._context.fleet.loads.gateways
        self._max_gateways = max(self._max_gateways, gateways)
        data_centres = {e.data_centre for e in engines}
        return placement.compute_requests_per_chain(
            self._max_gateways, len(data_centres)
        )

    def _startup_wait(self, service: str) -> StartupWait:
        """Returns the wait for the first engines of a service."""
        wait = self._startup_waits.get(service)
        if wait is None:
            wait = self._startup_waits[service] = placement.StartupWait()
        return wait

    def _execute_move(self, service: Service, move: Move) -> None:
        """Sends the order of a move if current reports still agree with it."""
        context = self._context
        engine = move.engine
        report = self._read_report(engine)
        if isinstance(report, Unavailable):
            context.fleet.eject(engine.name, context.clock.now_ms())
            context.log.write(
                "placement.no_report",
                backend_server=engine.name,
                reason=report.message,
            )
            return
        layers = require_model(service).layers
        load_ms = (
            require_model(service).load_s * 1000 * len(move.target) / layers
        )
        if report.holds == move.target:
            context.fleet.on_report(
                engine.name, report.holds, context.clock.now_ms()
            )
            return
        if report.holds != engine.holds:
            context.fleet.on_report(
                engine.name, report.holds, context.clock.now_ms()
            )
            return
        if report.busy:
            context.fleet.on_busy(engine.name, context.clock.now_ms())
            return
        if not self._are_layers_retained(move) or not self.is_active:
            return
        outcome = context.dialect.place(
            engine.address,
            engine.name,
            move.target,
            report.orders,
            move.urgent,
        )
        context.telemetry.count("orders", outcome=outcome.value)
        context.log.write(
            "placement.order",
            backend_server=engine.name,
            data_centre=engine.data_centre,
            layers=[move.target.first, move.target.end],
            before=[engine.holds.first, engine.holds.end],
            orders=report.orders,
            urgent=move.urgent,
            outcome=outcome.value,
        )
        if outcome in (OrderOutcome.BEGUN, OrderOutcome.HOLDS):
            now_ms = context.clock.now_ms()
            timeout_ms = int(load_ms + _LOAD_SLACK_MS)
            context.fleet.on_order_begun(
                engine.name, move.target, now_ms, timeout_ms
            )
            gevent.spawn(self._follow_load, move, now_ms + timeout_ms)
        elif outcome is OrderOutcome.REPLACED:
            record_replacement(context, engine.name)
        elif outcome is OrderOutcome.UNKNOWN:
            now_ms = context.clock.now_ms()
            context.fleet.on_report(engine.name, report.holds, now_ms)
            context.fleet.on_order_unanswered(engine.name, now_ms)

    def _are_layers_retained(self, move: Move) -> bool:
        """Returns whether other engines report the layers that a move removes.

        The last holder of a layer must not be moved. The listing is up to a
        heartbeat old, and another holder may have received an order since, by
        a gateway that was active before this one or by an order that was
        carried out late.
        """
        fleet = self._context.fleet
        for holder in move.remaining_holders:
            report = self._read_report(holder)
            now_ms = self._context.clock.now_ms()
            if isinstance(report, Unavailable):
                self._context.engines_to_probe.add(holder.name)
                reason = report.message
            elif report.busy:
                fleet.on_busy(holder.name, now_ms)
                reason = "busy"
            elif report.holds != holder.holds:
                fleet.on_report(holder.name, report.holds, now_ms)
                reason = "holds other layers"
            else:
                continue
            self._context.log.write(
                "placement.not_kept",
                backend_server=move.engine.name,
                keeper=holder.name,
                reason=reason,
            )
            return False
        return True

    def _read_report(self, engine: Engine) -> EngineReport | Unavailable:
        return read_report(self._context, engine.name, engine.address)

    def _follow_load(self, move: Move, deadline_ms: int) -> None:
        """Polls an engine that is loading until it holds its layers.

        The listing shows them only after a heartbeat and a read, two seconds
        in which the layers would serve no request, and not at all while the
        store is unavailable.

        Args:
            move: The engine and its layers.
            deadline_ms: When the load should have ended. An engine that is
                still busy then is polled further, since the layers that it
                held before must not be relied on.
        """
        context = self._context
        name = move.engine.name
        layers = [move.target.first, move.target.end]
        while not self._stopped:
            gevent.sleep(_LOAD_POLL_INTERVAL_S)
            report = self._poll_load(move.engine)
            left_ms = deadline_ms - context.clock.now_ms()
            responded = not isinstance(report, Unavailable)
            if responded and not report.busy and report.holds == move.target:
                context.fleet.on_loaded(name)
                context.log.write(
                    "placement.loaded",
                    backend_server=name,
                    layers=layers,
                    left_ms=left_ms,
                )
                return
            if left_ms <= 0 and not (responded and report.busy):
                break
        context.log.write(
            "placement.not_loaded", backend_server=name, layers=layers
        )

    def _poll_load(self, engine: Engine) -> EngineReport | Unavailable:
        """Polls an engine that was ordered to load and records its report."""
        fleet = self._context.fleet
        report = self._read_report(engine)
        now_ms = self._context.clock.now_ms()
        if isinstance(report, Unavailable):
            return report
        if report.busy:
            fleet.on_busy(engine.name, now_ms)
        else:
            fleet.on_report(engine.name, report.holds, now_ms)
        return report
