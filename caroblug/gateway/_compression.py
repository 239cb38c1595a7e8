"""Long texts in messages between gateways, compressed.

A configuration of many routes takes a slow link of a gateway a third of a
second, in which its streams wait; compressed it takes a tenth of that.
"""

import base64
import zlib

_LEVEL = 1
_MAX_TEXT_BYTES = 64 << 20
"""Bound on what a text may decompress_text to."""


def compress_text(text: str) -> str:
    """Returns a text in a short form that JSON can hold."""
    return base64.b64encode(zlib.compress(text.encode(), _LEVEL)).decode()


class TextCompressor:
    """Packs a text once for all who get it."""

    def __init__(self) -> None:
        self._text = ""
        self._compressed = compress_text("")

    def compress(self, text: str) -> str:
        """Returns a text in its short form."""
        if text is not self._text:
            self._text, self._compressed = text, compress_text(text)
        return self._compressed


def decompress_text(compressed: str) -> str:
    """Returns the text that was packed.

    Raises:
        ValueError: If it is none, or too long.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(
            base64.b64decode(compressed), _MAX_TEXT_BYTES
        )
    except zlib.error as error:
        raise ValueError(f"packed text is broken: {error}") from error
    if not decompressor.eof:
        raise ValueError(f"packed text of more than {_MAX_TEXT_BYTES} bytes")
    return data.decode()
