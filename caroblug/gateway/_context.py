"""State and services shared by the components of one gateway."""

import random

import attrs

from caroblug.caller_resources import (
    CallerResources,
    count_process_sockets,
)
from caroblug.core.access import (
    Configuration,
    RequestLimits,
    StreamRanks,
    find_stream_ranks,
)
from caroblug.core.admission import Admission
from caroblug.core.limits import (
    Holding,
    ResourceBounds,
    RetryAfter,
    WindowedRetryBudget,
    find_retry_classes,
)
from caroblug.gateway._decision_log import DecisionLog
from caroblug.gateway._fleet import Fleet
from caroblug.gateway._interfaces import Dialect
from caroblug.gateway._kept_connections import (
    KeptConnections,
    make_kept_connections,
)
from caroblug.gateway._settings import GatewaySettings
from caroblug.gateway._telemetry import Telemetry
from caroblug.utils import Clock

_CALLERS_MEMORY_SHARE = 0.5
_PROGRAM_MEMORY_MB = 64
"""Share of the machine's memory for what callers make the process hold, and the
memory that stays for the program and its tables on a small machine."""

_MIN_CALLERS_MEMORY_MB = 8
_MIN_CALLERS_CONNECTIONS = 8
"""What callers get on a machine that is too small for the program."""

_CALLERS_SOCKET_SHARE = 0.5
"""Share of the sockets for callers. Each request takes another one, towards a
backend server."""

_BYTES_PER_MB = 1 << 20


@attrs.define
class Context:
    """Holds the state and services shared by the components of one gateway.

    Attributes:
        settings: Current settings.
        clock: Source of time.
        rng: Random number generator.
        dialect: Wire protocol for requests, answers, reports and orders.
        fleet: Known backend servers and their state.
        retry_budget: Bound on requests that are sent again.
        retry_after: Chooses the delay after which refused callers may retry.
        log: Decision log.
        telemetry: Counters, gauges and latency histograms.
        configuration: Newest known configuration; None before the first read.
        configuration_ms: When that configuration was applied.
        raw_configuration: Text of that configuration as the operator wrote it.
        engines_to_probe: Names of engines whose reports are to be read soon.
        stream_ranks: Ranks of the streams of each service, as that
            configuration gives them.
        connections: Kept connections, which the dialect uses as well.
        admissions: Admission control by service, from its first stream on.
        resources: What callers make the process hold, on all its ports.
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
    stream_ranks: dict[str, StreamRanks] = attrs.field(factory=dict)
    connections: KeptConnections = attrs.field(factory=make_kept_connections)
    admissions: dict[str, Admission] = attrs.field(factory=dict)
    resources: CallerResources = attrs.Factory(
        lambda self: CallerResources(
            self.clock, self.resource_bounds, self.on_evicted
        ),
        takes_self=True,
    )

    def limits(self) -> RequestLimits:
        """Returns the limits on requests of callers."""
        if self.configuration is None:
            return RequestLimits()
        return self.configuration.limits

    def resource_bounds(self) -> ResourceBounds:
        """Returns what callers may make the process hold."""
        memory_mb = min(
            self.settings.memory_mb * _CALLERS_MEMORY_SHARE,
            self.settings.memory_mb - _PROGRAM_MEMORY_MB,
        )
        sockets = min(self.settings.max_sockets, count_process_sockets())
        connections = sockets * _CALLERS_SOCKET_SHARE
        return ResourceBounds(
            max(memory_mb, _MIN_CALLERS_MEMORY_MB) * _BYTES_PER_MB,
            max(connections, _MIN_CALLERS_CONNECTIONS),
        )

    def on_evicted(self, holding: Holding, held_ms: int) -> None:
        """Records that a connection is closed for what it holds."""
        self.telemetry.count("connections_evicted")
        self.log.write(
            "connection.evicted",
            held_bytes=holding.held_bytes,
            held_ms=held_ms,
            all_bytes=self.resources.held.held_bytes,
            connections=self.resources.held.connections,
        )

    def ranks_of(self, service: str) -> tuple[int, ...]:
        """Returns the ranks of a service's streams, the most urgent first."""
        ranks = self.stream_ranks.get(service)
        return ranks.ranks if ranks is not None else ()

    def apply_configuration(
        self, configuration: Configuration, raw: str, source: str
    ) -> bool:
        """Applies a configuration unless it is no newer than the current one.

        Guards against a stale answer of the store, after which requests would
        be handled by rules that are no longer valid.

        Args:
            configuration: The configuration.
            raw: Its text as the operator wrote it.
            source: Where it came from, for the log.

        Returns:
            Whether the configuration was applied.
        """
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return False
        self.configuration = configuration
        self.raw_configuration = raw
        self.stream_ranks = find_stream_ranks(configuration)
        self.retry_budget.set_classes(
            {
                service: find_retry_classes(ranks.ranks, ranks.resumable)
                for service, ranks in self.stream_ranks.items()
            }
        )
        self.configuration_ms = self.clock.now_ms()
        self.telemetry.gauge("configuration_version", configuration.version)
        self.log.write(
            "configuration.taken",
            version=configuration.version,
            previous=known.version if known else None,
            source=source,
        )
        return True
