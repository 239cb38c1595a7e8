"""CrashReporter of the backend server, and the requests suspected of them."""

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
_CRASH_BYTES = 6


class CrashReporter:
    """Tells entries which requests were in flight when the server crashed.

    Args:
        instance: Name of this instance.
        network: Where messages are sent.
        rule: Returns the bundle's rule.
        clock: Source of time.
        metrics: Where crashes are counted.
    """

    def __init__(
        self,
        instance: str,
        network: PeerNetwork,
        rule: Callable[[], Quarantine],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._instance = instance
        self._network = network
        self._rule = rule
        self._clock = clock
        self._metrics = metrics
        self._known = Suspicions()
        self._crash = ""

    def on_up(self) -> None:
        """Takes it that the server runs: the next crash is another one."""
        self._crash = ""

    def on_crash(self, requests: Iterable[tuple[str, str, int]]) -> None:
        """Takes a crash; several calls while it is down are one crash.

        Args:
            requests: Fingerprint, client account and one past the last
                position of each request in flight.
        """
        if not self._crash:
            nonce = secrets.token_hex(_CRASH_BYTES)
            self._crash = f"{self._instance}.{nonce}"
            self._metrics.count("backend_crashes")
            log_state("backend.crashed", crash=self._crash)
        for fingerprint, client_account, position in requests:
            suspicion = Suspicion(
                fingerprint,
                client_account,
                self._crash,
                position,
                False,
                self._rule().expire_ms,
            )
            if self._known.on_suspicion(suspicion, self._clock.now_ms()):
                message = suspicion_to_wire(suspicion)
                self._network.broadcast(_ENTRY_ROLE, message)

    def on_suspicion(self, message: wire.Suspicion) -> None:
        """Takes what an entry passes on."""
        suspicion = suspicion_from_wire(message)
        self._known.on_suspicion(suspicion, self._clock.now_ms())

    def on_entry_up(self, peer: PeerAddress) -> None:
        """Tells a new entry of what is quarantined."""
        for suspicion in self._known.quarantined(self._clock.now_ms()):
            self._network.send(peer, suspicion_to_wire(suspicion))

    def tell(self, entry: PeerAddress, fingerprint: str) -> None:
        """Tells an entry what is known of a request."""
        now_ms = self._clock.now_ms()
        for suspicion in self._known.for_request(fingerprint, now_ms):
            self._network.send(entry, suspicion_to_wire(suspicion))

    def is_quarantined(self, fingerprint: str) -> bool:
        """Tells whether a request may not run here."""
        now_ms = self._clock.now_ms()
        return self._known.verdict(fingerprint, now_ms) is Verdict.QUARANTINED
