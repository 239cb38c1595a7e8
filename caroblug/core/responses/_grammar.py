"""Grammar of responses in HTTP/1.1 (RFC 9112, sections 2 to 7).

Whatever a server must not send is refused: parsers differ in what they make of
it, so that a caller could get another response than the server's.
"""

import re

import attrs

from caroblug.utils import parse_digits, shorten

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*+"
_FIELD_LINES = rb"((?:" + _TOKEN + rb":" + _TEXT + rb"\r\n)*+)"
_HEAD = re.compile(
    rb"HTTP/1\.([0-9]) ([0-9]{3}) " + _TEXT + rb"\r\n" + _FIELD_LINES + rb"\r\n"
)
_TRAILERS = re.compile(_FIELD_LINES + rb"\r\n")
_QUOTED = rb'"(?:[\t\x20\x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\' + (
    rb'[\t\x20-\x7e\x80-\xff])*+"'
)
_EXTENSION = rb"[\t ]*+;[\t ]*+%b(?:[\t ]*+=[\t ]*+(?:%b|%b))?+" % (
    _TOKEN,
    _TOKEN,
    _QUOTED,
)
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]++)(?:%b)*+\r\n" % _EXTENSION)
PLAIN_CHUNK_LINE = re.compile(rb"([1-9A-Fa-f][0-9A-Fa-f]{0,7})\r\n")
"""The line of a chunk that all parsers read alike."""

_FRAMING_LINE = re.compile(
    rb"^(content-length|transfer-encoding):[\t ]*(.*?)[\t ]*\r$",
    re.IGNORECASE | re.MULTILINE,
)
_NOT_IN_HEAD = re.compile(
    rb"(?<!\r)\n|\r(?!\n|\Z)|[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]"
)
_HEAD_START = b"HTTP/1."
HEAD_START_BYTES = len(_HEAD_START)

_CHUNK_START = re.compile(rb"[0-9A-Fa-f]++(?:[\t ;\r]|\Z)")
CHUNK_START_BYTES = 20

_MIN_STATUS = 100
_MAX_STATUS = 599
_MIN_FINAL_STATUS = 200
_SWITCHING_PROTOCOLS = 101
_NO_CONTENT = 204
_NOT_MODIFIED = 304
_MAX_CHUNK_DIGITS = 16


@attrs.frozen
class MalformedResponse:
    """Bytes that are no complete response.

    Attributes:
        message: What is wrong with them.
    """

    message: str


@attrs.frozen
class Head:
    """What the head of a response says about its end.

    Attributes:
        status: Status code.
        minor: Minor version.
        length: Length of the body; None if chunks or the end of the connection
            delimit it.
        chunked: Whether the body comes in chunks.
    """

    status: int
    minor: int
    length: int | None
    chunked: bool

    @property
    def interim(self) -> bool:
        """Whether another response follows."""
        return self.status < _MIN_FINAL_STATUS


def find_head_error(
    start: bytes, added: bytes, begin: int
) -> MalformedResponse | None:
    """Returns why an incomplete head can't become a sound one, if so.

    It spares the wait for the end of a head that never comes.

    Args:
        start: First bytes of the head, `HEAD_START_BYTES` at most.
        added: Latest bytes of it, and some before them.
        begin: Where to begin in them: at the byte before those added.
    """
    if not _HEAD_START.startswith(start):
        return MalformedResponse(f"no response: {start!r}")
    found = _NOT_IN_HEAD.search(added, begin)
    if found:
        return MalformedResponse(f"head has {found[0]!r}")
    return None


def parse_head(data: bytes, bodiless: bool) -> Head | MalformedResponse:
    """Checks a head.

    Args:
        data: The head, up to and with the empty line.
        bodiless: Whether the response has no body whatever its head says, as
            that to HEAD.
    """
    match = _HEAD.fullmatch(data)
    if match is None:
        return MalformedResponse(f"malformed head: {shorten(data)}")
    minor, status = int(match[1]), int(match[2])
    if not _MIN_STATUS <= status <= _MAX_STATUS:
        return MalformedResponse(f"status {status:03}")
    if status == _SWITCHING_PROTOCOLS:
        return MalformedResponse("switch to a protocol that wasn't asked for")
    framing = _parse_framing(match[3], minor)
    if isinstance(framing, MalformedResponse):
        return framing
    length, chunked = framing
    if status < _MIN_FINAL_STATUS or status == _NO_CONTENT:
        if length or chunked:
            return MalformedResponse(f"content in a response of {status}")
        bodiless = True
    if bodiless or status == _NOT_MODIFIED:
        length, chunked = 0, False
    return Head(status, minor, length, chunked)


def _parse_framing(
    lines: bytes, minor: int
) -> tuple[int | None, bool] | MalformedResponse:
    """Returns the length that header lines name, and whether chunks do."""
    found = _FRAMING_LINE.findall(lines)
    if not found:
        return None, False
    if len(found) > 1:
        return MalformedResponse(f"several lengths: {shorten(found)}")
    name, value = found[0]
    if name.lower() == b"transfer-encoding":
        if value.lower() != b"chunked" or not minor:
            return MalformedResponse(f"transfer encoding {shorten(value)}")
        return None, True
    length = parse_digits(value.decode("latin-1").lstrip("0") or "0")
    if length is None or not value:
        return MalformedResponse(f"length {shorten(value)}")
    return length, False


def parse_chunk_line(line: bytes) -> int | MalformedResponse:
    """Returns the size of the chunk that a line begins."""
    match = _CHUNK_LINE.fullmatch(line)
    digits = match[1].lstrip(b"0") if match else b""
    if match is None or len(digits) > _MAX_CHUNK_DIGITS:
        return MalformedResponse(f"chunk size {shorten(line)}")
    return int(digits or b"0", 16)


def find_chunk_line_error(start: bytes) -> MalformedResponse | None:
    """Returns why an incomplete line can't begin a chunk, if so.

    Args:
        start: First bytes of the line, `CHUNK_START_BYTES` at most.
    """
    if _CHUNK_START.match(start):
        return None
    return MalformedResponse(f"chunk size {start!r}")


def find_trailer_error(data: bytes) -> MalformedResponse | None:
    """Returns what is wrong with trailers, up to and with the empty line."""
    match = _TRAILERS.fullmatch(data)
    if match is None or _FRAMING_LINE.search(match[1]):
        return MalformedResponse(f"malformed trailers: {shorten(data)}")
    return None
