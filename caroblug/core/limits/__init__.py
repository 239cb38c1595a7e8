"""Shares, queues, admission, retry budgets and quarantine."""

from caroblug.core.limits._admission import Admission
from caroblug.core.limits._fair_queue import FairQueue

__all__ = ["Admission", "FairQueue"]
