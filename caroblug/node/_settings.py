"""Settings that every instance has."""

import attrs

from caroblug.utils import count, duration_ms, name, port, text

_MIN_KEY_CHARACTERS = 32


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
        shared_key: Key by which processes prove themselves.
        log: The platform's log service.
        instance_list: The platform's instance list.
        operators: Operators' Ed25519 public keys, in hexadecimal.
        signatures: How many of them must sign a bundle.
        heartbeat_ms: Silence after which a heartbeat is sent.
        silence_ms: Silence after which a connection counts as lost.
        drain_ms: How long running work may take after SIGTERM.
    """

    instance: str = name("Name of this instance, unique in the fleet.")
    data_centre: str = name("Where it runs.")
    host: str = text("IP address to listen on.", "127.0.0.1")
    peer_port: int = port("Port for caroblug's own processes.")
    http_port: int = port("Port for HTTP.")
    shared_key: str = text(
        "Key by which processes prove themselves.", low=_MIN_KEY_CHARACTERS
    )
    log: Address = attrs.field()
    instance_list: Address = attrs.field()
    operators: list[str] = attrs.field()
    signatures: int = count(1, 16, "Operators that must sign a bundle.", 1)
    heartbeat_ms: int = duration_ms("Silence before a heartbeat.", 100)
    silence_ms: int = duration_ms("Silence that means a lost link.", 500)
    drain_ms: int = duration_ms("Time to finish after SIGTERM.", 30_000)
