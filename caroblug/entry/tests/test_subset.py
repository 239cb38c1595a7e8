"""Which side processes an entry keeps connections with."""

from caroblug.entry._subset import SideSubset
from caroblug.gen.wire import ttypes as wire

_SIZE = 24


def _report(number):
    first = number % 6 * 4
    return wire.LoadReport(
        instance=f"e{number}",
        target="m",
        data_centre="abc"[number % 3],
        first_layer=first,
        end_layer=first + 4,
    )


def _settle(subset, listed, silent=()):
    """Connects to what is wanted until nothing new is learnt."""
    max_connected = 0
    for _ in range(60):
        selected = subset.select(listed)
        max_connected = max(max_connected, len(selected))
        for instance in selected - set(silent):
            subset.on_report(_report(int(instance[1:])))
    return selected, max_connected


def test_entry_of_a_large_fleet_keeps_to_its_subset():
    """An entry's processor time grows with the fleet, not with its callers.

    At 780 engines it would hear from all of them five times a second, and
    each engine from every entry.
    """
    listed = [f"e{n}" for n in range(780)]
    subset = SideSubset("entry-a", _SIZE)
    selected, max_connected = _settle(subset, listed)
    assert len(selected) <= _SIZE
    assert max_connected <= _SIZE + 32
    layers = {_report(int(i[1:])).first_layer for i in selected}
    assert layers == set(range(0, 24, 4))
    other, _ = _settle(SideSubset("entry-b", _SIZE), listed)
    assert other != selected


def test_listed_instances_that_never_answer_hold_up_nobody():
    """New engines get no work although they are live.

    More instances than are asked at once are listed and dead; asked again
    and again, they would keep the entry from ever asking the others.
    """
    listed = [f"e{n}" for n in range(200)]
    silent = {f"e{n}" for n in range(200) if n % 2}
    subset = SideSubset("entry-a", _SIZE)
    _settle(subset, listed, silent)
    alive = {f"e{n}" for n in range(200) if n % 2 == 0}
    assert alive <= subset.known


def test_small_fleet_is_connected_whole():
    listed = [f"e{n}" for n in range(_SIZE)]
    assert SideSubset("entry-a", _SIZE).select(listed) == set(listed)
