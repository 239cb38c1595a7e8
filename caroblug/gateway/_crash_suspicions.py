"""Requests that crash the backend servers which run them.

Recovery would bring such a request to one backend server after the other, and
its caller sends it again, to any gateway. A request that was on a backend
server when its process ended is suspected of that crash; gateways tell each
other, and one that is suspected of three crashes runs no more.
"""

import hashlib

from caroblug.core.limits import Suspicion, Suspicions, Verdict
from caroblug.gateway._exchange_results import FailureKind
from caroblug.gateway._fleet import Fleet
from caroblug.gateway._http_client import Address, Exchange
from caroblug.gateway._pending_request import PendingRequest
from caroblug.utils import Clock

QUARANTINE_CRASHES = 3
"""Two would quarantine a request that met two unrelated crashes, which on a
bad day happens to one in some thousand; four would cost a fourth engine."""

_REMEMBERED_MS = 120_000
"""How long a crash counts: callers come back within their deadline of 20 s."""

_PROBE_S = 0.25
_MOST_TOLD = 50


class CrashSuspicions:
    """Suspicions of one gateway.

    Args:
        clock: Source of time.
        fleet: Backend servers, which name their starts.
    """

    def __init__(self, clock: Clock, fleet: Fleet) -> None:
        self._clock = clock
        self._fleet = fleet
        self._suspicions = Suspicions(QUARANTINE_CRASHES)

    def is_quarantined(self, pending: PendingRequest) -> bool:
        """Returns whether a request may not run."""
        if not len(self._suspicions):
            return False
        verdict = self._suspicions.verdict(
            fingerprint(pending), self._clock.now_ms()
        )
        return verdict is Verdict.QUARANTINED

    def on_connection_lost(
        self, pending: PendingRequest, name: str, address: Address
    ) -> bool:
        """Suspects a request whose connection broke, if a process ended.

        Args:
            pending: The request.
            name: The backend server's name.
            address: Where it answered.

        Returns:
            Whether the process has ended: nobody listens there any more. A
            backend server that merely broke off an answer goes on listening,
            and one that is cut off refuses nothing.
        """
        exchange = Exchange(address)
        problem = exchange.connect(_PROBE_S)
        exchange.close()
        if problem is None or problem.failure is not FailureKind.REFUSED:
            return False
        self.on_process_ended(pending, name)
        return True

    def on_process_ended(self, pending: PendingRequest, name: str) -> None:
        """Suspects a request that was on a backend server as it ended."""
        self._suspicions.on_suspicion(
            Suspicion(
                fingerprint(pending),
                pending.account or "",
                self._name_crash(name),
                0,
                False,
                _REMEMBERED_MS,
            ),
            self._clock.now_ms(),
        )

    def _name_crash(self, name: str) -> str:
        """Names the end of one start of a backend server.

        Guards against equal requests of many callers: when a backend server
        ends for another reason with several of them on it, each would count
        as a crash, and all callers of a popular request would be refused.
        """
        listed = self._fleet.listing.backends.get(name)
        return f"{name}/{listed.started_ms if listed else 0}"

    def export(self) -> list[list]:
        """Returns what other gateways should know."""
        known = self._suspicions.all_live(self._clock.now_ms())
        return [
            [s.fingerprint, s.client_account, s.crash, s.remaining_ms]
            for s in known[-_MOST_TOLD:]
        ]

    def merge(self, told: list) -> None:
        """Takes what another gateway knows."""
        now_ms = self._clock.now_ms()
        for print_, account, crash, remaining_ms in told:
            self._suspicions.on_suspicion(
                Suspicion(
                    str(print_),
                    str(account),
                    str(crash),
                    0,
                    False,
                    min(int(remaining_ms), _REMEMBERED_MS),
                ),
                now_ms,
            )


def fingerprint(pending: PendingRequest) -> str:
    """Returns what equal requests of one client account have in common."""
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
