"""What sharing costs by the number of accounts and of nodes.

Run with `python -m benchmarks.accounts`. The cores run in one process with a
clock of their own; messages are encoded as they would be sent. Each entry has
the load that an even balancer gives it: 6,200 requests a second in all, each
open for two seconds, the accounts drawn at random. The baseline reports every
account of the bundle at each interval, active or not.
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
_SPAN_MS = 8000
_RULE = AccountRule(streams=64, tokens_per_minute=6_000_000.0)
_SIZES = ((2000, 40), (18_000, 40), (18_000, 100), (18_000, 400))


@attrs.define
class _Cost:
    out_bytes: int = 0
    messages: int = 0
    seconds: float = 0.0


class _Entry:
    """One entry, with the homes that it would report to."""

    def __init__(self, nodes: int) -> None:
        names = [f"entry-{number}" for number in range(nodes)]
        self.homes = HomeEntries(names[0], 60_000)
        self.homes.on_listed(names, 0)
        self.held = EntryShares(_TERM_MS)
        self.held.on_listed(nodes)
        self.home = HomeShares(_TERM_MS)
        self.cost = _Cost()

    def send(self, *messages: object) -> None:
        """Counts messages as bytes of thrift compact."""
        for message in messages:
            self.cost.out_bytes += len(framing.encode(message))
            self.cost.messages += 1

    def report(self, account: str, now_ms: int, wanted: int = 0) -> None:
        """Reports an account and takes the grant for it."""
        demand = self.held.report(account, now_ms, wanted)
        self.send(wire.ShareDemand(account, demand.streams, demand.used))
        grant = self.home.on_demand("entry-0", account, demand, _RULE, now_ms)
        self.send(
            wire.ShareGrant(
                account,
                grant.streams,
                grant.tokens,
                grant.total,
                grant.term_ms,
            )
        )
        self.held.on_grant(account, grant, now_ms)

    def request(self, account: str, now_ms: int) -> bool:
        """Admits a request as the entry does."""
        self.held.touch(account, _RULE, now_ms)
        if not self.held.has_grant(account, now_ms):
            self.report(account, now_ms, wanted=1)
        return self.held.open_stream(account, _RULE, now_ms)


def _run(accounts: int, nodes: int, seed: int, everything: bool) -> _Cost:
    source = random.Random(seed)
    entry = _Entry(nodes)
    names = [f"school-{number}" for number in range(accounts)]
    ends: list[tuple[int, str]] = []
    per_ms = _REQUESTS_PER_S / nodes / 1000
    due = 0.0
    began = time.process_time()
    for now_ms in range(_SPAN_MS):
        due += per_ms
        while due >= 1:
            due -= 1
            account = source.choice(names)
            if entry.request(account, now_ms):
                ends.append((now_ms + _OPEN_MS, account))
        while ends and ends[0][0] <= now_ms:
            entry.held.close_stream(ends.pop(0)[1])
        if now_ms % 100 == 0:
            for account in entry.held.due_accounts(_REPORT_MS, now_ms):
                entry.report(account, now_ms)
            entry.home.forget_idle(now_ms)
        if everything and now_ms % _REPORT_MS == 0:
            for account in names:
                entry.send(wire.ShareDemand(account, 0, 0.0))
    entry.cost.seconds = time.process_time() - began
    return entry.cost


def _memory(accounts: int) -> float:
    """Returns the bytes that one homed account and its grant take."""
    tracemalloc.start()
    entry = _Entry(40)
    before = tracemalloc.get_traced_memory()[0]
    for number in range(accounts):
        entry.request(f"school-{number}", 0)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / accounts


def _measure(seed: int, everything: bool) -> dict[str, float]:
    figures = {}
    for accounts, nodes in _SIZES:
        cost = _run(accounts, nodes, seed, everything)
        seconds = _SPAN_MS / 1000
        name = f"{accounts}_accounts_{nodes}_nodes"
        figures[f"bytes_per_node_s_{name}"] = cost.out_bytes / seconds
        figures[f"messages_per_node_s_{name}"] = cost.messages / seconds
        figures[f"core_share_{name}"] = cost.seconds / seconds
    figures["memory_bytes_per_account"] = _memory(2000)
    return figures


def main() -> None:
    """Runs both ways and prints the result."""
    seeds = tuple(int(seed) for seed in sys.argv[1:]) or _SEEDS
    figures = median_of([_measure(seed, False) for seed in seeds])
    whole = median_of([_measure(seeds[0], True)])
    print_result(Result("accounts", len(seeds), figures, {"all": whole}))


if __name__ == "__main__":
    main()
