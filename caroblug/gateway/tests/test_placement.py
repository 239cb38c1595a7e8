"""Who places layers, and that late orders do no harm."""

import attrs
import pytest

from caroblug.core.placement import LayerRange
from caroblug.gateway import OrderOutcome, PlacementLease, Unavailable
from caroblug.gateway._crash_suspicions import CrashSuspicions
from caroblug.gateway._peers import LeaseState, Peers
from caroblug.gateway._placement import PlacementController
from caroblug.gateway.tests.fakes import FakeRegistry, make_context
from caroblug.gateway.tests.test_fleet import list_of, make_engine
from caroblug.utils import ManualClock


def make_placement(name="g1", clock=None):
    context = make_context(name, clock)
    registry = FakeRegistry()
    peers = Peers(
        context, registry, CrashSuspicions(context.clock, context.fleet)
    )
    return (
        context,
        registry,
        peers,
        PlacementController(context, registry, peers),
    )


def with_engines(context, *engines):
    context.fleet.update_listing(list_of(*engines), context.clock.now_ms())
    for engine in engines:
        context.dialect.add(engine.address, engine.holds)


def with_a_chain_and_a_spare(context):
    """Lists engines e0 to e4 of 16 layers each, and a second one for e0's."""
    chain = [make_engine(f"e{i}", i * 16, i * 16 + 16) for i in range(5)]
    with_engines(context, *chain, make_engine("spare", 0, 16))


def tell(
    peers,
    name,
    lease_state,
    holder_age_ms=100_000,
    data_centre="a",
    leaving=None,
    repeats=None,
    version=-1,
    version_age_ms=1_000_000,
):
    """Lets a gateway hear of another one."""
    message = {
        "data_centre": data_centre,
        "loads": {},
        "version": version,
        "version_age_ms": version_age_ms,
        "repeats": repeats or {},
        "suspects": [],
        "crashes": [],
        "told": {},
        "leaving": leaving or {},
        "list_age_ms": 1_000_000,
        "list_digest": "",
        "list_end": 0,
        "tenure": lease_state.value,
        "holder_age_ms": holder_age_ms,
    }
    peers._apply_peer_state(name, message)


def layers_of(layers):
    return range(layers.first, layers.end)


def test_lease_counts_from_before_it_was_asked_for():
    # Guards against a lease that seems to last longer than the store grants it.
    clock = ManualClock(100_000)
    _, registry, _, placement = make_placement(clock=clock)

    def slow_lease(lease_ms):
        clock.advance(5000)
        return PlacementLease(True, 2)

    registry.renew_placement_lease = slow_lease
    placement.renew()

    assert not placement.holder


def test_holder_that_was_suspended_gives_no_order():
    clock = ManualClock(100_000)
    context, _, peers, placement = make_placement(clock=clock)
    with_engines(context, make_engine("e1", 0, 0), make_engine("e2", 0, 0))
    placement.renew()
    assert placement.acting
    clock.advance(10_000)
    tell(peers, "g0", LeaseState.HELD, 0)

    placement.plan_once()

    assert context.dialect.orders == []


def test_orders_are_given_only_by_the_holder():
    context, registry, _, placement = make_placement()
    with_engines(context, make_engine("e1", 0, 0))
    registry.lease = PlacementLease(False, 2)
    placement.renew()

    assert not placement.acting
    registry.lease = PlacementLease(True, 2)
    placement.renew()
    assert placement.acting


def test_order_of_another_since_the_report_wins():
    # Guards against two gateways that both place layers on one engine.
    context, _, _, placement = make_placement()
    engine = make_engine("e1", 0, 0)
    with_engines(context, engine)
    dialect = context.dialect
    report = dialect.read_report(engine.address)
    dialect.place(engine.address, LayerRange(3, 9), report.orders, False)

    late = dialect.place(engine.address, LayerRange(0, 5), report.orders, False)

    assert late is OrderOutcome.CONFLICT


def test_engine_that_holds_other_layers_than_listed_is_not_ordered():
    # The list is a heartbeat old: the engine has taken an order since.
    context, _, _, placement = make_placement()
    engine = make_engine("e1", 0, 0)
    with_engines(context, engine)
    context.fleet.update_listing(list_of(engine, end=2), context.clock.now_ms())
    context.dialect.add(engine.address, LayerRange(0, 16), orders=1)
    placement.renew()
    placement.plan_once()

    assert context.dialect.orders == []


def test_deputy_is_the_first_by_name_once_no_holder_is_heard_of():
    # Guards against layers that nobody places while every lease has run out.
    clock = ManualClock(100_000)
    _, registry, peers, placement = make_placement("g2", clock)
    registry.lease = Unavailable("busy")
    placement.renew()
    tell(peers, "g3", LeaseState.NONE)
    assert not placement.acting
    clock.advance(3000)
    assert placement.acting
    tell(peers, "g1", LeaseState.NONE)
    assert not placement.acting
    tell(peers, "g1", LeaseState.LEAVING)
    assert placement.acting


def test_holder_heard_through_others_keeps_deputies_still():
    clock = ManualClock(100_000)
    _, _, peers, placement = make_placement("g1", clock)
    clock.advance(3000)
    tell(peers, "g5", LeaseState.NONE, holder_age_ms=400)

    assert not placement.acting


def test_leaving_holder_is_followed_at_once():
    clock = ManualClock(100_000)
    _, _, peers, placement = make_placement("g1", clock)
    tell(peers, "g0", LeaseState.HELD, 0)
    assert not placement.acting
    tell(peers, "g0", LeaseState.LEAVING, 100)

    assert placement.acting


def test_word_of_a_holder_that_has_left_is_not_believed():
    # Guards against old word of a holder, for which deputies wait.
    clock = ManualClock(100_000)
    _, _, peers, placement = make_placement("g1", clock)
    tell(peers, "g0", LeaseState.HELD, 0)
    tell(peers, "g0", LeaseState.LEAVING, 100)
    clock.advance(200)
    tell(peers, "g5", LeaseState.NONE, holder_age_ms=500)

    assert placement.acting


def test_next_holder_is_believed():
    clock = ManualClock(100_000)
    _, _, peers, placement = make_placement("g1", clock)
    tell(peers, "g0", LeaseState.HELD, 0)
    tell(peers, "g0", LeaseState.LEAVING, 100)
    clock.advance(900)
    tell(peers, "g5", LeaseState.HELD, 0)

    assert not placement.acting


def test_gateway_that_has_just_started_has_heard_of_no_holder():
    # Guards against deputies that wait for the start of another gateway.
    clock = ManualClock(100_000)
    _, _, peers, placement = make_placement("g1", clock)
    clock.advance(2500)
    assert placement.acting

    young = make_placement("g9", clock)[2]
    tell(peers, "g9", LeaseState.NONE, young._build_message()["holder_age_ms"])

    assert placement.acting


def test_layers_that_only_a_silent_engine_holds_are_not_waited_for():
    # Guards against refusals while the plan waits for a layer's only holder.
    context, _, _, placement = make_placement()
    with_engines(
        context,
        make_engine("x", 0, 16),
        make_engine("y", 16, 32),
        make_engine("z", 32, 48),
        make_engine("v", 48, 64),
        make_engine("w", 64, 80),
        make_engine("spare", 0, 16),
    )
    placement.renew()
    context.fleet.eject("y", context.clock.now_ms())

    placement.plan_once()

    orders = {
        address: layers for address, layers, _, _ in context.dialect.orders
    }
    placed = [
        layer for layers in orders.values() for layer in layers_of(layers)
    ]
    assert set(range(16, 32)) <= set(placed)


def test_silent_engine_whose_layers_others_hold_is_waited_for():
    context, _, _, placement = make_placement()
    with_engines(
        context,
        *(
            make_engine(f"{n}{i}", i * 16, i * 16 + 16)
            for n in "xy"
            for i in range(5)
        ),
    )
    placement.renew()
    context.fleet.eject("y1", context.clock.now_ms())

    placement.plan_once()

    assert context.dialect.orders == []


def test_layers_of_a_slow_engine_are_placed_anew():
    # Guards against late streams while only a slow engine holds some layers.
    context, _, _, placement = make_placement()
    with_a_chain_and_a_spare(context)
    placement.renew()
    context.fleet.on_slowdown("e2", 12.0, context.clock.now_ms())

    placement.plan_once()

    (order,) = context.dialect.orders
    assert set(range(32, 48)) <= set(layers_of(order[1]))


def test_engine_that_is_a_little_slow_keeps_its_place():
    context, _, _, placement = make_placement()
    with_a_chain_and_a_spare(context)
    placement.renew()
    context.fleet.on_slowdown("e2", 2.0, context.clock.now_ms())

    placement.plan_once()

    assert context.dialect.orders == []


def test_holder_stays_while_the_store_answers_nobody():
    # Guards against seconds without a holder while the store refuses everybody.
    clock = ManualClock(100_000)
    _, registry, peers, placement = make_placement("g5", clock)
    tell(peers, "g1", LeaseState.NONE)
    placement.renew()
    registry.lease = Unavailable("busy")
    for _ in range(10):
        clock.advance(800)
        placement.renew()
        assert placement.acting
        assert peers.lease_state is LeaseState.HELD


def test_holder_that_stays_gives_way_to_the_next_one():
    # Guards against a holder that stays on beside the next one.
    clock = ManualClock(100_000)
    _, registry, peers, placement = make_placement("g5", clock)
    tell(peers, "g1", LeaseState.NONE)
    placement.renew()
    registry.lease = Unavailable("silent")
    clock.advance(800)
    placement.renew()
    clock.advance(2000)
    tell(peers, "g1", LeaseState.HELD, 0)

    assert not placement.acting


def test_stopped_gateway_neither_holds_nor_deputises():
    clock = ManualClock(100_000)
    _, registry, _, placement = make_placement(clock=clock)
    placement.renew()
    placement.stop()
    clock.advance(10_000)

    assert not placement.acting
    assert registry.lease == PlacementLease(False)


def with_a_hole_and_two_holders(context):
    """Lists a chain without layers 64 to 80, and two engines that hold 0."""
    with_engines(
        context,
        *(make_engine(f"e{i}", i * 16, i * 16 + 16) for i in range(1, 4)),
        make_engine("p", 0, 16),
        make_engine("q", 0, 16),
    )


def ordered(context):
    """Returns the addresses of engines that were given orders."""
    return [address for address, *_ in context.dialect.orders]


def test_unanswered_order_makes_an_engine_uncertain():
    # Guards against an order that is forgotten and carried out late.
    context, _, _, placement = make_placement()
    with_a_hole_and_two_holders(context)
    placement.renew()
    context.dialect.outcome = OrderOutcome.UNKNOWN

    placement.plan_once()

    now_ms = context.clock.now_ms()
    assert list(context.fleet.unanswered_orders(now_ms)) == ["p"]


def test_engine_with_an_unanswered_order_is_not_relied_on():
    # Guards against an order that is carried out after the other holder left.
    context, _, _, placement = make_placement()
    with_a_hole_and_two_holders(context)
    placement.renew()
    context.fleet.on_order_unanswered("q", context.clock.now_ms())

    placement.plan_once()

    assert make_engine("p", 0, 16).address not in ordered(context)


def test_unanswered_orders_are_known_to_the_next_holder():
    # Guards against the death of the holder while its order is still to come.
    _, _, peers, _ = gone = make_placement("g1")
    gone[0].fleet.on_order_unanswered("p", gone[0].clock.now_ms())
    context, _, next_peers, _ = make_placement("g2")
    with_a_hole_and_two_holders(context)

    next_peers._handle_message(peers._build_message())

    service = context.configuration.services["pool"]
    engines = context.fleet.engines(service, context.clock.now_ms())
    assert [e.name for e in engines if e.order_unconfirmed] == ["p"]


def test_layers_under_an_unanswered_order_are_known_to_the_next_holder():
    # Guards against an older list there, by which their keeper loads others.
    context, _, peers, placement = make_placement("g1")
    with_a_hole_and_two_holders(context)
    placement.renew()
    context.dialect.outcome = OrderOutcome.UNKNOWN
    placement.plan_once()
    context, _, next_peers, _ = make_placement("g2")
    with_engines(context, make_engine("p", 48, 64))

    next_peers._handle_message(peers._build_message())

    service = context.configuration.services["pool"]
    (engine,) = context.fleet.engines(service, context.clock.now_ms())
    assert engine.holds == LayerRange(0, 16)
    assert engine.order_unconfirmed


@pytest.mark.parametrize(
    "changes", [{"busy": True}, {"holds": LayerRange(3, 9)}]
)
def test_layers_are_not_given_up_for_a_keeper_that_has_gone_elsewhere(changes):
    # Guards against a list that is older than another gateway's last order.
    context, _, _, placement = make_placement()
    with_a_hole_and_two_holders(context)
    placement.renew()
    address = make_engine("q", 0, 16).address
    reports = context.dialect.reports
    reports[address] = attrs.evolve(reports[address], **changes)

    placement.plan_once()

    assert ordered(context) == []


def test_keeper_that_gives_no_report_is_not_relied_on():
    # Guards against a dead engine that passes for the other holder of layers.
    context, _, _, placement = make_placement()
    with_a_hole_and_two_holders(context)
    placement.renew()
    del context.dialect.reports[make_engine("q", 0, 16).address]

    placement.plan_once()

    assert ordered(context) == []


def test_engine_whose_load_is_overdue_counts_as_loading():
    # Guards against relying on what an engine held before a load that hangs.
    context, _, _, placement = make_placement()
    with_a_hole_and_two_holders(context)
    service = context.configuration.services["pool"]
    engine = context.fleet.engines(service, 0)[0]
    reports = context.dialect.reports
    reports[engine.address] = attrs.evolve(reports[engine.address], busy=True)

    placement._ask_loading(engine)

    now_ms = context.clock.now_ms()
    engines = context.fleet.engines(service, now_ms)
    assert [e.name for e in engines if e.loading] == [engine.name]
    later = context.fleet.engines(service, now_ms + 2000)
    assert not any(e.loading for e in later)
