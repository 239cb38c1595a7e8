"""Decoding of JSON that other programs have written."""

import json
import struct
from typing import Any

DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
    struct.error,
)
"""Exceptions raised while decoding data with an unexpected content.

`int(float("inf"))` and `float(10**400)` raise `OverflowError`, which is an
`ArithmeticError`. Deeply nested data raises `RecursionError`."""

_MAX_SHOWN_CHARS = 80
_MAX_DIGITS = 18
"""Digits of a number that is read from a header; it fits into 64 bits."""


def load_json(data: str | bytes) -> Any:
    """Decodes JSON.

    `Infinity` and `NaN` are refused, as they are no JSON, although Python's
    encoder writes them. Bytes that are not UTF-8 are replaced.

    Raises:
        ValueError: If the data is no JSON or is nested too deeply.
    """
    text = data.decode("utf-8", "replace") if isinstance(data, bytes) else data
    try:
        return _DECODER.decode(text)
    except RecursionError as error:
        raise ValueError("JSON is nested too deeply") from error


def parse_digits(text: str) -> int | None:
    """Returns the number that ASCII digits denote.

    Args:
        text: The digits, as in a header.

    Returns:
        The number; None if the text has other characters or too many digits.
    """
    if len(text) > _MAX_DIGITS or not (text.isascii() and text.isdecimal()):
        return None
    return int(text)


def shorten(value: object) -> str:
    """Returns the representation of a value for a message, of bounded length.

    Args:
        value: A value of any type and size that another program has sent.
    """
    try:
        text = repr(value)
    except DECODE_ERRORS:
        # Too deep for repr, or an integer with too many digits.
        text = f"a {type(value).__name__}"
    if len(text) <= _MAX_SHOWN_CHARS:
        return text
    return text[:_MAX_SHOWN_CHARS] + "..."


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


_DECODER = json.JSONDecoder(parse_constant=_reject_constant)
