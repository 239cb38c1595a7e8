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
        streams: Streams open at once.
        attempts: Attempts for one request, the first included.
        recovery: What is tried first when a stage is lost.
        retries: Recoveries that may follow each other at once.
        account_retries: The same for each client account.
        report_age_ms: Age at which a side's load report no longer counts.
        chooser: How chains are chosen; all but `flow` serve comparisons.
        subset: Engines that this entry connects to, of those listed.
        probe_ms: Time between measurements of the links.
    """

    streams: int = count(1, 100_000, "Streams open at once.", 2000)
    attempts: int = count(1, 16, "Attempts for one request.", 6)
    recovery: str = choice(
        tuple(RecoveryStrategy), "Tried first.", RecoveryStrategy.REPLACE_STAGE
    )
    retries: int = count(1, 100_000, "Recoveries at once.", 2000)
    account_retries: int = count(1, 100_000, "The same per account.", 500)
    report_age_ms: int = duration_ms("Age at which a report is too old.", 2000)
    chooser: str = choice(CHOOSERS, "How chains are chosen.", "flow")
    subset: int = count(1, 10_000, "Engines connected to.", 128)
    probe_ms: int = duration_ms("Time between link measurements.", 500)
