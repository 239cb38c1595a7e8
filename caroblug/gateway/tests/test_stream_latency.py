"""When events came, and what made a stream late."""

from caroblug.core.access import Route, RouteKind
from caroblug.gateway._stream_latency import StreamLatency

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
    times = StreamLatency(1000)
    times.on_events(1080)
    times.on_events(1120)
    times.record_incident("path changed", "e7")
    times.on_events(1400)
    times.on_events(1440)

    assert times.first_ms == 80
    assert times.pause_ms == 280
    assert times.missed_objective(ROUTE) == "pause"
    assert (times.cause, times.engine) == ("path changed", "e7")


def test_late_first_event_goes_before_a_pause():
    times = StreamLatency(0)
    times.record_incident("turned away with 503", "e1")
    times.on_events(600)
    times.on_events(900)

    assert times.missed_objective(ROUTE) == "first_event"
    assert times.cause == "turned away with 503"


def test_stream_without_an_event_is_not_called_late():
    assert StreamLatency(0).missed_objective(ROUTE) == ""


def test_route_without_an_objective_for_pauses_has_no_late_pause():
    times = StreamLatency(0)
    times.on_events(10)
    times.on_events(5000)

    assert (
        times.missed_objective(Route("r", "h", "/", RouteKind.STREAMING, (), 1))
        == ""
    )
