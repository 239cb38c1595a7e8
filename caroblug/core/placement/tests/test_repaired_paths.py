"""Tests of paths of running requests that lose an engine.

The pattern: an engine on the paths of all streams of a data centre is lost, and
every gateway moves its streams at the same moment. Each engine that is new on a
path prefills all tokens of each stream, one stream after the other, while the
callers wait.
"""

import collections
import random

import attrs

from caroblug.core.placement import (
    EngineLoads,
    Path,
    PathPart,
    choose_path,
)
from caroblug.core.placement.tests.fleets import (
    BIG,
    MIDDLE,
    MODEL,
    SMALL,
    make_engine,
)

GATEWAYS = 10
STREAMS_PER_GATEWAY = 2
PAUSE_TARGET_MS = 300
SMALL_MODEL = attrs.evolve(
    MODEL, layers=30, kv_mb=0.0041, prefill_ms=2.15, prefill_steps=4
)
FIRST = make_engine("first", BIG, first=0, end=20)
LOST = make_engine("lost", MIDDLE, first=20, end=30)


def make_path(*engines) -> Path:
    return Path(tuple(PathPart(e, e.holds) for e in engines))


def choose(engines, current, loads=None, seed=1):
    return choose_path(
        engines,
        SMALL_MODEL,
        loads or EngineLoads(),
        "a",
        random.Random(seed),
        current=current,
    )


def split(name, kind, parts):
    """Returns engines that hold the lost layers in equal parts."""
    width = 10 // parts
    return [
        make_engine(
            f"{name}{i}", kind, first=20 + i * width, end=20 + (i + 1) * width
        )
        for i in range(parts)
    ]


def test_parts_that_are_left_are_retained():
    # Guards against prefilling a stream again on engines that it doesn't need,
    # because another path is a little faster.
    lost, *rest = split("old", SMALL, 2)
    spare = make_engine("spare", SMALL, first=20, end=25)
    kind = attrs.evolve(MIDDLE, step_time_factor=13, prefill_time_factor=40)
    fast = make_engine("fast", kind, first=20, end=30)

    path = choose([FIRST, spare, *rest, fast], make_path(FIRST, lost, *rest))

    assert path.names == ("first", "spare", *(e.name for e in rest))


def test_streams_of_a_lost_engine_are_spread_over_its_replicas():
    # Guards against pauses behind the prefills of all other streams, which the
    # fastest replica would do one after the other.
    engines = [
        FIRST,
        make_engine("fast", MIDDLE, first=20, end=30),
        *split("near", SMALL, 2),
    ]
    prefills: collections.Counter[str] = collections.Counter()

    for gateway in range(GATEWAYS):
        loads = EngineLoads()
        loads.local_gateways = GATEWAYS
        for _ in range(STREAMS_PER_GATEWAY):
            path = choose(engines, make_path(FIRST, LOST), loads, gateway)
            loads.begin_prefill(path.names[1:])
            prefills.update(path.names[1:])

    longest_ms = max(
        prefills[e.name] * SMALL_MODEL.prefill_time_ms(e.kind, len(e.holds))
        for e in engines
    )
    assert longest_ms <= PAUSE_TARGET_MS


def test_replica_that_prefills_slowly_is_avoided():
    # Guards against a replacement that needs seconds for the prefills of all
    # streams, although it is no slower for each token.
    kind = attrs.evolve(MIDDLE, prefill_time_factor=12 * 8.2)
    slow = make_engine("slow", kind, first=20, end=30)
    near = split("near", SMALL, 5)

    path = choose([FIRST, slow, *near], make_path(FIRST, LOST))

    assert path.names == ("first", *(e.name for e in near))
