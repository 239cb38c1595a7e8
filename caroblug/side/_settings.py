"""Settings of a side process."""

import attrs

from caroblug.node import Address, NodeSettings
from caroblug.utils import count, duration_ms, name, port, text


@attrs.frozen(kw_only=True)
class PlainSettings:
    """The plain service that this side process stands beside."""

    service: str = name("Name of the service in the bundle.")
    host: str = text("IP address.")
    port: int = port("TCP port.")


@attrs.frozen(kw_only=True)
class SideSettings(NodeSettings):
    """Settings of a side process: it has either an engine or a service.

    Attributes:
        engine: The model engine.
        plain: The plain service.
        batches: Batches in the engine at once.
        engine_timeout_ms: How long one batch may take.
        engine_probe_ms: How long the engine may take to say what it is.
        report_ms: Time between load reports.
        journal_positions: Outputs kept per stream for a new next stage.
    """

    engine: Address | None = None
    plain: PlainSettings | None = None
    batches: int = count(1, 16, "Batches in the engine at once.", 2)
    engine_timeout_ms: int = duration_ms("How long a batch may take.", 10_000)
    engine_probe_ms: int = duration_ms("How long a describe may take.", 250)
    report_ms: int = duration_ms("Time between load reports.", 200)
    journal_positions: int = count(
        1, 1_000_000, "Outputs kept per stream for a new next stage.", 8192
    )

    def __attrs_post_init__(self) -> None:
        if (self.engine is None) == (self.plain is None):
            raise ValueError("give either [engine] or [plain]")
