"""Settings that every instance has."""

import attrs

from caroblug.transport import Timing
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
        advertised_host: IP address by which others reach the peer port;
            empty if it is `host`.
        advertised_port: Port by which others reach the peer port; 0 if it
            is `peer_port`.
        heartbeat_ms: Quiet time before a heartbeat, with work in flight.
        silence_ms: Wait for an acknowledgement, with work in flight, after
            which a new connection asks the peer.
        probe_ms: Wait for the peer's answer on a new connection.
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
    shared_key: str = text(
        "Key by which processes prove themselves.", low=_MIN_KEY_CHARACTERS
    )
    log: Address = attrs.field()
    instance_list: Address = attrs.field()
    operators: list[str] = attrs.field()
    signatures: int = count(1, 16, "Operators that must sign a bundle.", 1)
    advertised_host: str = ""
    advertised_port: int = port("Port by which others reach it.", 0)
    heartbeat_ms: int = duration_ms("Quiet time before a heartbeat.", 100)
    silence_ms: int = duration_ms("Silence before a new connection.", 300)
    probe_ms: int = duration_ms("Wait for an answer on it.", 300)
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

    def make_timing(self) -> Timing:
        """Returns how soon a peer is asked whether it still lives."""
        return Timing(
            heartbeat_ms=self.heartbeat_ms,
            silence_ms=self.silence_ms,
            probe_ms=self.probe_ms,
        )
