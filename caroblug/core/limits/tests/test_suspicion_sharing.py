"""Tests which suspicions one instance tells another."""

from caroblug.core.limits import Suspicion, Suspicions, SuspicionSharing
from caroblug.core.limits._suspicion_sharing import MAX_TOLD


def make_suspicion(fingerprint, crash):
    return Suspicion(fingerprint, "anna", crash, 0, False, 60_000)


def record(suspicions, sharing, fingerprint, crash, own=True):
    suspicion = make_suspicion(fingerprint, crash)
    if suspicions.on_suspicion(suspicion, 0):
        sharing.on_new(suspicion, own, 0)


def make_sharing(singles):
    """Returns suspicions of `singles` requests, each of one crash."""
    suspicions = Suspicions(3)
    sharing = SuspicionSharing(suspicions)
    for number in range(singles):
        record(suspicions, sharing, f"r{number}", "c", own=False)
    return suspicions, sharing


def test_request_suspected_of_several_crashes_is_told_among_many_others():
    # Guards against the oldest suspicions being left out.
    suspicions = Suspicions(3)
    sharing = SuspicionSharing(suspicions)
    record(suspicions, sharing, "poison", "c1", own=False)
    record(suspicions, sharing, "poison", "c2", own=False)
    for number in range(500):
        record(suspicions, sharing, f"r{number}", "c", own=False)

    told = sharing.choose("", 0)

    assert len(told) == MAX_TOLD
    assert {s.crash for s in told if s.fingerprint == "poison"} == {"c1", "c2"}


def test_new_suspicions_are_told_in_turn():
    # Guards against suspicions that are never told while many are new.
    _, sharing = make_sharing(4 * MAX_TOLD)
    told = set()
    for _ in range(4):
        message = sharing.choose(None, 0)
        sharing.on_told([(s.fingerprint, s.crash) for s in message])
        told.update(s.fingerprint for s in message)

    assert len(told) == 4 * MAX_TOLD


def test_suspicion_counts_as_told_only_if_it_was_received():
    # Guards against a gateway without peers that has nothing left to tell.
    _, sharing = make_sharing(1)
    for _ in range(100):
        assert sharing.choose(None, 0)


def test_instances_that_know_the_same_tell_each_other_nothing():
    sharings = []
    for crashes in (("c1", "c2"), ("c2", "c1")):
        suspicions, sharing = make_sharing(0)
        for crash in crashes:
            record(suspicions, sharing, "poison", crash)
        for _ in range(20):
            sharing.on_told([("poison", crash) for crash in crashes])
        sharings.append(sharing)
    one, other = sharings

    assert not one.choose(other.digest(0), 0)
    assert one.choose("", 0)


def test_cleared_crashes_leave_room_for_later_ones():
    # Guards against a request whose crashes no longer count after many cleared.
    suspicions = Suspicions(3)
    for number in range(20):
        suspicions.on_suspicion(make_suspicion("r", f"c{number}"), 0)
        suspicions.absolve("r", 0)
    for crash in ("c21", "c22", "c23"):
        suspicions.on_suspicion(make_suspicion("r", crash), 0)

    assert suspicions.count_quarantined(0) == 1


def test_full_table_keeps_requests_suspected_of_several_crashes(monkeypatch):
    # Guards against many single crashes that evict a request that causes them.
    monkeypatch.setattr("caroblug.core.limits._suspicions._MAX_RECORDS", 10)
    suspicions = Suspicions(3)
    for crash in ("c1", "c2", "c3"):
        suspicions.on_suspicion(make_suspicion("poison", crash), 0)
    for number in range(50):
        suspicions.on_suspicion(make_suspicion(f"r{number}", "c"), 0)

    assert suspicions.count_quarantined(0) == 1
    assert len(suspicions) == 10
