"""Runs one seeded soak test and prints its result as one JSON line.

Run with `python -m standins.soak --seed SEED --seconds SECONDS`.
"""

from gevent import monkey

monkey.patch_all()

import argparse
import collections
import pathlib
import random
import shutil
import statistics
import sys
from typing import Any

import gevent
import orjson

from benchmarks._result import commit
from caroblug.entry._tokenizer import make_tokenizer
from standins.site import (
    MODEL,
    EngineSpec,
    EntrySpec,
    PlainSpec,
    Site,
    make_site,
)
from standins.soak._callers import Callers
from standins.soak._checks import ProcessMonitor, check_calls, check_engines
from standins.soak._faults import (
    Fault,
    FaultContext,
    FaultInjector,
    Freeze,
    HangEngine,
    Kill,
    PlatformFault,
    PoisonFault,
    RacingOperators,
    Restart,
)
from standins.soak._record import FaultSpan, SoakRecord

_PLACES = ("a", "b", "c")
_STAGE_BOUNDS = ((0, 8), (8, 16), (16, 24))
_LIGHT_ACCOUNTS = 8
_HEAVY_ACCOUNTS = 2
_CALLERS_PER_HEAVY_ACCOUNT = 6
_CALLERS_PER_LIGHT_ACCOUNT = 2
_POISON_WORD = "eclipse"
_WARM_UP_S = 5.0
_SETTLE_S = 5.0
_PAUSE_S = 3.0
_STREAM_FAULTS = ("kill_side", "kill_engine", "freeze_side", "hang_engine")
_OUTPUT_FOLDER = "run"


def _start(site: Site) -> list[str]:
    vocabulary = site.bundle["models"][MODEL]["vocabulary"]
    (poison,) = make_tokenizer(vocabulary).encode(_POISON_WORD)
    site.start_platform()
    site.bundle["limits"]["deadline_ms"] = 25_000
    for account in [*_accounts(), "poisoner"]:
        site.add_account(account)
    site.publish()
    for place in _PLACES:
        for number, (first, end) in enumerate(_STAGE_BOUNDS):
            spec = EngineSpec(
                name=f"{place}-{number}",
                data_centre=f"muscat-{place}",
                first_layer=first,
                end_layer=end,
                options=(f"--poison-token={poison}",),
            )
            site.start_engine(spec)
    for place in _PLACES[:2]:
        site.start_plain(
            PlainSpec(name=f"booking-{place}", data_centre=f"muscat-{place}")
        )
    entries = []
    for place in _PLACES:
        name = f"entry-{place}"
        site.start_entry(EntrySpec(name=name, data_centre=f"muscat-{place}"))
        entries.append(name)
    site.wait_ready()
    return entries


def _accounts() -> list[str]:
    light = [f"light-{number}" for number in range(_LIGHT_ACCOUNTS)]
    return light + [f"heavy-{number}" for number in range(_HEAVY_ACCOUNTS)]


def _make_faults(send_poison: Any) -> list[Fault]:
    return [
        Kill("side"),
        Kill("engine"),
        Kill("entry"),
        Freeze("side"),
        Freeze("entry"),
        HangEngine(),
        Restart("side"),
        Restart("entry"),
        PlatformFault("log_down", "log", {"down": True}, {"down": False}),
        PlatformFault("log_silent", "log", {"silent": True}, {"silent": False}),
        PlatformFault(
            "log_lost_answers", "log", {"lose_answers": 5}, {"lose_answers": 0}
        ),
        PlatformFault("log_slow", "log", {"delay_ms": 400}, {"delay_ms": 0}),
        PlatformFault(
            "list_down", "instances", {"down": True}, {"down": False}
        ),
        RacingOperators(),
        PoisonFault(send_poison),
    ]


def _run(site: Site, record: SoakRecord, seed: int, seconds: float) -> None:
    entries = _start(site)
    rng = random.Random(seed)
    stopped: set[str] = set()
    killed: dict[str, float] = {}
    callers = Callers(site, record, entries, killed)
    poison_rng = random.Random(rng.random())
    context = FaultContext(site, record, rng, stopped, killed)
    injector = FaultInjector(
        context,
        _make_faults(
            lambda: callers.send_poison("poisoner", _POISON_WORD, poison_rng)
        ),
        _PAUSE_S,
    )
    monitor = gevent.spawn(ProcessMonitor(site, record, stopped).run)
    record.restart_clock()
    greenlets = _spawn_callers(callers, rng)
    gevent.sleep(_WARM_UP_S)
    faults = gevent.spawn(injector.run)
    gevent.sleep(seconds)
    injector.stopping = True
    faults.join()
    injector.finish()
    record.recovered_s = record.now_s()
    gevent.sleep(_SETTLE_S)
    callers.stopping = True
    gevent.joinall(greenlets, timeout=60)
    monitor.kill()
    if not all(greenlet.ready() for greenlet in greenlets):
        record.add_violation("a caller never finished")
    check_calls(site, record)
    check_engines(site, record)


def _spawn_callers(
    callers: Callers, rng: random.Random
) -> list[gevent.Greenlet]:
    greenlets = []
    for account in _accounts():
        heavy = account.startswith("heavy")
        for _ in range(
            _CALLERS_PER_HEAVY_ACCOUNT if heavy else _CALLERS_PER_LIGHT_ACCOUNT
        ):
            greenlets.append(
                gevent.spawn(
                    callers.run,
                    account,
                    random.Random(rng.random()),
                    0.02 if heavy else 0.3,
                )
            )
    return greenlets


def _stream_gaps_ms(record: SoakRecord) -> list[float]:
    """Returns the longest gap between chunks during each fault, in order.

    Only faults that interrupt streams count.
    """
    gaps = []
    for fault in record.faults:
        if fault.kind not in _STREAM_FAULTS:
            continue
        waits = [
            (after - before) * 1000
            for stream in record.streams
            for before, after in zip(
                stream.times_s, stream.times_s[1:], strict=False
            )
            if before <= fault.start_s + 0.1 and after >= fault.start_s
        ]
        if waits:
            gaps.append(max(waits))
    return sorted(gaps)


def _goodput(record: SoakRecord, spans: list[FaultSpan], end_s: float) -> float:
    """Returns the tokens per second during the seconds of some spans."""
    busy = [False] * (int(end_s) + 1)
    for span in spans:
        for second in range(int(span.start_s), int(span.end_s) + 1):
            if second < len(busy):
                busy[second] = True
    seconds = sum(busy)
    tokens = sum(1 for at in record.token_times_s if busy[int(at)])
    return tokens / seconds if seconds else 0.0


def _figures(record: SoakRecord) -> dict[str, float]:
    end_s = record.now_s()
    gaps = _stream_gaps_ms(record)
    before = _goodput(record, [FaultSpan("", 1, _WARM_UP_S - 1)], end_s)
    after = FaultSpan(
        "", record.recovered_s + 1, record.recovered_s + _SETTLE_S - 1
    )
    base = before or 1.0
    figures: dict[str, float] = {
        "requests": sum(record.outcomes.values()),
        "faults": len(record.faults),
        "recovery_p50_ms": _quantile(gaps, 0.5),
        "recovery_p95_ms": _quantile(gaps, 0.95),
        "recovery_max_ms": gaps[-1] if gaps else 0.0,
        "goodput_before_tokens_per_s": before,
        "goodput_during": _goodput(record, record.faults, end_s) / base,
        "goodput_after": _goodput(record, [after], end_s) / base,
    }
    for kind, number in sorted(record.outcomes.items()):
        figures[f"outcome.{kind}"] = number
    kinds = collections.Counter(fault.kind for fault in record.faults)
    for kind, number in sorted(kinds.items()):
        figures[f"fault.{kind}"] = number
    return figures


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    if len(values) == 1:
        return values[0]
    return statistics.quantiles(values, n=100, method="inclusive")[
        min(98, round(share * 100) - 1)
    ]


def _print_result(seed: int, record: SoakRecord) -> None:
    body = {
        "name": "soak",
        "commit": commit(),
        "runs": 1,
        "figures": {
            key: round(value, 3) for key, value in _figures(record).items()
        },
        "baselines": {},
        "seed": seed,
        "violations": record.violations,
    }
    print(orjson.dumps(body).decode(), flush=True)


def main() -> int:
    """Runs one soak test; returns exit code 1 on a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60)
    options = parser.parse_args()
    record = SoakRecord()
    folder = pathlib.Path(_OUTPUT_FOLDER) / f"soak-{options.seed}"
    with make_site() as site:
        _run(site, record, options.seed, options.seconds)
        record.write(folder)
        if record.violations:
            shutil.copytree(site.folder, folder / "site", dirs_exist_ok=True)
            print(f"trace and logs are in {folder}", file=sys.stderr)
    _print_result(options.seed, record)
    return 1 if record.violations else 0


if __name__ == "__main__":
    sys.exit(main())
