"""Crashes caused by one poison request, and other requests that fail with it.

Run with `python -m benchmarks.poison`. The baseline has no effective
quarantine: crashes expire after 1 ms, so that every copy of the request runs.
"""

import sys

import gevent
from gevent import monkey

from benchmarks._load import median_of
from benchmarks._result import Result, print_result
from caroblug.entry._tokenizer import make_tokenizer
from standins import reference
from standins.site import MODEL, EngineSpec, EntrySpec, Site, make_site
from standins.supervisor import Supervisor

_SEEDS = (1, 2, 3)
_ENTRIES = ("entry-a", "entry-b")
_COPIES = 3
_POISON_REQUESTS = 8
_OTHER_REQUESTS = 12
_TOKENS = 150
_WORD = "meteor"
_WAIT_S = 40
_POISON_DELAY_S = 0.3
_SHORTEST_EXPIRE_MS = 1


def _start(site: Site, expire_ms: int) -> None:
    site.start_platform()
    for account in ("poisoner", "school-1"):
        site.add_account(account)
    site.bundle["quarantine"] = {"expire_ms": expire_ms}
    site.publish()
    vocabulary = site.bundle["models"][MODEL]["vocabulary"]
    token = make_tokenizer(vocabulary).encode(_WORD)[0]
    for copy in range(_COPIES):
        site.start_engine(_spec(0, copy, (f"--poison-token={token}",)))
    site.start_engine(_spec(1, 0, ()))
    for entry in _ENTRIES:
        site.start_entry(EntrySpec(name=entry, data_centre="muscat-a"))
    site.wait_ready()


def _spec(stage: int, copy: int, options: tuple[str, ...]) -> EngineSpec:
    return EngineSpec(
        name=f"engine-{stage}-{copy}",
        data_centre="muscat-a",
        first_layer=12 * stage,
        end_layer=12 * stage + 12,
        options=options,
    )


def _complete(site: Site, entry: str, account: str, text: str) -> str:
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": _TOKENS,
        "seed": 5,
    }
    response = site.call(entry, account, "POST", "/v1/chat/completions", body)
    if response.status != 200:
        return ""
    return response.json()["choices"][0]["message"]["content"]


def _expected(site: Site, text: str) -> str:
    model = site.bundle["models"][MODEL]
    tokenizer = make_tokenizer(model["vocabulary"])
    prompt = tokenizer.encode(f"user: {text}")
    return tokenizer.decode(
        reference.expected_tokens(
            prompt, _TOKENS, model["layers"], model["vocabulary"], 5
        )
    )


def _run(expire_ms: int, seed: int) -> dict[str, float]:
    with make_site() as site:
        _start(site, expire_ms)
        supervisor = Supervisor(site)
        texts = [f"planet {seed} {n} rises" for n in range(_OTHER_REQUESTS)]
        other_requests = [
            gevent.spawn(_complete, site, _ENTRIES[n % 2], "school-1", text)
            for n, text in enumerate(texts)
        ]
        gevent.sleep(_POISON_DELAY_S)
        poisons = [
            gevent.spawn(
                _complete, site, _ENTRIES[n % 2], "poisoner", f"{_WORD} falls"
            )
            for n in range(_POISON_REQUESTS)
        ]
        gevent.joinall(poisons + other_requests, timeout=_WAIT_S)
        for entry in _ENTRIES:
            _complete(site, entry, "poisoner", f"{_WORD} falls")
        lost = sum(
            other_request.value != _expected(site, text)
            for text, other_request in zip(texts, other_requests, strict=True)
        )
        supervisor.stop()
        return {"crashes": supervisor.crashes, "companions_lost": lost}


def _measure(name: str, expire_ms: int, seeds: tuple[int, ...]):
    runs = []
    for seed in seeds:
        runs.append(_run(expire_ms, seed))
        print(f"{name} seed={seed} {runs[-1]}", file=sys.stderr, flush=True)
    worst = {f"{key}_worst": max(r[key] for r in runs) for key in runs[0]}
    return median_of(runs) | worst


def main() -> None:
    """Measures both variants and prints the result."""
    seeds = tuple(int(seed) for seed in sys.argv[1:]) or _SEEDS
    figures = _measure("quarantine", 600_000, seeds)
    baseline = _measure("none", _SHORTEST_EXPIRE_MS, seeds)
    print_result(Result("poison", len(seeds), figures, {"none": baseline}))


if __name__ == "__main__":
    monkey.patch_all(ssl=False)
    main()
