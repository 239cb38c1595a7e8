"""Placing layers: one gateway at a time, by a lease of the platform's store.

Whoever holds the lease compares what engines say they hold with the plan and
gives the orders that are missing. The plan is worked out afresh each time, so
a successor needs nothing of its predecessor. Each order names the number of
orders the engine has begun: one that arrives late, from a holder that was
paused or a call whose answer was lost, finds another number and does nothing.
"""

import gevent

from caroblug.core.access import Service
from caroblug.core.placement import (
    Engine,
    Move,
    compute_requests_per_chain,
    covers_model,
    plan_moves,
)
from caroblug.gateway._context import Context
from caroblug.gateway._fleet import require_model
from caroblug.gateway._interfaces import (
    EngineReport,
    OrderOutcome,
    Registry,
    Unavailable,
)
from caroblug.gateway._peers import LeaseState, Peers

_RENEW_MS = 800
_LEASE_MS = 2600
"""A holder that dies is followed within this time; three renewals may fail."""

_PLAN_MS = 400
"""How often the plan is compared with the fleet."""

_AT_ONCE = 12
"""Orders given at the same time; each is two short calls."""

_SETTLE_MS = 1500
"""Time without a new engine after which a fleet that holds nothing is planned
for: a heartbeat and some reads of the list."""

_LOST_MS = 700
"""Time after which the layers of an engine that only fails are placed anew: a
second look, half a second after the first, has failed as well. A data centre
without a whole chain sends every request to others; a load for an engine that
comes back whole after all costs less."""

_TOO_SLOW = 3.0
"""Slowness of an engine, in times its kind's, from which its layers are placed
anew: callers notice each pause of the streams over it, and without another
holder at home they all go elsewhere."""

_LOAD_SLACK_MS = 2500
"""Added to the time that a load should take before it is ordered again: others
may load at the same time."""

_FOLLOW_S = 0.4
"""How often an engine that loads is asked; a load takes one to two seconds."""


class PlacementController:
    """Keeps the lease, and places layers while it is held.

    Args:
        context: What the gateway's parts share.
        registry: The platform's list and group.
        peers: Other gateways.
    """

    def __init__(
        self, context: Context, registry: Registry, peers: Peers
    ) -> None:
        self._context = context
        self._registry = registry
        self._peers = peers
        self._until_ms = -1
        self._stays = False
        self._stopped = False
        self._most_gateways = 0
        self._listed = -1
        self._listed_ms = 0

    @property
    def holder(self) -> bool:
        """Whether this gateway may give orders now.

        The lease is counted from the moment before it was asked for, on a
        clock that goes on while the instance is suspended: a holder that was
        paused sees that its time is over before it does anything else.
        """
        return self._context.clock.now_ms() < self._until_ms

    @property
    def acting(self) -> bool:
        """Whether this gateway gives orders now, by lease or as a deputy.

        While the store is away every lease runs out, and after the death of
        a holder it takes seconds until the store names the next one; engines
        go on failing meanwhile. So a holder whose renewal got no answer stays
        until it hears of another one, and a deputy follows one that is gone.
        Neither is agreed upon, and two gateways that can't hear each other may
        both act. That does no harm: each order names the number of orders that
        the engine has begun, so the engine itself takes the first and rejects
        the second.
        """
        if self._stopped:
            return False
        return (
            self.holder or self._stays_on() or self._peers.is_acting_standby()
        )

    def _stays_on(self) -> bool:
        return self._stays and not self._peers.another_holds_lease()

    def run_lease(self) -> None:
        """Renews the lease until stopped."""
        while not self._stopped:
            lost = self.renew()
            if not lost:
                gevent.sleep(_RENEW_MS / 1000)

    def renew(self) -> bool:
        """Renews the lease once.

        Returns:
            Whether the store has given the lease to another gateway. That one
            gets it when this one calls again; waiting a renewal would leave
            nobody to place layers meanwhile.
        """
        asked_ms = self._context.clock.now_ms()
        held = self.holder
        lease = self._registry.renew_placement_lease(_LEASE_MS)
        answered = not isinstance(lease, Unavailable)
        if answered:
            self._until_ms = asked_ms + _LEASE_MS if lease.holder else -1
            self._stays = False
            self._context.fleet.loads.gateways = lease.gateways
        elif held:
            self._stays = True
        self._peers.lease_state = self._state()
        if held != self.holder:
            self._context.log.write("placement.lease", held=self.holder)
        return answered and held and not lease.holder

    def _state(self) -> LeaseState:
        if self._stopped:
            return LeaseState.LEAVING
        held = self.holder or self._stays_on()
        return LeaseState.HELD if held else LeaseState.NONE

    def run_plan(self) -> None:
        """Compares plan and fleet until stopped."""
        acted = False
        while not self._stopped:
            if self.acting != acted:
                acted = self.acting
                self._context.log.write(
                    "placement.acting",
                    acting=acted,
                    lease=self.holder,
                    gateways=self._peers.describe_lease_states(),
                )
            self.plan_once()
            gevent.sleep(_PLAN_MS / 1000)

    def plan_once(self) -> None:
        """Gives the orders that are missing, if they are this gateway's."""
        configuration = self._context.configuration
        if not self.acting or configuration is None:
            return
        for service in configuration.services.values():
            if service.model is not None:
                self._place(service)

    def stop(self) -> None:
        """Gives the lease back."""
        self._stopped = True
        self._peers.lease_state = self._state()
        if self.holder:
            self._until_ms = -1
            self._registry.release_placement_lease()

    def _place(self, service: Service) -> None:
        context = self._context
        now_ms = context.clock.now_ms()
        engines = self._engines_to_count_on(service, now_ms)
        if self._settling(engines, now_ms):
            return
        moves = plan_moves(engines, require_model(service), self._room(engines))
        for start in range(0, len(moves), _AT_ONCE):
            batch = moves[start : start + _AT_ONCE]
            jobs = [gevent.spawn(self._move, service, move) for move in batch]
            gevent.joinall(jobs)

    def _engines_to_count_on(
        self, service: Service, now_ms: int
    ) -> list[Engine]:
        """Returns the engines whose layers needn't be placed anew.

        One that has become slow isn't counted on, though it is used where
        nobody else holds its layers. One that only fails is waited for, as
        long as every layer has another
        holder. Where it has none, each request is refused meanwhile: loading
        the layers elsewhere costs less, even if the engine comes back whole.
        """
        fleet = self._context.fleet
        engines = [
            e
            for e in fleet.engines(service, now_ms)
            if not fleet.has_ended(e.name)
            and fleet.failed_for_ms(e.name, now_ms) < _LOST_MS
            and fleet.slowdown(e.name) < _TOO_SLOW
        ]
        sound = [e for e in engines if not fleet.is_failing(e.name)]
        return engines if covers_model(sound, require_model(service)) else sound

    def _room(self, engines: list[Engine]) -> int:
        """Returns the requests that a chain keeps room for.

        The most gateways ever seen count: after a loss of all of them few have
        joined again, while their callers are all there.
        """
        gateways = self._context.fleet.loads.gateways
        self._most_gateways = max(self._most_gateways, gateways)
        data_centres = {e.data_centre for e in engines}
        return compute_requests_per_chain(
            self._most_gateways, len(data_centres)
        )

    def _settling(self, engines: list[Engine], now_ms: int) -> bool:
        """Returns whether the first list is still growing.

        Guards against a plan for the few engines that were the first to
        start: they would be filled to the brim and keep no room for requests.
        """
        if any(len(e.holds) for e in engines):
            return False
        if len(engines) != self._listed:
            self._listed = len(engines)
            self._listed_ms = now_ms
        return now_ms - self._listed_ms < _SETTLE_MS

    def _move(self, service: Service, move: Move) -> None:
        context = self._context
        engine = move.engine
        report = context.dialect.read_report(engine.address)
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
        if not self._are_kept(move) or not self.acting:
            return
        outcome = context.dialect.place(
            engine.address, move.target, report.orders, move.urgent
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
            for_ms = int(load_ms + _LOAD_SLACK_MS)
            context.fleet.on_placed(engine.name, move.target, now_ms, for_ms)
            gevent.spawn(self._follow, move, now_ms + for_ms)
        elif outcome is OrderOutcome.UNKNOWN:
            now_ms = context.clock.now_ms()
            context.fleet.on_report(engine.name, report.holds, now_ms)
            context.fleet.on_order_unanswered(engine.name, now_ms)

    def _are_kept(self, move: Move) -> bool:
        """Returns whether others say that they hold what a move gives up.

        Guards against sending the last holder of a layer away: the list is a
        heartbeat old, and another engine may have been ordered elsewhere
        meanwhile, by a gateway that placed layers before this one, or by an
        order that was carried out late.
        """
        fleet = self._context.fleet
        for keeper in move.remaining_holders:
            report = self._context.dialect.read_report(keeper.address)
            now_ms = self._context.clock.now_ms()
            if isinstance(report, Unavailable):
                self._context.engines_to_probe.add(keeper.name)
                reason = report.message
            elif report.busy:
                fleet.on_busy(keeper.name, now_ms)
                reason = "busy"
            elif report.holds != keeper.holds:
                fleet.on_report(keeper.name, report.holds, now_ms)
                reason = "holds other layers"
            else:
                continue
            self._context.log.write(
                "placement.not_kept",
                backend_server=move.engine.name,
                keeper=keeper.name,
                reason=reason,
            )
            return False
        return True

    def _follow(self, move: Move, end_ms: int) -> None:
        """Asks an engine that loads until it holds its layers.

        The list tells a heartbeat and a read later, two seconds during which
        the layers would answer nobody; not at all while the store is away.

        Args:
            move: The engine and its layers.
            end_ms: When the load should have ended. An engine that is still
                busy then is followed on: nobody may rely on what it held.
        """
        context = self._context
        name = move.engine.name
        layers = [move.target.first, move.target.end]
        while not self._stopped:
            gevent.sleep(_FOLLOW_S)
            report = self._ask_loading(move.engine)
            left_ms = end_ms - context.clock.now_ms()
            known = not isinstance(report, Unavailable)
            if known and not report.busy and report.holds == move.target:
                context.fleet.on_loaded(name)
                context.log.write(
                    "placement.loaded",
                    backend_server=name,
                    layers=layers,
                    left_ms=left_ms,
                )
                return
            if left_ms <= 0 and not (known and report.busy):
                break
        context.log.write(
            "placement.not_loaded", backend_server=name, layers=layers
        )

    def _ask_loading(self, engine: Engine) -> EngineReport | Unavailable:
        """Asks an engine that was ordered to load, and notes what it says."""
        fleet = self._context.fleet
        report = self._context.dialect.read_report(engine.address)
        now_ms = self._context.clock.now_ms()
        if isinstance(report, Unavailable):
            return report
        if report.busy:
            fleet.on_busy(engine.name, now_ms)
        else:
            fleet.on_report(engine.name, report.holds, now_ms)
        return report
