"""Generates the settings reference from the attrs classes."""

import types
import typing
from typing import Any

import attrs


def describe_settings(title: str, cls: type) -> str:
    """Returns a Markdown section that describes a settings class.

    Args:
        title: Heading of the section.
        cls: The attrs class. Fields of nested attrs classes are listed with
            dotted keys.
    """
    lines = [
        f"## {title}",
        "",
        "| key | allowed | default | what it is |",
        "|---|---|---|---|",
    ]
    lines.extend(_format_rows(cls, ""))
    return "\n".join(lines) + "\n"


def _format_rows(cls: type, prefix: str) -> list[str]:
    rows = []
    hints = typing.get_type_hints(cls)
    for field in attrs.fields(cls):
        nested = _find_nested_class(hints[field.name])
        key = f"{prefix}{field.name}"
        if nested is not None:
            rows.extend(_format_rows(nested, f"{key}."))
            continue
        allowed = field.metadata.get(
            "allowed", _describe_type(hints[field.name])
        )
        doc = field.metadata.get("doc") or _read_attribute_doc(cls, field.name)
        rows.append(
            f"| `{key}` | {allowed} | {_format_default(field)} | {doc} |"
        )
    return rows


def _find_nested_class(hint: Any) -> type | None:
    if typing.get_origin(hint) in (types.UnionType, typing.Union):
        options = [a for a in typing.get_args(hint) if a is not type(None)]
        hint = options[0]
    return hint if isinstance(hint, type) and attrs.has(hint) else None


def _describe_type(hint: Any) -> str:
    if typing.get_origin(hint) is list:
        return f"list of {_describe_type(typing.get_args(hint)[0])}"
    return {str: "text", int: "whole number", float: "number"}.get(
        hint, str(hint)
    )


def _format_default(field: attrs.Attribute) -> str:
    if field.default is attrs.NOTHING:
        return "needed"
    if isinstance(field.default, attrs.Factory):
        return f"`{field.default.factory()}`"
    return f"`{field.default}`"


def _read_attribute_doc(cls: type, name: str) -> str:
    """Returns a field's first line in the class's `Attributes` section."""
    for parent in cls.__mro__:
        for line in (parent.__doc__ or "").splitlines():
            key, _, text = line.strip().partition(": ")
            if key == name:
                return text
    return ""
