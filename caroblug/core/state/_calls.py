"""Log records of calls that must not be retried, and their encoding."""

import base64
import enum
import hashlib
from typing import Any

import attrs
import orjson

_DIGEST_BYTES = 16
_SEPARATOR = b"\0"


@attrs.frozen
class IntentId:
    """The identity of an intent.

    Attributes:
        writer: Identity of one run of a process; a restart changes it.
        number: Sequence number of the intent at this writer.
    """

    writer: str
    number: int


class OutcomeKind(enum.StrEnum):
    """The outcome of an intent.

    Attributes:
        ANSWERED: The call was made and answered.
        UNKNOWN: The call was made, but its effect is not known.
        VOID: The call was not made and will not be made.
    """

    ANSWERED = "answered"
    UNKNOWN = "unknown"
    VOID = "void"


@attrs.frozen
class Intent:
    """The intent to make a call, valid if it is the first one for its key.

    Attributes:
        id: Identity of the intent.
        key: Digest of client account, service and idempotency key.
        request: Digest of the request.
    """

    id: IntentId
    key: bytes
    request: bytes


@attrs.frozen
class CallOutcome:
    """The recorded outcome of an intent.

    Attributes:
        id: Identity of the intent.
        key: Key of the intent.
        kind: The outcome.
        status: HTTP status of the response.
        headers: Header names and values of the response.
        body: Body of the response; empty if it was too long to record.
        body_digest: Digest of a body that was too long to record, else
            empty.
    """

    id: IntentId
    key: bytes
    kind: OutcomeKind
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    body_digest: str = ""


@attrs.frozen
class CallBatch:
    """Intents and outcomes that one writer appends as one log record.

    Attributes:
        writer: Identity of the writer.
        sequence: Sequence number of the batch at this writer, from 1.
        horizon: Records before this offset have left the window: the writer
            has known them for the whole window by its own clock.
        entries: Intents and outcomes, in order.
    """

    writer: str
    sequence: int
    horizon: int
    entries: tuple[Intent | CallOutcome, ...]


def digest_parts(*parts: bytes) -> bytes:
    """Returns a digest of a list of byte strings.

    The parts are length-prefixed, so lists that differ only in how their
    bytes are divided have different digests.
    """
    hasher = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        hasher.update(str(len(part)).encode() + _SEPARATOR + part)
    return hasher.digest()


def encode_batch(batch: CallBatch) -> bytes:
    """Returns the batch as JSON."""
    body = {
        "kind": "calls",
        "writer": batch.writer,
        "sequence": batch.sequence,
        "horizon": batch.horizon,
        "entries": [_encode_entry(entry) for entry in batch.entries],
    }
    return orjson.dumps(body)


def decode_batch(data: bytes) -> CallBatch | None:
    """Returns the batch, or None if the data does not encode one."""
    try:
        body = orjson.loads(data)
        if body["kind"] != "calls":
            return None
        return CallBatch(
            str(body["writer"]),
            int(body["sequence"]),
            int(body["horizon"]),
            tuple(_decode_entry(entry) for entry in body["entries"]),
        )
    except (KeyError, TypeError, ValueError):
        return None


def _encode_entry(entry: Intent | CallOutcome) -> dict[str, Any]:
    body: dict[str, Any] = {
        "writer": entry.id.writer,
        "number": entry.id.number,
        "key": entry.key.hex(),
    }
    if isinstance(entry, Intent):
        return body | {"request": entry.request.hex()}
    body["outcome"] = entry.kind.value
    if entry.kind is OutcomeKind.ANSWERED:
        body["status"] = entry.status
        body["headers"] = entry.headers
        body["body"] = base64.b64encode(entry.body).decode()
        body["body_digest"] = entry.body_digest
    return body


def _decode_entry(body: dict[str, Any]) -> Intent | CallOutcome:
    identity = IntentId(str(body["writer"]), int(body["number"]))
    key = bytes.fromhex(body["key"])
    if "request" in body:
        return Intent(identity, key, bytes.fromhex(body["request"]))
    return CallOutcome(
        identity,
        key,
        OutcomeKind(body["outcome"]),
        int(body.get("status", 0)),
        tuple((str(n), str(v)) for n, v in body.get("headers", ())),
        base64.b64decode(body.get("body", "")),
        str(body.get("body_digest", "")),
    )
