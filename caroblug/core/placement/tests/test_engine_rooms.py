"""Tests of the estimated memory use of engines."""

import random

import pytest

from caroblug.core.placement import EngineLoads, EngineRooms, RoomReport
from caroblug.core.placement.tests.fleets import BIG, MODEL, make_engine

_ENGINE = make_engine("x", BIG, first=0, end=16)
_CAPACITY = MODEL.token_capacity(BIG, 16)


class Site:
    """One gateway's view of one engine.

    Args:
        gateways: Number of gateways in the local data centre.
    """

    def __init__(self, gateways=1, data_centre="a", seed=1):
        self.loads = EngineLoads()
        self.loads.gateways = gateways
        self.loads.local_gateways = gateways
        self.rooms = EngineRooms(self.loads, data_centre, random.Random(seed))

    def report(self, use, measured_ms, now_ms=None, waiting=0, running=10):
        """Delivers a report."""
        return self.rooms.on_report(
            "x",
            RoomReport(use, running, waiting, measured_ms),
            measured_ms if now_ms is None else now_ms,
        )

    def use(self, now_ms):
        """Returns the estimated use."""
        return self.rooms.use(_ENGINE, MODEL, now_ms)

    def has_room(self, now_ms, share=0.01, max_use=0.95):
        """Returns whether a request that takes a share of the memory fits."""
        tokens = int(share * _CAPACITY)
        self.rooms.begin_search([_ENGINE], MODEL, tokens, max_use, now_ms)
        return self.rooms.has_room(_ENGINE, MODEL, tokens, max_use, now_ms)

    def add(self, share, now_ms):
        """Sends requests that take a share of the memory."""
        self.loads.add_request(("x",), int(share * _CAPACITY), now_ms)

    def remove(self, share, now_ms):
        """Ends requests."""
        self.loads.remove_request(("x",), int(share * _CAPACITY), now_ms)


def test_reported_use_is_corrected_by_later_requests():
    # Guards against requests sent to an engine since its last report.
    site = Site()
    site.add(0.2, 1000)
    site.report(0.5, measured_ms=1500, now_ms=1700)
    site.add(0.1, 1600)
    site.remove(0.2, 1800)

    assert site.use(1800) == pytest.approx(0.4, abs=0.001)


def test_requests_of_peers_are_added_to_the_reported_use():
    site = Site(gateways=2)
    site.loads.update_peer("other", {"x": 0.0}, now_ms=900)
    site.report(0.5, measured_ms=1000)
    site.loads.update_peer("other", {"x": 0.2 * _CAPACITY}, now_ms=1200)

    assert site.use(1200) == pytest.approx(0.7, abs=0.001)


def test_correction_decays_within_three_seconds_without_reports():
    # Guards against a use that stays as it was when reports stopped.
    site = Site()
    site.add(0.3, 0)
    site.report(0.9, measured_ms=1000)

    assert site.use(2000) == pytest.approx(0.9, abs=0.001)
    assert 0.3 < site.use(3500) < 0.9
    assert site.use(4000) == pytest.approx(0.3, abs=0.001)


def test_stale_report_never_replaces_a_newer_one():
    site = Site()
    site.report(0.9, measured_ms=1000)
    site.report(0.1, measured_ms=800, now_ms=1100)

    assert site.use(1100) == pytest.approx(0.9)


def test_report_that_was_passed_on_is_not_taken_for_a_newer_one():
    # Guards against one report whose free memory is used several times.
    site = Site(gateways=10)
    site.report(0.9, measured_ms=1000)
    site.add(0.1, 1010)
    site.report(0.9, measured_ms=1040, now_ms=1050)

    assert not site.has_room(1060)


@pytest.mark.parametrize(
    "use", [-0.1, 7.0, float("nan"), float("inf"), float("-inf")]
)
def test_impossible_use_is_dropped(use):
    site = Site()
    site.report(0.9, measured_ms=1000)

    assert not site.report(use, measured_ms=1500)
    assert site.use(1500) == pytest.approx(0.9)


def test_impossible_counts_and_times_are_dropped():
    site = Site()

    assert not site.report(0.5, measured_ms=1000, running=-1)
    assert not site.report(0.5, measured_ms=1000, waiting=-1)
    assert not site.report(0.5, measured_ms=1100, now_ms=1000)
    assert not site.rooms.on_load("x", -1, 0, 96, 1000)


def test_engine_with_waiting_requests_has_no_room_until_it_reports_again():
    site = Site()
    site.report(0.2, measured_ms=1000, waiting=1)

    assert not site.has_room(1400)
    site.report(0.2, measured_ms=1500)
    assert site.has_room(1500)


def test_rejection_overrides_a_report_of_free_memory():
    # Guards against requests to an engine whose reports are wrong or early.
    site = Site()
    site.report(0.2, measured_ms=1000)
    site.rooms.on_rejected("x", 1100)

    assert not site.has_room(1100)
    site.report(0.2, measured_ms=1099, now_ms=1200)
    assert not site.has_room(1200)


def test_mark_of_an_engine_without_reports_ends_after_a_second():
    site = Site()
    site.rooms.on_rejected("x", 1000)

    assert not site.has_room(1999)
    assert site.has_room(2000)


def test_waiting_requests_in_a_response_mark_an_engine():
    site = Site()
    site.report(0.2, measured_ms=1000)
    site.rooms.on_load("x", 96, 3, 96, 1100)

    assert not site.has_room(1100)
    assert site.rooms.load(_ENGINE, MODEL, 1100) >= 1.0


def test_engine_that_reports_no_memory_is_not_restricted():
    # Guards against refusals where engines don't report their memory.
    site = Site()
    site.add(2.0, 0)
    site.report(None, measured_ms=1000)

    assert site.has_room(1000)


def test_gateways_leave_free_memory_to_each_other():
    # Guards against all gateways sending to the same free engine at once.
    added = []
    for seed in range(100):
        site = Site(gateways=100, seed=seed)
        site.report(0.75, measured_ms=1000)
        share = 0
        while site.has_room(1010):
            site.add(0.01, 1010)
            share += 0.01
        added.append(share)

    assert 0.05 <= sum(added) <= 0.2


def test_request_that_has_ended_is_replaced_by_the_same_gateway():
    # Guards against memory that stays free because each gateway's part of it
    # is smaller than a request.
    site = Site(gateways=100)
    site.add(0.01, 900)
    site.report(0.95, measured_ms=1000)
    assert not site.has_room(1100)
    site.remove(0.01, 1150)

    assert site.has_room(1160)
    site.add(0.01, 1160)
    assert not site.has_room(1170)


def test_ended_request_makes_no_room_below_a_lower_limit():
    # Guards against memory reserved for urgent requests that is taken by less
    # urgent ones whenever a request of their gateway ends.
    site = Site(gateways=100)
    site.add(0.01, 900)
    site.report(0.95, measured_ms=1000)
    site.remove(0.01, 1150)

    assert not site.has_room(1160, max_use=0.9)
    assert site.has_room(1160, max_use=0.95)


def test_request_is_counted_in_its_round_although_a_report_includes_it():
    # Guards against one part that is used with each of several reports.
    site = Site(gateways=40)
    sent = 0
    for now_ms in range(1100, 1600, 10):
        if now_ms % 110 == 0:
            site.report(0.75, measured_ms=now_ms)
        while site.has_room(now_ms):
            site.add(0.01, now_ms)
            sent += 0.01

    # Its part of the free memory, in the two rounds that the period touches.
    assert sent <= 2 * (0.2 / 40 + 0.01)


def test_memory_is_left_to_gateways_of_the_engines_data_centre():
    remote = Site(data_centre="b")
    remote.report(0.92, measured_ms=1000)
    local = Site()
    local.report(0.92, measured_ms=1000)

    assert not remote.has_room(1000)
    assert local.has_room(1000)


def test_gateway_that_has_started_uses_an_equal_part():
    # Guards against gateways that start together and fill all engines.
    total = 0.0
    for seed in range(30):
        site = Site(gateways=30, seed=seed)
        while site.has_room(1000):
            site.add(0.01, 1000)
            total += 0.01

    assert 0.3 <= total <= 0.95 + 30 * 0.01


def test_room_is_counted_while_no_report_arrives():
    site = Site(gateways=2)
    site.loads.update_peer("other", {"x": 0.3 * _CAPACITY}, now_ms=0)
    site.add(0.1, 0)
    assert site.has_room(5000, share=0.05)

    site.loads.update_peer("other", {"x": 0.9 * _CAPACITY}, now_ms=0)
    assert not site.has_room(5000, share=0.05)


def test_newest_reports_are_passed_on():
    site = Site()
    for number in range(60):
        report = RoomReport(0.5, 1, 0, 1000 + number)
        site.rooms.on_report(f"e{number}", report, 1100)

    newest = site.rooms.newest(1100, 48)
    assert len(newest) == 48
    assert min(r.measured_ms for r in newest.values()) == 1012
    assert not site.rooms.newest(5000, 48)


def test_engines_that_left_are_forgotten():
    site = Site()
    site.report(0.9, measured_ms=1000)
    site.rooms.retain(set())

    assert site.rooms.report_age_ms("x", 1000) is None


def test_full_engines_of_another_service_take_no_room():
    # Guards against requests that are refused at free engines while those of
    # another service are full, at a gateway that hears no other one.
    site = Site()
    site.rooms.on_report("other", RoomReport(0.95, 10, 0, 1000), 1000)

    assert site.has_room(1100)
