"""Tests of faults of stages, links and entries over real processes."""

import signal

import pytest

from standins.callers import Caller, ClosedLoopLoad
from standins.site import EngineSpec, EntrySpec, make_site

_ACCOUNT = "school-1"
_TOKENS = 300
_CHUNKS_BEFORE_FAULT = 20
_BOUNDS = ((0, 12), (12, 24))
_SIDES = ("side-a-0", "side-a-1", "side-b-0", "side-b-1")
_PROMPT = "two planets rise over the autumn dome"


def _start(site, relays=()):
    site.start_platform()
    site.add_account(_ACCOUNT, streams=100)
    site.publish()
    for place in ("a", "b"):
        for number, (first, end) in enumerate(_BOUNDS):
            name = f"{place}-{number}"
            site.start_engine(
                EngineSpec(
                    name=name,
                    data_centre=f"muscat-{place}",
                    first_layer=first,
                    end_layer=end,
                    side={"relay": name in relays, "drain_ms": 2500},
                )
            )
    site.start_entry(EntrySpec(name="entry-a", data_centre="muscat-a"))
    site.wait_ready()


@pytest.fixture(scope="module")
def site():
    with make_site() as running:
        _start(running, relays=("a-0", "a-1"))
        yield running


@pytest.fixture(autouse=True)
def _restore_and_check(site):
    """Restarts ended sides before a test and checks for leaks after it."""
    for name in _SIDES:
        process = site.processes[name]
        if process.popen.poll() is not None:
            site.restart(name)
    site.wait_ready()
    yield
    site.wait_for(
        lambda: all(
            site.metric(name, "caroblug_streams") == 0
            for name, process in site.processes.items()
            if process.role == "side" and process.popen.poll() is None
        ),
        "the end of every stream",
    )
    assert _repeated_runs(site) == 0


def _request(site, seed, tokens=_TOKENS, entry="entry-a"):
    return Caller(site, entry, _ACCOUNT, _PROMPT, tokens, seed)


def _opened(site):
    return {
        name: site.metric(name, "caroblug_streams_opened_total")
        for name in site.processes
        if name.startswith("side-")
    }


def _start_stream(site, seed, tokens=_TOKENS):
    """Returns a caller that receives tokens, and the sides of its chain."""
    before = _opened(site)
    caller = _request(site, seed, tokens)
    caller.wait_for_chunks(_CHUNKS_BEFORE_FAULT)
    now = _opened(site)
    sides = sorted(
        (name for name in now if now[name] > before[name]),
        key=lambda name: name[-1],
    )
    assert len(sides) == len(_BOUNDS)
    return caller, sides


def _engine(side):
    return side.replace("side", "engine")


def _layers_run(site, side):
    return site.read_counters(_engine(side))["layers_run"]


def _repeated_runs(site):
    return sum(
        site.read_counters(name)["repeated"]
        for name, process in site.processes.items()
        if process.role == "engine"
    )


def _recovered(site):
    return site.metric("entry-a", "caroblug_streams_recovered_total")


def test_crash_of_a_stage_runs_nothing_twice(site):
    """Guards against recomputation in stages that have not failed.

    The last stage's side process is killed. The first stage feeds the
    replacement from its journal, and its engine runs each position once.
    """
    before = {s: _layers_run(site, s) for s in _opened(site)}
    caller, (first, last) = _start_stream(site, 11)
    site.processes[last].kill()
    assert caller.join().is_correct
    layers = 12 * (len(caller.prompt_tokens()) + _TOKENS - 1)
    assert _layers_run(site, first) - before[first] == layers


def test_frozen_stage_is_replaced_and_wakes_harmlessly(site):
    """Guards against a stream that hangs while all connections are open.

    A side process is suspended, so its kernel still accepts connections but
    the process does not respond. It is replaced. After it resumes, it holds
    an old attempt, which its peers refuse and which it then discards.
    """
    caller, (_, last) = _start_stream(site, 12)
    site.processes[last].signal(signal.SIGSTOP)
    assert caller.join().is_correct
    site.processes[last].signal(signal.SIGCONT)
    site.wait_for(
        lambda: site.metric(last, "caroblug_streams") == 0,
        "the old attempt's end",
    )
    site.wait_ready()
    assert _request(site, 13, 30).join().is_correct


def test_hung_engine_is_found_by_its_side(site):
    """Guards against a stream that hangs while all side processes respond.

    An engine hangs while its side process runs. The side considers the engine
    lost, reports this to the entry, and becomes ready again once the engine
    responds.
    """
    caller, (first, _) = _start_stream(site, 14)
    site.control(_engine(first), {"hang": True})
    assert caller.join().is_correct
    site.control(_engine(first), {"hang": False})
    site.wait_http(site.processes[first].http_port, "/readyz")


def test_cut_link_between_two_sides(site):
    """Guards against a stream that hangs while the entry reaches all stages.

    The link between two sides is cut, which only these detect. The sending
    side reports it to the entry, which replaces the unreachable stage.
    """
    for seed in range(100, 130):
        caller, sides = _start_stream(site, seed)
        if sides == ["side-a-0", "side-a-1"]:
            break
    assert sides == ["side-a-0", "side-a-1"], "no chain over the relays"
    site.control("relay-side-a-1", {"cut": "side-a-0"})
    site.control("relay-side-a-0", {"cut": "side-a-1"})
    assert caller.join().is_correct
    site.control("relay-side-a-1", {"heal": "side-a-0"})
    site.control("relay-side-a-0", {"heal": "side-a-1"})
    assert _repeated_runs(site) == 0


@pytest.mark.parametrize("order", ["silence", "reset"])
def test_lost_connections_disturb_nothing(site, order):
    """Guards against a recovery that lost connections do not require.

    All connections through two relays become silent or are reset, while new
    ones work. Lost frames are resent on a new connection, and no stream needs
    another attempt.
    """
    recovered = _recovered(site)
    caller, _ = _start_stream(site, 16)
    for relay in ("relay-side-a-0", "relay-side-a-1"):
        site.control(relay, {order: "*"})
    assert caller.join().is_correct
    assert _recovered(site) == recovered


def test_two_faults_at_once(site):
    """Guards against a stream that hangs after two concurrent faults.

    One stage is killed and the other one suspended at the same time. No
    stage is left, and a new chain runs the prompt again.
    """
    caller, (first, last) = _start_stream(site, 17)
    site.processes[first].signal(signal.SIGSTOP)
    site.processes[last].kill()
    assert caller.join().is_correct
    site.processes[first].signal(signal.SIGCONT)


def test_streams_of_a_dead_entry_end(site):
    """Guards against work for streams whose entry has crashed.

    An entry is killed while it has a stream. The sides lose the connection
    and discard the stream.
    """
    site.start_entry(EntrySpec(name="entry-b", data_centre="muscat-b"))
    site.wait_ready()
    caller = _request(site, 18, 5000, entry="entry-b")
    caller.wait_for_chunks(_CHUNKS_BEFORE_FAULT)
    site.processes.pop("entry-b").kill()
    site.wait_for(
        lambda: all(
            site.metric(name, "caroblug_streams") == 0 for name in _opened(site)
        ),
        "the end of the dead entry's streams",
    )
    assert not caller.join().is_correct


def test_leaving_side_hands_its_streams_on(site):
    """Guards against a stream that is cut off when a side process drains.

    A side process is stopped, and its drain time is shorter than the stream.
    Before it ends, another instance takes over the first stage and the last
    stage continues. The cancellation of the old stage must not end the last
    stage as well.
    """
    caller, (first, _) = _start_stream(site, 19, 800)
    assert site.stop(first) == 0
    assert caller.join().is_correct
    assert site.metric("entry-a", "caroblug_streams_handed_on_total") >= 1


def test_listed_as_leaving_gets_nothing_new(site):
    """Guards against streams cut off on an instance that the platform removes.

    The instance list shows an instance as leaving before its side process
    knows. The entry opens no new streams there, the side process drains, and
    requests that arrive meanwhile succeed.
    """
    caller, (first, _) = _start_stream(site, 20)
    site.list_instance(first, "leaving")
    site.wait_for(
        lambda: site.metric("entry-a", "caroblug_listed_leaving") == 1,
        "the list's change",
    )
    before = site.metric(first, "caroblug_streams_opened_total")
    later_callers = [_request(site, 30 + number, 60) for number in range(4)]
    for later_caller in later_callers:
        assert later_caller.join().is_correct
        # The side may also have drained and ended by now.
        assert _opened_until_end(site, first) in (before, None)
    assert caller.join().is_correct
    assert site.processes[first].popen.wait(30) == 0
    site.list_instance(first)


def _opened_until_end(site, name):
    """Returns how many streams a side has opened; None if it has drained.

    A side whose port is closed must end by itself, with exit code 0.
    """
    try:
        return site.metric(name, "caroblug_streams_opened_total")
    except ConnectionError:
        assert site.processes[name].popen.wait(30) == 0
        return None


def test_rolling_restart_cuts_nothing_short(site):
    """Guards against broken streams during a rolling update.

    All sides and entries are restarted, one after the other, while requests
    go to the entries that are ready.
    """
    site.start_entry(EntrySpec(name="entry-b", data_centre="muscat-b"))
    site.wait_ready()
    load = ClosedLoopLoad(site, _ACCOUNT, ("entry-a", "entry-b"), tokens=40)
    for name in (*_SIDES, "entry-a", "entry-b"):
        assert site.stop(name) == 0
        site.restart(name)
        site.wait_ready()
    callers = load.stop()
    assert len(callers) >= 20
    failures = [f"{c.entry}: {c.failure}" for c in callers if c.failure]
    assert failures == []
    site.processes.pop("entry-b").kill()
