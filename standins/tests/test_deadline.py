"""Tests of deadlines at admission over real processes."""

import pytest

from standins.site import (
    MODEL,
    EntrySpec,
    make_site,
    make_three_stages,
)

_SLOW = ("--batch=2", "--step-ms=50")
_DEADLINE_MS = 2000


@pytest.fixture(scope="module")
def site():
    with make_site() as running:
        running.bundle["limits"]["deadline_ms"] = _DEADLINE_MS
        running.start_platform()
        running.add_account("school-1")
        running.publish()
        for spec in make_three_stages(options=_SLOW)[:3]:
            running.start_engine(spec)
        running.start_entry(EntrySpec(name="entry-a", data_centre="muscat-a"))
        running.wait_ready()
        yield running


def _complete(site, max_tokens):
    body = {"model": MODEL, "prompt": "two", "max_tokens": max_tokens}
    return site.call("entry-a", "school-1", "POST", "/v1/completions", body)


def test_request_that_cannot_be_in_time_is_refused_at_once(site):
    """Guards against work on a request that cannot meet its deadline.

    A request for 3000 tokens arrives at engines that run 40 tokens per
    second, so the missed deadline is known on arrival. The entry refuses it
    before any engine runs a layer, and still serves a shorter request.
    """
    response = _complete(site, 3000)
    error = response.json()["error"]
    assert error["type"] == "deadline_exceeded"
    assert error["ran"] == "no"
    assert error["retry_after_ms"] > 0
    engines = [p.name for p in site.processes.values() if p.role == "engine"]
    assert sum(site.read_counters(e)["layers_run"] for e in engines) == 0
    assert _complete(site, 4).status == 200
