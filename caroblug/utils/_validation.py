"""Validated `attrs` fields for settings and bundles.

Each function returns a field whose validator rejects a value outside the
allowed range. The field's metadata describes the range for messages and for
the settings reference.
"""

import math
import re
from typing import Any

import attrs

from caroblug.utils._ranges import OutOfRangeError

_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9_.-]{0,62}")
_MAX_PORT = 65535
_MAX_DURATION_MS = 7 * 24 * 3600 * 1000


def _field(default: Any, allowed: str, doc: str, check: Any) -> Any:
    def _validate(instance: Any, attribute: Any, value: Any) -> None:
        del instance
        if not check(value):
            raise OutOfRangeError(
                f"{attribute.name} must be {allowed}, got {value!r}"
            )

    return attrs.field(
        default=default,
        validator=_validate,
        metadata={"allowed": allowed, "doc": doc, "check": check},
    )


def count(low: int, high: int, doc: str, default: Any = attrs.NOTHING) -> Any:
    """Returns a field for a whole number between `low` and `high`."""
    return _field(
        default,
        f"a whole number from {low} to {high}",
        doc,
        lambda v: type(v) is int and low <= v <= high,
    )


def number(
    low: float, high: float, doc: str, default: Any = attrs.NOTHING
) -> Any:
    """Returns a field for a finite number between `low` and `high`."""
    return _field(
        default,
        f"a number from {low} to {high}",
        doc,
        lambda v: (
            type(v) in (int, float) and math.isfinite(v) and low <= v <= high
        ),
    )


def port(doc: str, default: Any = attrs.NOTHING) -> Any:
    """Returns a field for a TCP port."""
    return count(0, _MAX_PORT, doc, default)


def duration_ms(doc: str, default: Any = attrs.NOTHING) -> Any:
    """Returns a field for a duration in milliseconds, at most one week."""
    return count(1, _MAX_DURATION_MS, doc, default)


def name(doc: str, default: Any = attrs.NOTHING) -> Any:
    """Returns a field for a short identifier."""
    return _field(
        default,
        "1 to 63 of a-z, 0-9, '_', '.', '-'",
        doc,
        lambda v: isinstance(v, str) and _NAME_PATTERN.fullmatch(v),
    )


def text(
    doc: str, default: Any = attrs.NOTHING, low: int = 1, high: int = 4096
) -> Any:
    """Returns a field for text of `low` to `high` characters."""
    return _field(
        default,
        f"text of {low} to {high} characters",
        doc,
        lambda v: isinstance(v, str) and low <= len(v) <= high,
    )


def secret(doc: str, low: int, high: int = 4096) -> Any:
    """Returns a field for a secret that may be empty.

    It is empty where the secret is supplied in another way. The value appears
    neither in the class's representation nor in messages.
    """
    allowed = f"text of {low} to {high} characters"

    def _validate(instance: Any, attribute: Any, value: Any) -> None:
        del instance
        if value and not low <= len(value) <= high:
            raise ValueError(f"{attribute.name} must be {allowed}")

    return attrs.field(
        default="",
        validator=_validate,
        repr=False,
        metadata={"allowed": allowed, "doc": doc, "secret": True},
    )


def choice(
    options: tuple[str, ...], doc: str, default: Any = attrs.NOTHING
) -> Any:
    """Returns a field for one of `options`."""
    return _field(
        default, f"one of {', '.join(options)}", doc, lambda v: v in options
    )
