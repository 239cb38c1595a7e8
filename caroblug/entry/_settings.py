"""Settings of an entry instance."""

import attrs

from caroblug.node import NodeSettings
from caroblug.utils import count, duration_ms


@attrs.frozen(kw_only=True)
class EntrySettings(NodeSettings):
    """Settings of an entry instance.

    Attributes:
        streams: Streams open at once.
        attempts: Attempts for one request, the first included.
        report_age_ms: Age at which a side's load report no longer counts.
    """

    streams: int = count(1, 100_000, "Streams open at once.", 2000)
    attempts: int = count(1, 16, "Attempts for one request.", 6)
    report_age_ms: int = duration_ms("Age at which a report is too old.", 2000)
