"""In-memory platform for testing gateway decisions without sockets."""

import random

import attrs

from caroblug.core.access import Configuration, Service
from caroblug.core.limits import (
    LimitOwner,
    RetryAfter,
    ServerLimits,
    WindowedRetryBudget,
)
from caroblug.core.placement import LayerRange
from caroblug.core.placement.tests.fleets import MODEL
from caroblug.gateway import (
    Dialect,
    EngineReport,
    GatewaySettings,
    Member,
    OrderOutcome,
    PlacementLease,
    Registry,
    Unavailable,
    make_kept_connections,
)
from caroblug.gateway._context import Context
from caroblug.gateway._decision_log import DecisionLog
from caroblug.gateway._fleet import Fleet
from caroblug.gateway._telemetry import Telemetry
from caroblug.utils import ManualClock

NOWHERE = ("127.0.0.1", 1)


class FakeDialect(Dialect):
    """Dialect whose engines return preset reports and carry out orders."""

    def __init__(self) -> None:
        self.reports: dict[tuple[str, int], EngineReport] = {}
        self.orders: list[tuple] = []
        self.outcome = OrderOutcome.BEGUN

    def add(self, address, holds: LayerRange, orders: int = 0) -> None:
        """Adds an engine that serves the given layers."""
        self.reports[address] = EngineReport(
            holds, False, orders, (), 1.0, "big", 0
        )

    def decode_request(self, request):
        raise NotImplementedError

    def encode_request(self, request, caller, metadata):
        raise NotImplementedError

    def decode_answer(self, head):
        raise NotImplementedError

    def own_headers(self, caller, retry_after_ms):
        raise NotImplementedError

    def read_report(self, address, name):
        return self.reports.get(address, Unavailable("connect"))

    def read_health(self, address, name, path):
        raise NotImplementedError

    def place(self, address, name, layers, orders, urgent):
        report = self.reports[address]
        if report.orders != orders:
            return OrderOutcome.CONFLICT
        self.orders.append((address, layers, orders, urgent))
        if self.outcome is OrderOutcome.BEGUN:
            self.reports[address] = attrs.evolve(
                report, holds=layers, orders=orders + 1
            )
        return self.outcome

    def change_path(self, request_id, path):
        raise NotImplementedError


class FakeRegistry(Registry):
    """Registry whose results are set by the test."""

    def __init__(self) -> None:
        self.lease: PlacementLease | Unavailable = PlacementLease(True, 2)
        self.members: tuple[Member, ...] | Unavailable = ()

    def apply_settings(self, settings):
        """Needs none of them."""

    def read_configuration(self):
        return Unavailable("not set")

    def wait_for_change(self, end, wait_ms):
        return Unavailable("not set")

    def read_backends(self):
        return Unavailable("not set")

    def save_backends(self, listing):
        return Unavailable("not set")

    def read_saved_backends(self):
        return Unavailable("not set")

    def save_quarantines(self, records):
        return Unavailable("not set")

    def read_quarantines(self):
        return Unavailable("not set")

    def renew_placement_lease(self, lease_ms):
        return self.lease

    def read_members(self):
        return self.members

    def decode_configuration(self, raw):
        return Configuration(int(raw), {}, {})

    def decode_listing(self, raw, end):
        return Unavailable("not set")

    def release_placement_lease(self):
        self.lease = PlacementLease(False)


def make_context(name: str = "g1", clock: ManualClock | None = None) -> Context:
    """Returns a context with a configuration of one model service."""
    clock = clock or ManualClock(100_000)
    rng = random.Random(1)
    settings = GatewaySettings(
        name, "a", NOWHERE, NOWHERE, NOWHERE, NOWHERE, NOWHERE
    )
    context = Context(
        settings=settings,
        clock=clock,
        rng=rng,
        dialect=FakeDialect(),
        fleet=Fleet("a", rng, ServerLimits(LimitOwner(name, NOWHERE))),
        retry_budget=WindowedRetryBudget(0.2, 50, 10000),
        retry_after=RetryAfter(rng),
        log=DecisionLog(name, clock),
        telemetry=Telemetry(),
        connections=make_kept_connections(clock),
    )
    pool = Service("pool", "/health", 10, MODEL)
    context.configuration = Configuration(5, {}, {"pool": pool})
    return context
