"""When events came, and what made a stream late."""

from caroblug.core.access import Route, RouteKind
from caroblug.gateway._timeliness import Timeliness

ROUTE = Route(
    "r",
    "h",
    "/",
    RouteKind.STREAMING,
    (),
    20_000,
    latency_target_ms=500,
    pause_ms=200,
)


def test_stream_with_a_long_pause_names_what_happened_in_it():
    times = Timeliness(1000)
    times.on_events(1080)
    times.on_events(1120)
    times.note("path changed", "e7")
    times.on_events(1400)
    times.on_events(1440)

    assert times.first_ms == 80
    assert times.pause_ms == 280
    assert times.late_by(ROUTE) == "pause"
    assert (times.cause, times.engine) == ("path changed", "e7")


def test_late_first_event_goes_before_a_pause():
    times = Timeliness(0)
    times.note("turned away with 503", "e1")
    times.on_events(600)
    times.on_events(900)

    assert times.late_by(ROUTE) == "first_event"
    assert times.cause == "turned away with 503"


def test_stream_without_an_event_is_not_called_late():
    assert Timeliness(0).late_by(ROUTE) == ""


def test_route_without_an_objective_for_pauses_has_no_late_pause():
    times = Timeliness(0)
    times.on_events(10)
    times.on_events(5000)

    assert times.late_by(Route("r", "h", "/", RouteKind.STREAMING, (), 1)) == ""
