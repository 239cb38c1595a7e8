"""What the parts of one gateway share."""

import random

import attrs

from caroblug.core.access import Configuration, RequestLimits
from caroblug.core.limits import RetryAfter, WindowedRetryBudget
from caroblug.gateway._decision_log import DecisionLog
from caroblug.gateway._fleet import Fleet
from caroblug.gateway._interfaces import Dialect
from caroblug.gateway._settings import GatewaySettings
from caroblug.gateway._telemetry import Telemetry
from caroblug.utils import Clock


@attrs.define
class Context:
    """What the parts of one gateway share.

    Attributes:
        settings: The settings in force.
        clock: Source of time.
        rng: Source of randomness.
        dialect: How requests look on the wire.
        fleet: Backend servers.
        retry_budget: What may be sent a second time.
        retry_after: When refused callers are asked to come back.
        log: Log of decisions.
        telemetry: Metrics.
        configuration: The newest configuration; None before the first.
        configuration_ms: When it was taken.
        raw_configuration: The same as the operator wrote it.
        engines_to_probe: Engines that are to be asked about themselves.
    """

    settings: GatewaySettings
    clock: Clock
    rng: random.Random
    dialect: Dialect
    fleet: Fleet
    retry_budget: WindowedRetryBudget
    retry_after: RetryAfter
    log: DecisionLog
    telemetry: Telemetry
    configuration: Configuration | None = None
    configuration_ms: int = 0
    raw_configuration: str = ""
    engines_to_probe: set[str] = attrs.field(factory=set)

    def limits(self) -> RequestLimits:
        """Returns what callers may send."""
        if self.configuration is None:
            return RequestLimits()
        return self.configuration.limits

    def apply_configuration(
        self, configuration: Configuration, raw: str, source: str
    ) -> bool:
        """Takes a configuration, unless a newer one is known.

        Guards against an answer of the store from before a change: requests
        would be handled by rules that were withdrawn.

        Args:
            configuration: The configuration.
            raw: The same as the operator wrote it.
            source: Where it came from, for the log.

        Returns:
            Whether it was news.
        """
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return False
        self.configuration = configuration
        self.raw_configuration = raw
        self.configuration_ms = self.clock.now_ms()
        self.telemetry.gauge("configuration_version", configuration.version)
        self.log.write(
            "configuration.taken",
            version=configuration.version,
            previous=known.version if known else None,
            source=source,
        )
        return True
