"""Placing layers: one gateway at a time, by a lease of the platform's store.

Whoever holds the lease compares what engines say they hold with the plan and
gives the orders that are missing. The plan is worked out afresh each time, so
a successor needs nothing of its predecessor. Each order names the number of
orders the engine has begun: one that arrives late, from a holder that was
paused or a call whose answer was lost, finds another number and does nothing.
"""

import gevent

from caroblug.core.access import Service
from caroblug.core.placement import Engine, Move, plan_moves
from caroblug.gateway._context import Context
from caroblug.gateway._fleet import model_of
from caroblug.gateway._interfaces import OrderOutcome, Registry, Unavailable

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

_LOST_MS = 1500
"""Time after which the layers of an engine that only fails are placed anew. A
crash of some seconds brings it back empty, a pause brings it back whole."""

_LOAD_SLACK_MS = 2500
"""Added to the time that a load should take before it is ordered again: the
engine's next heartbeat and the next read of the list."""


class Placement:
    """Keeps the lease, and places layers while it is held.

    Args:
        context: What the gateway's parts share.
        registry: The platform's list and group.
    """

    def __init__(self, context: Context, registry: Registry) -> None:
        self._context = context
        self._registry = registry
        self._until_ms = -1
        self._stopped = False
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

    def run_lease(self) -> None:
        """Renews the lease until stopped."""
        while not self._stopped:
            asked_ms = self._context.clock.now_ms()
            held = self.holder
            tenure = self._registry.keep_tenure(_LEASE_MS)
            if not isinstance(tenure, Unavailable):
                self._until_ms = asked_ms + _LEASE_MS if tenure.holder else -1
                self._context.fleet.loads.gateways = tenure.gateways
            if held != self.holder:
                self._context.log.write("placement.lease", held=self.holder)
            gevent.sleep(_RENEW_MS / 1000)

    def run_plan(self) -> None:
        """Compares plan and fleet until stopped."""
        while not self._stopped:
            if self.holder and self._context.configuration is not None:
                for service in self._context.configuration.services.values():
                    if service.model is not None:
                        self._place(service)
            gevent.sleep(_PLAN_MS / 1000)

    def stop(self) -> None:
        """Gives the lease back."""
        self._stopped = True
        if self.holder:
            self._until_ms = -1
            self._registry.end_tenure()

    def _place(self, service: Service) -> None:
        context = self._context
        now_ms = context.clock.now_ms()
        engines = [
            e
            for e in context.fleet.engines(service, now_ms)
            if context.fleet.failed_for_ms(e.name, now_ms) < _LOST_MS
        ]
        if self._settling(engines, now_ms):
            return
        moves = plan_moves(engines, model_of(service))
        for start in range(0, len(moves), _AT_ONCE):
            batch = moves[start : start + _AT_ONCE]
            jobs = [gevent.spawn(self._move, service, move) for move in batch]
            gevent.joinall(jobs)

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
            context.fleet.avoid(engine.name, context.clock.now_ms())
            context.log.write(
                "placement.no_report",
                backend_server=engine.name,
                reason=report.message,
            )
            return
        layers = model_of(service).layers
        load_ms = model_of(service).load_s * 1000 * len(move.target) / layers
        if report.holds == move.target:
            # Loaded already; the list will say so with the next heartbeat.
            self._wait_for_list(move, 0)
            return
        if report.busy or report.holds != engine.holds or not self.holder:
            return
        outcome = context.dialect.place(
            engine.address, move.target, report.orders
        )
        context.tallies.count("orders", outcome=outcome.value)
        context.log.write(
            "placement.order",
            backend_server=engine.name,
            layers=[move.target.first, move.target.end],
            before=[engine.holds.first, engine.holds.end],
            orders=report.orders,
            outcome=outcome.value,
        )
        if outcome in (OrderOutcome.BEGUN, OrderOutcome.HOLDS):
            self._wait_for_list(move, load_ms)

    def _wait_for_list(self, move: Move, load_ms: float) -> None:
        context = self._context
        context.fleet.on_placed(
            move.engine.name,
            move.target,
            context.clock.now_ms(),
            int(load_ms + _LOAD_SLACK_MS),
        )
