"""Tests of the repair of running streams' paths.

The pattern: two engines are lost at the same moment, one on the path of a
stream and one that would replace it.
"""

import pytest

from caroblug.core.placement import NoPath
from caroblug.gateway import OrderOutcome
from caroblug.gateway._engine_prober import EngineProber
from caroblug.gateway._exchange_results import FailureKind
from caroblug.gateway._stream_path_repair import StreamPathRepair
from caroblug.gateway.tests.test_stream_state import Stream, make_path


class Policy:
    """Retry policy that selects the first of some paths without refused parts.

    Attributes:
        paths: The paths, best first.
    """

    def __init__(self, *paths) -> None:
        self.paths = paths

    def choose_replacement_path(self, refused):
        for path in self.paths:
            if not refused & set(path.names):
                return path
        return NoPath(40)

    def acquire_rerun(self):
        return True


class Repair:
    """A running stream over x and y, and the engines that may replace y."""

    def __init__(self, *paths) -> None:
        stream = Stream()
        self.state = stream.state
        self.state.exchange = object()
        self.context = self.state.context
        self.state.latency = self
        self.state.events = self
        self.count = 0
        self.state.pending.caller.id = "r1"
        self.silent: set[str] = set()
        self.probes: list[str] = []
        self.orders: list[tuple[str, ...]] = []
        self.outcomes = {}
        self.context.dialect.change_path = self._change_path
        prober = EngineProber(self.context.clock, self._connect)
        self.repair = StreamPathRepair(self.state, Policy(*paths), prober)

    def record_incident(self, cause, engine):
        pass

    def _connect(self, engine):
        self.probes.append(engine.name)
        return FailureKind.CONNECT if engine.name in self.silent else None

    def _change_path(self, address, request, path):
        self.orders.append(path.names)
        return self.outcomes.get(path.names[-1], OrderOutcome.BEGUN)


@pytest.fixture
def repair():
    return Repair(make_path("x", "z"), make_path("x", "v"))


def test_stream_is_not_moved_to_an_engine_that_is_lost_as_well(repair):
    # Guards against a second stall of the stream, which makes it late.
    repair.silent = {"z"}

    assert repair.repair.replace("y") == ""

    assert repair.orders == [("x", "v")]
    assert repair.state.path.names == ("x", "v")
    assert "z" in repair.context.engines_to_probe


def test_refusal_by_one_engine_leads_to_the_next(repair):
    repair.outcomes["z"] = OrderOutcome.CONFLICT

    assert repair.repair.replace("y") == ""

    assert repair.orders == [("x", "z"), ("x", "v")]


def test_probes_are_not_believed_while_the_own_link_is_saturated(repair):
    # Guards against streams that are ended because every probe fails.
    repair.silent = {"x", "z", "v"}

    assert repair.repair.replace("y") == ""

    assert repair.orders == [("x", "z")]


def test_streams_share_the_probes_of_a_replacement():
    # Guards against paid connections for each stream over a lost engine.
    repair = Repair(make_path("x", "z"))
    for _ in range(5):
        repair.state.path = make_path("x", "y")
        repair.repair.replace("y")

    assert repair.probes.count("z") == 2


def test_stream_is_not_moved_after_its_run_has_ended(repair):
    # Guards against an order that changes the path of the next run.
    def end_run(engine):
        repair.state.exchange = object()

    prober = EngineProber(repair.context.clock, end_run)
    policy = Policy(make_path("x", "z"))

    assert StreamPathRepair(repair.state, policy, prober).replace("y") == ""

    assert repair.orders == []
    assert repair.state.path.names == ("x", "y")


def test_replacements_that_fail_are_not_counted_as_loaded(repair):
    repair.silent = {"z", "v"}

    assert "no other one" in repair.repair.replace("y")

    loads = repair.context.fleet.loads
    assert not loads.pending_prefills("z")
    assert not loads.pending_prefills("v")
