"""Settings of a side process."""

import attrs

from caroblug.core.limits import QUEUE_KINDS
from caroblug.node import Address, NodeSettings
from caroblug.utils import choice, count, duration_ms, name, port, text


@attrs.frozen(kw_only=True)
class PlainSettings:
    """Settings of the plain service behind a side process."""

    service: str = name("Name of the service in the bundle.")
    host: str = text("IP address.")
    port: int = port("TCP port.")


@attrs.frozen(kw_only=True)
class SideSettings(NodeSettings):
    """Settings of a side process, for either an engine or a plain service.

    Attributes:
        engine: Address of the model engine.
        plain: The plain service.
        batches: Maximum number of concurrent calls to the engine.
        engine_timeout_ms: Timeout of a batch.
        engine_probe_ms: Timeout of a health check of the engine.
        report_ms: Minimum interval between load reports.
        report_bytes_per_s: Bandwidth limit of all load reports together.
        queue: Scheduling of queued work; `fifo` is a baseline for
            measurements.
        journal_positions: Outputs retained per stream, to be sent again to a
            replacement of the next stage.
        engine_name: Name of the engine in the bundle's placements; the
            instance's own name if empty. A replacement of this instance has
            the same engine name.
        weight_store: Address of the weight store; without one, engines load
            weights without a ticket.
        lease_ms: Duration of a lease of the engine.
        intent_interval_ms: Minimum interval between two appends of intents.
            All owners together must stay below the rate limit of the log
            service.
        positions: Maximum number of positions of all open streams together,
            counting each stream at its full length; more streams are refused.
    """

    engine: Address | None = None
    plain: PlainSettings | None = None
    batches: int = count(
        1, 16, "Maximum number of concurrent calls to the engine.", 16
    )
    engine_timeout_ms: int = duration_ms("Timeout of a batch.", 10_000)
    engine_probe_ms: int = duration_ms(
        "Timeout of a health check of the engine.", 250
    )
    report_ms: int = duration_ms("Minimum interval between load reports.", 200)
    report_bytes_per_s: int = count(
        100,
        1_000_000,
        "Bandwidth limit of all load reports, in bytes per second.",
        2000,
    )
    queue: str = choice(QUEUE_KINDS, "Scheduling of queued work.", "fair")
    journal_positions: int = count(
        1,
        1_000_000,
        "Outputs retained per stream for a replaced next stage.",
        8192,
    )
    positions: int = count(
        1,
        100_000_000,
        "Maximum positions of all open streams together.",
        1_000_000,
    )

    intent_interval_ms: int = duration_ms(
        "Minimum interval between appends.", 10
    )

    engine_name: str = text(
        "Name of the engine in the bundle.", "", low=0, high=63
    )
    weight_store: Address | None = None
    lease_ms: int = duration_ms("Duration of a lease of the engine.", 5000)

    def __attrs_post_init__(self) -> None:
        if (self.engine is None) == (self.plain is None):
            raise ValueError(
                "exactly one of [engine] and [plain] must be given"
            )
