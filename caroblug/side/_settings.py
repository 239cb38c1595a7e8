"""Settings of a side process."""

import attrs

from caroblug.core.limits import QUEUE_KINDS
from caroblug.node import Address, NodeSettings
from caroblug.utils import choice, count, duration_ms, name, port, text


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
        batches: Calls to the engine at once.
        engine_timeout_ms: How long one batch may take.
        engine_probe_ms: How long the engine may take to say what it is.
        report_ms: Least time between load reports.
        report_bytes_per_s: Budget of all load reports.
        queue: Order of waiting work; `fifo` is a baseline for measurements.
        journal_positions: Outputs kept per stream for a new next stage.
        engine_name: Name of the engine in the bundle's placements; the
            instance's own name if empty. A successor has the same.
        weight_store: The weight store; without one, engines load freely.
        lease_ms: How long a lease of the engine lasts.
        intent_interval_ms: Least time between two appends of intents; all
            owners together must stay under the log service's rate.
        positions: Positions of all open streams together, prompts and answers
            to come included; more streams are refused.
    """

    engine: Address | None = None
    plain: PlainSettings | None = None
    batches: int = count(1, 16, "Calls to the engine at once.", 16)
    engine_timeout_ms: int = duration_ms("How long a batch may take.", 10_000)
    engine_probe_ms: int = duration_ms("How long a describe may take.", 250)
    report_ms: int = duration_ms("Least time between load reports.", 200)
    report_bytes_per_s: int = count(
        100, 1_000_000, "Budget of all load reports, in bytes a second.", 2000
    )
    queue: str = choice(QUEUE_KINDS, "Order of waiting work.", "fair")
    journal_positions: int = count(
        1, 1_000_000, "Outputs kept per stream for a new next stage.", 8192
    )
    positions: int = count(
        1, 100_000_000, "Positions of all open streams together.", 1_000_000
    )

    intent_interval_ms: int = duration_ms("Time between appends.", 10)

    engine_name: str = text("Name in the bundle.", "", low=0, high=63)
    weight_store: Address | None = None
    lease_ms: int = duration_ms("How long a lease of the engine lasts.", 5000)

    def __attrs_post_init__(self) -> None:
        if (self.engine is None) == (self.plain is None):
            raise ValueError("give either [engine] or [plain]")
