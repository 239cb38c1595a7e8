"""Cost of at-most-once calls.

Closed loops send bookings over two entries and two owners, with an
`Idempotency-Key` (intent and outcome are logged) and without one (the call is
forwarded once and nothing is logged). The added latencies are the differences
of the p50 and of the p95.
"""

import itertools
import random
import time
import tracemalloc

import attrs
import gevent
from gevent import monkey

from benchmarks._load import median_of
from benchmarks._result import Result, print_result
from caroblug.core.state import (
    CallBatch,
    CallOutcome,
    Intent,
    IntentFold,
    IntentId,
    OutcomeKind,
    digest_parts,
    encode_batch,
)
from caroblug.transport._http import HttpResponse, JsonHttpClient
from standins.site import HOST, EntrySpec, PlainSpec, Site, make_site

_RUNS = 3
_CONCURRENCIES = (1, 10, 100)
_WARM_UP_S = 0.7
_SECONDS = 2.5
_TIMEOUT_MS = 20_000
_PLACES = ("a", "b")
_ACCOUNT = "bench"
_CREATED = 201
_KEYS = 20_000
_KEYS_PER_BATCH = 20
_BODY = {"show": "autumn", "seats": 24}


@attrs.define
class _Tally:
    """Latencies of successful calls, in ms, and the number of other calls."""

    took_ms: list[float] = attrs.field(factory=list)
    refused: int = 0

    def quantile(self, share: float) -> float:
        """Returns a quantile of the latencies."""
        ordered = sorted(self.took_ms)
        return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


class _BookingLoops:
    """Closed loops of bookings.

    Args:
        site: The running site.
        keyed: Whether each booking carries a key of its own.
        seed: Seed of the keys.
    """

    def __init__(self, site: Site, *, keyed: bool, seed: int) -> None:
        self.tally = _Tally()
        self._site = site
        self._keyed = keyed
        self._prefix = f"{random.Random(seed).getrandbits(40):x}"
        self._numbers = itertools.count()
        self._stopped = False

    def run(self, concurrency: int) -> float:
        """Runs a number of loops; returns the measured time in seconds."""
        loops = [
            gevent.spawn(self._loop, f"entry-{_PLACES[n % 2]}")
            for n in range(concurrency)
        ]
        gevent.sleep(_WARM_UP_S)
        self.tally = _Tally()
        start = time.monotonic()
        gevent.sleep(_SECONDS)
        duration_s = time.monotonic() - start
        self._stopped = True
        gevent.joinall(loops)
        return duration_s

    def _loop(self, entry: str) -> None:
        port = self._site.processes[entry].http_port
        client = JsonHttpClient(HOST, port, _TIMEOUT_MS, connections=1)
        bearer = {"Authorization": f"Bearer {self._site.keys[_ACCOUNT]}"}
        while not self._stopped:
            headers = dict(bearer)
            if self._keyed:
                key = f"{self._prefix}-{next(self._numbers)}"
                headers["Idempotency-Key"] = key
            tally, start = self.tally, time.monotonic()
            response = client.request(
                "POST", "/services/booking/seats", _BODY, headers
            )
            took_ms = (time.monotonic() - start) * 1000
            if (
                isinstance(response, HttpResponse)
                and response.status == _CREATED
            ):
                tally.took_ms.append(took_ms)
            else:
                tally.refused += 1
        client.close()


def start(site: Site) -> None:
    """Starts two entries and two plain services with their sides."""
    site.start_platform()
    site.add_account(_ACCOUNT)
    site.bundle["services"]["booking"] = {"timeout_ms": _TIMEOUT_MS}
    site.publish()
    for place in _PLACES:
        data_centre = f"muscat-{place}"
        site.start_plain(PlainSpec(name=place, data_centre=data_centre))
        site.start_entry(
            EntrySpec(name=f"entry-{place}", data_centre=data_centre)
        )
    site.wait_ready()


def count_entries(site: Site) -> float:
    """Returns the number of intents and outcomes that owners have appended."""
    return sum(
        site.metric(f"side-{place}", "caroblug_call_entries_total")
        for place in _PLACES
    )


def run(site: Site, concurrency: int, seed: int) -> tuple[dict, dict]:
    """Measures calls with and without a key.

    Args:
        site: The running site.
        concurrency: Number of closed loops.
        seed: Seed of the keys.

    Returns:
        The figures with a key and those without one.
    """
    plain = _BookingLoops(site, keyed=False, seed=seed)
    plain_s = plain.run(concurrency)
    entries = count_entries(site)
    appends = site.read_counters("log")["appends"]
    keyed_start_s = time.monotonic()
    keyed = _BookingLoops(site, keyed=True, seed=seed)
    keyed_s = keyed.run(concurrency)
    keyed_total_s = time.monotonic() - keyed_start_s
    appends = site.read_counters("log")["appends"] - appends
    entries = count_entries(site) - entries
    calls = len(keyed.tally.took_ms)
    figures = {
        f"added_p50_ms_{concurrency}": keyed.tally.quantile(0.5)
        - plain.tally.quantile(0.5),
        f"added_p95_ms_{concurrency}": keyed.tally.quantile(0.95)
        - plain.tally.quantile(0.95),
        f"p95_ms_{concurrency}": keyed.tally.quantile(0.95),
        f"calls_per_s_per_owner_{concurrency}": calls / keyed_s / len(_PLACES),
        f"appends_per_s_{concurrency}": appends / keyed_total_s,
        f"entries_per_append_{concurrency}": entries / max(1, appends),
        f"refused_{concurrency}": keyed.tally.refused,
    }
    baseline = {
        f"p50_ms_{concurrency}": plain.tally.quantile(0.5),
        f"p95_ms_{concurrency}": plain.tally.quantile(0.95),
        f"calls_per_s_per_owner_{concurrency}": len(plain.tally.took_ms)
        / plain_s
        / len(_PLACES),
    }
    return figures, baseline


def compute_max_runs_per_key(site: Site) -> int:
    """Returns the highest number of runs of any key."""
    runs: dict[str, int] = {}
    for place in _PLACES:
        for key, count in site.read_counters(f"plain-{place}")["runs"].items():
            if not key.startswith("{"):
                runs[key] = runs.get(key, 0) + count
    return max(runs.values())


def measure_fold() -> dict[str, float]:
    """Returns the memory and time that a fold of answered keys takes."""
    records = []
    for first in range(0, _KEYS, _KEYS_PER_BATCH):
        intents = [
            Intent(
                IntentId("side-a.0123456789ab", number),
                digest_parts(b"key", str(number).encode()),
                digest_parts(b"request", str(number).encode()),
            )
            for number in range(first, first + _KEYS_PER_BATCH)
        ]
        outcomes = [
            CallOutcome(i.id, i.key, OutcomeKind.ANSWERED, _CREATED)
            for i in intents
        ]
        sequence = first // _KEYS_PER_BATCH + 1
        batch = CallBatch("side-a.0123456789ab", sequence, 0, ())
        batch = attrs.evolve(batch, entries=(*intents, *outcomes))
        records.append(encode_batch(batch))
    duration_s = _fold_all(records)
    tracemalloc.start()
    fold = IntentFold()
    for offset, data in enumerate(records):
        fold.on_record(offset, data)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "memory_bytes_per_key": memory_bytes / len(fold),
        "log_bytes_per_key": sum(map(len, records)) / _KEYS,
        "catch_up_us_per_key": duration_s * 1e6 / _KEYS,
    }


def _fold_all(records: list[bytes]) -> float:
    fold = IntentFold()
    start = time.monotonic()
    for offset, data in enumerate(records):
        fold.on_record(offset, data)
    return time.monotonic() - start


def main() -> None:
    """Runs the benchmark and prints its result."""
    monkey.patch_all(ssl=False)
    figures, baselines = [], []
    with make_site() as site:
        start(site)
        for seed in range(1, _RUNS + 1):
            with_journal: dict[str, float] = {}
            without_journal: dict[str, float] = {}
            for concurrency in _CONCURRENCIES:
                keyed_figures, plain_figures = run(
                    site, concurrency, seed * 1000 + concurrency
                )
                with_journal |= keyed_figures
                without_journal |= plain_figures
            print(f"seed {seed}: {with_journal} {without_journal}", flush=True)
            figures.append(with_journal)
            baselines.append(without_journal)
        max_runs = compute_max_runs_per_key(site)
    result = median_of(figures)
    result["appends_per_s"] = result[f"appends_per_s_{_CONCURRENCIES[-1]}"]
    result["runs_per_key_max"] = max_runs
    result |= measure_fold()
    print_result(
        Result("once", _RUNS, result, {"without_journal": median_of(baselines)})
    )


if __name__ == "__main__":
    main()
