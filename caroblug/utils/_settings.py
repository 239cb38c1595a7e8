"""Loads TOML settings into attrs classes and reports every mistake."""

import pathlib
import tomllib
from typing import Any, TypeVar

import attrs
import cattrs
from cattrs.errors import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
)

from caroblug.utils._ranges import OutOfRangeError, find_out_of_range
from caroblug.utils._settings_problems import SettingProblem, SettingsRejected

_T = TypeVar("_T")


def _make_strict_hook(kind: type) -> Any:
    def _structure(value: Any, _: type) -> Any:
        if type(value) is kind or (kind is float and type(value) is int):
            return value
        raise TypeError(f"must be of type {kind.__name__}, got {value!r}")

    return _structure


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (int, str, bool, float):
        converter.register_structure_hook(kind, _make_strict_hook(kind))
    return converter


_CONVERTER = _make_converter()


def _describe_error(error: BaseException) -> str:
    if isinstance(error, KeyError):
        return "is missing"
    if isinstance(error, AttributeError):
        return "must be a table"
    return str(error)


def _collect_problems(
    error: BaseException, file: str, path: tuple[str, ...]
) -> list[SettingProblem]:
    if isinstance(error, ForbiddenExtraKeysError):
        allowed = ", ".join(f.name for f in attrs.fields(error.cl))
        return [
            SettingProblem(
                file,
                ".".join((*path, key)),
                f"is unknown; allowed here: {allowed}",
            )
            for key in sorted(error.extra_fields)
        ]
    if isinstance(error, (ClassValidationError, IterableValidationError)):
        return _collect_group_problems(error, file, path)
    if isinstance(error, OutOfRangeError):
        return []  # `find_out_of_range` reports it under its own key.
    where = ".".join(path) or "(top)"
    return [SettingProblem(file, where, _describe_error(error))]


def _collect_group_problems(
    group: ClassValidationError | IterableValidationError,
    file: str,
    path: tuple[str, ...],
) -> list[SettingProblem]:
    problems = []
    for error in group.exceptions:
        inner = path
        secret = False
        for note in getattr(error, "__notes__", ()):
            if hasattr(note, "name"):
                inner = (*path, str(note.name))
                secret = _is_secret(group, note.name)
            elif hasattr(note, "index"):
                inner = (*path, str(note.index))
        if secret and isinstance(error, TypeError):
            error = TypeError("must be text")
        problems.extend(_collect_problems(error, file, inner))
    return problems


def _is_secret(group: BaseException, name: str) -> bool:
    """Returns whether messages must not contain a field's value."""
    cls = getattr(group, "cl", None)
    if cls is None or not attrs.has(cls):
        return False
    field = getattr(attrs.fields(cls), name, None)
    return field is not None and field.metadata.get("secret", False)


def structure_table(
    table: dict[str, Any], cls: type[_T], file: str
) -> _T | SettingsRejected:
    """Structures a parsed TOML table.

    Args:
        table: The parsed table.
        cls: The attrs class to build.
        file: File name for messages.

    Returns:
        An instance of `cls`, or every mistake found.
    """
    try:
        return _CONVERTER.structure(table, cls)
    except (ClassValidationError, IterableValidationError) as error:
        problems = _collect_problems(error, file, ())
    named = {problem.key for problem in problems}
    problems += [
        problem
        for problem in find_out_of_range(table, cls, file)
        if problem.key not in named
    ]
    return SettingsRejected(tuple(problems))


def load_settings(path: str, cls: type[_T]) -> _T | SettingsRejected:
    """Reads a TOML file into an attrs class.

    Args:
        path: Path of the file.
        cls: The attrs class to build.

    Returns:
        An instance of `cls`, or every mistake found. A file that cannot be
        read or parsed counts as one mistake.
    """
    file = pathlib.Path(path).name
    try:
        with open(path, "rb") as stream:
            table = tomllib.load(stream)
    except OSError as error:
        problem = SettingProblem(file, "(file)", error.strerror or str(error))
        return SettingsRejected((problem,))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        problem = SettingProblem(file, "(file)", f"is not TOML: {error}")
        return SettingsRejected((problem,))
    return structure_table(table, cls, file)
