"""Shares, queues, admission, retry budgets and quarantine."""

from caroblug.core.limits._admission import Admission
from caroblug.core.limits._fair_queue import FairQueue
from caroblug.core.limits._retry_budget import RetryBudget, RetryRule

__all__ = ["Admission", "FairQueue", "RetryBudget", "RetryRule"]
