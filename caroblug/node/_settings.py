"""Settings that entry and side processes share."""

import attrs

from caroblug.caller_resources import count_process_sockets
from caroblug.core.limits import ResourceBounds
from caroblug.transport import SessionTiming
from caroblug.utils import (
    SettingProblem,
    count,
    duration_ms,
    name,
    port,
    secret,
    text,
)

MIN_KEY_CHARACTERS = 32
_MAX_SHARED_KEYS = 2
_BYTES_PER_MB = 1 << 20
_CALLERS_SHARE = 0.5
"""Share of memory and sockets for callers; the rest is for the program."""


@attrs.frozen(kw_only=True)
class Address:
    """Address of a service that the instance connects to."""

    host: str = text("IP address.")
    port: int = port("TCP port.")


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Settings of an entry or a side process.

    Attributes:
        instance: Name of this instance, unique in the fleet.
        data_centre: Name of the data centre that this instance runs in.
        host: IP address to listen on.
        peer_port: TCP port for connections from other caroblug processes.
        http_port: TCP port for HTTP.
        shared_key: Key with which caroblug processes authenticate to each
            other; empty if `shared_key_file` is set.
        shared_key_file: File with that key on its first line. During a key
            rotation, its second line has another accepted key.
        log: Address of the platform's log service.
        instance_list: Address of the platform's instance list.
        operators: Operators' Ed25519 public keys, in hexadecimal.
        signatures: Number of operators that must sign a bundle.
        instances_ms: Minimum interval between reads of the instance list.
        log_retention_ms: Time for which the log service retains a record.
        advertised_host: IP address that peers connect to; empty for `host`.
        advertised_port: Port that peers connect to; 0 for `peer_port`.
        heartbeat_ms: Idle time on a connection with work in flight after
            which a heartbeat is sent.
        silence_ms: Timeout of an acknowledgement on a connection with work
            in flight. After it, the peer is probed on a new connection.
        peer_probe_ms: Timeout of the peer's reply to that probe.
        drain_ms: Maximum time for running work to finish after SIGTERM. For
            an entry it must not be below the bundle's longest deadline.
        linger_ms: Minimum time from SIGTERM to the exit, in which others
            notice that the instance is leaving. An entry accepts requests
            until then, because the load balancer notices `/readyz` late.
        memory_mb: Memory of the machine that the process may use, in MB. Half
            of it is for what callers make the process hold.
        max_sockets: Sockets that the process may have open. Half of them are
            for connections of callers and of peers not yet authenticated. A
            lower limit of the process on its descriptors takes its place.
    """

    instance: str = name("Name of this instance, unique in the fleet.")
    data_centre: str = name(
        "Name of the data centre that this instance runs in."
    )
    host: str = text("IP address to listen on.", "127.0.0.1")
    peer_port: int = port(
        "TCP port for connections from other caroblug processes."
    )
    http_port: int = port("TCP port for HTTP.")
    shared_key: str = secret(
        "Key with which caroblug processes authenticate to each other.",
        MIN_KEY_CHARACTERS,
    )
    shared_key_file: str = text("File with the shared key.", "", low=0)
    log: Address = attrs.field()
    instance_list: Address = attrs.field()
    operators: list[str] = attrs.field()
    signatures: int = count(
        1, 16, "Number of operators that must sign a bundle.", 1
    )
    instances_ms: int = duration_ms(
        "Minimum interval between reads of the instance list.", 500
    )
    log_retention_ms: int = duration_ms(
        "Time for which the log service retains a record.", 3_600_000
    )
    advertised_host: str = ""
    advertised_port: int = port(
        "Port that peers connect to; 0 for `peer_port`.", 0
    )
    heartbeat_ms: int = duration_ms(
        "Idle time before a heartbeat, with work in flight.", 100
    )
    silence_ms: int = duration_ms(
        "Timeout of an acknowledgement before the peer is probed.", 300
    )
    peer_probe_ms: int = duration_ms(
        "Timeout of the peer's reply to a probe.", 300
    )
    drain_ms: int = duration_ms(
        "Maximum time for running work to finish after SIGTERM.", 120_000
    )
    linger_ms: int = duration_ms("Minimum time from SIGTERM to the exit.", 1000)
    memory_mb: int = count(
        128, 16_777_216, "Memory that the process may use, in MB.", 1024
    )
    max_sockets: int = count(
        64, 16_777_216, "Sockets that the process may have open.", 4096
    )

    @property
    def reachable_host(self) -> str:
        """IP address that peers connect to."""
        return self.advertised_host or self.host

    @property
    def reachable_port(self) -> int:
        """Port that peers connect to."""
        return self.advertised_port or self.peer_port

    def make_resource_bounds(self) -> ResourceBounds:
        """Returns what callers may make the process hold."""
        sockets = min(self.max_sockets, count_process_sockets())
        return ResourceBounds(
            self.memory_mb * _BYTES_PER_MB * _CALLERS_SHARE,
            sockets * _CALLERS_SHARE,
        )

    def make_session_timing(self) -> SessionTiming:
        """Returns the heartbeat and probe timing of peer connections."""
        return SessionTiming(
            heartbeat_ms=self.heartbeat_ms,
            silence_ms=self.silence_ms,
            probe_ms=self.peer_probe_ms,
        )

    @property
    def shared_keys(self) -> tuple[str, ...]:
        """The key to authenticate with, then other accepted keys.

        Raises:
            OSError: If the key file cannot be read.
            UnicodeDecodeError: If the key file is not ASCII.
        """
        if not self.shared_key_file:
            return (self.shared_key,)
        with open(self.shared_key_file, encoding="ascii") as stream:
            lines = [line.strip() for line in stream]
        return tuple(line for line in lines if line)


def check_shared_keys(
    settings: NodeSettings, file: str
) -> SettingProblem | None:
    """Checks where the shared key comes from and how long it is.

    Args:
        settings: The settings to check.
        file: Name of the settings file for messages.

    Returns:
        The first problem found, without the key itself; None if there is none.
    """
    key = "shared_key_file" if settings.shared_key_file else "shared_key"
    if settings.shared_key and settings.shared_key_file:
        return SettingProblem(
            file, key, "give either shared_key or shared_key_file"
        )
    try:
        keys = settings.shared_keys
    except (OSError, UnicodeDecodeError):
        return SettingProblem(file, key, "cannot be read")
    if not 1 <= len(keys) <= _MAX_SHARED_KEYS:
        return SettingProblem(file, key, "must hold one or two lines")
    if any(len(k) < MIN_KEY_CHARACTERS for k in keys):
        return SettingProblem(
            file,
            key,
            f"a key must have at least {MIN_KEY_CHARACTERS} characters",
        )
    return None
