"""Reconstructs the timeline of a request and the states of instances."""

from collections.abc import Iterable
from typing import Any

import attrs

from caroblug.explain._lines import LogLine

_STATE_KINDS = {
    "configuration.taken": ("configuration", "version"),
    "placement.acting": ("places layers", "acting"),
    "placement.lease": ("holds the lease", "held"),
}
_DEPENDENCY_LOST = "store.lost"
_DEPENDENCY_REGAINED = "store.regained"
_EJECTED = "backend_server.avoided"
_READMITTED = "backend_server.back"


@attrs.define
class Belief:
    """State of one instance at a point in time, as its log lines describe it.

    Attributes:
        instance: Name of the instance.
        values: Last logged value of each state, by name.
        lost: Reason for each dependency that was lost, by dependency.
        avoided: Reason for each ejected backend server, by server.
    """

    instance: str
    values: dict[str, Any] = attrs.field(factory=dict)
    lost: dict[str, str] = attrs.field(factory=dict)
    avoided: dict[str, str] = attrs.field(factory=dict)


def trace_request(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Returns the log lines that concern a request, in order of time.

    Besides the request's own lines, these are the ejections and readmissions
    of its backend servers that its instances logged while it ran.

    Args:
        lines: Log lines of any number of instances.
        request: Id of the request.

    Returns:
        The lines; none if no line has the request's id.
    """
    known = list(lines)
    own = [line for line in known if line.fields.get("request") == request]
    if not own:
        return []
    servers = {name for line in own for name in _names_of_servers(line)}
    first = min(line.at_s for line in own)
    last = max(line.at_s for line in own)
    took_s = max(line.fields.get("took_ms", 0) for line in own) / 1000
    instances = {line.instance for line in own}
    related = [
        line
        for line in known
        if line.kind in (_EJECTED, _READMITTED)
        and line.instance in instances
        and line.fields.get("backend_server") in servers
        and first - took_s <= line.at_s <= last
    ]
    return sorted(own + related, key=lambda line: line.at_s)


def _names_of_servers(line: LogLine) -> list[str]:
    names = list(line.fields.get("path") or ())
    names += line.fields.get("tried") or ()
    for key in ("backend_server", "lost"):
        if key in line.fields:
            names.append(line.fields[key])
    return names


def states_at(lines: Iterable[LogLine], at_s: float) -> dict[str, Belief]:
    """Returns the state of each instance at a point in time.

    Args:
        lines: Log lines of any number of instances.
        at_s: Point in time, in seconds since 1970.

    Returns:
        States by instance, without instances that have no earlier line.
    """
    beliefs: dict[str, Belief] = {}
    for line in sorted(lines, key=lambda line: line.at_s):
        if line.at_s > at_s:
            break
        belief = beliefs.setdefault(line.instance, Belief(line.instance))
        _apply_line(belief, line)
    return beliefs


def _apply_line(belief: Belief, line: LogLine) -> None:
    fields = line.fields
    if line.kind in _STATE_KINDS:
        name, key = _STATE_KINDS[line.kind]
        belief.values[name] = fields.get(key)
    elif line.kind == "program.started":
        belief.values.clear()
        belief.lost.clear()
        belief.avoided.clear()
    elif line.kind == _DEPENDENCY_LOST:
        belief.lost[fields["what"]] = fields.get("reason", "")
    elif line.kind == _DEPENDENCY_REGAINED:
        belief.lost.pop(fields["what"], None)
    elif line.kind == _EJECTED:
        belief.avoided[fields["backend_server"]] = fields.get("reason", "")
    elif line.kind == _READMITTED:
        belief.avoided.pop(fields["backend_server"], None)
