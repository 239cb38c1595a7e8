"""Validation of bundles across tables, beyond the types of fields."""

import re
from typing import Any

from caroblug.core.state._bundle import Bundle
from caroblug.utils import SettingProblem, SettingsRejected, structure_table

_KEY_HASH = re.compile(r"[0-9a-f]{16}:[0-9a-f]{48}")
_NAME = re.compile(r"[a-z0-9][a-z0-9_.-]{0,62}")
_METHODS = ("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")
_CALL_MEASURE = "call"
_NAMED_TABLES = ("models", "services", "client_accounts")


def check_bundle_table(
    table: dict[str, Any], file: str
) -> list[SettingProblem]:
    """Returns all problems of a parsed bundle, each with its location.

    Args:
        table: The parsed TOML.
        file: File name for error messages.
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
    problems.extend(SettingProblem(file, *problem) for problem in found)
    return problems


def _sub_tables(table: dict[str, Any], key: str) -> dict[str, dict[str, Any]]:
    """Returns the sub-tables of a table and skips other values."""
    value = table.get(key)
    if not isinstance(value, dict):
        return {}
    return {k: v for k, v in value.items() if isinstance(v, dict)}


def _check_names(table: dict[str, Any]) -> list[tuple[str, str]]:
    problems = []
    for key in _NAMED_TABLES:
        for name in _sub_tables(table, key):
            if not _NAME.fullmatch(name):
                problems.append(
                    (
                        f"{key}.{name}",
                        "a name must be 1 to 63 of a-z, 0-9, '_', '.', '-'",
                    )
                )
    for name in _sub_tables(table, "services").keys() & table.get("models", {}):
        problems.append((f"services.{name}", "is also the name of a model"))
    return problems


def _check_services(table: dict[str, Any]) -> list[tuple[str, str]]:
    problems = []
    for name, rule in _sub_tables(table, "services").items():
        methods = rule.get("idempotent_methods", [])
        if not isinstance(methods, list):
            continue
        location = f"services.{name}.idempotent_methods"
        for number, method in enumerate(methods):
            if isinstance(method, str) and method not in _METHODS:
                problems.append(
                    (
                        f"{location}.{number}",
                        f"must be one of {', '.join(_METHODS)}, got {method!r}",
                    )
                )
    return problems


def _check_keys(table: dict[str, Any]) -> list[tuple[str, str]]:
    problems = []
    owners: dict[str, str] = {}
    for account, rule in _sub_tables(table, "client_accounts").items():
        hashes = rule.get("key_hashes", [])
        if not isinstance(hashes, list):
            continue
        location = f"client_accounts.{account}.key_hashes"
        for number, key_hash in enumerate(hashes):
            item = f"{location}.{number}"
            if not isinstance(key_hash, str) or not _KEY_HASH.fullmatch(
                key_hash
            ):
                problems.append(
                    (item, "is not a key hash as `newkey` prints it")
                )
            elif key_hash in owners:
                problems.append(
                    (item, f"is a key hash of {owners[key_hash]} too")
                )
            else:
                owners[key_hash] = account
    return problems


def _check_objectives(table: dict[str, Any]) -> list[tuple[str, str]]:
    problems = []
    objectives = table.get("objectives", [])
    models = _sub_tables(table, "models")
    services = _sub_tables(table, "services")
    seen: dict[tuple[Any, Any], int] = {}
    for number, rule in enumerate(
        objectives if isinstance(objectives, list) else ()
    ):
        if not isinstance(rule, dict):
            continue
        location = f"objectives.{number}"
        name, measure = rule.get("service"), rule.get("measure")
        if not isinstance(name, str) or not isinstance(measure, str):
            continue
        if name not in models and name not in services:
            problems.append(
                (
                    f"{location}.service",
                    f"{name!r} is neither a model nor a service",
                )
            )
        elif (measure == _CALL_MEASURE) != (name in services):
            kind = "a service" if name in services else "a model"
            problems.append(
                (
                    f"{location}.measure",
                    f"{measure!r} is not measured for {kind}",
                )
            )
        first = seen.setdefault((name, measure), number)
        if first != number:
            problems.append(
                (location, f"has the service and measure of objectives.{first}")
            )
    return problems
