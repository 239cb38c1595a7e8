"""Records of calls that may not be repeated, as they stand on the log."""

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
    """Identity of an intent.

    Attributes:
        writer: One life of one process; a restarted process is another.
        number: Counts the writer's intents.
    """

    writer: str
    number: int


class OutcomeKind(enum.StrEnum):
    """How an intent ended."""

    ANSWERED = "answered"
    UNKNOWN = "unknown"
    VOID = "void"


@attrs.frozen
class Intent:
    """Says that a call is about to be made, if this is first for its key.

    Attributes:
        id: Identity.
        key: Digest of client account, service and idempotency key.
        request: Digest of the request.
    """

    id: IntentId
    key: bytes
    request: bytes


@attrs.frozen
class CallOutcome:
    """Says how an intent ended.

    Attributes:
        id: The intent.
        key: Its key.
        kind: `VOID` means that the call was not and will not be made.
        status: HTTP status of the answer.
        headers: Header names and values of the answer.
        body: The answer's body; empty if it was too long to keep.
        body_digest: Digest of a body that was too long to keep, else empty.
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
    """What one writer appends at once.

    Attributes:
        writer: Who writes.
        sequence: Counts the writer's batches, from 1.
        horizon: Records before this offset are past the window, by the
            writer's own clock since it read them.
        entries: Intents and outcomes, in order.
    """

    writer: str
    sequence: int
    horizon: int
    entries: tuple[Intent | CallOutcome, ...]


def digest_parts(*parts: bytes) -> bytes:
    """Returns a digest that no other list of parts has."""
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
    """Returns the batch, or None if these bytes are not one."""
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
