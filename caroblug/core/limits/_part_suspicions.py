"""Suspicion of prompt parts that may crash the engines that write on them.

Requests share parts of their prompts. One crash doesn't tell a part that
crashes engines from the other parts of the same prompts, but only it crashes
every engine that begins to write an answer on it. A run that has written for
some time clears all its parts of the crashes before. A part that was not
cleared of several crashes, in a time in which other parts were, is refused.

Instances exchange which prompts were lost in which crash, when parts were last
cleared, and which parts are refused, in any order and repeatedly. A prompt is
named by the parts that it shares with others.
"""

import collections

import attrs

from caroblug.core.limits._culprit_search import (
    Culprits,
    CulpritSearch,
    Loss,
    Prompt,
    find_unproven,
)
from caroblug.core.limits._prompt_keys import Parts, key_of, parts_of
from caroblug.core.limits._suspicions import Suspicion, SuspicionSource

WRITING_MS = 300
"""Time for which a run writes after which it is proof that its prompt crashes
nothing. An engine that a part crashes ends as it begins to write."""

SUSPICION_MS = 120_000
"""Time for which a crash counts."""

REFUSAL_MS = 600_000
"""Time for which a part is refused."""

_MAX_PROMPTS = 1024
_MAX_PROVEN = 4096
_MAX_CRASHES = 32
_MAX_REFUSALS = 64
_MAX_REFUSALS_OF_PARTS = 8
"""Decisions of instances to refuse the same parts that are known."""

_MAX_RECENT_PROOFS = 64
_MAX_RECENT_RUNS = 64
_EVALUATION_INTERVAL_MS = 200
_CALM_AFTER_MS = 5000
_CALM_INTERVAL_MS = 2000
"""Interval of evaluations once nothing was lost for `_CALM_AFTER_MS`."""

_REFUSAL_PREFIX = "refused/"
_PROOF_PREFIX = "proven/"


@attrs.define
class _Refusal:
    """Refusal of requests that have all of some parts.

    Attributes:
        parts: The parts.
        evidence_ms: Time of the last crash that it is based on.
        own: Whether this instance has decided it.
        revoked: Whether the instance that decided it has revoked it.
    """

    parts: Parts
    evidence_ms: int
    own: bool
    revoked: bool = False


@attrs.frozen
class Verdicts:
    """Changes since the previous evaluation.

    Attributes:
        refused: Keys of parts that are refused from now on.
        revoked: Refusals that no longer hold.
    """

    refused: tuple[str, ...] = ()
    revoked: tuple[Suspicion, ...] = ()


class PartSuspicions(SuspicionSource):
    """Suspicions against parts known to one instance, in bounded number.

    Args:
        instance: Name of the instance, unique in the fleet.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._prompts: collections.OrderedDict[str, Prompt] = (
            collections.OrderedDict()
        )
        self._refusals: dict[tuple[str, str], _Refusal] = {}
        self._proven_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._proofs: dict[str, collections.deque] = {}
        self._runs: dict[str, collections.deque[Parts]] = {}
        self._evaluated_ms = 0
        self._last_loss_ms = -1

    @property
    def is_empty(self) -> bool:
        """Whether nothing is suspected or refused."""
        return not self._prompts and not self._refusals

    def is_refused(self, key: str) -> bool:
        """Returns whether a refusal of just these parts holds, or of some."""
        return any(
            known == key and self._holds(refusal)
            for (known, _), refusal in self._refusals.items()
        )

    def refused(self) -> list[str]:
        """Returns the keys of the parts that are refused."""
        keys = (
            key_of(p) for r in self._refusals.values() if (p := self._holds(r))
        )
        return sorted(set(keys))

    def refusals(self, key: str, now_ms: int) -> list[Suspicion]:
        """Returns the refusals of a key that hold."""
        return [
            suspicion
            for suspicion in self.uncleared(key, now_ms)
            if suspicion.crash.startswith(_REFUSAL_PREFIX)
        ]

    def crashes(self, key: str) -> list[str]:
        """Returns the crashes in which prompts with some parts were lost."""
        parts = parts_of(key)
        return sorted(
            {
                crash
                for prompt in self._prompts.values()
                if parts <= prompt.parts
                for crash in prompt.losses
            }
        )

    def has_own_loss(self, key: str) -> bool:
        """Returns whether this instance has lost a request with some parts."""
        parts = parts_of(key)
        return any(
            loss.own
            for prompt in self._prompts.values()
            if parts <= prompt.parts
            for loss in prompt.losses.values()
        )

    def for_request(self, fingerprint: str, now_ms: int) -> list[Suspicion]:
        """Returns the losses of a prompt, and the refusals of its key."""
        refusals = [
            _refusal_of(key, name, refusal, not self._holds(refusal), now_ms)
            for (key, name), refusal in self._refusals.items()
            if key == fingerprint
        ]
        prompt = self._prompts.get(fingerprint)
        if prompt is None:
            return refusals
        return refusals + [
            Suspicion(
                fingerprint,
                loss.label,
                crash,
                0,
                not self._unproven(prompt.parts, loss.at_ms),
                loss.at_ms + SUSPICION_MS - now_ms,
            )
            for crash, loss in prompt.losses.items()
            if now_ms < loss.at_ms + SUSPICION_MS
        ]

    def common_state(self, fingerprint: str, now_ms: int) -> tuple[str, ...]:
        """Returns what every instance is to know of a prompt.

        Instances decide on a refusal under different names, and need not know
        all of them, nor the crashes of prompts that are refused.
        """
        if self.refusals(fingerprint, now_ms):
            return (_REFUSAL_PREFIX,)
        if self.find_refused(fingerprint, now_ms) is not None:
            return ()
        return super().common_state(fingerprint, now_ms)

    def learned_ms(self, key: str, crash: str) -> int | None:
        """Returns when a prompt was first lost in a crash, if it was."""
        prompt = self._prompts.get(key)
        loss = prompt.losses.get(crash) if prompt else None
        return loss.at_ms if loss else None

    def on_loss(
        self, key: str, crash: str, request: str, written_ms: int, now_ms: int
    ) -> bool:
        """Records a request that this instance has lost.

        Args:
            key: Key of its prompt.
            crash: Name of the crash.
            request: Fingerprint of the request.
            written_ms: Time for which it had written.
            now_ms: Current time.

        Returns:
            Whether the loss of the prompt in this crash is new.
        """
        # The next run of the same request is not to wait for an evaluation.
        self._evaluated_ms = 0
        loss = Loss(now_ms, request, written_ms, own=True)
        if self._add_loss(key, crash, loss):
            return True
        prompt = self._prompts.get(key)
        known = prompt.losses.get(crash) if prompt else None
        if known is not None:
            known.written_ms = max(known.written_ms, written_ms)
        return False

    def on_suspicion(self, suspicion: Suspicion, now_ms: int) -> bool:
        """Records a suspicion received from another instance.

        Returns:
            Whether it changed the record.
        """
        key, name = suspicion.fingerprint, suspicion.crash
        if suspicion.cleared:
            return self._on_cleared(key, name, now_ms)
        if suspicion.remaining_ms <= 0:
            return False
        at_ms = _find_time(suspicion, now_ms)
        if name.startswith(_REFUSAL_PREFIX):
            refusal = _Refusal(parts_of(key), at_ms, own=False)
            return self._add_refusal(key, name, refusal)
        request, _, written_ms = suspicion.client_account.partition(":")
        loss = Loss(at_ms, request, int(written_ms or 0), own=False)
        return self._add_loss(key, name, loss)

    def on_run(self, key: str) -> None:
        """Records that a run of a request has started."""
        service = key.rpartition("/")[0]
        runs = self._runs.get(service)
        if runs is None:
            runs = collections.deque(maxlen=_MAX_RECENT_RUNS)
            self._runs[service] = runs
        runs.append(parts_of(key))

    def on_proof(self, key: str, since_ms: int, now_ms: int) -> list[str]:
        """Clears the parts of a run that has written, of the crashes before.

        Args:
            key: Key of its prompt.
            since_ms: When it began to write.
            now_ms: Current time.

        Returns:
            Parts whose clearing is to be sent to other instances, as they were
            lost in a crash or refused.
        """
        parts = parts_of(key)
        service = key.rpartition("/")[0]
        proofs = self._proofs.get(service)
        if proofs is None:
            proofs = collections.deque(maxlen=_MAX_RECENT_PROOFS)
            self._proofs[service] = proofs
        proofs.append((since_ms, parts))
        return [part for part in sorted(parts) if self._prove(part, since_ms)]

    def find_proven(self, suspicion: Suspicion, now_ms: int) -> list[str]:
        """Returns the parts cleared after a received crash or refusal."""
        at_ms = _find_time(suspicion, now_ms)
        parts = parts_of(suspicion.fingerprint)
        return sorted(parts.difference(self._unproven(parts, at_ms)))

    def make_proof_name(self, part: str, now_ms: int) -> str:
        """Returns when a part was cleared, in the form that is exchanged."""
        age_ms = now_ms - self._proven_ms.get(part, now_ms - SUSPICION_MS)
        return f"{_PROOF_PREFIX}{age_ms}"

    def find_refused(self, key: str, now_ms: int) -> str | None:
        """Returns the key of parts because of which a request must not run.

        Parts that have always come together are refused together only: a
        request with some of them tells which one it is.

        Args:
            key: Key of the request's prompt.
            now_ms: Current time.
        """
        if not self._refusals:
            return None
        parts = parts_of(key)
        for refusal in self._refusals.values():
            held = self._holds(refusal)
            is_live = now_ms < refusal.evidence_ms + REFUSAL_MS
            if is_live and held and held <= parts:
                return key_of(held)
        return None

    def evaluate(self, now_ms: int) -> Verdicts:
        """Decides which parts are refused; does nothing if called too soon."""
        is_calm = now_ms > self._last_loss_ms + _CALM_AFTER_MS
        interval_ms = _CALM_INTERVAL_MS if is_calm else _EVALUATION_INTERVAL_MS
        if now_ms < self._evaluated_ms + interval_ms:
            return Verdicts()
        self._evaluated_ms = now_ms
        self._remove_expired(now_ms)
        culprits = self._search(now_ms)
        refused = []
        for parts, crashes in culprits.crashes.items():
            if any(self._holds(r) == parts for r in self._refusals.values()):
                continue
            newest = max(crashes, key=lambda n: (crashes[n].at_ms, n))
            refusal = _Refusal(parts, crashes[newest].at_ms, own=True)
            key = key_of(parts)
            name = f"{_REFUSAL_PREFIX}{self._instance}/{newest}"
            if self._add_refusal(key, name, refusal):
                refused.append(key)
        revoked = []
        for (key, name), refusal in self._refusals.items():
            held = self._holds(refusal)
            if not held or held in culprits.crashes:
                continue
            # The instance that has decided it may have ended since.
            if refusal.own or held <= culprits.innocent:
                refusal.revoked = True
                revoked.append(_refusal_of(key, name, refusal, True, now_ms))
        return Verdicts(tuple(refused), tuple(revoked))

    def _search(self, now_ms: int) -> Culprits:
        held = [(r.own, self._holds(r)) for r in self._refusals.values()]
        search = CulpritSearch(
            self._prompts,
            self._proven_ms,
            self._proofs,
            self._runs,
            frozenset(part for _, parts in held for part in parts),
            frozenset(part for own, parts in held if own for part in parts),
            now_ms,
        )
        return search.find()

    def _unproven(self, parts: Parts, at_ms: int) -> list[str]:
        """Returns the parts that were not cleared after a time."""
        return find_unproven(parts, self._proven_ms, at_ms)

    def _holds(self, refusal: _Refusal) -> Parts:
        """Returns the parts of a refusal that were not cleared since."""
        if refusal.revoked:
            return frozenset()
        return frozenset(self._unproven(refusal.parts, refusal.evidence_ms))

    def _prove(self, part: str, since_ms: int) -> bool:
        """Clears a part; returns whether that matters to other instances."""
        before_ms = self._proven_ms.pop(part, -1)
        self._proven_ms[part] = max(before_ms, since_ms)
        if len(self._proven_ms) > _MAX_PROVEN:
            self._proven_ms.popitem(last=False)
        if before_ms > self._last_loss_ms:
            return False
        lost_ms = [
            loss.at_ms
            for prompt in self._prompts.values()
            if part in prompt.parts
            for loss in prompt.losses.values()
        ]
        lost_ms += [
            refusal.evidence_ms
            for refusal in self._refusals.values()
            if part in refusal.parts
        ]
        return any(before_ms <= at_ms < since_ms for at_ms in lost_ms)

    def _on_cleared(self, key: str, name: str, now_ms: int) -> bool:
        if name.startswith(_PROOF_PREFIX):
            age_ms = int(name.removeprefix(_PROOF_PREFIX))
            return self._prove(key, now_ms - max(0, age_ms))
        refusal = self._refusals.get((key, name))
        if refusal is None or refusal.revoked:
            return False
        refusal.revoked = True
        return True

    def _add_loss(self, key: str, crash: str, loss: Loss) -> bool:
        prompt = self._prompts.get(key)
        if prompt is None:
            if not parts_of(key):
                return False
            if len(self._prompts) >= _MAX_PROMPTS:
                del self._prompts[self._least_suspected()]
            prompt = self._prompts[key] = Prompt(parts_of(key))
        if crash in prompt.losses or len(prompt.losses) >= _MAX_CRASHES:
            return False
        prompt.losses[crash] = loss
        self._last_loss_ms = max(self._last_loss_ms, loss.at_ms)
        return True

    def _add_refusal(self, key: str, name: str, refusal: _Refusal) -> bool:
        if (key, name) in self._refusals:
            return False
        holding = [k for k, r in self._refusals.items() if self._holds(r)]
        if sum(k == key for k, _ in holding) >= _MAX_REFUSALS_OF_PARTS:
            return False
        if len(self._refusals) >= _MAX_REFUSALS:
            ended = [k for k in self._refusals if k not in holding]
            if not ended:
                return False
            del self._refusals[ended[0]]
        self._refusals[key, name] = refusal
        self._last_loss_ms = max(self._last_loss_ms, refusal.evidence_ms)
        return True

    def _least_suspected(self) -> str:
        """Returns the oldest prompt of those that were lost least often."""
        return min(self._prompts, key=lambda k: len(self._prompts[k].losses))

    def _remove_expired(self, now_ms: int) -> None:
        for name, refusal in list(self._refusals.items()):
            if now_ms >= refusal.evidence_ms + REFUSAL_MS:
                del self._refusals[name]
        refused = [h for r in self._refusals.values() if (h := self._holds(r))]
        for key, prompt in list(self._prompts.items()):
            if any(parts <= prompt.parts for parts in refused):
                # Its crashes show that they have no other cause.
                continue
            for crash, loss in list(prompt.losses.items()):
                if now_ms >= loss.at_ms + SUSPICION_MS:
                    del prompt.losses[crash]
            if not prompt.losses:
                del self._prompts[key]


def _find_time(suspicion: Suspicion, now_ms: int) -> int:
    """Returns the time of a received crash or refusal."""
    is_refusal = suspicion.crash.startswith(_REFUSAL_PREFIX)
    span_ms = REFUSAL_MS if is_refusal else SUSPICION_MS
    return now_ms - max(0, span_ms - suspicion.remaining_ms)


def _refusal_of(
    key: str, name: str, refusal: _Refusal, cleared: bool, now_ms: int
) -> Suspicion:
    """Returns a refusal in the form in which instances exchange it."""
    remaining_ms = refusal.evidence_ms + REFUSAL_MS - now_ms
    return Suspicion(key, "", name, 0, cleared, remaining_ms)
