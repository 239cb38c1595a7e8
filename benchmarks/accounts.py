"""Cost of sharing limits over the number of accounts and of nodes.

Run with `python -m benchmarks.accounts`. The cores run in one process with a
simulated clock, and messages are encoded as they would be sent. One entry
gets its even share of 6,200 requests per second, each open for two seconds,
with random accounts. The baseline reports every account of the bundle at each
interval, active or not.
"""

import random
import sys
import time
import tracemalloc

import attrs

from benchmarks._load import median_of
from benchmarks._result import Result, print_result
from caroblug.core.limits import (
    AccountRule,
    EntryShares,
    HomeEntries,
    HomeShares,
)
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import _framing as framing

_SEEDS = (1, 2, 3)
_REQUESTS_PER_S = 6200
_OPEN_MS = 2000
_REPORT_MS = 1000
_TERM_MS = 4000
_DURATION_MS = 8000
_RULE = AccountRule(streams=64, tokens_per_minute=6_000_000.0)
_SIZES = ((2000, 40), (18_000, 40), (18_000, 100), (18_000, 400))


@attrs.define
class _Cost:
    """Bytes and messages that an entry sends, and its processor time."""

    out_bytes: int = 0
    messages: int = 0
    seconds: float = 0.0


class _Entry:
    """One entry together with the shares that its home entries hold."""

    def __init__(self, nodes: int) -> None:
        names = [f"entry-{number}" for number in range(nodes)]
        self.home_entries = HomeEntries(names[0], 60_000)
        self.home_entries.on_listed(names, 0)
        self.entry_shares = EntryShares(_TERM_MS)
        self.entry_shares.on_listed(nodes)
        self.home_shares = HomeShares(_TERM_MS)
        self.cost = _Cost()

    def send(self, *messages: object) -> None:
        """Adds the encoded size of messages to the cost."""
        for message in messages:
            self.cost.out_bytes += len(framing.encode(message))
            self.cost.messages += 1

    def report(self, account: str, now_ms: int, wanted: int = 0) -> None:
        """Reports the demand of an account and applies the grant."""
        demand = self.entry_shares.report(account, now_ms, wanted)
        self.send(wire.ShareDemand(account, demand.streams, demand.used))
        grant = self.home_shares.on_demand(
            "entry-0", account, demand, _RULE, now_ms
        )
        self.send(
            wire.ShareGrant(
                account,
                grant.streams,
                grant.tokens,
                grant.total,
                grant.term_ms,
            )
        )
        self.entry_shares.on_grant(account, grant, now_ms)

    def request(self, account: str, now_ms: int) -> bool:
        """Admits a request as an entry does; returns whether it fits."""
        self.entry_shares.touch(account, _RULE, now_ms)
        if not self.entry_shares.has_grant(account, now_ms):
            self.report(account, now_ms, wanted=1)
        return self.entry_shares.open_stream(account, _RULE, now_ms)


def _run(accounts: int, nodes: int, seed: int, report_all: bool) -> _Cost:
    rng = random.Random(seed)
    entry = _Entry(nodes)
    names = [f"school-{number}" for number in range(accounts)]
    open_until: list[tuple[int, str]] = []
    per_ms = _REQUESTS_PER_S / nodes / 1000
    due = 0.0
    start_s = time.process_time()
    for now_ms in range(_DURATION_MS):
        due += per_ms
        while due >= 1:
            due -= 1
            account = rng.choice(names)
            if entry.request(account, now_ms):
                open_until.append((now_ms + _OPEN_MS, account))
        while open_until and open_until[0][0] <= now_ms:
            entry.entry_shares.close_stream(open_until.pop(0)[1])
        if now_ms % 100 == 0:
            for account in entry.entry_shares.due_accounts(_REPORT_MS, now_ms):
                entry.report(account, now_ms)
            entry.home_shares.forget_idle(now_ms)
        if report_all and now_ms % _REPORT_MS == 0:
            for account in names:
                entry.send(wire.ShareDemand(account, 0, 0.0))
    entry.cost.seconds = time.process_time() - start_s
    return entry.cost


def _measure_memory(accounts: int) -> float:
    """Returns the memory in bytes of one account and its grant."""
    tracemalloc.start()
    entry = _Entry(40)
    before = tracemalloc.get_traced_memory()[0]
    for number in range(accounts):
        entry.request(f"school-{number}", 0)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / accounts


def _measure(seed: int, report_all: bool) -> dict[str, float]:
    figures = {}
    for accounts, nodes in _SIZES:
        cost = _run(accounts, nodes, seed, report_all)
        seconds = _DURATION_MS / 1000
        name = f"{accounts}_accounts_{nodes}_nodes"
        figures[f"bytes_per_node_s_{name}"] = cost.out_bytes / seconds
        figures[f"messages_per_node_s_{name}"] = cost.messages / seconds
        figures[f"core_share_{name}"] = cost.seconds / seconds
    figures["memory_bytes_per_account"] = _measure_memory(2000)
    return figures


def main() -> None:
    """Measures both variants and prints the result."""
    seeds = tuple(int(seed) for seed in sys.argv[1:]) or _SEEDS
    figures = median_of([_measure(seed, False) for seed in seeds])
    all_reported = median_of([_measure(seeds[0], True)])
    print_result(Result("accounts", len(seeds), figures, {"all": all_reported}))


if __name__ == "__main__":
    main()
