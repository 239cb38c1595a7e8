"""Finds every out-of-range value in a parsed TOML table.

attrs stops at the first value that a class rejects. The operator who edits a
settings file needs all of them at once.
"""

import types
import typing
from typing import Any

import attrs

from caroblug.utils._settings_problems import SettingProblem


class OutOfRangeError(ValueError):
    """Raised by a field's validator for a value that it does not allow."""


def find_out_of_range(
    table: dict[str, Any], cls: type, file: str, path: tuple[str, ...] = ()
) -> list[SettingProblem]:
    """Returns a problem for each value that its field does not allow.

    Args:
        table: The parsed table.
        cls: The attrs class that describes the table.
        file: File name for messages.
        path: Keys that lead to the table.

    Returns:
        The problems, in the order of the class's fields.
    """
    problems = []
    hints = typing.get_type_hints(cls)
    for field in attrs.fields(cls):
        if field.name not in table:
            continue
        value = table[field.name]
        where = (*path, field.name)
        check = field.metadata.get("check")
        if check is not None and not check(value):
            problems.append(_make_problem(field, value, file, where))
        problems += _check_nested(hints[field.name], value, file, where)
    return problems


def _make_problem(
    field: attrs.Attribute, value: Any, file: str, path: tuple[str, ...]
) -> SettingProblem:
    message = f"must be {field.metadata['allowed']}"
    if not field.metadata.get("secret"):
        message += f", got {value!r}"
    return SettingProblem(file, ".".join(path), message)


def _check_nested(
    hint: Any, value: Any, file: str, path: tuple[str, ...]
) -> list[SettingProblem]:
    """Checks nested tables, tables of tables and lists of tables."""
    arguments = typing.get_args(hint)
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        return _check_nested(arguments[0], value, file, path)
    if origin is dict and isinstance(value, dict):
        items = [(str(key), item) for key, item in value.items()]
        return _check_items(arguments[1], items, file, path)
    if origin is list and isinstance(value, list):
        items = [(str(index), item) for index, item in enumerate(value)]
        return _check_items(arguments[0], items, file, path)
    if attrs.has(hint) and isinstance(value, dict):
        return find_out_of_range(value, hint, file, path)
    return []


def _check_items(
    hint: Any,
    items: list[tuple[str, Any]],
    file: str,
    path: tuple[str, ...],
) -> list[SettingProblem]:
    problems = []
    for key, item in items:
        problems += _check_nested(hint, item, file, (*path, key))
    return problems
