"""Settings of an entry instance."""

import attrs

from caroblug.core.routing import CHOOSERS
from caroblug.entry._streams import RecoveryStrategy
from caroblug.node import NodeSettings
from caroblug.utils import choice, count, duration_ms


@attrs.frozen(kw_only=True)
class EntrySettings(NodeSettings):
    """Settings of an entry instance.

    Attributes:
        streams: Maximum number of open streams.
        attempts: Maximum number of attempts per request, the first included.
        recovery: Strategy to try first when a stage is lost.
        retries: Burst of recoveries that the retry budget allows.
        account_retries: Burst of recoveries that each client account's retry
            budget allows.
        report_age_ms: Minimum age at which a load report expires.
        chooser: Strategy for choosing chains; all but `flow` are baselines
            for comparison.
        subset: Number of listed engines that this entry connects to.
        probe_ms: Interval between latency probes.
    """

    streams: int = count(1, 100_000, "Maximum number of open streams.", 2000)
    attempts: int = count(1, 16, "Maximum number of attempts per request.", 6)
    recovery: str = choice(
        tuple(RecoveryStrategy),
        "Strategy to try first when a stage is lost.",
        RecoveryStrategy.REPLACE_STAGE,
    )
    retries: int = count(1, 100_000, "Burst of the retry budget.", 2000)
    account_retries: int = count(
        1, 100_000, "Burst of each client account's retry budget.", 500
    )
    report_age_ms: int = duration_ms(
        "Minimum age at which a load report expires.", 2000
    )
    chooser: str = choice(CHOOSERS, "Strategy for choosing chains.", "flow")
    subset: int = count(1, 10_000, "Number of engines to connect to.", 128)
    probe_ms: int = duration_ms("Interval between latency probes.", 500)
