"""Reports of engine crashes and of the requests suspected of causing them."""

import secrets
from collections.abc import Callable, Iterable

from caroblug.core.limits import Suspicion, Suspicions, Verdict
from caroblug.core.state import Quarantine
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import (
    PeerAddress,
    PeerNetwork,
    suspicion_from_wire,
    suspicion_to_wire,
)
from caroblug.utils import Clock, Metrics, log_state

_ENTRY_ROLE = "entry"
_CRASH_ID_BYTES = 6


class CrashReporter:
    """Reports the requests that were in flight at a crash to the entries.

    Args:
        instance: Name of this instance.
        network: Network that sends the reports.
        quarantine: Returns the quarantine rule of the bundle in force.
        clock: Source of time.
        metrics: Registry that counts crashes.
    """

    def __init__(
        self,
        instance: str,
        network: PeerNetwork,
        quarantine: Callable[[], Quarantine],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._instance = instance
        self._network = network
        self._quarantine = quarantine
        self._clock = clock
        self._metrics = metrics
        self._suspicions = Suspicions()
        self._crash_id = ""

    def on_engine_up(self) -> None:
        """Ends the current crash: the engine is up again."""
        self._crash_id = ""

    def on_crash(self, requests: Iterable[tuple[str, str, int]]) -> None:
        """Records a crash and broadcasts a suspicion of each request.

        Several failed calls until the engine is up again count as one crash.

        Args:
            requests: Fingerprint, client account and one past the last
                position of each request in flight.
        """
        if not self._crash_id:
            nonce = secrets.token_hex(_CRASH_ID_BYTES)
            self._crash_id = f"{self._instance}.{nonce}"
            self._metrics.count("backend_crashes")
            log_state("backend.crashed", crash=self._crash_id)
        for fingerprint, client_account, position in requests:
            suspicion = Suspicion(
                fingerprint,
                client_account,
                self._crash_id,
                position,
                False,
                self._quarantine().expire_ms,
            )
            if self._suspicions.on_suspicion(suspicion, self._clock.now_ms()):
                message = suspicion_to_wire(suspicion)
                self._network.broadcast(_ENTRY_ROLE, message)

    def on_suspicion(self, message: wire.Suspicion) -> None:
        """Records a suspicion that an entry forwards."""
        suspicion = suspicion_from_wire(message)
        self._suspicions.on_suspicion(suspicion, self._clock.now_ms())

    def on_entry_up(self, peer: PeerAddress) -> None:
        """Sends the suspicions of quarantined requests to a new entry."""
        for suspicion in self._suspicions.quarantined(self._clock.now_ms()):
            self._network.send(peer, suspicion_to_wire(suspicion))

    def send_suspicions(self, entry: PeerAddress, fingerprint: str) -> None:
        """Sends the suspicions of a request to an entry."""
        now_ms = self._clock.now_ms()
        for suspicion in self._suspicions.for_request(fingerprint, now_ms):
            self._network.send(entry, suspicion_to_wire(suspicion))

    def is_quarantined(self, fingerprint: str) -> bool:
        """Returns whether a request is quarantined and must not run here."""
        now_ms = self._clock.now_ms()
        return (
            self._suspicions.verdict(fingerprint, now_ms) is Verdict.QUARANTINED
        )
