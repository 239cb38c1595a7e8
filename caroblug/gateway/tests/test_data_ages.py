"""Tests of the ages of what a gateway reads again and again."""

from caroblug.gateway._data_ages import DataAges
from caroblug.gateway._reader_ranking import ReaderRanking
from caroblug.gateway.tests.fakes import make_context
from caroblug.gateway.tests.test_fleet import list_of


def make_ages():
    context = make_context()
    ranking = ReaderRanking(context.clock, "g1")
    lines = []
    context.log.write = lambda kind, **fields: lines.append(
        (kind, fields["what"])
    )
    return context, ranking, DataAges(context, ranking), lines


def test_list_that_stands_still_is_logged_once_and_when_it_moves_again():
    # Guards against a gateway that says it is ready with a list of long ago.
    context, ranking, ages, lines = make_ages()
    ranking.confirm_version(context.clock.now_ms())
    context.fleet.update_listing(list_of(), context.clock.now_ms())
    for _ in range(10):
        context.clock.advance(1000)
        ages.check_once()

    assert lines == [("data.outdated", "backends")]
    context.fleet.update_listing(list_of(), context.clock.now_ms())
    ages.check_once()
    assert lines[1:] == [("data.current", "backends")]


def test_ages_are_metrics_without_a_check():
    # Guards against a gauge that stands still with the loop that sets it.
    context, ranking, ages, _ = make_ages()
    assert ages.update_metrics() == {"configuration": 1_000_000}
    ranking.confirm_version(context.clock.now_ms())
    context.fleet.update_listing(list_of(), context.clock.now_ms())
    context.clock.advance(700)

    assert ages.update_metrics() == {"backends": 700, "configuration": 700}
    assert b'caroblug_data_age_ms{what="backends"} 700.0' in (
        context.telemetry.expose()
    )
