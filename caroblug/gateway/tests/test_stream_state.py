"""Tests of the load that a stream puts on the engines of its path."""

import types

import pytest

from caroblug.core.placement import Path, PathPart
from caroblug.core.placement.tests.fleets import make_engine
from caroblug.gateway._stream_state import StreamState
from caroblug.gateway.tests.fakes import make_context


def make_path(*names) -> Path:
    width = 80 // len(names)
    engines = [
        make_engine(name, first=i * width, end=(i + 1) * width)
        for i, name in enumerate(names)
    ]
    return Path(tuple(PathPart(e, e.holds) for e in engines))


class Stream:
    """A running stream over the engines x and y."""

    def __init__(self) -> None:
        caller = types.SimpleNamespace(prompt_tokens=700, answer_tokens=100)
        pending = types.SimpleNamespace(caller=caller)
        self.state = StreamState(make_context(), pending, None, None)
        self.loads = self.state.context.fleet.loads
        self.state.begin_run(make_path("x", "y"))
        self.state.end_prefill()

    def prefills(self) -> dict[str, int]:
        names = ("x", "y", "z")
        return {name: self.loads.pending_prefills(name) for name in names}


@pytest.fixture
def stream():
    return Stream()


def test_replacement_is_counted_before_the_path_is_changed(stream):
    # Guards against all streams over a lost engine moving to the same
    # replacement, as none of them sees the others.
    added = stream.state.begin_path_change(make_path("x", "z"))

    assert added == ("z",)
    assert stream.prefills() == {"x": 0, "y": 0, "z": 1}


def test_replacement_is_counted_until_the_next_event(stream):
    path = make_path("x", "z")
    stream.state.change_path(path, stream.state.begin_path_change(path))
    assert stream.prefills()["z"] == 1

    stream.state.end_prefill()

    assert stream.prefills() == {"x": 0, "y": 0, "z": 0}
    assert set(stream.loads.own_tokens()) == {"x", "z"}


def test_replacement_that_refuses_is_not_counted(stream):
    added = stream.state.begin_path_change(make_path("x", "z"))
    stream.state.end_path_change(added)

    assert stream.prefills() == {"x": 0, "y": 0, "z": 0}
    assert set(stream.loads.own_tokens()) == {"x", "y"}
