"""Long texts in messages between gateways, compressed.

A configuration of many routes takes a slow link of a gateway a third of a
second, in which its streams wait; compressed it takes a tenth of that.
"""

import base64
import zlib

_LEVEL = 1
_MOST_BYTES = 64 << 20
"""Bound on what a text may unpack to."""


def pack(text: str) -> str:
    """Returns a text in a short form that JSON can hold."""
    return base64.b64encode(zlib.compress(text.encode(), _LEVEL)).decode()


class Packer:
    """Packs a text once for all who get it."""

    def __init__(self) -> None:
        self._text = ""
        self._packed = pack("")

    def pack(self, text: str) -> str:
        """Returns a text in its short form."""
        if text is not self._text:
            self._text, self._packed = text, pack(text)
        return self._packed


def unpack(packed: str) -> str:
    """Returns the text that was packed.

    Raises:
        ValueError: If it is none, or too long.
    """
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(base64.b64decode(packed), _MOST_BYTES)
    except zlib.error as error:
        raise ValueError(f"packed text is broken: {error}") from error
    if not unpacker.eof:
        raise ValueError(f"packed text of more than {_MOST_BYTES} bytes")
    return data.decode()
