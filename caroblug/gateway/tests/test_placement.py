"""Tests which gateway places layers, and that late orders do no harm."""

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
    peers = Peers(context, registry, CrashSuspicions(context))
    return (
        context,
        registry,
        peers,
        PlacementController(context, registry, peers),
    )


def list_engines(context, *engines):
    context.fleet.update_listing(list_of(*engines), context.clock.now_ms())
    for engine in engines:
        context.dialect.add(engine.address, engine.holds)


def list_chain_and_replica(context):
    """Lists a chain e0 to e4 of 16 layers each, and a replica of e0."""
    chain = [make_engine(f"e{i}", i * 16, i * 16 + 16) for i in range(5)]
    list_engines(context, *chain, make_engine("spare", 0, 16))


def receive_peer_state(
    peers,
    name,
    lease_state,
    holder_age_ms=100_000,
    data_centre="a",
    leaving=None,
    repeats=None,
    version=-1,
    version_age_ms=1_000_000,
    **newer_fields,
):
    """Delivers the state of another gateway to a peer exchange."""
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
        **newer_fields,
        "holder_age_ms": holder_age_ms,
    }
    peers._apply_peer_state(name, message)


def layers_of(layers):
    return range(layers.first, layers.end)


def test_lease_duration_counts_from_before_the_request():
    # Guards against a gateway that assumes a longer lease than the store
    # grants.
    clock = ManualClock(100_000)
    _, registry, _, placement = make_placement(clock=clock)

    def renew_slowly(lease_ms):
        clock.advance(5000)
        return PlacementLease(True, 2)

    registry.renew_placement_lease = renew_slowly
    placement.renew_lease()

    assert not placement.holds_lease


def test_holder_that_was_suspended_sends_no_order():
    clock = ManualClock(100_000)
    context, _, peers, placement = make_placement(clock=clock)
    list_engines(context, make_engine("e1", 0, 0), make_engine("e2", 0, 0))
    placement.renew_lease()
    assert placement.is_active
    clock.advance(10_000)
    receive_peer_state(peers, "g0", LeaseState.HELD, 0)

    placement.plan_once()

    assert context.dialect.orders == []


def test_only_the_lease_holder_is_active():
    context, registry, _, placement = make_placement()
    list_engines(context, make_engine("e1", 0, 0))
    registry.lease = PlacementLease(False, 2)
    placement.renew_lease()

    assert not placement.is_active
    registry.lease = PlacementLease(True, 2)
    placement.renew_lease()
    assert placement.is_active


def test_order_after_another_gateways_order_is_rejected():
    # Guards against two gateways placing layers on the same engine.
    context, _, _, placement = make_placement()
    engine = make_engine("e1", 0, 0)
    list_engines(context, engine)
    dialect = context.dialect
    report = dialect.read_report(engine.address, "e1")
    dialect.place(engine.address, "e1", LayerRange(3, 9), report.orders, False)

    late = dialect.place(
        engine.address, "e1", LayerRange(0, 5), report.orders, False
    )

    assert late is OrderOutcome.CONFLICT


def test_engine_whose_layers_differ_from_the_listing_gets_no_order():
    # The listing is up to a heartbeat old, and the engine has begun an order
    # since.
    context, _, _, placement = make_placement()
    engine = make_engine("e1", 0, 0)
    list_engines(context, engine)
    context.fleet.update_listing(list_of(engine, end=2), context.clock.now_ms())
    context.dialect.add(engine.address, LayerRange(0, 16), orders=1)
    placement.renew_lease()
    placement.plan_once()

    assert context.dialect.orders == []


def test_standby_is_the_first_by_name_once_no_holder_is_seen():
    # Guards against layers that no gateway places while every lease has
    # expired.
    clock = ManualClock(100_000)
    _, registry, peers, placement = make_placement("g2", clock)
    registry.lease = Unavailable("busy")
    placement.renew_lease()
    receive_peer_state(peers, "g3", LeaseState.NONE)
    assert not placement.is_active
    clock.advance(3000)
    assert placement.is_active
    receive_peer_state(peers, "g1", LeaseState.NONE)
    assert not placement.is_active
    receive_peer_state(peers, "g1", LeaseState.LEAVING)
    assert placement.is_active


def test_holder_reported_by_peers_keeps_standbys_inactive():
    clock = ManualClock(100_000)
    _, _, peers, placement = make_placement("g1", clock)
    clock.advance(3000)
    receive_peer_state(peers, "g5", LeaseState.NONE, holder_age_ms=400)

    assert not placement.is_active


def test_leaving_holder_is_replaced_at_once():
    clock = ManualClock(100_000)
    _, _, peers, placement = make_placement("g1", clock)
    receive_peer_state(peers, "g0", LeaseState.HELD, 0)
    assert not placement.is_active
    receive_peer_state(peers, "g0", LeaseState.LEAVING, 100)

    assert placement.is_active


def test_word_of_a_holder_that_has_left_is_not_believed():
    # Guards against standbys that wait because of an outdated report of a
    # holder.
    clock = ManualClock(100_000)
    _, _, peers, placement = make_placement("g1", clock)
    receive_peer_state(peers, "g0", LeaseState.HELD, 0)
    receive_peer_state(peers, "g0", LeaseState.LEAVING, 100)
    clock.advance(200)
    receive_peer_state(peers, "g5", LeaseState.NONE, holder_age_ms=500)

    assert placement.is_active


def test_report_of_the_next_holder_is_accepted():
    clock = ManualClock(100_000)
    _, _, peers, placement = make_placement("g1", clock)
    receive_peer_state(peers, "g0", LeaseState.HELD, 0)
    receive_peer_state(peers, "g0", LeaseState.LEAVING, 100)
    clock.advance(900)
    receive_peer_state(peers, "g5", LeaseState.HELD, 0)

    assert not placement.is_active


def test_gateway_that_has_just_started_has_heard_of_no_holder():
    # Guards against standbys that wait because another gateway has started and
    # counts its own start as having seen a holder.
    clock = ManualClock(100_000)
    _, _, peers, placement = make_placement("g1", clock)
    clock.advance(2500)
    assert placement.is_active

    young = make_placement("g9", clock)[2]
    receive_peer_state(
        peers, "g9", LeaseState.NONE, young._build_message("")["holder_age_ms"]
    )

    assert placement.is_active


def test_layers_that_only_a_failing_engine_holds_are_placed_on_others():
    # Guards against rejected requests while the plan waits for the only holder
    # of a layer.
    context, _, _, placement = make_placement()
    list_engines(
        context,
        make_engine("x", 0, 16),
        make_engine("y", 16, 32),
        make_engine("z", 32, 48),
        make_engine("v", 48, 64),
        make_engine("w", 64, 80),
        make_engine("spare", 0, 16),
    )
    placement.renew_lease()
    context.fleet.eject("y", context.clock.now_ms())

    placement.plan_once()

    orders = {
        address: layers for address, layers, _, _ in context.dialect.orders
    }
    placed = [
        layer for layers in orders.values() for layer in layers_of(layers)
    ]
    assert set(range(16, 32)) <= set(placed)


def test_failing_engine_whose_layers_others_hold_is_waited_for():
    context, _, _, placement = make_placement()
    list_engines(
        context,
        *(
            make_engine(f"{n}{i}", i * 16, i * 16 + 16)
            for n in "xy"
            for i in range(5)
        ),
    )
    placement.renew_lease()
    context.fleet.eject("y1", context.clock.now_ms())

    placement.plan_once()

    assert context.dialect.orders == []


def test_layers_of_a_slow_engine_are_placed_on_others():
    # Guards against late streams while a slow engine is the only holder of some
    # layers.
    context, _, _, placement = make_placement()
    list_chain_and_replica(context)
    placement.renew_lease()
    context.fleet.on_slowdown("e2", 12.0, context.clock.now_ms())

    placement.plan_once()

    (order,) = context.dialect.orders
    assert set(range(32, 48)) <= set(layers_of(order[1]))


def test_layers_of_a_slightly_slow_engine_are_not_placed_on_others():
    context, _, _, placement = make_placement()
    list_chain_and_replica(context)
    placement.renew_lease()
    context.fleet.on_slowdown("e2", 2.0, context.clock.now_ms())

    placement.plan_once()

    assert context.dialect.orders == []


def test_holder_stays_while_the_store_answers_nobody():
    # Guards against seconds without a holder while the store rejects all calls.
    clock = ManualClock(100_000)
    _, registry, peers, placement = make_placement("g5", clock)
    receive_peer_state(peers, "g1", LeaseState.NONE)
    placement.renew_lease()
    registry.lease = Unavailable("busy")
    for _ in range(10):
        clock.advance(800)
        placement.renew_lease()
        assert placement.is_active
        assert peers.lease_state is LeaseState.HELD


def test_holder_without_renewal_yields_to_the_next_one():
    # Guards against a former holder that remains active beside the next one.
    clock = ManualClock(100_000)
    _, registry, peers, placement = make_placement("g5", clock)
    receive_peer_state(peers, "g1", LeaseState.NONE)
    placement.renew_lease()
    registry.lease = Unavailable("silent")
    clock.advance(800)
    placement.renew_lease()
    clock.advance(2000)
    receive_peer_state(peers, "g1", LeaseState.HELD, 0)

    assert not placement.is_active


def test_stopped_gateway_releases_the_lease_and_is_no_standby():
    clock = ManualClock(100_000)
    _, registry, _, placement = make_placement(clock=clock)
    placement.renew_lease()
    placement.stop()
    clock.advance(10_000)

    assert not placement.is_active
    assert registry.lease == PlacementLease(False)


def list_coverage_gap_and_replicas(context):
    """Lists a chain without layers 64 to 80; p and q both hold its start."""
    list_engines(
        context,
        *(make_engine(f"e{i}", i * 16, i * 16 + 16) for i in range(1, 4)),
        make_engine("p", 0, 16),
        make_engine("q", 0, 16),
    )


def ordered_addresses(context):
    """Returns the addresses of engines that received orders."""
    return [address for address, *_ in context.dialect.orders]


def test_unanswered_order_makes_an_engine_uncertain():
    # Guards against forgetting an order that is then carried out late.
    context, _, _, placement = make_placement()
    list_coverage_gap_and_replicas(context)
    placement.renew_lease()
    context.dialect.outcome = OrderOutcome.UNKNOWN

    placement.plan_once()

    now_ms = context.clock.now_ms()
    assert list(context.fleet.unanswered_orders(now_ms)) == ["p"]


def test_engine_with_an_unanswered_order_is_not_relied_on():
    # Guards against a late order that removes layers after their other holder
    # has been moved.
    context, _, _, placement = make_placement()
    list_coverage_gap_and_replicas(context)
    placement.renew_lease()
    context.fleet.on_order_unanswered("q", context.clock.now_ms())

    placement.plan_once()

    assert make_engine("p", 0, 16).address not in ordered_addresses(context)


def test_unanswered_orders_are_known_to_the_next_holder():
    # Guards against the death of the holder while one of its orders may still
    # be carried out.
    _, _, peers, _ = former = make_placement("g1")
    former[0].fleet.on_order_unanswered("p", former[0].clock.now_ms())
    context, _, next_peers, _ = make_placement("g2")
    list_coverage_gap_and_replicas(context)

    next_peers._handle_message(peers._build_message(""))

    service = context.configuration.services["pool"]
    engines = context.fleet.engines(service, context.clock.now_ms())
    assert [e.name for e in engines if e.order_unconfirmed] == ["p"]


def test_layers_behind_an_unanswered_order_are_known_to_the_next_holder():
    # Guards against an older listing at the next holder, by which it would move
    # the engine to other layers.
    context, _, peers, placement = make_placement("g1")
    list_coverage_gap_and_replicas(context)
    placement.renew_lease()
    context.dialect.outcome = OrderOutcome.UNKNOWN
    placement.plan_once()
    context, _, next_peers, _ = make_placement("g2")
    list_engines(context, make_engine("p", 48, 64))

    next_peers._handle_message(peers._build_message(""))

    service = context.configuration.services["pool"]
    (engine,) = context.fleet.engines(service, context.clock.now_ms())
    assert engine.holds == LayerRange(0, 16)
    assert engine.order_unconfirmed


@pytest.mark.parametrize(
    "changes", [{"busy": True}, {"holds": LayerRange(3, 9)}]
)
def test_layers_are_not_given_up_for_a_keeper_that_has_gone_elsewhere(changes):
    # Guards against a listing that is older than another gateway's last order.
    context, _, _, placement = make_placement()
    list_coverage_gap_and_replicas(context)
    placement.renew_lease()
    address = make_engine("q", 0, 16).address
    reports = context.dialect.reports
    reports[address] = attrs.evolve(reports[address], **changes)

    placement.plan_once()

    assert ordered_addresses(context) == []


def test_keeper_that_gives_no_report_is_not_relied_on():
    # Guards against a dead engine that still counts as the other holder of
    # layers.
    context, _, _, placement = make_placement()
    list_coverage_gap_and_replicas(context)
    placement.renew_lease()
    del context.dialect.reports[make_engine("q", 0, 16).address]

    placement.plan_once()

    assert ordered_addresses(context) == []


def test_engine_whose_load_is_overdue_counts_as_loading():
    # Guards against relying on the layers that an engine held before a load
    # that hangs.
    context, _, _, placement = make_placement()
    list_coverage_gap_and_replicas(context)
    service = context.configuration.services["pool"]
    engine = context.fleet.engines(service, 0)[0]
    reports = context.dialect.reports
    reports[engine.address] = attrs.evolve(reports[engine.address], busy=True)

    placement._poll_load(engine)

    now_ms = context.clock.now_ms()
    engines = context.fleet.engines(service, now_ms)
    assert [e.name for e in engines if e.loading] == [engine.name]
    later = context.fleet.engines(service, now_ms + 2000)
    assert not any(e.loading for e in later)


def test_range_with_a_single_holder_is_ordered_before_other_moves():
    # Guards against a load for a range with a single holder that shares the
    # bandwidth with loads of further replicas.
    context, _, _, placement = make_placement()
    engines = [
        make_engine(f"{copy}{i}", i * 16, i * 16 + 16)
        for copy in "xyz"
        for i in range(5)
    ]
    engines = [e for e in engines if e.name not in ("y4", "z4")]
    empty = [make_engine(f"empty{i}", 0, 0) for i in range(12)]
    list_engines(context, *empty, *engines)
    placement.renew_lease()

    placement.plan_once()

    orders = [layers for _, layers, _, _ in context.dialect.orders]
    assert len(orders) == 8
    assert set(range(64, 80)) <= set(layers_of(orders[0]))


def add_night_service(context, engines):
    """Adds a second service with empty engines; returns its engines."""
    known = context.configuration
    night = attrs.evolve(known.services["pool"], name="night")
    context.configuration = attrs.evolve(
        known, services={**known.services, "night": night}
    )
    return [
        attrs.evolve(make_engine(f"night{i}", 0, 0), service="night")
        for i in range(engines)
    ]


def plan_for(placement, clock, duration_ms):
    for _ in range(0, duration_ms, 400):
        placement.renew_lease()
        placement.plan_once()
        clock.advance(400)


@pytest.mark.parametrize("engines", [(6, 7), (7, 6), (6, 6)])
def test_services_with_different_numbers_of_engines_get_layers(engines):
    # Guards against engines that stay empty since each service restarts the
    # wait of the other one.
    clock = ManualClock(100_000)
    context, _, _, placement = make_placement(clock=clock)
    night = add_night_service(context, engines[1])
    pool = [make_engine(f"day{i}", 0, 0) for i in range(engines[0])]
    list_engines(context, *pool, *night)

    plan_for(placement, clock, 4000)
    placement.stop()

    ordered = set(ordered_addresses(context))
    assert ordered & {engine.address for engine in pool}
    assert ordered & {engine.address for engine in night}


def test_empty_service_waits_for_its_own_engines_alone():
    # Guards against a plan for the first engines of a service because another
    # service has long been complete.
    clock = ManualClock(100_000)
    context, _, _, placement = make_placement(clock=clock)
    night = add_night_service(context, 6)
    pool = [make_engine(f"day{i}", 0, 0) for i in range(6)]
    list_engines(context, *pool)
    plan_for(placement, clock, 4000)
    context.dialect.orders.clear()
    list_engines(context, *pool, *night[:3])
    plan_for(placement, clock, 800)
    list_engines(context, *pool, *night)
    plan_for(placement, clock, 1200)
    placement.stop()

    ordered = set(ordered_addresses(context))
    assert not ordered & {engine.address for engine in night}
