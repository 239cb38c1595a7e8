"""Shares, queues, admission, retry budgets and quarantine."""

from caroblug.core.limits._account_weights import AccountWeights
from caroblug.core.limits._admission import Admission
from caroblug.core.limits._fair_queue import (
    QUEUE_KINDS,
    FairQueue,
    FifoQueue,
    ItemQueue,
    make_queue,
)
from caroblug.core.limits._hedging import Hedging
from caroblug.core.limits._homes import Homes
from caroblug.core.limits._overload import (
    EngineLoad,
    OpenedSince,
    estimate_wait_ms,
)
from caroblug.core.limits._repeat_window import RepeatWindow
from caroblug.core.limits._retry_after import RetryAfter
from caroblug.core.limits._retry_budget import RetryBudget, RetryRule
from caroblug.core.limits._run_gate import RunGate, Ticket
from caroblug.core.limits._shares import (
    AccountRule,
    Demand,
    EntryShares,
    Grant,
    HomeShares,
)
from caroblug.core.limits._solo import SoloQueue, Turn
from caroblug.core.limits._suspicions import Suspicion, Suspicions, Verdict

__all__ = [
    "QUEUE_KINDS",
    "AccountRule",
    "AccountWeights",
    "Admission",
    "Demand",
    "EngineLoad",
    "EntryShares",
    "FairQueue",
    "FifoQueue",
    "Grant",
    "HomeShares",
    "Hedging",
    "Homes",
    "ItemQueue",
    "OpenedSince",
    "RepeatWindow",
    "RetryAfter",
    "RetryBudget",
    "RetryRule",
    "RunGate",
    "SoloQueue",
    "Suspicion",
    "Suspicions",
    "Ticket",
    "Turn",
    "Verdict",
    "estimate_wait_ms",
    "make_queue",
]
