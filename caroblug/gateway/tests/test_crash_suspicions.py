"""Tests which requests gateways quarantine, and what they tell each other."""

import pytest

from caroblug.gateway.tests.crash_model import (
    CrashModel,
    Load,
    make_pending,
    make_process,
)


@pytest.mark.parametrize("gateways", [26, 64])
def test_request_is_quarantined_while_many_engines_end(gateways):
    # Guards against a suspicion that others displace in what is told.
    model = CrashModel(gateways, Load(streams=20, ends=1.0), 1)

    model.run(20)

    assert model.crashes >= 3
    assert model.late_runs == 0, f"{model.crashes} engines crashed"


def test_request_is_quarantined_after_a_rack_has_ended():
    # Guards against one burst of ends that displaces what is known.
    model = CrashModel(26, Load(streams=20), 1)
    model.run(1)
    model.load.ends = 20.0
    model.run(1)
    model.load.ends = 0.0

    model.run(20)

    assert model.crashes >= 3
    assert model.late_runs == 0, f"{model.crashes} engines crashed"


def test_gateway_that_starts_learns_which_requests_are_quarantined():
    # Guards against a start that lets a quarantined request run again.
    model = CrashModel(26, Load(streams=20, ends=1.0), 1)
    model.run(20)
    started = model.gateways[5] = model.make_gateway(5)

    model.run(1)

    assert started.is_quarantined(make_pending(b"poison"))


def test_crashes_on_both_sides_of_a_cut_count_after_it():
    # Guards against suspicions that are no longer told when a cut ends.
    model = CrashModel(26, Load(streams=20, ends=1.0, interval_ms=10**9), 1)
    model.cut = set(range(5))
    poison = make_pending(b"poison")
    model.gateways[0].on_process_ended(poison, make_process("e1"))
    model.gateways[20].on_process_ended(poison, make_process("e2"))
    model.run(10)
    model.cut = set()
    model.gateways[21].on_process_ended(poison, make_process("e3"))

    model.run(3)

    assert all(g.is_quarantined(poison) for g in model.gateways)


def test_requests_that_lost_one_engine_are_not_quarantined():
    # Guards against refusing innocent requests on a day when racks end.
    model = CrashModel(26, Load(streams=20, ends=5.0, interval_ms=10**9), 1)

    model.run(20)

    gateways = model.gateways
    assert not any(
        gateway.is_quarantined(make_pending(b"%d" % number))
        for number in range(0, 200, 10)
        for gateway in gateways
    )


def test_request_served_anywhere_is_quarantined_nowhere():
    # Guards against refusing a request of which other copies were answered.
    model = CrashModel(26, Load(interval_ms=10**9), 1)
    popular = make_pending(b"popular")
    for number in range(6):
        for gateway in model.gateways[:5]:
            process = make_process(f"e{number}", model.clock.now_ms())
            gateway.on_process_ended(popular, process)
        model.gateways[20].on_served(make_pending(b"popular"))
        model.run(2)
        model.gateways[20].on_served(make_pending(b"popular"))
        model.run(2)

    assert not any(g.is_quarantined(popular) for g in model.gateways)


def test_answer_before_the_news_of_a_crash_clears_it():
    # Guards against forgetting answers that came before the news of a crash.
    model = CrashModel(26, Load(interval_ms=10**9), 1)
    popular = make_pending(b"popular")
    for number in range(3):
        process = make_process(f"e{number}", model.clock.now_ms())
        model.gateways[number].on_process_ended(popular, process)
        model.clock.advance(10)
        model.gateways[20].on_served(make_pending(b"popular"))
    model.run(3)

    assert not any(g.is_quarantined(popular) for g in model.gateways)


@pytest.mark.parametrize(("ends", "refused"), [(5, False), (6, True)])
def test_request_that_was_answered_before_is_quarantined_later(ends, refused):
    # Guards against refusing a popular request, and against never refusing it.
    model = CrashModel(26, Load(interval_ms=10**9), 1)
    request = make_pending(b"now crashes")
    for gateway in model.gateways:
        gateway.on_served(make_pending(b"now crashes"))
    model.clock.advance(1000)
    for number in range(ends):
        process = make_process(f"e{number}", model.clock.now_ms())
        model.gateways[number].on_process_ended(request, process)
        model.run(2)

    assert {g.is_quarantined(request) for g in model.gateways} == {refused}


def test_copy_that_ends_well_after_the_third_crash_ends_the_quarantine():
    # Guards against refusing an innocent request for ten minutes.
    model = CrashModel(26, Load(interval_ms=10**9), 1)
    popular = make_pending(b"popular")
    for number in range(3):
        process = make_process(f"e{number}", model.clock.now_ms())
        model.gateways[number].on_process_ended(popular, process)
    model.run(2)
    assert all(g.is_quarantined(popular) for g in model.gateways)
    model.gateways[9].on_served(make_pending(b"popular"))
    model.run(3)

    assert not any(g.is_quarantined(popular) for g in model.gateways)


def test_nothing_is_told_once_all_gateways_know():
    # Guards against messages that repeat for minutes what everybody knows.
    model = CrashModel(26, Load(streams=20), 1)
    model.run(20)
    model.message_bytes.clear()

    model.run(5)

    assert max(model.message_bytes) == len("[]")
