"""Mistakes in a bundle that show only between its parts."""

import re
from typing import Any

from caroblug.core.state._bundle import Bundle
from caroblug.utils import SettingProblem, SettingsRejected, structure_table

_KEY_HASH = re.compile(r"[0-9a-f]{16}:[0-9a-f]{48}")
_NAME = re.compile(r"[a-z0-9][a-z0-9_.-]{0,62}")
_METHODS = ("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")
_PLAIN_MEASURE = "call"
_NAMED_TABLES = ("models", "services", "client_accounts")


def check_bundle_table(
    table: dict[str, Any], file: str
) -> list[SettingProblem]:
    """Returns every mistake in a parsed bundle, each with its place.

    Args:
        table: The parsed TOML.
        file: Name to give in messages.
    """
    problems: list[SettingProblem] = []
    structured = structure_table(table, Bundle, file)
    if isinstance(structured, SettingsRejected):
        problems.extend(structured.problems)
    found = [
        *_check_names(table),
        *_check_services(table),
        *_check_keys(table),
        *_check_objectives(table),
    ]
    problems.extend(SettingProblem(file, *mistake) for mistake in found)
    return problems


def _tables(table: dict[str, Any], key: str) -> dict[str, dict[str, Any]]:
    """Returns the sub-tables of a table, without what is not a table."""
    value = table.get(key)
    if not isinstance(value, dict):
        return {}
    return {k: v for k, v in value.items() if isinstance(v, dict)}


def _check_names(table: dict[str, Any]) -> list[tuple[str, str]]:
    mistakes = []
    for key in _NAMED_TABLES:
        for name in _tables(table, key):
            if not _NAME.fullmatch(name):
                mistakes.append(
                    (
                        f"{key}.{name}",
                        "a name must be 1 to 63 of a-z, 0-9, '_', '.', '-'",
                    )
                )
    for name in _tables(table, "services").keys() & table.get("models", {}):
        mistakes.append((f"services.{name}", "is also the name of a model"))
    return mistakes


def _check_services(table: dict[str, Any]) -> list[tuple[str, str]]:
    mistakes = []
    for name, rule in _tables(table, "services").items():
        methods = rule.get("idempotent_methods", [])
        if not isinstance(methods, list):
            continue
        place = f"services.{name}.idempotent_methods"
        for number, method in enumerate(methods):
            if isinstance(method, str) and method not in _METHODS:
                mistakes.append(
                    (
                        f"{place}.{number}",
                        f"must be one of {', '.join(_METHODS)}, got {method!r}",
                    )
                )
    return mistakes


def _check_keys(table: dict[str, Any]) -> list[tuple[str, str]]:
    mistakes = []
    owners: dict[str, str] = {}
    for account, rule in _tables(table, "client_accounts").items():
        hashes = rule.get("key_hashes", [])
        if not isinstance(hashes, list):
            continue
        place = f"client_accounts.{account}.key_hashes"
        for number, key_hash in enumerate(hashes):
            where = f"{place}.{number}"
            if not isinstance(key_hash, str) or not _KEY_HASH.fullmatch(
                key_hash
            ):
                mistakes.append((where, "is no key hash as `newkey` prints it"))
            elif key_hash in owners:
                mistakes.append(
                    (where, f"is a key hash of {owners[key_hash]} too")
                )
            else:
                owners[key_hash] = account
    return mistakes


def _check_objectives(table: dict[str, Any]) -> list[tuple[str, str]]:
    mistakes = []
    objectives = table.get("objectives", [])
    models = _tables(table, "models")
    services = _tables(table, "services")
    seen: dict[tuple[Any, Any], int] = {}
    for number, rule in enumerate(
        objectives if isinstance(objectives, list) else ()
    ):
        if not isinstance(rule, dict):
            continue
        place = f"objectives.{number}"
        name, measure = rule.get("service"), rule.get("measure")
        if not isinstance(name, str) or not isinstance(measure, str):
            continue
        if name not in models and name not in services:
            mistakes.append(
                (f"{place}.service", f"{name!r} is no model or service here")
            )
        elif (measure == _PLAIN_MEASURE) != (name in services):
            kind = "a service" if name in services else "a model"
            mistakes.append(
                (f"{place}.measure", f"{measure!r} is not measured of {kind}")
            )
        first = seen.setdefault((name, measure), number)
        if first != number:
            mistakes.append((place, f"is about the same as objectives.{first}"))
    return mistakes
