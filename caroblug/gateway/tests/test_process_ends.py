"""Tests which ends of backend servers count as crashes under a request."""

import attrs
import pytest

from caroblug.gateway import _process_ends as process_ends
from caroblug.gateway._crash_suspicions import CrashSuspicions, fingerprint
from caroblug.gateway._exchange_results import ExchangeFailure, FailureKind
from caroblug.gateway._interfaces import Unavailable
from caroblug.gateway._process_ends import ProcessState, ServerProcess
from caroblug.gateway._stream_latency import StreamLatency
from caroblug.gateway.tests.crash_model import make_pending
from caroblug.gateway.tests.fakes import make_context
from caroblug.gateway.tests.part_model import make_prompt
from caroblug.gateway.tests.test_fleet import (
    list_of,
    make_engine,
    make_plain_server,
)

STARTED_MS = 1000
POISON = make_pending(b"poison")
NAMES = ("e1", "e2", "e3")


class Site:
    """A gateway and servers that end in the ways that a test chooses."""

    def __init__(self, monkeypatch) -> None:
        self.context = make_context()
        self.crashes = CrashSuspicions(self.context)
        self.failure: FailureKind | None = FailureKind.REFUSED
        self.connects = 0
        self._exposures = 0
        self.servers = {
            name: attrs.evolve(make_engine(name, 0, 80), started_ms=STARTED_MS)
            for name in NAMES
        }
        self.servers["desk"] = attrs.evolve(
            make_plain_server("desk"), started_ms=STARTED_MS
        )
        monkeypatch.setattr(process_ends, "Exchange", lambda address: self)
        self.list_servers()

    def list_servers(self) -> None:
        """Reads the list of the servers as it is now."""
        self.context.clock.advance(100)
        now_ms = self.context.clock.now_ms()
        listing = list_of(*self.servers.values())
        end = self.context.fleet.listing.end + 1
        self.context.fleet.update_listing(
            attrs.evolve(listing, end=end), now_ms
        )

    def change(self, name: str, **fields) -> None:
        """Changes a server's entry in the list."""
        self.servers[name] = attrs.evolve(self.servers[name], **fields)
        self.list_servers()

    def report(self, name: str, started_ms: int) -> None:
        """Lets an engine report."""
        dialect = self.context.dialect
        address = self.servers[name].address
        dialect.add(address, self.servers[name].holds)
        dialect.reports[address] = attrs.evolve(
            dialect.reports[address], started_ms=started_ms
        )

    def processes(self, *names: str) -> list[ServerProcess]:
        """Returns the processes of a path of a run that begins now."""
        self._exposures += 1
        return [self._process(name) for name in names]

    def _process(self, name: str) -> ServerProcess:
        fleet = self.context.fleet
        server = self.servers[name]
        return ServerProcess(
            name,
            server.address,
            fleet.started_ms(name),
            self.context.clock.now_ms(),
            self._exposures,
            reports=name != "desk",
        )

    def lose(self, name: str, pending=None) -> ProcessState:
        """Loses a run that began on a server."""
        (process,) = self.processes(name)
        self.context.clock.advance(50)
        return self.crashes.on_run_lost(
            pending or make_pending(b"poison"), process
        )

    def resolve(self) -> None:
        """Looks once for ends that were not known before."""
        for lost in self.crashes._unresolved.resolve():
            self.crashes._suspect(lost)

    @property
    def suspected(self) -> int:
        """Number of crashes that the request is suspected of."""
        now_ms = self.context.clock.now_ms()
        known = self.crashes._suspicions.for_request(
            fingerprint(POISON), now_ms
        )
        return len(known)

    # Exchange.

    def connect(self, timeout_s):
        self.connects += 1
        if self.failure is None:
            return None
        return ExchangeFailure(self.failure, sent=False)

    def close(self) -> None:
        """Nothing is open."""


@pytest.fixture(name="site")
def _site(monkeypatch):
    return Site(monkeypatch)


def test_refused_connection_is_a_crash(site):
    assert site.lose("e1") is ProcessState.ENDED
    assert site.suspected == 1


def test_lost_run_on_a_process_that_lives_is_no_crash(site):
    site.report("e1", STARTED_MS)

    assert site.lose("e1") is ProcessState.ALIVE
    assert site.suspected == 0


def test_engine_that_is_back_before_it_is_checked_has_crashed(site):
    # Guards against an end that the next process hides.
    site.failure = None
    site.report("e1", STARTED_MS + 900)

    assert site.lose("e1") is ProcessState.ENDED
    assert site.suspected == 1


def test_plain_server_that_is_back_before_it_is_checked_has_crashed(site):
    site.failure = None
    assert site.lose("desk") is ProcessState.LISTENING

    site.resolve()
    assert site.suspected == 0
    site.change("desk", started_ms=STARTED_MS + 900)
    site.resolve()

    assert site.suspected == 1


def test_silent_engine_that_comes_back_later_has_crashed(site):
    # Guards against an end of a server that resets and refuses nothing.
    site.failure = FailureKind.CONNECT
    assert site.lose("e1") is ProcessState.SILENT

    site.resolve()
    assert site.suspected == 0
    site.change("e1", started_ms=STARTED_MS + 4000)
    site.resolve()

    assert site.suspected == 1


def test_silent_engine_that_leaves_the_list_has_crashed(site):
    # Guards against an end after which the server has another name.
    site.failure = FailureKind.CONNECT
    site.lose("e1")

    del site.servers["e1"]
    site.list_servers()
    site.resolve()

    assert site.suspected == 1


def test_silent_engine_that_answers_again_has_not_crashed(site):
    # Guards against suspicions of requests that ran behind a cut.
    site.failure = FailureKind.CONNECT
    site.lose("e1")
    site.list_servers()
    site.resolve()
    site.context.clock.advance(30_000)
    site.resolve()
    site.change("e1", started_ms=STARTED_MS + 40_000)
    site.resolve()

    assert site.suspected == 0


def test_request_answered_elsewhere_is_not_suspected_later(site):
    # Guards against suspicions of requests that went on over another engine.
    site.failure = FailureKind.CONNECT
    site.lose("e1")
    site.crashes.on_served(make_pending(b"poison"))
    site.change("e1", started_ms=STARTED_MS + 4000)
    site.resolve()

    assert site.suspected == 0


def test_request_that_ends_well_after_a_crash_is_not_cleared(site):
    # Guards against clearing a request whose path was repaired after a crash.
    for name in NAMES:
        pending = make_pending(b"poison")
        site.lose(name, pending)
        site.crashes.on_served(pending)

    assert site.crashes.is_quarantined(POISON)


def test_engine_that_drained_and_left_has_not_crashed(site):
    site.failure = FailureKind.CONNECT
    site.lose("e1")
    site.change("e1", leaving=True)
    site.resolve()
    del site.servers["e1"]
    site.list_servers()
    site.resolve()

    assert site.suspected == 0


def test_equal_requests_on_one_process_are_suspected_of_one_crash(site):
    # Guards against refusing a popular request because one server ended.
    processes = [site.processes("desk")[0] for _ in range(5)]
    site.context.clock.advance(50)
    for process in processes:
        site.crashes.on_run_lost(make_pending(b"poison"), process)
        site.context.clock.advance(5)

    assert site.suspected == 1


def test_engines_of_a_path_that_end_together_are_one_crash(site):
    # Guards against refusing innocent requests whose path lies in one rack.
    pending = make_pending(b"poison")
    for process in site.processes(*NAMES):
        site.crashes.on_run_lost(pending, process)

    assert site.suspected == 1


def test_engine_that_replaces_one_and_ends_as_well_is_another_crash(site):
    # Guards against repairs that hand a request from engine to engine.
    pending = make_pending(b"poison")
    for name in NAMES:
        site.lose(name, pending)

    assert site.crashes.is_quarantined(pending)


def test_each_end_of_a_server_that_keeps_its_name_counts(site):
    # Guards against ends that count as one because the list is outdated.
    for _ in range(3):
        site.lose("e1")
        site.context.clock.advance(2000)

    assert site.suspected == 3
    assert site.crashes.is_quarantined(POISON)


def test_request_that_was_answered_is_cleared(site):
    # Guards against refusing a popular request while servers end in turn.
    for name in NAMES:
        site.lose(name)
        site.crashes.on_served(make_pending(b"poison"))

    assert not site.crashes.is_quarantined(POISON)


def test_unreadable_report_alone_is_no_crash(site):
    site.failure = None
    site.context.dialect.reports.clear()
    assert isinstance(
        site.context.dialect.read_report(site.servers["e1"].address, "e1"),
        Unavailable,
    )

    assert site.lose("e1") is ProcessState.SILENT
    assert site.suspected == 0


def test_stream_that_had_written_is_suspected_once_an_attempt(site):
    # Guards against refusing a sound stream that was moved several times.
    stream = make_pending(b"poison")
    stream.written_ms = 900
    for name in NAMES:
        site.lose(name, stream)

    assert site.suspected == 1


def test_request_that_crashes_engines_later_is_suspected_each_attempt(site):
    # Guards against never refusing a request that crashes engines late.
    for name in NAMES:
        stream = make_pending(b"poison")
        stream.written_ms = 900
        site.lose(name, stream)

    assert site.suspected == 3


def test_answer_without_an_event_clears_no_part(site):
    # Guards against taking an empty 200 for proof that engines can write.
    stream = make_prompt("first", "bad")
    stream.stream_latency = StreamLatency(0)
    for number in range(3):
        lost = make_prompt("first", "bad")
        site.lose(NAMES[number], lost)
        site.context.clock.advance(1500)
        site.crashes.on_served(stream)
        site.crashes.on_served(make_prompt("other"))

    assert site.crashes.is_quarantined(make_prompt("first", "bad"))
