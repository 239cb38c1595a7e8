"""Tests that a quarantine outlasts the gateways that know of it."""

import pytest

from caroblug.gateway._crash_suspicions import QUARANTINE_MS, CrashSuspicions
from caroblug.gateway._interfaces import Unavailable
from caroblug.gateway._quarantine_backup import QuarantineBackup
from caroblug.gateway.tests.crash_model import make_pending, make_process
from caroblug.gateway.tests.fakes import FakeRegistry, make_context
from caroblug.gateway.tests.part_model import make_prompt
from caroblug.utils import ManualClock

POISON = make_pending(b"poison")


class Store(FakeRegistry):
    """Registry that keeps records of quarantined requests."""

    def __init__(self) -> None:
        super().__init__()
        self.records = {}
        self.away = False
        self.reads = 0
        self.writes = 0

    def save_quarantines(self, records):
        self.writes += 1
        if self.away:
            return Unavailable("away")
        for key, value in records.items():
            if value:
                self.records[key] = value
            else:
                self.records.pop(key, None)
        return None

    def read_quarantines(self):
        self.reads += 1
        return Unavailable("away") if self.away else dict(self.records)


class Site:
    """Gateways that start one after the other at one store."""

    def __init__(self) -> None:
        self.clock = ManualClock(100_000)
        self.store = Store()
        self.alone = False

    def start(self):
        """Returns the suspicions and the backup of a gateway that starts."""
        context = make_context("g", self.clock)
        crashes = CrashSuspicions(context)
        backup = QuarantineBackup(
            context, self.store, crashes, lambda: self.alone, self.clock
        )
        backup.step()
        return crashes, backup

    def crash(self, crashes, count=3):
        for number in range(count):
            process = make_process(f"e{number}", self.clock.now_ms())
            crashes.on_process_ended(POISON, process)


def test_request_stays_quarantined_after_all_gateways_have_ended():
    # Guards against three more crashes after all gateways were killed.
    site = Site()
    crashes, backup = site.start()
    site.crash(crashes)
    backup.step()

    crashes, _ = site.start()

    assert crashes.is_quarantined(POISON)


def test_request_of_two_crashes_is_not_written():
    # Guards against a write for each of the requests on an engine that ends.
    site = Site()
    crashes, backup = site.start()
    site.crash(crashes, 2)
    backup.step()

    assert not site.store.writes


def test_quarantine_is_written_after_an_outage_of_the_store():
    site = Site()
    crashes, backup = site.start()
    site.store.away = True
    site.crash(crashes)
    for _ in range(20):
        backup.step()
        site.clock.advance(250)
    assert 1 < site.store.writes < 5
    site.store.away = False
    site.clock.advance(30_000)
    backup.step()

    assert site.start()[0].is_quarantined(POISON)


def test_start_during_an_outage_reads_the_quarantine_later():
    site = Site()
    crashes, backup = site.start()
    site.crash(crashes)
    backup.step()
    site.store.away = True
    crashes, backup = site.start()
    assert not crashes.is_quarantined(POISON)
    site.store.away = False
    site.clock.advance(1000)
    backup.step()

    assert crashes.is_quarantined(POISON)


def test_gateway_that_hears_nobody_reads_again():
    # Guards against a gateway that is cut off and learns of no quarantine.
    site = Site()
    cut_off, its_backup = site.start()
    crashes, backup = site.start()
    site.crash(crashes)
    backup.step()
    site.clock.advance(10_000)
    its_backup.step()
    assert not cut_off.is_quarantined(POISON)
    site.alone = True
    its_backup.step()

    assert cut_off.is_quarantined(POISON)


def test_part_stays_refused_after_all_gateways_have_ended():
    # Guards against three more crashes by a part after all were killed.
    site = Site()
    crashes, backup = site.start()
    for number in range(3):
        process = make_process(f"e{number}", site.clock.now_ms())
        crashes.on_process_ended(make_prompt("first", "bad"), process)
        site.clock.advance(1500)
        crashes.on_served(make_prompt("first", "sound"))
    site.clock.advance(1500)
    assert crashes.is_quarantined(make_prompt("first", "bad"))
    backup.step()

    crashes, _ = site.start()

    assert crashes.is_quarantined(make_prompt("first", "bad"))
    assert not crashes.is_quarantined(make_prompt("first", "sound"))


def test_expired_quarantine_is_removed():
    # Guards against a quarantine that each start prolongs.
    site = Site()
    crashes, backup = site.start()
    site.crash(crashes)
    backup.step()
    site.clock.advance(QUARANTINE_MS // 2)
    middle, _ = site.start()
    site.clock.advance(QUARANTINE_MS // 2)

    late, _ = site.start()

    assert not middle.is_quarantined(POISON)
    assert not late.is_quarantined(POISON)
    assert not site.store.records


def test_quarantine_of_an_innocent_request_is_removed():
    # Guards against starts that refuse a request which was answered meanwhile.
    site = Site()
    crashes, backup = site.start()
    site.crash(crashes)
    backup.step()
    crashes.on_served(make_pending(b"poison"))
    backup.step()

    assert not site.store.records


def test_unreadable_record_is_ignored():
    site = Site()
    site.store.records["odd"] = '{"until_ms": "soon"}'

    crashes, _ = site.start()

    assert not crashes.is_quarantined(POISON)


@pytest.mark.parametrize(
    "record",
    [
        '{"until_ms": "soon"}',
        '{"until_ms": 1e999, "crashes": []}',
        '{"until_ms": Infinity, "crashes": []}',
        '{"until_ms": 900000, "crashes": [["a", "b", "c"], 7]}',
        "[" * 100_000,
    ],
)
def test_unreadable_record_hides_no_other_one(record):
    # Guards against a start that doesn't read what is quarantined.
    site = Site()
    crashes, backup = site.start()
    site.crash(crashes)
    backup.step()
    site.store.records["odd"] = record
    site.store.records["a"] = record

    crashes, _ = site.start()

    assert crashes.is_quarantined(POISON)
