"""Settings that every instance has."""

import attrs

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
_MAX_KEYS = 2


@attrs.frozen(kw_only=True)
class Address:
    """An address in the settings."""

    host: str = text("IP address.")
    port: int = port("TCP port.")


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Settings of an entry or a side process.

    Attributes:
        instance: Name of this instance, unique in the fleet.
        data_centre: Where it runs.
        host: IP address to listen on.
        peer_port: Port for caroblug's own processes.
        http_port: Port for HTTP.
        shared_key: Key by which processes prove themselves; empty if it is
            in a file.
        shared_key_file: File with that key on its first line; while keys
            are exchanged, another accepted key on its second.
        log: The platform's log service.
        instance_list: The platform's instance list.
        operators: Operators' Ed25519 public keys, in hexadecimal.
        signatures: How many of them must sign a bundle.
        instances_ms: Least time between two reads of the instance list.
        log_retention_ms: How long the log service keeps a record.
        advertised_host: IP address by which others reach the peer port;
            empty if it is `host`.
        advertised_port: Port by which others reach the peer port; 0 if it
            is `peer_port`.
        heartbeat_ms: Quiet time before a heartbeat, with work in flight.
        silence_ms: Wait for an acknowledgement, with work in flight, after
            which a new connection asks the peer.
        peer_probe_ms: Wait for the peer's answer on a new connection.
        drain_ms: How long running work may take after SIGTERM. For an entry
            it must not be below the bundle's longest deadline.
        linger_ms: Shortest time from SIGTERM to the exit, in which others
            learn that the instance leaves. An entry takes requests until
            then: the balancer notices `/readyz` late.
    """

    instance: str = name("Name of this instance, unique in the fleet.")
    data_centre: str = name("Where it runs.")
    host: str = text("IP address to listen on.", "127.0.0.1")
    peer_port: int = port("Port for caroblug's own processes.")
    http_port: int = port("Port for HTTP.")
    shared_key: str = secret(
        "Key by which processes prove themselves.", MIN_KEY_CHARACTERS
    )
    shared_key_file: str = text("File with that key.", "", low=0)
    log: Address = attrs.field()
    instance_list: Address = attrs.field()
    operators: list[str] = attrs.field()
    signatures: int = count(1, 16, "Operators that must sign a bundle.", 1)
    instances_ms: int = duration_ms("Time between instance list reads.", 500)
    log_retention_ms: int = duration_ms("How long the log keeps.", 3_600_000)
    advertised_host: str = ""
    advertised_port: int = port("Port by which others reach it.", 0)
    heartbeat_ms: int = duration_ms("Quiet time before a heartbeat.", 100)
    silence_ms: int = duration_ms("Silence before a new connection.", 300)
    peer_probe_ms: int = duration_ms("Wait for an answer on it.", 300)
    drain_ms: int = duration_ms("Time to finish after SIGTERM.", 120_000)
    linger_ms: int = duration_ms("Shortest time to the exit.", 1000)

    @property
    def reach_host(self) -> str:
        """IP address by which others reach the peer port."""
        return self.advertised_host or self.host

    @property
    def reach_port(self) -> int:
        """Port by which others reach the peer port."""
        return self.advertised_port or self.peer_port

    def make_timing(self) -> SessionTiming:
        """Returns how soon a peer is asked whether it still lives."""
        return SessionTiming(
            heartbeat_ms=self.heartbeat_ms,
            silence_ms=self.silence_ms,
            probe_ms=self.peer_probe_ms,
        )

    @property
    def shared_keys(self) -> tuple[str, ...]:
        """The key to speak with, then others that are accepted.

        Raises:
            OSError: The file cannot be read.
        """
        if not self.shared_key_file:
            return (self.shared_key,)
        with open(self.shared_key_file, encoding="ascii") as stream:
            lines = [line.strip() for line in stream]
        return tuple(line for line in lines if line)


def check_shared_keys(
    settings: NodeSettings, file: str
) -> SettingProblem | None:
    """Returns what is wrong with the shared key; never the key itself.

    Args:
        settings: The settings.
        file: Name to give in messages.
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
    if not 1 <= len(keys) <= _MAX_KEYS:
        return SettingProblem(file, key, "must hold one or two lines")
    if any(len(k) < MIN_KEY_CHARACTERS for k in keys):
        return SettingProblem(
            file, key, f"a key must have {MIN_KEY_CHARACTERS} characters"
        )
    return None
