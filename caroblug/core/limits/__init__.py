"""Account shares, fair queues, load limits, retry budgets and quarantine.

Modules are imported on first use: the gateway needs only some of them.
"""

from caroblug.lazy import make_lazy_exports

_MODULES = {
    "CONNECTION_BYTES": "_held_resources",
    "HeldResources": "_held_resources",
    "Holding": "_held_resources",
    "RUN_BYTES": "_held_resources",
    "ResourceBounds": "_held_resources",
    "AccountRule": "_shares",
    "AccountWeights": "_account_weights",
    "ConcurrencyLimiter": "_concurrency_limiter",
    "Demand": "_shares",
    "EngineLoad": "_overload",
    "EntryShares": "_shares",
    "FairQueue": "_fair_queue",
    "FifoQueue": "_fair_queue",
    "Grant": "_shares",
    "Hedging": "_hedging",
    "HomeShares": "_shares",
    "HomeEntries": "_home_entries",
    "ItemQueue": "_fair_queue",
    "PartSuspicions": "_part_suspicions",
    "KEY_BYTES": "_key_quota",
    "KeyQuota": "_key_quota",
    "LimitOwner": "_server_limits",
    "LimitReport": "_server_limits",
    "ServerAvailability": "_server_availability",
    "ServerLimits": "_server_limits",
    "UnreportedStreams": "_overload",
    "QUEUE_KINDS": "_fair_queue",
    "WindowedRetryBudget": "_windowed_retry_budget",
    "RetryAfter": "_retry_after",
    "RetryBudget": "_retry_budget",
    "RetryClass": "_windowed_retry_budget",
    "RetryRule": "_retry_budget",
    "RunGate": "_run_gate",
    "IsolationQueue": "_isolation_queue",
    "Suspicion": "_suspicions",
    "SuspicionSource": "_suspicions",
    "SuspicionSharing": "_suspicion_sharing",
    "Suspicions": "_suspicions",
    "Ticket": "_run_gate",
    "BatchSource": "_isolation_queue",
    "Verdict": "_suspicions",
    "WRITING_MS": "_part_suspicions",
    "classify_retry": "_windowed_retry_budget",
    "estimate_wait_ms": "_overload",
    "find_retry_classes": "_windowed_retry_budget",
    "is_prompt_key": "_prompt_keys",
    "make_prompt_key": "_prompt_keys",
    "make_queue": "_fair_queue",
}

__getattr__, __dir__, __all__ = make_lazy_exports(__name__, _MODULES)
