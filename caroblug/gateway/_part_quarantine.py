"""Quarantine of prompt parts that crash the engines that write on them.

Requests with such a part are never alike, so that no request is suspected of
several crashes. The suspicions are exchanged like those of requests.
"""

from collections.abc import Callable

from caroblug.core.limits import (
    PartSuspicions,
    Suspicion,
    SuspicionSharing,
    make_prompt_key,
)
from caroblug.gateway._context import Context
from caroblug.gateway._pending_request import PendingRequest

_REQUEST_LENGTH = 8
"""Digits of a fingerprint, which tell the requests of one part apart."""

_PROVEN = "proven"
"""Name under which the clearing of a part waits to be sent."""


class PartQuarantine:
    """Prompt parts that this gateway suspects or refuses.

    Args:
        context: State shared by the gateway's components.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._clock = context.clock
        self._suspicions = PartSuspicions(context.settings.instance)
        self._sharing = SuspicionSharing(self._suspicions)
        self._unsaved: set[str] = set()

    @property
    def untold(self) -> int:
        """Number of suspicions that are yet to be sent."""
        return self._sharing.untold

    def digest(self) -> str:
        """Returns a digest of the parts that all gateways are to know of."""
        return self._sharing.digest(self._clock.now_ms())

    def choose(self, peer_digest: str | None) -> list[Suspicion]:
        """Returns suspicions to tell a gateway (`SuspicionSharing.choose`)."""
        return self._sharing.choose(peer_digest, self._clock.now_ms())

    def choose_cleared(self) -> list[tuple[str, str]]:
        """Returns what to tell of parts that were cleared, and refusals."""
        now_ms = self._clock.now_ms()
        return [
            (key, self._suspicions.make_proof_name(key, now_ms))
            if name == _PROVEN
            else (key, name)
            for key, name in self._sharing.choose_cleared()
        ]

    def on_told(self, told: list[tuple[str, str]]) -> None:
        """Counts suspicions that another gateway has received."""
        self._sharing.on_told(told)

    def on_cleared_told(self, told: list[tuple[str, str]]) -> None:
        """Counts clearings that another gateway has received."""
        self._sharing.on_cleared_told(
            [
                (key, _PROVEN if name.startswith(_PROVEN) else name)
                for key, name in told
            ]
        )

    def is_refused(self, pending: PendingRequest) -> bool:
        """Returns whether a request must not run because of its prompt."""
        if self._suspicions.is_empty:
            return False
        self.evaluate()
        now_ms = self._clock.now_ms()
        key = prompt_key(pending)
        return self._suspicions.find_refused(key, now_ms) is not None

    def evaluate(self) -> None:
        """Decides which parts are refused from now on."""
        if self._suspicions.is_empty:
            return
        verdicts = self._suspicions.evaluate(self._clock.now_ms())
        for key in verdicts.refused:
            self._on_refused(key, own=True)
        for suspicion in verdicts.revoked:
            self._sharing.on_cleared(suspicion, own=True)
            self._log_released(suspicion.fingerprint, "explained")
        self._context.telemetry.gauge(
            "quarantined_parts", len(self._suspicions.refused())
        )

    def on_run(self, pending: PendingRequest) -> None:
        """Records that a run of a request has started."""
        self._suspicions.on_run(prompt_key(pending))

    def on_loss(
        self,
        key: str,
        request: str,
        written_ms: int,
        make_crash_id: Callable[[Callable[[str], int | None]], str],
    ) -> None:
        """Suspects the parts of a request that lost a process as it began.

        Args:
            key: Key of the request's prompt.
            request: Fingerprint of the request.
            written_ms: Time for which it had written.
            make_crash_id: Returns the id of the crash, given a function that
                returns when the prompt was lost in a crash of some id.
        """
        now_ms = self._clock.now_ms()
        crash = make_crash_id(
            lambda name: self._suspicions.learned_ms(key, name)
        )
        if self._suspicions.on_loss(
            key, crash, request[:_REQUEST_LENGTH], written_ms, now_ms
        ):
            self._tell_new(key, crash, own=True)

    def on_proof(self, pending: PendingRequest, since_ms: int) -> None:
        """Clears the parts of a request whose run has written for some time.

        Args:
            pending: The request.
            since_ms: When the run began to write.
        """
        key = prompt_key(pending)
        now_ms = self._clock.now_ms()
        before = self._suspicions.refused()
        for part in self._suspicions.on_proof(key, since_ms, now_ms):
            self._tell_proven(part, own=True)
        self._log_changes(before)

    def merge(self, suspicion: Suspicion) -> None:
        """Adds a suspicion received from another gateway."""
        now_ms = self._clock.now_ms()
        key, name = suspicion.fingerprint, suspicion.crash
        before = self._suspicions.refused()
        is_new = self._suspicions.on_suspicion(suspicion, now_ms)
        known = self._suspicions.for_request(key, now_ms)
        is_cleared = any(s.crash == name and s.cleared for s in known)
        if is_new or is_cleared:
            # The sender may not know that a part is innocent.
            for part in self._suspicions.find_proven(suspicion, now_ms):
                self._tell_proven(part, own=False)
        if is_new and not is_cleared:
            self._tell_new(key, name, own=False)
        for refused in set(self._suspicions.refused()).difference(before):
            self._on_refused(refused, own=False)

    def merge_cleared(self, suspicion: Suspicion) -> None:
        """Clears what another gateway has cleared."""
        now_ms = self._clock.now_ms()
        before = self._suspicions.refused()
        if not self._suspicions.on_suspicion(suspicion, now_ms):
            return
        if suspicion.crash.startswith(_PROVEN):
            self._tell_proven(suspicion.fingerprint, own=False)
        else:
            self._sharing.on_cleared(suspicion, own=False)
        self._log_changes(before)

    def has_refused(self, key: str) -> bool:
        """Returns whether a refusal of parts holds."""
        return self._suspicions.is_refused(key)

    def unsaved(self) -> dict[str, list[Suspicion]]:
        """Returns the refusals to be saved in the store, by parts."""
        now_ms = self._clock.now_ms()
        return {
            key: self._suspicions.refusals(key, now_ms)
            for key in sorted(self._unsaved)
            if self.has_refused(key)
        }

    def on_saved(self, keys: set[str]) -> None:
        """Records that the store has parts that are refused."""
        self._unsaved.difference_update(keys)

    def _on_refused(self, key: str, own: bool) -> None:
        context = self._context
        now_ms = self._clock.now_ms()
        known = self._suspicions.refusals(key, now_ms)
        if own:
            for refusal in known:
                self._sharing.on_new(refusal, own=True, now_ms=now_ms)
            if self._suspicions.has_own_loss(key):
                self._unsaved.add(key)
        source = "own" if own else "peer"
        context.telemetry.count("part_quarantines", source=source)
        context.log.write(
            "part.quarantined",
            parts=key,
            source=source,
            crashes=self._suspicions.crashes(key),
        )

    def _log_changes(self, before: list[str]) -> None:
        """Logs refusals that have ended because a part was cleared."""
        for key in set(before).difference(self._suspicions.refused()):
            self._log_released(key, "proven")

    def _log_released(self, key: str, reason: str) -> None:
        self._context.log.write("part.released", parts=key, reason=reason)

    def _tell_proven(self, part: str, own: bool) -> None:
        self._sharing.on_cleared(Suspicion(part, "", _PROVEN, 0, True, 0), own)
        self._context.telemetry.count(
            "parts_cleared", source="own" if own else "peer"
        )

    def _tell_new(self, key: str, crash: str, own: bool) -> None:
        now_ms = self._clock.now_ms()
        new = Suspicion(key, "", crash, 0, False, 0)
        self._sharing.on_new(new, own, now_ms)
        self._context.telemetry.count(
            "part_suspicions", source="own" if own else "peer"
        )


def prompt_key(pending: PendingRequest) -> str:
    """Returns the key of the parts of a request's prompt."""
    if pending.prompt_key is None:
        pending.prompt_key = make_prompt_key(
            pending.admitted.service.name, pending.caller.shared_parts
        )
    return pending.prompt_key
