"""Tests of the regular reads of engines' reports and their distribution."""

import attrs

from caroblug.core.placement import LayerRange, ReportReaders
from caroblug.core.placement.tests.fleets import BIG, MODEL
from caroblug.gateway._engine_reports import record_load, record_report
from caroblug.gateway._interfaces import AnswerMetadata, Member, RunState
from caroblug.gateway._peers import LeaseState
from caroblug.gateway._room_readers import RoomReaders
from caroblug.gateway.tests.test_fleet import POOL, make_engine
from caroblug.gateway.tests.test_placement import (
    list_engines,
    make_placement,
    receive_peer_state,
)

_CAPACITY = int(MODEL.token_capacity(BIG, 16))
_GATEWAYS = tuple(f"g{number}" for number in range(9))


def make_site(name="g0", engines=3):
    """Returns a gateway that knows eight local peers and some engines."""
    context, _, peers, _ = make_placement(name)
    backends = [make_engine(f"e{i}", 0, 16) for i in range(engines)]
    list_engines(context, *backends)
    readers = RoomReaders(context, peers)
    context.clock.advance(1500)
    for other in _GATEWAYS:
        peers._add_member(Member(other, ("10.0.0.1", 1)))
        if other != name:
            receive_peer_state(peers, other, LeaseState.NONE)
    return context, peers, readers


def test_gateway_that_has_just_started_reads_nothing():
    # Guards against reads due to counts that lack other gateways.
    context, peers, _ = make_site()
    fill(context, 0.9)

    assert not RoomReaders(context, peers).due()


def fill(context, use, engines=3):
    for number in range(engines):
        context.fleet.loads.add_request(
            (f"e{number}",), int(use * _CAPACITY), context.clock.now_ms()
        )


def set_reports(context, **fields):
    reports = context.dialect.reports
    for address, report in reports.items():
        reports[address] = attrs.evolve(report, **fields)


def test_lightly_loaded_engines_are_not_read():
    # Guards against reads that a fleet with little load doesn't need.
    for name in _GATEWAYS:
        context, _, readers = make_site(name)
        fill(context, 0.4)
        context.fleet.rooms.on_load("e0", 30, 0, 96, context.clock.now_ms())

        assert not readers.due()


def test_each_loaded_engine_has_one_reader_in_a_data_centre():
    due = []
    for name in _GATEWAYS:
        context, _, readers = make_site(name, engines=20)
        fill(context, 0.6, engines=20)
        due += [engine.name for engine in readers.due()]

    assert sorted(due) == sorted(f"e{i}" for i in range(20))


def test_engine_with_waiting_requests_is_read_whatever_is_counted():
    # Guards against full engines that gateways believe to be half empty.
    due = []
    for name in _GATEWAYS:
        context, _, readers = make_site(name)
        context.fleet.rooms.on_load("e0", 90, 3, 96, context.clock.now_ms())
        due += [engine.name for engine in readers.due()]

    assert due == ["e0"]


def test_next_gateway_reads_while_the_first_one_is_silent():
    # Guards against an engine that is unread until its dead reader expires.
    reads = []
    for name in _GATEWAYS:
        context, _, readers = make_site(name)
        fill(context, 0.6)
        reads.append([engine.name for engine in readers.due()].count("e0"))
        context.clock.advance(1600)
        fill(context, 0.01)
        reads.append([engine.name for engine in readers.due()].count("e0"))

    assert sum(reads[::2]) == 1
    assert sum(reads[1::2]) == 2


def test_engine_that_answers_nobody_is_read_by_few():
    readers_per_engine = 0
    for name in _GATEWAYS:
        context, _, readers = make_site(name)
        fill(context, 0.6)
        readers.due()
        context.clock.advance(4900)
        readers_per_engine += [e.name for e in readers.due()].count("e0")

    assert readers_per_engine == 4


def test_gateway_that_leaves_changes_few_readers():
    gateways = frozenset(_GATEWAYS)
    engines = [f"e{i}" for i in range(200)]
    changed = 0
    for name in gateways - {"g3"}:
        readers = ReportReaders(name)
        for engine in engines:
            before = readers.rank(engine, gateways, gateways)
            after = readers.rank(engine, gateways, gateways - {"g3"})
            changed += (before == 0) != (after == 0)

    assert changed == sum(
        ReportReaders("g3").rank(engine, gateways, gateways) == 0
        for engine in engines
    )


def test_report_that_was_read_reaches_a_peer():
    context, peers, readers = make_site()
    set_reports(context, memory_use=0.9, running=7, waiting=2, age_ms=200)
    fill(context, 0.6)
    readers.due()
    (engine,) = [e for e in context.fleet.engines(POOL, 0) if e.name == "e1"]
    readers.read(engine)
    other_context, other_peers, _ = make_site("g1")
    other_peers._handle_message(peers._build_message(""))

    now_ms = context.clock.now_ms()
    report = other_context.fleet.rooms.newest(now_ms, 48)["e1"]
    assert (report.use, report.running, report.waiting) == (0.9, 7, 2)
    assert report.measured_ms == now_ms - 200


def test_message_without_rooms_and_members_is_applied():
    # Guards against gateways of two versions that reject each other's state.
    _, peers, _ = make_site()
    _, other_peers, _ = make_site("g1")
    message = peers._build_message("")
    del message["rooms"], message["members"]

    assert other_peers._handle_message(message)["name"] == "g1"


def test_message_names_a_bounded_number_of_engines_and_gateways():
    context, peers, _ = make_site(engines=60)
    now_ms = context.clock.now_ms()
    report = next(iter(context.dialect.reports.values()))
    for number in range(60):
        full = attrs.evolve(report, memory_use=0.9)
        record_report(context, f"e{number}", full, now_ms)
    message = peers._build_message("")

    assert len(message["rooms"]) == 48
    assert len(message["members"]) == 6


def test_local_peers_are_known_after_a_few_rounds():
    # Guards against load counts of a third of the local gateways after a start.
    sites = {}
    names = _GATEWAYS
    for name in names:
        sites[name] = make_placement(name)[2]
    for number, name in enumerate(names):
        for offset in (1, 2, 4):
            other = names[(number + offset) % len(names)]
            sites[name]._add_member(Member(other, ("10.0.0.1", 1)))
    for _ in range(4):
        for name in names:
            for other in sites[name]._choose_partners():
                answer = sites[other]._handle_message(
                    sites[name]._build_message("")
                )
                sites[name]._handle_answer(answer, other)
            sites[name]._context.clock.advance(500)

    assert all(len(peers.local_gateways()) == 9 for peers in sites.values())


def test_address_that_a_gateway_states_itself_is_kept():
    # Guards against the address of an earlier process of the same name.
    _, peers, _ = make_site()
    peers._add_member(Member("g1", ("10.0.0.5", 2), "a"))
    peers._apply_members(
        {"g1": ["10.0.0.1", 1, "a"], "h": ["10.0.0.7", 1, "b"]}
    )

    assert peers._members.address("g1") == ("10.0.0.5", 2)
    assert peers._members.is_remote("h")


def test_gateway_that_sends_nothing_is_not_passed_on():
    # Guards against dead gateways that are named to each other for ever.
    context, peers, _ = make_site()
    context.clock.advance(2000)
    peers._remove_silent_peers()

    assert not peers._build_message("")["members"]


def make_answer(running, waiting, slots=96):
    return AnswerMetadata(
        "r", True, RunState.RUN, None, running, waiting, (), slots=slots
    )


def test_load_in_a_response_marks_a_full_engine():
    context, _, _ = make_site()
    now_ms = context.clock.now_ms()
    (engine, *_) = context.fleet.engines(POOL, now_ms)
    rooms = context.fleet.rooms
    record_load(context, engine.name, make_answer(None, 0))
    assert rooms.load(engine, MODEL, now_ms) == 0
    record_load(context, engine.name, make_answer(48, 0))
    assert rooms.load(engine, MODEL, now_ms) == 0.5
    record_load(context, engine.name, make_answer(96, 2))
    assert rooms.load(engine, MODEL, now_ms) >= 1


def test_impossible_values_are_dropped_and_counted():
    # Guards against reports that are wrong.
    context, _, _ = make_site()
    report = next(iter(context.dialect.reports.values()))
    for use in (-0.5, 7.0, float("nan")):
        record_report(context, "e0", attrs.evolve(report, memory_use=use), 0)
    record_load(context, "e0", make_answer(-3, 0))

    count = context.telemetry.value
    assert count("invalid_loads", source="report") == 3
    assert count("invalid_loads", source="response") == 1
    assert context.fleet.rooms.report_age_ms("e0", 0) is None


def test_layers_are_not_taken_from_the_reads():
    # Guards against messages that name the layers of every loaded engine.
    context, peers, readers = make_site()
    set_reports(context, holds=LayerRange(0, 0), memory_use=0.9)
    fill(context, 0.6)
    for engine in readers.due():
        readers.read(engine)

    assert not peers._build_message("")["told"]
