"""Quarantine of requests that crash the backend servers running them.

Recovery would send such a request to one backend server after another, and its
caller retries it at any gateway. A request that was running on a backend server
when the server's process ended is suspected of that crash. Gateways exchange
their suspicions, and a request suspected of three crashes is refused.
"""

import collections
import hashlib
from collections.abc import Callable

import attrs
import gevent

from caroblug.core.limits import (
    WRITING_MS,
    Suspicion,
    Suspicions,
    SuspicionSharing,
    is_prompt_key,
)
from caroblug.gateway._context import Context
from caroblug.gateway._part_quarantine import PartQuarantine, prompt_key
from caroblug.gateway._peer_members import MAX_NAME_CHARACTERS
from caroblug.gateway._pending_request import PendingRequest
from caroblug.gateway._process_ends import (
    LostRun,
    ProcessChecks,
    ProcessState,
    ServerProcess,
    UnresolvedEnds,
)

QUARANTINE_CRASHES = 3
"""Crashes after which a request is quarantined. With two, a request hit by two
unrelated crashes would be quarantined, which on a bad day happens to one
request in several thousand; with four, each such request crashes a fourth
engine."""

_QUARANTINE_CRASHES_IF_SERVED = 6
"""Crashes since its last answer after which a request is quarantined that was
answered within `_SUSPICION_TTL_MS`. A popular request is at every server that
ends, and refusing it would be an outage for its callers."""

_SUSPICION_TTL_MS = 120_000
"""Time for which a suspicion counts; callers retry within their deadline of
20 s."""

QUARANTINE_MS = 600_000
"""Time for which a request is quarantined. It isn't extended when the request
comes again, so that a popular one which was innocent runs again some time."""

_MAX_SERVED = 4096
"""Answered requests that are remembered. Popular ones are answered again and
again, and only those can have several copies at servers that end."""

_RESOLVE_INTERVAL_S = 0.25


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
        self._unsaved: set[str] = set()
        self._served_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._parts = PartQuarantine(context)
        self._checks = ProcessChecks(context)
        self._unresolved = UnresolvedEnds(context)

    def is_quarantined(self, pending: PendingRequest) -> bool:
        """Returns whether a request must not run."""
        if self._parts.is_refused(pending):
            return True
        if not len(self._suspicions):
            return False
        return self.has_quarantined(fingerprint(pending))

    def run(self) -> None:
        """Finds out which lost runs were crashes until the process ends."""
        while True:
            gevent.sleep(_RESOLVE_INTERVAL_S)
            self._suspicions.remove_expired(self._clock.now_ms())
            self._parts.evaluate()
            for lost in self._unresolved.resolve():
                self._suspect(lost)

    def on_run_lost(
        self, pending: PendingRequest, process: ServerProcess
    ) -> ProcessState:
        """Suspects a request that lost its connection if the process ended.

        Args:
            pending: The request.
            process: A process that it ran on.

        Returns:
            What is known of the process now. Its end may be found later.
        """
        found = self._checks.check(process)
        if found is ProcessState.ENDED:
            self.on_process_ended(pending, process)
        elif found is not ProcessState.ALIVE:
            pending.lost_server = True
            self._unresolved.add(_lost_run(pending, process), found)
        return found

    def has_ended(
        self, pending: PendingRequest, process: ServerProcess
    ) -> bool:
        """Returns whether the process of an answer has ended, and records it.

        Args:
            pending: The request.
            process: The process, which has closed the connection.
        """
        if self._checks.check(process) is not ProcessState.ENDED:
            return False
        self.on_process_ended(pending, process)
        return True

    def on_unreachable(
        self, pending: PendingRequest, process: ServerProcess
    ) -> None:
        """Records that a request was on a process that doesn't answer."""
        pending.lost_server = True
        run = _lost_run(pending, process)
        self._unresolved.add(run, ProcessState.SILENT)

    def on_process_ended(
        self, pending: PendingRequest, process: ServerProcess
    ) -> None:
        """Suspects a request that was on a process when it ended."""
        pending.lost_server = True
        self._suspect(_lost_run(pending, process))

    def on_run(self, pending: PendingRequest) -> None:
        """Records that a run of a stream begins."""
        self._parts.on_run(pending)

    def on_written(self, pending: PendingRequest, since_ms: int) -> None:
        """Clears the parts of a prompt on which a run writes its answer.

        Args:
            pending: The request.
            since_ms: When the run began to write.
        """
        self._parts.on_proof(pending, since_ms)

    def on_served(self, pending: PendingRequest) -> None:
        """Clears a request that has been answered, since it crashes nothing.

        One that has lost a server on the way may have crashed it.
        """
        if pending.lost_server:
            return
        digest = fingerprint(pending)
        now_ms = self._clock.now_ms()
        if not pending.is_empty_stream:
            self._parts.on_proof(pending, now_ms - pending.written_ms)
        self._served_ms.pop(digest, None)
        self._served_ms[digest] = now_ms
        if len(self._served_ms) > _MAX_SERVED:
            self._served_ms.popitem(last=False)
        self._unresolved.discard(digest)
        self._unsaved.discard(digest)
        for cleared in self._suspicions.absolve(digest, now_ms):
            self._sharing.on_cleared(cleared, own=True)
            self._context.telemetry.count("suspicions_cleared")

    def _suspect(self, lost: LostRun) -> None:
        """Suspects a request, and the parts of its prompt.

        One that had written for some time is only suspected once an attempt:
        streams that are moved from engine to engine while others crash them
        would be refused otherwise.
        """
        exposure = lost.process.exposure
        if exposure in lost.crashed_exposures:
            return
        has_written = lost.written_ms >= WRITING_MS
        if has_written and lost.crashed_exposures:
            return
        lost.crashed_exposures.add(exposure)
        if not has_written:
            self._parts.on_loss(
                lost.prompt_key,
                lost.fingerprint,
                lost.written_ms,
                lambda find_ms: _make_crash_id(lost.process, find_ms),
            )
        suspicion = Suspicion(
            lost.fingerprint,
            lost.account,
            _make_crash_id(
                lost.process,
                lambda crash: self._suspicions.learned_ms(
                    lost.fingerprint, crash, self._clock.now_ms()
                ),
            ),
            0,
            False,
            _SUSPICION_TTL_MS,
        )
        if self._record(suspicion, own=True):
            self._context.log.write(
                "request.suspected",
                request=lost.request_id,
                fingerprint=lost.fingerprint,
                client_account=lost.account,
                backend_server=lost.process.name,
                crash=suspicion.crash,
                shared_parts=list(lost.shared_parts),
                written_ms=lost.written_ms,
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
        before = self.has_quarantined(digest)
        if not self._suspicions.on_suspicion(suspicion, now_ms):
            if self._suspicions.is_cleared(digest, suspicion.crash, now_ms):
                # The sender doesn't know that the request is innocent.
                self._sharing.on_cleared(suspicion, own=False)
            return False
        self._sharing.on_new(suspicion, own, now_ms)
        context = self._context
        context.telemetry.count("suspicions", source=source)
        context.telemetry.gauge("suspected_requests", len(self._suspicions))
        if self.has_quarantined(digest) and not before:
            if own:
                self._suspicions.extend(digest, QUARANTINE_MS, now_ms)
                self._unsaved.add(digest)
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

    def digest(self) -> str:
        """Returns a digest of what is suspected of several crashes."""
        now_ms = self._clock.now_ms()
        return f"{self._sharing.digest(now_ms)}.{self._parts.digest()}"

    def export(self, peer_digest: str | None) -> list[list]:
        """Returns suspicions in the form sent to another gateway.

        Args:
            peer_digest: Digest that the other gateway last sent; None if it
                has sent none.
        """
        # Gateways of the previous version send no digest of parts.
        requests, _, parts = (peer_digest or "").partition(".")
        now_ms = self._clock.now_ms()
        chosen = self._parts.choose(parts or None)
        chosen += self._sharing.choose(requests or None, now_ms)
        untold = self._sharing.untold + self._parts.untold
        self._context.telemetry.gauge("suspicions_untold", untold)
        return _encode(chosen)

    def on_exported(self, suspicions: list) -> None:
        """Counts suspicions that another gateway has received.

        Args:
            suspicions: Suspicions in the form that `export` returns.
        """
        keys = [(row[0], row[2]) for row in suspicions]
        self._parts.on_told([key for key in keys if is_prompt_key(key[0])])
        self._sharing.on_told(
            [key for key in keys if not is_prompt_key(key[0])]
        )

    def export_cleared(self) -> list[tuple[str, str]]:
        """Returns cleared suspicions in the form sent to another gateway."""
        return self._parts.choose_cleared() + self._sharing.choose_cleared()

    def on_cleared_exported(self, cleared: list[tuple[str, str]]) -> None:
        """Counts cleared suspicions that another gateway has received."""
        self._parts.on_cleared_told([k for k in cleared if is_prompt_key(k[0])])
        self._sharing.on_cleared_told(
            [key for key in cleared if not is_prompt_key(key[0])]
        )

    def merge_cleared(self, cleared: list) -> None:
        """Clears suspicions that another gateway has cleared.

        Args:
            cleared: Cleared suspicions in the form that `export_cleared`
                returns.
        """
        now_ms = self._clock.now_ms()
        for digest, crash in cleared:
            suspicion = Suspicion(
                str(digest), "", str(crash), 0, True, _SUSPICION_TTL_MS
            )
            if self._is_too_long(suspicion):
                continue
            if is_prompt_key(suspicion.fingerprint):
                self._parts.merge_cleared(suspicion)
            elif self._suspicions.on_suspicion(suspicion, now_ms):
                self._sharing.on_cleared(suspicion, own=False)

    def unsaved_quarantines(self) -> dict[str, list[list]]:
        """Returns quarantined requests that are to be saved in the store.

        Returns:
            Their suspicions, in the form that `export` returns, by fingerprint.
        """
        now_ms = self._clock.now_ms()
        unsaved = self._parts.unsaved()
        for digest in sorted(self._unsaved):
            if self.has_quarantined(digest):
                unsaved[digest] = self._suspicions.for_request(digest, now_ms)
        return {key: _encode(known) for key, known in unsaved.items()}

    def has_quarantined(self, digest: str) -> bool:
        """Returns whether requests with a fingerprint or part must not run."""
        if is_prompt_key(digest):
            return self._parts.has_refused(digest)
        now_ms = self._clock.now_ms()
        crashes = self._suspicions.count_crashes(digest, now_ms)
        if crashes < QUARANTINE_CRASHES:
            return False
        served_ms = self._served_ms.get(digest)
        if served_ms is None or now_ms - served_ms > _SUSPICION_TTL_MS:
            return True
        return crashes >= _QUARANTINE_CRASHES_IF_SERVED

    def on_quarantines_saved(self, saved: dict[str, list[list]]) -> None:
        """Records that the store has quarantined requests and parts."""
        self._parts.on_saved(set(saved))
        self._unsaved.difference_update(saved)

    def merge(self, suspicions: list) -> None:
        """Adds the suspicions received from another gateway.

        Args:
            suspicions: Suspicions in the form that `export` returns.
        """
        now_ms = self._clock.now_ms()
        for digest, account, crash, remaining_ms in suspicions:
            suspicion = Suspicion(
                str(digest),
                str(account),
                str(crash),
                0,
                False,
                min(int(remaining_ms), QUARANTINE_MS),
            )
            if self._is_too_long(suspicion):
                continue
            if is_prompt_key(suspicion.fingerprint):
                self._parts.merge(suspicion)
            elif self._was_served_since(suspicion, now_ms):
                cleared = attrs.evolve(suspicion, cleared=True)
                if self._suspicions.on_suspicion(cleared, now_ms):
                    self._sharing.on_cleared(cleared, own=True)
            else:
                self._record(suspicion, own=False)

    def _is_too_long(self, suspicion: Suspicion) -> bool:
        """Returns whether a gateway's suspicion has names that aren't kept."""
        names = (
            suspicion.fingerprint,
            suspicion.client_account,
            suspicion.crash,
        )
        too_long = max(map(len, names)) > MAX_NAME_CHARACTERS
        if too_long:
            self._context.telemetry.count("suspicions_ignored")
        return too_long

    def _was_served_since(self, suspicion: Suspicion, now_ms: int) -> bool:
        """Returns whether a request was answered here after its last crash.

        The time that is left shows when the sender recorded the last crash.
        """
        served_ms = self._served_ms.get(suspicion.fingerprint)
        if served_ms is None:
            return False
        left_ms = suspicion.remaining_ms
        ttl_ms = (
            _SUSPICION_TTL_MS if left_ms <= _SUSPICION_TTL_MS else QUARANTINE_MS
        )
        return served_ms > now_ms - (ttl_ms - left_ms)


def _make_crash_id(
    process: ServerProcess, find_learned_ms: Callable[[str], int | None]
) -> str:
    """Returns an id for the end of one process of a backend server.

    The id doesn't depend on the request. If a backend server with several
    equal requests on it ends for another reason, that counts as one crash.
    Otherwise all callers of a popular request would be refused. A run that
    began after a crash was known was lost in another one, although the list
    may still have the start of the process before.

    Args:
        process: The process.
        find_learned_ms: Returns when a crash of some id was learned of; None if
            it is unknown.
    """
    base = f"{process.name}/{process.started_ms}"
    crash = base
    number = 1
    while True:
        learned_ms = find_learned_ms(crash)
        if learned_ms is None or learned_ms >= process.since_ms:
            return crash
        number += 1
        crash = f"{base}#{number}"


def _encode(suspicions: list[Suspicion]) -> list[list]:
    return [
        [s.fingerprint, s.client_account, s.crash, s.remaining_ms]
        for s in suspicions
    ]


def _lost_run(pending: PendingRequest, process: ServerProcess) -> LostRun:
    return LostRun(
        fingerprint(pending),
        pending.account or "",
        pending.caller.id,
        process,
        pending.crashed_exposures,
        pending.caller.shared_parts,
        pending.written_ms,
        prompt_key(pending),
    )


def fingerprint(pending: PendingRequest) -> str:
    """Returns a digest that equal requests of one client account share."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (
        (pending.account or "").encode(),
        pending.request.method.encode(),
        pending.request.target.encode(),
    ):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(pending.request.body_bytes.to_bytes(4, "big"))
    for piece in pending.request.pieces:
        digest.update(piece)
    return digest.hexdigest()
