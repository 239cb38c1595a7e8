"""Tests of the selection of side processes to connect to."""

from caroblug.entry._subset import SideSubset
from caroblug.gen.wire import ttypes as wire

_SIZE = 24


def _make_report(number):
    first = number % 6 * 4
    return wire.LoadReport(
        instance=f"e{number}",
        target="m",
        data_centre="abc"[number % 3],
        first_layer=first,
        end_layer=first + 4,
    )


def _settle(subset, listed, silent=()):
    """Connects to the selected instances over 60 rounds of reports."""
    max_connected = 0
    for _ in range(60):
        selected = subset.select(listed)
        max_connected = max(max_connected, len(selected))
        for instance in selected - set(silent):
            subset.on_report(_make_report(int(instance[1:])))
    return selected, max_connected


def test_entry_of_a_large_fleet_connects_to_a_subset():
    """An entry must not connect to every engine of a large fleet.

    With 780 engines it would receive a load report from each of them five
    times a second, and each engine would report to every entry. The entry's
    processor time would grow with the fleet, not with its callers.
    """
    listed = [f"e{n}" for n in range(780)]
    subset = SideSubset("entry-a", _SIZE)
    selected, max_connected = _settle(subset, listed)
    assert len(selected) <= _SIZE
    assert max_connected <= _SIZE + 32
    layers = {_make_report(int(i[1:])).first_layer for i in selected}
    assert layers == set(range(0, 24, 4))
    other, _ = _settle(SideSubset("entry-b", _SIZE), listed)
    assert other != selected


def test_listed_instances_that_never_report_do_not_block_others():
    """Dead listed instances must not keep live engines from getting work.

    More instances than the entry probes in one round are listed and dead. If
    it probed the same ones in every round, it would never reach the others.
    """
    listed = [f"e{n}" for n in range(200)]
    silent = {f"e{n}" for n in range(200) if n % 2}
    subset = SideSubset("entry-a", _SIZE)
    _settle(subset, listed, silent)
    alive = {f"e{n}" for n in range(200) if n % 2 == 0}
    assert alive <= subset.known


def test_small_fleet_is_connected_completely():
    listed = [f"e{n}" for n in range(_SIZE)]
    assert SideSubset("entry-a", _SIZE).select(listed) == set(listed)
