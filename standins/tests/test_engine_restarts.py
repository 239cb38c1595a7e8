"""Tests of streams whose engines all restart, over real processes."""

from standins.callers import Caller
from standins.site import EngineSpec, EntrySpec, make_site
from standins.supervisor import Supervisor

_ACCOUNT = "school-1"
_TOKENS = 150
_CHUNKS_BEFORE_CRASH = 10
_COPIES = ("first-0", "first-1")


def _start(site):
    site.start_platform()
    site.add_account(_ACCOUNT, streams=100)
    site.publish()
    for name, first, end in (
        (_COPIES[0], 0, 12),
        (_COPIES[1], 0, 12),
        ("second-0", 12, 24),
    ):
        site.start_engine(
            EngineSpec(
                name=name,
                data_centre="muscat-a",
                first_layer=first,
                end_layer=end,
            )
        )
    site.start_entry(EntrySpec(name="entry-a", data_centre="muscat-a"))
    site.wait_ready()


def test_streams_survive_the_crash_of_all_copies_of_a_stage():
    # Guards against streams that end while all engines of a layer restart.
    with make_site() as site:
        _start(site)
        callers = [
            Caller(site, "entry-a", _ACCOUNT, f"planet {n}", _TOKENS, 5)
            for n in range(4)
        ]
        for caller in callers:
            caller.wait_for_chunks(_CHUNKS_BEFORE_CRASH)
        for name in _COPIES:
            site.processes[f"engine-{name}"].kill()
        supervisor = Supervisor(site)
        try:
            for caller in callers:
                assert caller.join().failure == ""
        finally:
            supervisor.stop()
