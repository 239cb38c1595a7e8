"""Groups late, refused and failed requests by outcome and cause."""

import collections
import math
import re
from collections.abc import Iterable

import attrs

from caroblug.core.admission import NO_ROOM_REASON
from caroblug.explain._lines import LogLine

_ANSWER_KINDS = ("request", "request.failed")
_STATUS_UNAVAILABLE = 503
_NOT_ADMITTED = "not admitted"
_VARIABLE_PARTS = re.compile(r"\bi-\w+|\b\d+ ms\b|\blayer \d+|\bevent \d+")
"""Parts in which reasons of the same kind differ: engine names, times, layers
and event numbers."""


@attrs.frozen
class PauseSummary:
    """Longest pauses of some streams, in ms.

    Attributes:
        p50: Median over the streams.
        p95: 95th percentile.
        max: Longest one.
    """

    p50: int
    p95: int
    max: int


@attrs.frozen
class Loss:
    """Group of lost requests with the same outcome and cause.

    Attributes:
        outcome: `late`, `refused`, `failed`, `cut`, or `not admitted`, which is
            a refusal by admission control and no fault.
        cause: What delayed or ended the requests, with variable parts replaced
            by `*`. It begins with the rank of requests that were not admitted.
        requests: Number of requests.
        engines: Requests by engine, most frequent first.
        instances: Requests by instance, most frequent first.
        seconds: Requests by whole second since 1970, in order of time.
        first_s: Time of the first of the requests, in s since 1970.
        last_s: Time of the last one.
        pauses: Longest pauses of the streams among them; None if there are no
            streams with a pause.
    """

    outcome: str
    cause: str
    requests: int
    engines: dict[str, int]
    instances: dict[str, int]
    seconds: dict[int, int]
    first_s: float
    last_s: float
    pauses: PauseSummary | None


def group_losses(lines: Iterable[LogLine]) -> list[Loss]:
    """Groups lost requests by outcome and cause.

    Args:
        lines: Log lines of any number of instances.

    Returns:
        The groups, largest first.
    """
    groups: dict[tuple[str, str], list[LogLine]] = collections.defaultdict(list)
    for line in lines:
        if line.kind not in _ANSWER_KINDS:
            continue
        outcome = _classify_outcome(line)
        if outcome:
            groups[(outcome, _normalize_cause(line))].append(line)
    losses = [_make_loss(*key, lines) for key, lines in groups.items()]
    return sorted(losses, key=lambda loss: -loss.requests)


def _classify_outcome(line: LogLine) -> str:
    status = int(line.fields.get("status", 0))
    if line.fields.get("cut"):
        return "cut"
    if status == _STATUS_UNAVAILABLE:
        return _NOT_ADMITTED if _lacked_room(line) else "refused"
    if line.kind == "request.failed":
        return "failed"
    return "late" if line.fields.get("late") else ""


def _lacked_room(line: LogLine) -> bool:
    reason = line.fields.get("reason") or ""
    return reason.startswith(NO_ROOM_REASON)


def _normalize_cause(line: LogLine) -> str:
    text = line.fields.get("reason") or ""
    if _classify_outcome(line) == _NOT_ADMITTED:
        return f"rank {line.fields.get('priority')}: {text}"
    if not text:
        late = line.fields.get("late", "")
        text = f"{late}: {line.fields.get('cause') or 'nothing seen'}"
    return _VARIABLE_PARTS.sub("*", text)


def _make_loss(outcome: str, cause: str, lines: list[LogLine]) -> Loss:
    engines = (line.fields.get("engine") for line in lines)
    seconds = collections.Counter(int(line.at_s) for line in lines)
    return Loss(
        outcome,
        cause,
        len(lines),
        dict(collections.Counter(e for e in engines if e).most_common()),
        dict(collections.Counter(x.instance for x in lines).most_common()),
        dict(sorted(seconds.items())),
        min(line.at_s for line in lines),
        max(line.at_s for line in lines),
        _summarize_pauses(lines),
    )


def _summarize_pauses(lines: list[LogLine]) -> PauseSummary | None:
    pauses = sorted(
        int(pause_ms)
        for line in lines
        if (pause_ms := line.fields.get("pause_ms"))
    )
    if not pauses:
        return None
    return PauseSummary(
        _percentile(pauses, 0.5), _percentile(pauses, 0.95), pauses[-1]
    )


def _percentile(values: list[int], share: float) -> int:
    """Returns the smallest of sorted values that `share` of them don't exceed.

    Args:
        values: At least one value, in ascending order.
        share: Share of the values, from 0 to 1.
    """
    return values[max(0, math.ceil(share * len(values)) - 1)]
