"""Tests rounds of orders to engines that respond or load late or never."""

import random

import attrs
import hypothesis
import hypothesis.strategies as st

from caroblug.core.placement import LayerRange
from caroblug.core.placement.tests.fleets import MODEL
from caroblug.gateway import EngineReport, OrderOutcome, PlacementLease
from caroblug.gateway.tests.fakes import FakeDialect
from caroblug.gateway.tests.test_fleet import list_of, make_engine
from caroblug.gateway.tests.test_placement import make_placement
from caroblug.utils import ManualClock

ROUND_MS = 400
NEVER_MS = 10**9


@attrs.define
class LateOrder:
    """An order that got no response and is carried out later."""

    at_ms: int
    layers: LayerRange
    orders: int


@attrs.define
class LiveEngine:
    """The true state of an engine, which gateways know only in part."""

    name: str
    holds: LayerRange
    orders: int = 0
    target: LayerRange | None = None
    loaded_ms: int = 0
    late: list[LateOrder] = attrs.field(factory=list)

    @property
    def busy(self) -> bool:
        return self.target is not None


class LiveFleet(FakeDialect):
    """Engines of one data centre; records layers that orders leave unserved."""

    def __init__(self, clock, rng, held) -> None:
        super().__init__()
        self._clock = clock
        self._rng = rng
        self.unserved: list[tuple[str, int]] = []
        self.engines = {}
        for index, layers in enumerate(held):
            address = ("10.0.0.1", 1000 + index)
            self.engines[address] = LiveEngine(f"e{index}", layers)

    def listing(self, end):
        backends = [
            attrs.evolve(
                make_engine(e.name, e.holds.first, e.holds.end), address=address
            )
            for address, e in self.engines.items()
        ]
        return list_of(*backends, end=end)

    def read_report(self, address, name):
        engine = self.engines[address]
        return EngineReport(
            engine.holds, engine.busy, engine.orders, (), 1.0, "big", 0
        )

    def place(self, address, name, layers, orders, urgent):
        engine = self.engines[address]
        if engine.busy or engine.orders != orders:
            return OrderOutcome.CONFLICT
        draw = self._rng.random()
        if draw < 0.4:
            self._begin(engine, layers)
            return OrderOutcome.BEGUN
        if draw < 0.85:
            at_ms = self._clock.now_ms() + self._rng.randint(2000, 12_000)
            engine.late.append(LateOrder(at_ms, layers, orders))
        elif draw < 0.95:
            self._begin(engine, layers)
        return OrderOutcome.UNKNOWN

    def advance(self) -> None:
        """Completes loads and carries out late orders."""
        now_ms = self._clock.now_ms()
        for engine in self.engines.values():
            if engine.busy and engine.loaded_ms <= now_ms:
                engine.holds, engine.target = engine.target, None
            for order in list(engine.late):
                if order.at_ms <= now_ms:
                    engine.late.remove(order)
                    if not engine.busy and order.orders == engine.orders:
                        self._begin(engine, order.layers)

    def _begin(self, engine, layers) -> None:
        others = [e for e in self.engines.values() if e is not engine]
        for layer in engine.holds:
            still_served = layer in layers or any(
                layer in e.holds and not e.busy for e in others
            )
            if not still_served:
                self.unserved.append((engine.name, layer))
        engine.orders += 1
        engine.target = layers
        # Removed layers are unavailable from now on; the others stay available.
        first = max(engine.holds.first, layers.first)
        engine.holds = LayerRange(first, min(engine.holds.end, layers.end))
        if not len(engine.holds):
            engine.holds = LayerRange(0, 0)
        load_ms = self._rng.choice((0, 1500, 6000, 9000, NEVER_MS))
        engine.loaded_ms = self._clock.now_ms() + load_ms


def run_round(placement):
    """Runs one round of the plan without real time."""
    placement._follow_load = lambda move, deadline_ms: None
    placement.plan_once()


@st.composite
def held_layers(draw):
    """Draws the layers of engines, with coverage gaps and replicas."""
    held = []
    layer = 0
    while layer < MODEL.layers:
        width = draw(st.integers(4, 16))
        part = LayerRange(layer, min(MODEL.layers, layer + width))
        copies = draw(st.sampled_from((0, 1, 1, 2, 2)))
        held.extend([part] * copies)
        layer = part.end
    empty = draw(st.integers(0, 2))
    return held + [LayerRange(0, 0)] * empty


@hypothesis.given(held_layers(), st.randoms(use_true_random=False))
def test_orders_never_take_the_last_serving_holder_of_a_layer(held, rng):
    # Guards against orders that are each safe alone, but together remove the
    # last holder of a layer: orders carried out late, without a response, or
    # sent by another gateway.
    clock = ManualClock(100_000)
    fleet = LiveFleet(clock, random.Random(rng.random()), held)
    gateways = [make_placement(name, clock) for name in ("g1", "g2")]
    for context, registry, _, _ in gateways:
        context.dialect = fleet
        context.fleet.update_listing(fleet.listing(1), clock.now_ms())
        registry.lease = PlacementLease(False, 2)
    clock.advance(2000)
    holder = 0
    for round_number in range(40):
        if rng.random() < 0.25:
            holder = 1 - holder
        for index, (_, registry, _, placement) in enumerate(gateways):
            registry.lease = PlacementLease(index == holder, 2)
            placement.renew_lease()
        (context, _, peers, placement) = gateways[holder]
        run_round(placement)
        gateways[1 - holder][2]._handle_message(peers._build_message(""))
        clock.advance(ROUND_MS)
        fleet.advance()
        for context, _, _, _ in gateways:
            if rng.random() < 0.4:
                listing = fleet.listing(round_number + 2)
                context.fleet.update_listing(listing, clock.now_ms())

    assert fleet.unserved == []
