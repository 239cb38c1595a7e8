"""Tests of the budget for what callers make a process hold."""

import hypothesis
import hypothesis.strategies as st

from caroblug.core.limits import (
    CONNECTION_BYTES,
    HeldResources,
    ResourceBounds,
)

BOUNDS = ResourceBounds(memory_bytes=10 * CONNECTION_BYTES, connections=5)


def make_resources(bounds=BOUNDS):
    return HeldResources(lambda: bounds)


def test_nothing_is_closed_within_the_bounds():
    resources = make_resources()
    for name in "abcde":
        resources.open(name, 0)
    assert resources.select_excess(1000) == []


def test_longest_of_equal_connections_is_closed_first():
    # Guards against newcomers that are refused in favour of a crowd.
    resources = make_resources()
    for now_ms, name in enumerate("abcdef"):
        resources.open(name, now_ms)
    assert [h.connection for h in resources.select_excess(10)] == ["a"]


def test_largest_of_equally_old_connections_is_closed_first():
    # Guards against closing small callers for the memory of a large one.
    resources = make_resources()
    small = resources.open("small", 0)
    large = resources.open("large", 0)
    resources.set_bytes(small, CONNECTION_BYTES)
    resources.set_bytes(large, 9 * CONNECTION_BYTES)
    assert resources.select_excess(10) == [large]


def test_pinned_connection_is_not_closed():
    # Guards against a request that is cut while it runs.
    resources = make_resources()
    running = resources.open("running", 0)
    resources.set_bytes(running, 20 * CONNECTION_BYTES)
    resources.set_pinned(running, True)
    idle = resources.open("idle", 5)
    assert resources.select_excess(10) == [idle]


def test_large_requests_leave_room_for_small_ones():
    # Guards against small requests that are refused while large ones run.
    mb = 1 << 20
    resources = make_resources(ResourceBounds(10 * mb, 100))
    for name in "abcd":
        assert resources.may_run(2 * mb) == (name != "d")
        holding = resources.open(name, 0)
        resources.set_bytes(holding, 2 * mb)
        resources.set_pinned(holding, True)
        if name == "c":
            assert resources.may_run(1000)


@st.composite
def _steps(draw):
    kinds = st.sampled_from(["open", "close", "bytes", "pin", "unpin"])
    return draw(
        st.lists(
            st.tuples(kinds, st.integers(0, 7), st.integers(0, 10**6)),
            max_size=60,
        )
    )


@hypothesis.given(_steps())
def test_sums_are_those_of_the_open_connections(steps):
    # Guards against amounts that are never given back, or given back twice.
    resources = make_resources()
    known = []
    for now_ms, (kind, index, size) in enumerate(steps):
        if kind == "open":
            known.append(resources.open(now_ms, now_ms))
        elif known:
            holding = known[index % len(known)]
            if kind == "close":
                resources.close(holding)
            elif kind == "bytes":
                resources.set_bytes(holding, size)
            else:
                resources.set_pinned(holding, kind == "pin")
    opened = resources._holdings
    assert resources.held_bytes == sum(h.held_bytes for h in opened)
    pinned = sum(h.held_bytes for h in opened if h.pinned)
    assert resources._pinned_bytes == pinned
    for holding in resources.select_excess(100):
        resources.close(holding)
    rest = resources._holdings
    assert resources.held_bytes <= BOUNDS.memory_bytes or all(
        h.pinned for h in rest
    )
