"""Compares and merges parsed bundles."""

from collections.abc import Iterator
from typing import Any

import attrs

_NOT_SET = "(not set)"
_ALL_CALLERS = "every caller"
_AFFECTED_TEMPLATES = {
    "client_accounts": "client account {}",
    "models": "callers of model {}",
    "services": "callers of service {}",
}


@attrs.frozen
class Change:
    """A value that differs between two bundles.

    Attributes:
        key_path: Dotted path of the value.
        affected: The callers that the change affects.
        before: The value in the old bundle, as text.
        after: The value in the new bundle, as text.
    """

    key_path: str
    affected: str
    before: str
    after: str

    def __str__(self) -> str:
        return (
            f"{self.key_path}: {self.before} -> {self.after} [{self.affected}]"
        )


def diff_tables(old: dict[str, Any], new: dict[str, Any]) -> list[Change]:
    """Returns the differences between two parsed bundles, by key path."""
    changes = []
    for key in sorted(old.keys() | new.keys()):
        before, after = old.get(key), new.get(key)
        if key in _AFFECTED_TEMPLATES:
            changes.extend(_diff_named_entries(key, before or {}, after or {}))
        else:
            changes.extend(_diff_value((key,), _ALL_CALLERS, before, after))
    return changes


def _diff_named_entries(
    key: str, old: dict[str, Any], new: dict[str, Any]
) -> Iterator[Change]:
    for name in sorted(old.keys() | new.keys()):
        affected = _AFFECTED_TEMPLATES[key].format(name)
        key_path = f"{key}.{name}"
        if name not in old:
            yield Change(key_path, affected, _NOT_SET, "added")
        elif name not in new:
            yield Change(key_path, affected, "present", "removed")
        else:
            yield from _diff_value((key, name), affected, old[name], new[name])


def _diff_value(
    path: tuple[str, ...], affected: str, old: Any, new: Any
) -> Iterator[Change]:
    if old == new:
        return
    if isinstance(old, dict) and isinstance(new, dict):
        for key in sorted(old.keys() | new.keys()):
            yield from _diff_value(
                (*path, key), affected, old.get(key), new.get(key)
            )
        return
    key_path = ".".join(path)
    if path[-1] == "key_hashes":
        before, after = set(old or ()), set(new or ())
        yield Change(
            key_path,
            affected,
            f"{len(before - after)} keys removed",
            f"{len(after - before)} keys added",
        )
        return
    yield Change(key_path, affected, _format_value(old), _format_value(new))


def _format_value(value: Any) -> str:
    return _NOT_SET if value is None else str(value)


@attrs.frozen
class MergeResult:
    """Result of a three-way merge of bundles.

    Attributes:
        table: The merged bundle.
        conflicts: Key paths at which both sides changed the same value
            differently; `table` has the value of `theirs` there.
    """

    table: dict[str, Any]
    conflicts: tuple[str, ...]


def merge_tables(
    base: dict[str, Any], mine: dict[str, Any], theirs: dict[str, Any]
) -> MergeResult:
    """Applies the changes from `base` to `mine` to `theirs`.

    Args:
        base: The common ancestor.
        mine: The bundle whose changes are applied.
        theirs: The bundle to change; it has priority in conflicts.

    Returns:
        The merged bundle and its conflicts.
    """
    conflicts: list[str] = []
    table = _merge(base, mine, theirs, (), conflicts)
    return MergeResult(table, tuple(conflicts))


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
