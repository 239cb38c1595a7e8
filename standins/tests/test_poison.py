"""Tests of requests that crash engines, over real processes."""

import gevent
import pytest

from caroblug.entry._tokenizer import make_tokenizer
from standins import reference
from standins.site import MODEL, EngineSpec, EntrySpec, make_site
from standins.supervisor import Supervisor

_WORD = "meteor"
_ENTRIES = ("entry-a", "entry-b")
_TOKENS = 150
_COPIES = 3
_WAIT_S = 60


def _poison_token(site):
    vocabulary = site.bundle["models"][MODEL]["vocabulary"]
    return make_tokenizer(vocabulary).encode(_WORD)[0]


def _start(site, crashes_first_stage):
    site.start_platform()
    for account in ("poisoner", "school-1"):
        site.add_account(account)
    site.publish()
    poison = (f"--poison-token={_poison_token(site)}",)
    if not crashes_first_stage:
        poison = (f"--poison-state={_second_stage_state(site)}",)
    crashing_stage = 0 if crashes_first_stage else 1
    for number, (first, end) in enumerate(((0, 12), (12, 24))):
        for copy in range(_COPIES if number == crashing_stage else 1):
            site.start_engine(
                EngineSpec(
                    name=f"engine-{number}-{copy}",
                    data_centre="muscat-a",
                    first_layer=first,
                    end_layer=end,
                    options=poison if number == crashing_stage else (),
                )
            )
    for entry in _ENTRIES:
        site.start_entry(EntrySpec(name=entry, data_centre="muscat-a"))
    site.wait_ready()


def _second_stage_state(site):
    """Returns the input of the second stage for the poison prompt."""
    vocabulary = site.bundle["models"][MODEL]["vocabulary"]
    prompt = make_tokenizer(vocabulary).encode(f"user: {_WORD}")
    caches = [bytes(reference.STATE_BYTES)] * 12
    for position, token in enumerate(prompt):
        state = reference.embed(token)
        for layer in range(12):
            state = reference.run_layer(layer, position, state, caches[layer])
            caches[layer] = state
    return state.hex()


def _body(text, tokens=_TOKENS):
    return {
        "model": MODEL,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": tokens,
        "seed": 5,
    }


def _expected(site, text, tokens=_TOKENS):
    model = site.bundle["models"][MODEL]
    tokenizer = make_tokenizer(model["vocabulary"])
    return tokenizer.decode(
        reference.expected_tokens(
            tokenizer.encode(f"user: {text}"),
            tokens,
            model["layers"],
            model["vocabulary"],
            5,
        )
    )


def _complete(site, entry, account, text, tokens=_TOKENS):
    return site.call(
        entry,
        account,
        "POST",
        "/v1/chat/completions",
        _body(text, tokens),
    )


def _send_poison(site, entry):
    response = _complete(site, entry, "poisoner", f"{_WORD} shower")
    return response.status, response.json().get("error", {}), response.headers


def _content(response):
    assert response.status == 200, response.body
    return response.json()["choices"][0]["message"]["content"]


@pytest.mark.parametrize("crashes_first_stage", [True, False])
def test_poison_request_crashes_few_engines_and_fails_no_other_stream(
    crashes_first_stage,
):
    """Guards against one request that crashes engine after engine.

    A client sends the same poison request through both entries, first many
    times concurrently and then again. Each engine that runs it crashes while
    streams of other clients are in the same batch, and the platform restarts
    the engine. The request has to be quarantined after a few crashes.
    """
    with make_site() as site:
        _start(site, crashes_first_stage)
        supervisor = Supervisor(site)
        texts = [f"planet {n} rises" for n in range(8)]
        other_requests = [
            gevent.spawn(_complete, site, _ENTRIES[n % 2], "school-1", text)
            for n, text in enumerate(texts)
        ]
        gevent.sleep(0.3)
        poisons = [
            gevent.spawn(_send_poison, site, _ENTRIES[n % 2]) for n in range(8)
        ]
        gevent.joinall(poisons + other_requests, timeout=_WAIT_S)
        for poison in poisons:
            status, error, headers = poison.get(block=False)
            assert (status, error["type"]) == (429, "quarantined")
            assert error["retry_after_ms"] > 0
            assert "retry-after" in [name.lower() for name, _ in headers]
        for text, other_request in zip(texts, other_requests, strict=True):
            assert _content(other_request.get(block=False)) == _expected(
                site, text
            )
        for entry in _ENTRIES * 3:
            status, error, _ = _send_poison(site, entry)
            assert (status, error["type"]) == (429, "quarantined")
            assert error["ran"] == "no"
        good = _complete(site, "entry-b", "poisoner", "a quiet night", 8)
        assert _content(good) == _expected(site, "a quiet night", 8)
        assert 1 <= supervisor.crashes <= 3
        supervisor.stop()
