"""Quarantine of requests that crash the backend servers running them.

Recovery would send such a request to one backend server after another, and its
caller retries it at any gateway. A request that was running on a backend server
when the server's process ended is suspected of that crash. Gateways exchange
their suspicions, and a request suspected of three crashes is refused.
"""

import hashlib

from caroblug.core.limits import (
    Suspicion,
    Suspicions,
    SuspicionSharing,
    Verdict,
)
from caroblug.gateway._context import Context
from caroblug.gateway._exchange_results import FailureKind
from caroblug.gateway._http_client import Address, Exchange
from caroblug.gateway._pending_request import PendingRequest

QUARANTINE_CRASHES = 3
"""Crashes after which a request is quarantined. With two, a request hit by two
unrelated crashes would be quarantined, which on a bad day happens to one
request in several thousand; with four, each such request crashes a fourth
engine."""

_SUSPICION_TTL_MS = 120_000
"""Time for which a suspicion counts; callers retry within their deadline of
20 s."""

QUARANTINE_MS = 600_000
"""Time for which a request is quarantined. It isn't extended when the request
comes again, so that a popular one which was innocent runs again some time."""

_PROBE_TIMEOUT_S = 0.25


class CrashSuspicions:
    """Suspicions known to one gateway.

    Args:
        context: State shared by the gateway's components.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._clock = context.clock
        self._suspicions = Suspicions(QUARANTINE_CRASHES)
        self._sharing = SuspicionSharing(self._suspicions)

    def is_quarantined(self, pending: PendingRequest) -> bool:
        """Returns whether a request must not run."""
        if not len(self._suspicions):
            return False
        verdict = self._suspicions.verdict(
            fingerprint(pending), self._clock.now_ms()
        )
        return verdict is Verdict.QUARANTINED

    def on_connection_lost(
        self, pending: PendingRequest, name: str, address: Address
    ) -> bool:
        """Suspects a request that lost its connection if the process ended.

        The process has ended if its port refuses connections. A backend server
        that only broke off one response still listens, and one that is cut off
        refuses nothing.

        Args:
            pending: The request.
            name: Name of the backend server.
            address: Host and port of the backend server.

        Returns:
            Whether the process has ended.
        """
        exchange = Exchange(address)
        problem = exchange.connect(_PROBE_TIMEOUT_S)
        exchange.close()
        if problem is None or problem.failure is not FailureKind.REFUSED:
            return False
        self.on_process_ended(pending, name)
        return True

    def on_process_ended(self, pending: PendingRequest, name: str) -> None:
        """Suspects a request that was on a backend server when it ended."""
        suspicion = Suspicion(
            fingerprint(pending),
            pending.account or "",
            self._make_crash_id(name),
            0,
            False,
            _SUSPICION_TTL_MS,
        )
        if self._record(suspicion, own=True):
            self._context.log.write(
                "request.suspected",
                request=pending.caller.id,
                fingerprint=suspicion.fingerprint,
                client_account=pending.account,
                backend_server=name,
                crash=suspicion.crash,
            )

    def _record(self, suspicion: Suspicion, own: bool) -> bool:
        """Records a suspicion and returns whether it is new.

        Args:
            suspicion: The suspicion.
            own: Whether this gateway has observed the crash.
        """
        source = "own" if own else "peer"
        now_ms = self._clock.now_ms()
        digest = suspicion.fingerprint
        before = self._suspicions.verdict(digest, now_ms)
        if not self._suspicions.on_suspicion(suspicion, now_ms):
            return False
        self._sharing.on_new(suspicion, own, now_ms)
        context = self._context
        context.telemetry.count("suspicions", source=source)
        context.telemetry.gauge("suspected_requests", len(self._suspicions))
        after = self._suspicions.verdict(digest, now_ms)
        if after is Verdict.QUARANTINED and before is not after:
            if own:
                self._suspicions.extend(digest, QUARANTINE_MS, now_ms)
            context.telemetry.count("quarantines", source=source)
            context.log.write(
                "request.quarantined",
                fingerprint=digest,
                client_account=suspicion.client_account,
                source=source,
                crashes=[
                    s.crash
                    for s in self._suspicions.for_request(digest, now_ms)
                ],
            )
        return True

    def _make_crash_id(self, name: str) -> str:
        """Returns an id for the crash of one process of a backend server.

        The id doesn't depend on the request. If a backend server with several
        equal requests on it ends for another reason, that counts as one crash.
        Otherwise all callers of a popular request would be refused.
        """
        listed = self._context.fleet.listing.backends.get(name)
        return f"{name}/{listed.started_ms if listed else 0}"

    def digest(self) -> str:
        """Returns a digest of the requests suspected of several crashes."""
        return self._sharing.digest(self._clock.now_ms())

    def export(self, peer_digest: str | None) -> list[list]:
        """Returns suspicions in the form sent to another gateway.

        Args:
            peer_digest: Digest that the other gateway last sent; None if it
                has sent none.
        """
        chosen = self._sharing.choose(peer_digest, self._clock.now_ms())
        self._context.telemetry.gauge("suspicions_untold", self._sharing.untold)
        return [
            [s.fingerprint, s.client_account, s.crash, s.remaining_ms]
            for s in chosen
        ]

    def on_exported(self, suspicions: list) -> None:
        """Counts suspicions that another gateway has received.

        Args:
            suspicions: Suspicions in the form that `export` returns.
        """
        self._sharing.on_told([(row[0], row[2]) for row in suspicions])

    def merge(self, suspicions: list) -> None:
        """Adds the suspicions received from another gateway.

        Args:
            suspicions: Suspicions in the form that `export` returns.
        """
        for digest, account, crash, remaining_ms in suspicions:
            suspicion = Suspicion(
                str(digest),
                str(account),
                str(crash),
                0,
                False,
                min(int(remaining_ms), QUARANTINE_MS),
            )
            self._record(suspicion, own=False)


def fingerprint(pending: PendingRequest) -> str:
    """Returns a digest that equal requests of one client account share."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (
        (pending.account or "").encode(),
        pending.request.method.encode(),
        pending.request.target.encode(),
        pending.request.body,
    ):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.hexdigest()
