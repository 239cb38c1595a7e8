"""Time from a fault to the client's next token.

Twelve streams run over engines of three stages in two data centres. Then a
fault is injected into a stage that some of the streams use. For each stream
that has to be recovered, the time from the fault to the first token after the
gap is measured at the client. The baseline restarts each such stream on a new
chain.
"""

import random
import signal
import statistics
import time
from collections.abc import Callable, Mapping

import attrs
import orjson

from benchmarks._result import Result, print_result
from standins.callers import Caller, make_prompt
from standins.site import (
    MODEL,
    EngineSpec,
    EntrySpec,
    Site,
    make_site,
)

_SEEDS = (1, 2, 3)
_STREAMS = 12
_TOKENS = 200
_PROMPT_WORDS = 200
_CHUNKS_BEFORE_FAULT = 30
_ACCOUNT = "school-1"
_STAGE_BOUNDS = ((0, 8), (8, 16), (16, 24))
_TARGET = "side-a-1"
_SECOND_TARGET = "side-a-2"
_UPSTREAM_SIDES = ("side-a-0", "side-b-0")
_GAP_START_WINDOW_S = 1.0
_MIN_GAP_S = 0.1
_MS_PER_S = 1000
_FAULTS = ("crash", "freeze", "cut", "silent", "double")
_P95 = 0.95


@attrs.define
class FaultOutcome:
    """Effects of one or more faults.

    Attributes:
        recovery_ms: Time from the fault to the next token, for each affected
            stream.
        recomputed: Layer runs beyond one per position, in tokens.
        disturbed: Number of unaffected streams that had another attempt.
        untouched: Number of streams whose stages did not fail.
        wrong: Number of streams without the complete, correct text.
    """

    recovery_ms: list[float] = attrs.field(factory=list)
    recomputed: float = 0.0
    disturbed: int = 0
    untouched: int = 0
    wrong: int = 0

    def add(self, other: "FaultOutcome") -> None:
        """Adds the numbers of another fault."""
        self.recovery_ms += other.recovery_ms
        self.recomputed += other.recomputed
        self.disturbed += other.disturbed
        self.untouched += other.untouched
        self.wrong += other.wrong


def start_site(site: Site, policy: str) -> None:
    """Starts engines of three stages in two data centres, and an entry.

    Args:
        site: The site.
        policy: Recovery policy of the entry.
    """
    site.start_platform()
    site.add_account(_ACCOUNT, streams=1000)
    site.publish()
    for place in ("a", "b"):
        for number, (first, end) in enumerate(_STAGE_BOUNDS):
            name = f"{place}-{number}"
            site.start_engine(
                EngineSpec(
                    name=name,
                    data_centre=f"muscat-{place}",
                    first_layer=first,
                    end_layer=end,
                    options=("--step-ms=4",),
                    side={
                        "relay": f"side-{name}" in (_TARGET, *_UPSTREAM_SIDES)
                    },
                )
            )
    site.start_entry(
        EntrySpec(
            name="entry-a",
            data_centre="muscat-a",
            settings={"recovery": policy},
        )
    )
    site.wait_ready()


def _crash(site: Site) -> None:
    site.processes[_TARGET].kill()


def _freeze(site: Site) -> None:
    site.processes[_TARGET].signal(signal.SIGSTOP)


def _cut(site: Site) -> None:
    """Cuts the links from the target to upstream sides, not to the entry."""
    _control_links(site, "cut")


def _control_links(site: Site, order: str) -> None:
    for name in _UPSTREAM_SIDES:
        site.control(f"relay-{_TARGET}", {order: name})
        site.control(f"relay-{name}", {order: _TARGET})


def _silence(site: Site) -> None:
    """Silences all connections between the target and its upstream sides.

    Either end may have opened a connection, so the relays of both are set.
    """
    site.control(f"relay-{_TARGET}", {"silence": "*"})
    for name in _UPSTREAM_SIDES:
        site.control(f"relay-{name}", {"silence": _TARGET})


def _double(site: Site) -> None:
    site.processes[_TARGET].signal(signal.SIGSTOP)
    site.processes[_SECOND_TARGET].kill()


_INJECT: Mapping[str, Callable[[Site], None]] = {
    "crash": _crash,
    "freeze": _freeze,
    "cut": _cut,
    "silent": _silence,
    "double": _double,
}


def _repair(site: Site) -> None:
    """Repairs a fault and waits until no stream is left."""
    site.processes[_TARGET].signal(signal.SIGCONT)
    _control_links(site, "heal")
    for name in (_TARGET, _SECOND_TARGET):
        if site.processes[name].popen.poll() is not None:
            site.restart(name)
    site.wait_ready()
    sides = [p for p in site.processes.values() if p.role == "side"]
    site.wait_for(
        lambda: all(
            site.metric(side.name, "caroblug_streams") == 0 for side in sides
        ),
        "the end of every stream",
    )


def run_fault(site: Site, fault: str, generator: random.Random) -> FaultOutcome:
    """Injects one fault while streams run and returns its effects.

    Args:
        site: The running site.
        fault: Name of the fault.
        generator: Random source of the requests.
    """
    layers_before = _layers_run(site)
    callers = [
        Caller(
            site,
            "entry-a",
            _ACCOUNT,
            make_prompt(generator, _PROMPT_WORDS),
            _TOKENS,
            generator.randrange(1, 1000),
        )
        for _ in range(_STREAMS)
    ]
    for caller in callers:
        caller.wait_for_chunks(_CHUNKS_BEFORE_FAULT)
    fault_s = time.monotonic()
    _INJECT[fault](site)
    for caller in callers:
        caller.join()
    outcome = _evaluate(site, callers, fault_s, fault)
    _repair(site)
    layers = site.bundle["models"][MODEL]["layers"]
    needed = sum(len(c.prompt_tokens()) + _TOKENS - 1 for c in callers)
    outcome.recomputed = (_layers_run(site) - layers_before) / layers - needed
    return outcome


def _evaluate(
    site: Site, callers: list[Caller], fault_s: float, fault: str
) -> FaultOutcome:
    lost = {_TARGET, _SECOND_TARGET} if fault == "double" else {_TARGET}
    excluded = _excluded_by_stream(site)
    outcome = FaultOutcome()
    for caller in callers:
        outcome.wrong += not caller.is_correct
        affected = excluded.get(caller.stream, set()) & lost
        gap_ms = _gap_ms(caller, fault_s)
        if affected or (fault == "silent" and gap_ms):
            outcome.recovery_ms.append(gap_ms)
        if not affected:
            outcome.untouched += 1
            outcome.disturbed += caller.stream in excluded
    return outcome


def _excluded_by_stream(site: Site) -> dict[str, set[str]]:
    """Returns the excluded instances by stream, from the entry's log."""
    excluded: dict[str, set[str]] = {}
    for line in (site.folder / "entry-a.log").read_bytes().splitlines():
        if b"stream.attempt" not in line:
            continue
        fields = orjson.loads(line)
        excluded.setdefault(fields["stream"], set()).update(fields["excluded"])
    return excluded


def _gap_ms(caller: Caller, fault_s: float) -> float:
    """Returns the time from the fault to the end of the gap that it caused.

    This is the longest gap that began shortly after the fault; 0 if that gap
    is no longer than the usual time between tokens.
    """
    times = [s for s in caller.arrivals if s > fault_s]
    pairs = zip([fault_s, *times], times, strict=False)
    gaps = [p for p in pairs if p[0] - fault_s < _GAP_START_WINDOW_S]
    begin, end = max(gaps, key=lambda pair: pair[1] - pair[0])
    if end - begin < _MIN_GAP_S:
        return 0.0
    return (end - fault_s) * _MS_PER_S


def _layers_run(site: Site) -> int:
    """Returns the number of (layer, position) pairs that engines have run."""
    return sum(
        site.read_counters(name)["layers_run"]
        for name, process in site.processes.items()
        if process.role == "engine"
    )


def measure(policy: str) -> dict[str, float]:
    """Returns the figures of one recovery policy."""
    p95: dict[str, list[float]] = {fault: [] for fault in _FAULTS}
    total = FaultOutcome()
    for seed in _SEEDS:
        generator = random.Random(seed)
        with make_site() as site:
            start_site(site, policy)
            for fault in _FAULTS:
                outcome = run_fault(site, fault, generator)
                total.add(outcome)
                p95[fault].append(_p95(outcome.recovery_ms))
                _print_outcome(policy, fault, seed, outcome)
    figures = {
        f"{fault}_p95_ms": round(statistics.median(values), 1)
        for fault, values in p95.items()
    }
    faults = len(_FAULTS) * len(_SEEDS)
    figures["recomputed_tokens"] = round(total.recomputed / faults, 1)
    figures["disturbed_share"] = round(
        total.disturbed / max(1, total.untouched), 4
    )
    figures["wrong_answers"] = total.wrong
    return figures


def _print_outcome(
    policy: str, fault: str, seed: int, outcome: FaultOutcome
) -> None:
    print(
        f"{policy} {fault} seed {seed}: "
        f"{len(outcome.recovery_ms)} of {_STREAMS} affected, "
        f"p50 {_median(outcome.recovery_ms):.0f} ms, "
        f"p95 {_p95(outcome.recovery_ms):.0f} ms, "
        f"recomputed {outcome.recomputed:.0f} tokens, "
        f"disturbed {outcome.disturbed} of {outcome.untouched}, "
        f"wrong {outcome.wrong}",
        flush=True,
    )


def _p95(values: list[float]) -> float:
    if not values:
        return 0.0
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(_P95 * len(ranked)))]


def _median(values: list[float]) -> float:
    return statistics.median(values) if values else 0.0


def main() -> None:
    """Measures both policies and prints the result."""
    figures = measure("replace_stage")
    baselines = {"full_prefill": measure("full_prefill")}
    print_result(Result("recovery", len(_SEEDS), figures, baselines))


if __name__ == "__main__":
    main()
