"""Search for the prompt parts that explain crashes of engines."""

import collections
from collections.abc import Iterable, Mapping

import attrs

from caroblug.core.limits._prompt_keys import Parts, key_of

MIN_CRASHES = 3
"""Crashes from which on a part is refused."""

_MIN_REQUESTS = 2
"""Requests that must have been lost in these crashes. A single one may crash
engines by itself, whatever parts its prompt has."""

_SETTLE_MS = 1000
"""Time after a crash in which a part may be cleared of it before the crash
counts. A part that many requests share is cleared within `WRITING_MS`, the time
until some run begins to write, and the delay of the exchange.
"""

_MIN_OTHER_PROOFS = 2
"""Runs without the part that began to write between its crashes. They show that
engines could write, and that other requests did."""

_TOGETHER_MS = 500

_MIN_SHARE_OF_CRASHES = 0.2
"""Share of the crashes within `_TOGETHER_MS` of one in which a part must have
been lost for that one to count against it. When a rack or all engines end,
requests with many parts are lost, and few of them with any one."""

_MIN_SHARE_OF_ALL_CRASHES = 0.9
"""Share of all crashes in which a part must have been lost that is refused
although nothing could write between them."""

_MAX_SHARE_OF_RUNS = 0.5
_MIN_RUNS = 10
"""Share of recent runs that such a part may be in, and runs for which it is
known. What all requests have is in all crashes, whatever causes them."""

_APART_MS = 1000
"""Time between crashes that have not the same cause. Engines of a rack, or all
of them, end within a shorter time."""


@attrs.define
class Loss:
    """Loss of a prompt in a crash.

    Attributes:
        at_ms: When the crash was learned of.
        request: Fingerprint of the first request that was lost.
        written_ms: Longest time for which one of the requests had written.
        own: Whether this instance has observed it.
    """

    at_ms: int
    request: str
    written_ms: int
    own: bool

    @property
    def label(self) -> str:
        """Request and time, in the form in which instances exchange them."""
        return f"{self.request}:{self.written_ms}"


@attrs.define
class Prompt:
    """The losses of a prompt, by crash."""

    parts: Parts
    losses: dict[str, Loss] = attrs.field(factory=dict)


@attrs.define
class _Evidence:
    """Uncleared crashes that implicate a part.

    Attributes:
        crashes: Losses by crash, one for each.
        lost: Prompts with the part, and the crashes in which they were lost.
    """

    crashes: dict[str, Loss] = attrs.field(factory=dict)
    lost: set[tuple[str, str]] = attrs.field(factory=set)

    @property
    def written_ms(self) -> int:
        """Time for which requests with the part had written, in all crashes."""
        return sum(loss.written_ms for loss in self.crashes.values())

    def add(self, key: str, crash: str, loss: Loss) -> None:
        """Adds the loss of a prompt with the part."""
        known = self.crashes.get(crash)
        if known is None or known.written_ms < loss.written_ms:
            self.crashes[crash] = loss
        self.lost.add((key, crash))


@attrs.frozen
class Culprits:
    """Result of a search.

    Attributes:
        crashes: Groups of parts that explain crashes, with these crashes.
        innocent: Parts whose crashes others explain.
    """

    crashes: dict[Parts, dict[str, Loss]]
    innocent: frozenset[str]


Proofs = Mapping[str, collections.deque[tuple[int, Parts]]]
"""Recent runs by service: when each began to write, and its parts."""


class CulpritSearch:
    """Search for parts that explain crashes, at one moment.

    Args:
        prompts: Lost prompts.
        proven_ms: When parts were last cleared.
        proofs: Recent runs that have written.
        runs: Parts of recent runs, by service.
        refused: Parts that are refused.
        refused_here: Those of them that this instance has decided to refuse.
        now_ms: Current time.
    """

    def __init__(
        self,
        prompts: Mapping[str, Prompt],
        proven_ms: Mapping[str, int],
        proofs: Proofs,
        runs: Mapping[str, collections.deque[Parts]],
        refused: frozenset[str],
        refused_here: frozenset[str],
        now_ms: int,
    ) -> None:
        self._prompts = prompts
        self._proven_ms = proven_ms
        self._proofs = proofs
        self._runs = runs
        self._refused = refused
        self._refused_here = refused_here
        self._now_ms = now_ms

    def find(self) -> Culprits:
        """Finds the parts that explain crashes, with these crashes.

        A crash needs one cause. Parts that were never cleared come first, then
        those of most crashes, and those whose requests had written least when
        they were lost. What these explain doesn't count against the rest. Among
        equals the order is the same at all instances. If the wrong one is
        refused, engines go on to end, and the crashes tell; if all were, none
        would ever be cleared.
        """
        evidence = self._find_evidence()
        times = self._crash_times()
        suspects = {
            part: against
            for part, against in evidence.items()
            if len(against.crashes) >= MIN_CRASHES
        }
        for against in suspects.values():
            _drop_scattered(against, times)
        explained: set[str] = set()
        innocent: set[str] = set()
        culprits: dict[Parts, dict[str, Loss]] = {}
        for parts in sorted(
            _group_equal(suspects),
            key=lambda parts: self._rank(parts, suspects),
        ):
            part = next(iter(parts))
            crashes = suspects[part].crashes
            if self._is_culprit(part, crashes, explained, times):
                culprits[parts] = crashes
                explained.update(crashes)
            elif len(crashes.keys() - explained) < MIN_CRASHES:
                innocent.update(parts)
        return Culprits(culprits, frozenset(innocent))

    def _rank(
        self, parts: Parts, suspects: dict[str, _Evidence]
    ) -> tuple[bool, int, int, str]:
        """Returns the order in which parts explain crashes."""
        key = key_of(parts)
        against = suspects[next(iter(parts))]
        is_proven = any(part in self._proven_ms for part in parts)
        return is_proven, -len(against.crashes), against.written_ms, key

    def _find_evidence(self) -> dict[str, _Evidence]:
        """Returns the uncleared crashes that implicate each part."""
        evidence: dict[str, _Evidence] = {}
        for key, prompt in self._prompts.items():
            for crash, loss in prompt.losses.items():
                settled = loss.at_ms <= self._now_ms - _SETTLE_MS
                for part in find_unproven(
                    prompt.parts, self._proven_ms, loss.at_ms
                ):
                    if not settled and part not in self._refused:
                        continue
                    evidence.setdefault(part, _Evidence()).add(key, crash, loss)
        return evidence

    def _crash_times(self) -> dict[str, int]:
        """Returns when each known crash was learned of."""
        times: dict[str, int] = {}
        for prompt in self._prompts.values():
            for crash, loss in prompt.losses.items():
                times[crash] = min(loss.at_ms, times.get(crash, loss.at_ms))
        return times

    def _is_culprit(
        self,
        part: str,
        crashes: dict[str, Loss],
        explained: set[str],
        times: dict[str, int],
    ) -> bool:
        rest = [loss for name, loss in crashes.items() if name not in explained]
        if len(rest) < MIN_CRASHES:
            return False
        if len({loss.request for loss in rest}) < _MIN_REQUESTS:
            return False
        if part in self._refused_here:
            return True
        return (
            self._count_other_proofs(part, rest) >= _MIN_OTHER_PROOFS
            or self._count_lone(rest) >= MIN_CRASHES
            or self._is_in_all_crashes(part, crashes, times)
        )

    def _count_other_proofs(self, part: str, losses: list[Loss]) -> int:
        """Returns the runs without a part that wrote between its crashes."""
        times = [loss.at_ms for loss in losses]
        first_ms, last_ms = min(times), max(times)
        proofs = self._proofs.get(part.rpartition("/")[0], ())
        return sum(
            first_ms < at_ms < last_ms and part not in parts
            for at_ms, parts in proofs
        )

    def _count_lone(self, losses: list[Loss]) -> int:
        """Returns in how many moments nothing else was lost than one request.

        Many requests are lost when a rack or all engines end.
        """
        count = 0
        last_ms = -_APART_MS
        for loss in sorted(losses, key=lambda loss: loss.at_ms):
            if loss.at_ms - last_ms < _APART_MS:
                continue
            last_ms = loss.at_ms
            requests = {
                other.request
                for prompt in self._prompts.values()
                for other in prompt.losses.values()
                if abs(other.at_ms - loss.at_ms) < _APART_MS
            }
            count += len(requests) == 1
        return count

    def _is_common(self, part: str) -> bool:
        """Returns whether a part is in most recent runs, or may be."""
        runs = self._runs.get(part.rpartition("/")[0], ())
        if len(runs) < _MIN_RUNS:
            return True
        count = sum(part in parts for parts in runs)
        return count > _MAX_SHARE_OF_RUNS * len(runs)

    def _is_in_all_crashes(
        self, part: str, crashes: dict[str, Loss], times: dict[str, int]
    ) -> bool:
        """Returns whether a part, and no proven one, explains all crashes.

        That is how it shows where engines end faster than any run can write.
        """
        if part in self._proven_ms or self._is_common(part):
            return False
        since = sorted(loss.at_ms for loss in crashes.values())
        if since[-1] - since[0] < _APART_MS:
            return False
        during = sum(since[0] <= at_ms <= since[-1] for at_ms in times.values())
        return len(crashes) >= _MIN_SHARE_OF_ALL_CRASHES * during


def find_unproven(
    parts: Iterable[str], proven_ms: Mapping[str, int], at_ms: int
) -> list[str]:
    """Returns the parts that were not cleared after a time."""
    return [part for part in parts if proven_ms.get(part, -1) <= at_ms]


def _drop_scattered(against: _Evidence, times: dict[str, int]) -> None:
    """Drops crashes that were a few of many at the same moment."""
    scattered = []
    for crash in against.crashes:
        near = [
            other
            for other, at_ms in times.items()
            if abs(at_ms - times[crash]) <= _TOGETHER_MS
        ]
        own = sum(other in against.crashes for other in near)
        if own < _MIN_SHARE_OF_CRASHES * len(near):
            scattered.append(crash)
    for crash in scattered:
        del against.crashes[crash]


def _group_equal(suspects: dict[str, _Evidence]) -> list[Parts]:
    """Returns groups of parts that were lost in the same prompts.

    Parts that always occur together are indistinguishable.
    """
    groups: dict[frozenset, set[str]] = {}
    for part, against in suspects.items():
        groups.setdefault(frozenset(against.lost), set()).add(part)
    return [frozenset(group) for group in groups.values()]
