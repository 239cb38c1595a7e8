"""Settings of a gateway and their validation."""

import attrs

Address = tuple[str, int]

_MAX_PORT = 65535
_MAX_MS = 3_600_000


@attrs.frozen
class GatewaySettings:
    """Settings of one gateway.

    Attributes:
        instance: Name of the gateway.
        data_centre: Data centre that the gateway runs in.
        callers: Address that callers connect to.
        ready: Address of the readiness check.
        metrics: Address of the metrics endpoint.
        peers: Address that other gateways connect to.
        store: Address of the platform's store.
        heartbeat_ms: Interval at which backend servers renew their entry in the
            list.
        drain_ms: Time from SIGTERM to SIGKILL.
        retry_ratio: Share of a service's requests that may be retried.
        retry_extra: Further retries, for all gateways together.
        retry_window_ms: Time window in which requests and retries are counted.
        lease_least_ms: Shortest lease that the store grants.
        store_partitions: Partitions of each topic of the store.
        memory_mb: Memory of the machine that the process may use.
        max_sockets: Sockets that the process may have open.
        first_start: Whether no gateway of the system has run before. Otherwise
            retries that earlier processes spent may lie in the current window.
    """

    instance: str
    data_centre: str
    callers: Address
    ready: Address
    metrics: Address
    peers: Address
    store: Address
    heartbeat_ms: int = 1200
    drain_ms: int = 8000
    retry_ratio: float = 0.2
    retry_extra: float = 0.0
    retry_window_ms: int = 10000
    lease_least_ms: int = 1000
    store_partitions: int = 1
    memory_mb: int = 1024
    max_sockets: int = 4096
    first_start: bool = False


FIXED_FIELDS = (
    "instance",
    "data_centre",
    "callers",
    "ready",
    "metrics",
    "peers",
    "first_start",
)
"""Settings that a running process can't change: what it is called, and where it
listens."""


def apply_changes(
    running: GatewaySettings, changed: GatewaySettings
) -> tuple[GatewaySettings, tuple[str, ...]]:
    """Returns the settings of a running process after its file has changed.

    Args:
        running: The settings in force.
        changed: The settings in the file.

    Returns:
        The settings to put in force, and the names of those that differ and
        need a restart.
    """
    fixed = {name: getattr(running, name) for name in FIXED_FIELDS}
    kept = tuple(
        name
        for name in FIXED_FIELDS
        if fixed[name] != getattr(changed, name) and name != "first_start"
    )
    return attrs.evolve(changed, **fixed), kept


@attrs.frozen
class SettingsProblem:
    """Describes why settings are invalid.

    Attributes:
        file: Name of the settings file.
        key: The invalid key; empty if the whole file is invalid.
        message: What is wrong with the value.
    """

    file: str
    key: str
    message: str

    def __str__(self) -> str:
        where = f"{self.file}: {self.key}" if self.key else self.file
        return f"{where} {self.message}"


_RANGES: dict[str, tuple[float, float]] = {
    "heartbeat_ms": (1, _MAX_MS),
    "drain_ms": (1, _MAX_MS),
    "retry_ratio": (0, 10),
    "retry_extra": (0, 1e9),
    "retry_window_ms": (1, _MAX_MS),
    "lease_least_ms": (1, _MAX_MS),
    "store_partitions": (1, 100_000),
    "memory_mb": (1, 16_777_216),
    "max_sockets": (1, 16_777_216),
}


def check_gateway_settings(
    settings: GatewaySettings, file: str
) -> GatewaySettings | SettingsProblem:
    """Returns the settings if they are valid, or else the first problem.

    Args:
        settings: The settings to check.
        file: Name of the settings file, for the problem's text.
    """
    for name in ("instance", "data_centre"):
        value = getattr(settings, name)
        if not isinstance(value, str) or not value:
            return SettingsProblem(file, name, f"must be text, got {value!r}")
    for name in ("callers", "ready", "metrics", "peers", "store"):
        host, port = getattr(settings, name)
        if not host or not 0 <= port <= _MAX_PORT:
            return SettingsProblem(
                file,
                name,
                f"must be HOST:PORT with a port from 0 to {_MAX_PORT}, "
                f"got {host}:{port}",
            )
    if not isinstance(settings.first_start, bool):
        return SettingsProblem(
            file,
            "first_start",
            f"must be true or false, got {settings.first_start!r}",
        )
    for name, (low, high) in _RANGES.items():
        value = getattr(settings, name)
        if not low <= value <= high:
            return SettingsProblem(
                file, name, f"must be from {low} to {high}, got {value}"
            )
    return settings
