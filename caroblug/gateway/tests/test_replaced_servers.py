"""Tests of servers whose address another server has been assigned.

They guard against requests, orders and paths that reach a server of another
service.
"""

import attrs
import gevent
import pytest

from caroblug.core.placement import LayerRange, Path
from caroblug.gateway import (
    AnswerMetadata,
    OrderOutcome,
    Replaced,
    RunState,
)
from caroblug.gateway._engine_reports import find_unproved, read_report
from caroblug.gateway._suspect_probes import SuspectProbes
from caroblug.gateway.tests.fakes import make_context
from caroblug.gateway.tests.test_fleet import (
    PLAIN,
    POOL,
    list_of,
    make_engine,
    make_plain_server,
)
from caroblug.gateway.tests.test_placement import (
    list_engines,
    make_placement,
    ordered_addresses,
    plan_for,
)
from caroblug.gateway.tests.test_stream_rejections import (
    LAYERS,
    Gateway,
)
from caroblug.utils import ManualClock

REPLACED = Replaced("another engine")


def make_site(*engines):
    context = make_context()
    context.fleet.update_listing(list_of(*engines), context.clock.now_ms())
    for engine in engines:
        context.dialect.add(engine.address, engine.holds)
    return context


def probe(context, engine):
    SuspectProbes(context).probe(engine)
    gevent.sleep(0)


def test_failed_engine_is_not_readmitted_by_another_one_at_its_address():
    engine = make_engine("e1", 0, 80)
    context = make_site(engine)
    context.fleet.eject("e1", context.clock.now_ms())
    context.dialect.reports[engine.address] = REPLACED

    probe(context, engine)

    assert context.fleet.has_ended("e1")
    assert not isinstance(
        context.fleet.choose_engines(POOL, context.clock.now_ms()), Path
    )


def test_report_of_another_kind_is_that_of_another_engine():
    # Guards against servers that report without a look at the name.
    engine = make_engine("e1", 0, 80)
    context = make_site(engine)
    reports = context.dialect.reports
    reports[engine.address] = attrs.evolve(
        reports[engine.address], kind="small", started_ms=9
    )

    report = read_report(context, "e1", engine.address)

    assert isinstance(report, Replaced)
    assert context.fleet.has_ended("e1")
    assert context.fleet.started_ms("e1") == 0


def test_replaced_engine_gets_no_order():
    clock = ManualClock(100_000)
    context, _, _, placement = make_placement(clock=clock)
    engines = [make_engine(f"e{i}", 0, 0) for i in range(7)]
    list_engines(context, *engines)
    context.dialect.reports[engines[0].address] = REPLACED

    plan_for(placement, clock, 4000)
    placement.stop()

    assert ordered_addresses(context)
    assert engines[0].address not in ordered_addresses(context)
    assert context.fleet.has_ended("e0")


def test_engine_that_is_replaced_before_its_order_counts_as_ended():
    clock = ManualClock(100_000)
    context, _, _, placement = make_placement(clock=clock)
    list_engines(context, *(make_engine(f"e{i}", 0, 0) for i in range(6)))
    context.dialect.outcome = OrderOutcome.REPLACED

    plan_for(placement, clock, 4000)
    placement.stop()

    now_ms = clock.now_ms()
    assert any(context.fleet.has_ended(f"e{i}") for i in range(6))
    assert not context.fleet.unanswered_orders(now_ms)


def test_later_server_at_an_address_supersedes_the_earlier_one():
    # Guards against paths over an address whose former engine is still listed.
    old = attrs.evolve(make_engine("old", 0, 80), started_ms=5)
    new = attrs.evolve(
        make_engine("new", 0, 80),
        address=old.address,
        service="night",
        started_ms=9,
    )
    for engines in ((old, new), (new, old)):
        context = make_site(*engines)
        now_ms = context.clock.now_ms()

        assert not context.fleet.engines(POOL, now_ms)
        assert context.fleet.has_ended("old")
        assert context.fleet.find(old.address) == new


def test_plain_server_that_is_superseded_gets_no_request():
    old = attrs.evolve(make_plain_server("old"), started_ms=5)
    new = attrs.evolve(old, name="new", service="other", started_ms=9)
    context = make_site()
    context.fleet.update_listing(list_of(old, new), context.clock.now_ms())

    chosen = context.fleet.choose_backend(PLAIN, set(), context.clock.now_ms())

    assert chosen is None


def test_later_process_knows_nothing_of_earlier_orders():
    # Guards against an engine that counts as loading after its restart.
    engine = attrs.evolve(make_engine("e1", 0, 0), started_ms=5)
    context = make_site(engine)
    now_ms = context.clock.now_ms()
    fleet = context.fleet
    fleet.on_order_begun("e1", LayerRange(0, 80), now_ms, 60_000)
    fleet.on_order_unanswered("e1", now_ms)
    fleet.on_slowdown("e1", 12.0, now_ms)

    fleet.on_started("e1", 9)

    (found,) = fleet.engines(POOL, now_ms)
    assert not found.loading
    assert not found.order_unconfirmed
    assert len(found.holds) == 0
    assert fleet.slowdown("e1") == 1.0


@pytest.mark.parametrize("replaced", [True, False])
def test_engines_of_a_restored_copy_prove_themselves_before_use(replaced):
    # Guards against paths by a copy that is older than the engines at its
    # addresses.
    first, last = make_engine("e1", 0, 40), make_engine("e2", 40, 80)
    context = make_context()
    now_ms = context.clock.now_ms()
    context.fleet.restore_listing(list_of(first, last), now_ms)
    for engine in (first, last):
        context.dialect.add(engine.address, engine.holds)
    path = context.fleet.choose_engines(POOL, now_ms)
    if replaced:
        context.dialect.reports[last.address] = REPLACED

    unproved = find_unproved(context, path)

    assert unproved == ({"e2"} if replaced else set())
    assert context.fleet.is_proved("e2") is not replaced
    context.dialect.reports.clear()
    if not replaced:
        assert not find_unproved(context, path)


def refuse_misdirected(gateway, at_fault=None, server=None):
    """Makes answers named `elsewhere` those to misdirected requests."""
    decode = gateway.context.dialect.decode_answer

    def decode_answer(head):
        if head.get("answer") != "elsewhere":
            return decode(head)
        return AnswerMetadata(
            None,
            False,
            RunState.NOT_RUN,
            at_fault,
            90,
            9,
            (),
            leaving=True,
            misdirected=True,
            server=server,
        )

    gateway.context.dialect.decode_answer = decode_answer


def test_stream_refused_by_another_engine_goes_on_and_avoids_the_address(
    monkeypatch,
):
    engines = [make_engine("e1", 0, LAYERS), make_engine("e2", 0, LAYERS)]
    gateway = Gateway(monkeypatch, *engines)
    refuse_misdirected(gateway, server="other")
    for engine in engines:
        gateway.answer(engine.name, *["elsewhere"] * 9)
    gateway.engines.answers[engines[1].address[1]].clear()

    replies = [gateway.stream().reply for _ in range(9)]

    assert all(reply.complete for reply in replies)
    assert gateway.engines.requests.count(engines[0].address[1]) == 1
    assert gateway.context.fleet.has_ended("e1")
    assert not gateway.context.fleet.announced_exits()


def test_rejection_is_that_of_the_engine_on_the_path(monkeypatch):
    # Guards against streams that return to a former engine because the one that
    # is listed at its address now is avoided in its place.
    first = make_engine("e1", 0, 8)
    last = make_engine("e2", 8, LAYERS)
    new = attrs.evolve(last, name="a-new", service="night")
    gateway = Gateway(monkeypatch, new, first, last)
    refuse_misdirected(gateway, at_fault=last.address)
    gateway.answer("e1", *["elsewhere"] * 9)

    gateway.stream()

    assert gateway.context.engines_to_probe == {"e2"}
    assert len(gateway.engines.requests) == 1
