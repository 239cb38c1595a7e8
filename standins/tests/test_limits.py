"""Tests of an account's limits over two entries, as clients see them."""

import gevent
import pytest

from standins.site import MODEL, EngineSpec, EntrySpec, make_site

_ENTRIES = ("entry-a", "entry-b")
_WAIT_S = 60


@pytest.fixture(scope="module")
def site():
    with make_site() as running:
        running.start_platform()
        running.add_account("school-1")
        running.add_account("narrow", streams=4)
        running.add_account("poor", tokens_per_minute=1200)
        running.bundle["models"]["small"] = {
            "layers": 24,
            "vocabulary": 512,
            "body_bytes": 64,
        }
        running.publish()
        running.start_engine(
            EngineSpec(
                name="engine-0",
                data_centre="muscat-a",
                first_layer=0,
                end_layer=24,
            )
        )
        for entry in _ENTRIES:
            running.start_entry(EntrySpec(name=entry, data_centre="muscat-a"))
        running.wait_ready()
        yield running


def _complete(site, number, account, tokens, model=MODEL):
    body = {"model": model, "prompt": f"star {number}", "max_tokens": tokens}
    entry = _ENTRIES[number % len(_ENTRIES)]
    return site.call(entry, account, "POST", "/v1/completions", body)


def _refusals(responses):
    refused = [a for a in responses if a.status != 200]
    for response in refused:
        error = response.json()["error"]
        assert (response.status, error["type"]) == (429, "limit_reached")
        assert error["ran"] == "no"
        assert error["retry_after_ms"] > 0
        assert "retry-after" in [name.lower() for name, _ in response.headers]
    return len(refused)


def test_streams_of_an_account_are_bounded_over_all_entries(site):
    """Guards against an account that uses its whole limit at each entry."""
    calls = [
        gevent.spawn(_complete, site, number, "narrow", 150)
        for number in range(16)
    ]
    gevent.joinall(calls, timeout=_WAIT_S)
    responses = [call.get(block=False) for call in calls]
    served = len(responses) - _refusals(responses)
    assert 1 <= served <= 2 * 4


def test_tokens_of_a_minute_are_bounded_over_all_entries(site):
    """Guards against an account that uses its token rate at each entry."""
    responses = [_complete(site, number, "poor", 100) for number in range(40)]
    served = len(responses) - _refusals(responses)
    assert 1 <= served <= 2 * 1200 // 100 + len(_ENTRIES)
    light = _complete(site, 1, "school-1", 4)
    assert light.status == 200


def test_body_over_the_limit_of_its_model_is_refused(site):
    response = _complete(site, 10**70, "school-1", 4, model="small")
    assert response.status == 413
    assert response.json()["error"]["ran"] == "no"


def test_account_is_served_after_its_home_entry_has_crashed(site):
    """Guards against refusals of an account after its home entry crashed.

    The home entry is killed. The other entry serves the account from the
    share that it holds, which decays but does not become unlimited.
    """
    site.processes["entry-b"].kill()
    served = sum(
        _complete(site, 2 * number, f"{account}", 4).status == 200
        for number in range(3)
        for account in ("school-1", "narrow")
    )
    assert served == 6
