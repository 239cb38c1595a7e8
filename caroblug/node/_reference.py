"""The settings reference, made from the attrs classes."""

import types
import typing
from typing import Any

import attrs


def describe_settings(title: str, cls: type) -> str:
    """Returns a Markdown section about a settings class.

    Args:
        title: Heading of the section.
        cls: The attrs class; nested ones are described with dotted keys.
    """
    lines = [
        f"## {title}",
        "",
        "| key | allowed | default | what it is |",
        "|---|---|---|---|",
    ]
    lines.extend(_rows(cls, ""))
    return "\n".join(lines) + "\n"


def _rows(cls: type, prefix: str) -> list[str]:
    rows = []
    hints = typing.get_type_hints(cls)
    for field in attrs.fields(cls):
        nested = _nested(hints[field.name])
        key = f"{prefix}{field.name}"
        if nested is not None:
            rows.extend(_rows(nested, f"{key}."))
            continue
        allowed = field.metadata.get("allowed", _type_name(hints[field.name]))
        doc = field.metadata.get("doc") or _from_docstring(cls, field.name)
        rows.append(f"| `{key}` | {allowed} | {_default(field)} | {doc} |")
    return rows


def _nested(hint: Any) -> type | None:
    if typing.get_origin(hint) in (types.UnionType, typing.Union):
        options = [a for a in typing.get_args(hint) if a is not type(None)]
        hint = options[0]
    return hint if isinstance(hint, type) and attrs.has(hint) else None


def _type_name(hint: Any) -> str:
    if typing.get_origin(hint) is list:
        return f"list of {_type_name(typing.get_args(hint)[0])}"
    return {str: "text", int: "whole number", float: "number"}.get(
        hint, str(hint)
    )


def _default(field: attrs.Attribute) -> str:
    if field.default is attrs.NOTHING:
        return "needed"
    if isinstance(field.default, attrs.Factory):
        return f"`{field.default.factory()}`"
    return f"`{field.default}`"


def _from_docstring(cls: type, name: str) -> str:
    """Returns what the class's `Attributes` section says of a field."""
    for parent in cls.__mro__:
        for line in (parent.__doc__ or "").splitlines():
            key, _, text = line.strip().partition(": ")
            if key == name:
                return text
    return ""
