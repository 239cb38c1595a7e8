"""What a new bundle changes, and for whom."""

from collections.abc import Iterator
from typing import Any

import attrs

_ABSENT = "(not set)"
_EVERY_CALLER = "every caller"
_WHOM = {
    "client_accounts": "client account {}",
    "models": "callers of model {}",
    "services": "callers of service {}",
}


@attrs.frozen
class Change:
    """One value that differs.

    Attributes:
        place: Dotted path of the value.
        whom: Who is concerned.
        before: The value in the old bundle, as text.
        after: The value in the new bundle, as text.
    """

    place: str
    whom: str
    before: str
    after: str

    def __str__(self) -> str:
        return f"{self.place}: {self.before} -> {self.after} [{self.whom}]"


def diff_tables(old: dict[str, Any], new: dict[str, Any]) -> list[Change]:
    """Returns what differs between two parsed bundles, by place."""
    changes = []
    for key in sorted(old.keys() | new.keys()):
        before, after = old.get(key), new.get(key)
        if key in _WHOM:
            changes.extend(_diff_named(key, before or {}, after or {}))
        else:
            changes.extend(_diff_value((key,), _EVERY_CALLER, before, after))
    return changes


def _diff_named(
    key: str, old: dict[str, Any], new: dict[str, Any]
) -> Iterator[Change]:
    for name in sorted(old.keys() | new.keys()):
        whom = _WHOM[key].format(name)
        place = f"{key}.{name}"
        if name not in old:
            yield Change(place, whom, _ABSENT, "added")
        elif name not in new:
            yield Change(place, whom, "present", "removed")
        else:
            yield from _diff_value((key, name), whom, old[name], new[name])


def _diff_value(
    path: tuple[str, ...], whom: str, old: Any, new: Any
) -> Iterator[Change]:
    if old == new:
        return
    if isinstance(old, dict) and isinstance(new, dict):
        for key in sorted(old.keys() | new.keys()):
            yield from _diff_value(
                (*path, key), whom, old.get(key), new.get(key)
            )
        return
    place = ".".join(path)
    if path[-1] == "key_hashes":
        before, after = set(old or ()), set(new or ())
        yield Change(
            place,
            whom,
            f"{len(before - after)} keys end",
            f"{len(after - before)} keys begin",
        )
        return
    yield Change(place, whom, _text(old), _text(new))


def _text(value: Any) -> str:
    return _ABSENT if value is None else str(value)


@attrs.frozen
class Merged:
    """Two changes of one bundle put together.

    Attributes:
        table: The merged bundle.
        conflicts: Places where both changed the same value differently;
            the table has the value of the winner there.
    """

    table: dict[str, Any]
    conflicts: tuple[str, ...]


def merge_tables(
    base: dict[str, Any], mine: dict[str, Any], theirs: dict[str, Any]
) -> Merged:
    """Puts what `mine` changes of `base` onto `theirs`."""
    conflicts: list[str] = []
    table = _merge(base, mine, theirs, (), conflicts)
    return Merged(table, tuple(conflicts))


def _merge(
    base: Any, mine: Any, theirs: Any, path: tuple[str, ...], conflicts: list
) -> Any:
    if mine in (base, theirs):
        return theirs
    if theirs == base:
        return mine
    if isinstance(mine, dict) and isinstance(theirs, dict):
        old = base if isinstance(base, dict) else {}
        merged = {}
        for key in sorted(mine.keys() | theirs.keys()):
            value = _merge(
                old.get(key),
                mine.get(key),
                theirs.get(key),
                (*path, key),
                conflicts,
            )
            if value is not None:
                merged[key] = value
        return merged
    conflicts.append(".".join(path))
    return theirs
