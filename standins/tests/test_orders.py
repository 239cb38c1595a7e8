"""Tests of orders to engines over real processes."""

import signal

import pytest

from caroblug.entry._tokenizer import make_tokenizer
from standins import reference
from standins.site import MODEL, EngineSpec, EntrySpec, make_site

_ACCOUNT = "school-1"
_PLACE = "muscat-a"
_LEASE_MS = 1000


def _placement(end_layer, version="v1"):
    return {
        "model": MODEL,
        "first_layer": 0,
        "end_layer": end_layer,
        "version": version,
    }


def _start(site, engines, options=()):
    """Starts engines whose side processes reserve loads at a weight store."""
    site.start_platform()
    site.add_account(_ACCOUNT)
    site.publish()
    store = site.start_weights("--loads=1", "--period-s=1.5")
    for number in range(engines):
        site.start_engine(
            EngineSpec(
                name=f"a-{number}",
                data_centre=_PLACE,
                first_layer=0,
                end_layer=12,
                options=options,
                side={"weight_store": store, "lease_ms": _LEASE_MS},
            )
        )


def _version(site, engine="engine-a-0"):
    port = site.processes[engine].http_port
    return site.http(port, "GET", "/v1/engine").json()["version"]


def _expected(site):
    model = site.bundle["models"][MODEL]
    tokenizer = make_tokenizer(model["vocabulary"])
    prompt = tokenizer.encode("user: two planets rise")
    tokens = reference.expected_tokens(
        prompt, 8, model["layers"], model["vocabulary"], 3
    )
    return tokenizer.decode(tokens)


def test_engines_follow_the_bundle_at_the_weight_stores_rate():
    """Guards against loads beyond the rate of the weight store.

    A bundle extends all engines from half of a model's layers to all of them.
    Their side processes request loads at the same time. The store grants one
    per period and sets `Retry-After`, which they respect. Afterwards
    requests are served.
    """
    with make_site() as site:
        _start(site, 3)
        site.start_entry(EntrySpec(name="entry-a", data_centre=_PLACE))
        site.wait_ready()
        for number in range(3):
            site.bundle.setdefault("placements", {})[f"side-a-{number}"] = (
                _placement(24)
            )
        site.publish()
        for number in range(3):
            site.wait_for(
                lambda n=number: _version(site, f"engine-a-{n}") == "v1",
                f"engine {number}",
            )
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": "two planets rise"}],
            "max_tokens": 8,
            "seed": 3,
        }

        def _complete():
            return site.call(
                "entry-a", _ACCOUNT, "POST", "/v1/chat/completions", body
            )

        site.wait_for(lambda: _complete().status == 200, "an answer")
        content = _complete().json()["choices"][0]["message"]["content"]
        assert content == _expected(site)
        store = site.read_counters("weights")
        assert store["given"] == 3
        assert store["early"] == 0


@pytest.mark.parametrize("option", ["--check-fence", "--no-check-fence"])
def test_late_order_of_a_paused_holder_does_no_harm(option):
    """Guards against an engine that returns to an older bundle's weights.

    A side process is suspended while its order is in flight. Its successor
    waits for the lease to expire and orders the state of the newer bundle.
    Then the late order arrives. An engine that checks fencing numbers refuses
    it. At an engine that ignores them, the successor detects the wrong state
    and orders again.
    """
    with make_site() as site:
        _start(site, 1, (option,))
        site.wait_ready()
        site.control("engine-a-0", {"holds_orders": True})
        site.bundle["placements"] = {"side-a-0": _placement(12, "v1")}
        site.publish()
        site.wait_for(
            lambda: site.read_counters("engine-a-0")["arrived"] == 1,
            "the order",
        )
        site.processes["side-a-0"].signal(signal.SIGSTOP)
        site.control("engine-a-0", {"holds_orders": False})
        site.bundle["placements"] = {"side-a-0": _placement(12, "v2")}
        site.publish()
        engine = {"host": "127.0.0.1"}
        engine["port"] = site.processes["engine-a-0"].http_port
        settings = {"engine_name": "side-a-0", "lease_ms": _LEASE_MS}
        site.start_side("again", _PLACE, {"engine": engine, **settings})
        site.wait_for(lambda: _version(site) == "v2", "the successor's order")

        site.control("engine-a-0", {"land": True})

        def _has_landed():
            seen = site.read_counters("engine-a-0")
            if option == "--check-fence":
                return seen["fenced"] == 1
            return seen["orders"] >= 3 and _version(site) == "v2"

        site.wait_for(_has_landed, "the late order and its repair")
        seen = site.metric(
            "side-again", "caroblug_engine_changed_by_others_total"
        )
        assert (seen >= 1) == (option == "--no-check-fence")
        site.processes["side-a-0"].signal(signal.SIGCONT)
        site.wait_http(site.processes["side-a-0"].http_port, "/readyz")
        assert _version(site) == "v2"
