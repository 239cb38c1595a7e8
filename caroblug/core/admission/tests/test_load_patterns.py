"""Tests of admission control under load patterns, on a model without network.

The rates, objectives and the order of the kinds are those of customer A in
docs/hard-load.md. Memory holds what the usual demand needs, or a part of it.
"""

import statistics

import attrs
import pytest

from caroblug.core.admission.tests.models import Kind, Model, Stream, share

ALERT = Kind("alert", 0, 77)
NOTICE = Kind("notice", 1, 41)
DIGEST = Kind("digest", 2, 25, objective_ms=1000)
KINDS = (ALERT, NOTICE, DIGEST)
VALUES = {"alert": (2.7, 0.26), "notice": (1.5, 0.38), "digest": (0.81, 0.31)}

USUAL_TOKENS = 143 * 790 * 6
"""Tokens in use at the usual rates: 790 tokens for 6 s on average."""

ENGINES = 20
GATEWAYS = 9
SETTLE_MS = 8000


def make_model(memory: float = 1.0, gateways: int = GATEWAYS) -> Model:
    """Returns a model with the usual demand.

    Args:
        memory: Memory of the engines, as a multiple of the usual demand.
        gateways: Number of gateways.
    """
    model = Model([int(memory * USUAL_TOKENS / ENGINES)] * ENGINES, gateways)
    for kind in KINDS:
        set_factor(model, kind, 1.0)
    return model


def set_factor(model: Model, kind: Kind, factor: float) -> None:
    """Sets a kind's rate at all gateways, as a multiple of its usual rate."""
    per_s = kind.per_s * factor / len(model.gateways)
    model.set_rate(attrs.evolve(kind, per_s=per_s))


def value(found: list[Stream]) -> float:
    """Returns the value that streams earn, as a share of the value if on time.

    Streams that began in the last seconds of a run may still return.
    """
    earned = possible = 0.0
    for stream in found:
        on_time, late = VALUES[stream.kind.name]
        possible += on_time
        if stream.on_time:
            earned += on_time
        elif stream.admitted_ms is not None:
            earned += late
    return earned / possible


def is_on_time(stream: Stream) -> bool:
    return stream.on_time


def check_urgent_before_less_urgent(model: Model) -> None:
    """Checks that no kind earns a smaller share than a less urgent one."""
    values = [value(model.of(kind.name)) for kind in KINDS]
    assert values == sorted(values, reverse=True)


def test_burst_of_the_least_urgent_kind_at_full_memory_delays_no_alert():
    # Guards against a burst of digests that takes the room of alerts.
    model = make_model(memory=1.1)
    model.run(SETTLE_MS)
    burst_ms = model.now_ms
    set_factor(model, DIGEST, 4.0)
    model.run(10_000)

    alerts = model.of("alert", burst_ms)
    assert share(alerts, is_on_time) >= 0.97
    assert model.use >= 0.85
    check_urgent_before_less_urgent(model)


def test_urgent_burst_at_full_memory_is_served_before_the_rest():
    # Guards against alerts refused because digests have filled the memory.
    model = make_model(memory=1.1)
    set_factor(model, DIGEST, 2.5)
    model.run(SETTLE_MS)
    burst_ms = model.now_ms
    set_factor(model, ALERT, 1.6)
    model.run(6000)
    set_factor(model, ALERT, 1.0)
    model.run(8000)

    in_burst = [
        s for s in model.of("alert", burst_ms) if s.began_ms < burst_ms + 6000
    ]
    assert value(in_burst) >= 0.87
    check_urgent_before_less_urgent(model)


def test_room_of_an_urgent_burst_is_used_again():
    # Guards against memory that stands idle after a burst.
    model = make_model(memory=0.7)
    set_factor(model, ALERT, 4.0)
    model.run(SETTLE_MS)
    set_factor(model, ALERT, 0.0)
    set_factor(model, NOTICE, 3.0)
    model.run(7000)
    model.use_samples.clear()
    model.run(3000)

    assert statistics.mean(model.use_samples) >= 0.85


def test_overload_serves_newcomers_on_time():
    # Guards against an overload in which all room goes to callers that retry,
    # so that everything that is served is late.
    model = Model([USUAL_TOKENS // ENGINES] * ENGINES, GATEWAYS, ranked=False)
    model.set_rate(Kind("alert", 0, 143 * 2 / GATEWAYS))
    model.run(16_000)

    admitted = [s for s in model.of("alert") if s.admitted_ms is not None]
    later = [s for s in admitted if s.admitted_ms >= 110_000]
    # Late streams get a quarter ahead of the others.
    assert share(later, is_on_time) >= 0.7
    assert statistics.mean(model.use_samples[1000:]) >= 0.85


@pytest.mark.parametrize("gateways", [1, GATEWAYS])
def test_clients_that_retry_at_once_do_not_crowd_out_others(gateways):
    # Guards against clients without a delay, which always have the least
    # remaining time and would take all room.
    model = make_model(memory=0.9, gateways=gateways)
    eager = Kind("eager", 0, 60 / gateways, at_once=True)
    model.set_rate(eager)
    set_factor(model, ALERT, 0.9)
    model.run(15_000)

    # Late streams get a quarter ahead of the others, whatever they send.
    admitted = [
        s
        for s in model.of("alert") + model.of("eager")
        if s.admitted_ms is not None and s.admitted_ms >= 105_000
    ]
    assert share(admitted, is_on_time) >= 0.7
    assert model.use >= 0.85


def test_swing_of_demand_between_data_centres_leaves_no_room_idle():
    # Guards against memory reserved where the arrivals were before.
    model = make_model(memory=0.8, gateways=2)
    model.set_rate(attrs.evolve(ALERT, per_s=ALERT.per_s * 1.3), 0)
    model.set_rate(attrs.evolve(ALERT, per_s=0), 1)
    model.set_rate(attrs.evolve(NOTICE, per_s=NOTICE.per_s * 3), 0)
    model.run(SETTLE_MS)
    model.set_rate(attrs.evolve(ALERT, per_s=0), 0)
    model.set_rate(attrs.evolve(ALERT, per_s=ALERT.per_s * 0.4), 1)
    model.run(7000)
    model.use_samples.clear()
    model.run(3000)

    assert statistics.mean(model.use_samples) >= 0.85


def test_begun_streams_continue_when_a_tenth_of_the_room_is_lost():
    # Guards against responses cut because newcomers took the room left.
    model = make_model(memory=1.0)
    model.run(SETTLE_MS)
    lost = model.lose_engine(0) + model.lose_engine(1)
    lost_ms = model.now_ms
    model.run(2000)

    assert lost
    # A begun stream waits for one update of the view at most, and then takes
    # any path.
    unserved = [s for s in lost if s.admitted_ms is None and not s.refused_ms]
    assert not unserved
    assert share(lost, lambda s: s.admitted_ms is not None) >= 0.9
    alerts = model.of("alert", lost_ms)
    assert share(alerts, is_on_time) >= 0.8


def test_no_urgent_stream_is_refused_before_a_less_urgent_one_is_admitted():
    # Guards against room given to a less urgent stream although none became
    # free since a more urgent one was refused at the same gateway.
    class Recorder(Model):
        """Records refusals and admissions at its only gateway, in order."""

        def __init__(self, *args) -> None:
            self.events = []
            super().__init__(*args)

        def _on_refused(self, request, refusal):
            self.events.append(("refused", request.rank))
            super()._on_refused(request, refusal)

        def _start(self, request, engine):
            self.events.append(("admitted", request.rank))
            super()._start(request, engine)

    model = Recorder([USUAL_TOKENS // ENGINES] * ENGINES)
    model.used = [int(0.9 * capacity) for capacity in model.capacities]
    # Alerts are larger than what is left of any engine, digests are small.
    model.set_rate(Kind("alert", 0, 4, tokens=2800))
    model.set_rate(Kind("digest", 2, 60, objective_ms=1000, tokens=250))
    # No stream ends within this time, so that no room becomes free.
    model.run(2000)

    assert ("refused", 0) in model.events
    refused_first = model.events.index(("refused", 0))
    assert ("admitted", 2) not in model.events[refused_first:]
    # Until then, the small ones use the room.
    assert ("admitted", 2) in model.events
