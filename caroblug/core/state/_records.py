"""Bundle records: what an operator appends to the log."""

import hashlib
import hmac
from collections.abc import Collection
from typing import Any

import attrs
import orjson
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from caroblug.core.state._sections import section_hash

_DOMAIN = b"caroblug bundle 1\n"
_DIGEST_BYTES = 20
_MAX_KEY = 64
_BUNDLE = "bundle"
_SNAPSHOT = "snapshot"


@attrs.frozen
class Signature:
    """One operator's signature.

    Attributes:
        key: Ed25519 public key, in hexadecimal.
        value: The signature, in hexadecimal.
    """

    key: str
    value: str


@attrs.frozen
class BundleRecord:
    """One version of the bundle.

    Attributes:
        version: Parent's version plus one.
        parent: Digest of the parent; empty for the first.
        manifest: Content hash by section name.
        sections: Section bytes by content hash; changed ones at least.
        signatures: Operators' signatures over the digest.
    """

    version: int
    parent: str
    manifest: dict[str, str]
    sections: dict[str, bytes]
    signatures: tuple[Signature, ...] = ()

    @property
    def digest(self) -> str:
        """Identity of this version: a hash of everything but signatures."""
        return hashlib.blake2b(
            self.signed_bytes, digest_size=_DIGEST_BYTES
        ).hexdigest()

    @property
    def signed_bytes(self) -> bytes:
        """The bytes that operators sign."""
        body = {
            "version": self.version,
            "parent": self.parent,
            "manifest": self.manifest,
        }
        return _DOMAIN + orjson.dumps(body, option=orjson.OPT_SORT_KEYS)


@attrs.frozen
class Snapshot:
    """A head that an instance appends again before its record expires.

    Attributes:
        record: The head's record with all of its sections.
        offset: Where in the log the record was accepted.
    """

    record: BundleRecord
    offset: int


def make_record(
    sections: dict[str, bytes],
    version: int,
    parent: str,
    known: Collection[str] = (),
) -> BundleRecord:
    """Returns an unsigned record.

    Args:
        sections: The whole bundle, section bytes by name.
        version: The record's version.
        parent: Digest of the parent.
        known: Content hashes that readers already hold; left out.
    """
    manifest = {key: section_hash(body) for key, body in sections.items()}
    changed = {
        manifest[key]: body
        for key, body in sections.items()
        if manifest[key] not in known
    }
    return BundleRecord(version, parent, manifest, changed)


def sign_record(record: BundleRecord, private_key: bytes) -> BundleRecord:
    """Returns the record with one more signature."""
    key = Ed25519PrivateKey.from_private_bytes(private_key)
    signature = Signature(
        key.public_key().public_bytes_raw().hex(),
        key.sign(record.signed_bytes).hex(),
    )
    others = tuple(s for s in record.signatures if s.key != signature.key)
    return attrs.evolve(record, signatures=(*others, signature))


def verified_signers(
    record: BundleRecord, operators: Collection[str]
) -> frozenset[str]:
    """Returns which of the operators' keys have signed, checked."""
    signers = set()
    for signature in record.signatures:
        if signature.key not in operators:
            continue
        key = Ed25519PublicKey.from_public_bytes(bytes.fromhex(signature.key))
        try:
            key.verify(bytes.fromhex(signature.value), record.signed_bytes)
        except (InvalidSignature, ValueError):
            continue
        signers.add(signature.key)
    return frozenset(signers)


def encode_record(record: BundleRecord) -> bytes:
    """Returns the record as deterministic JSON."""
    body = _record_body(record)
    return orjson.dumps(body, option=orjson.OPT_SORT_KEYS)


def encode_snapshot(snapshot: Snapshot, key: bytes) -> bytes:
    """Returns a snapshot as deterministic JSON.

    Args:
        snapshot: The snapshot.
        key: Key that only processes of the system hold.
    """
    body = _record_body(snapshot.record)
    body["kind"] = _SNAPSHOT
    body["offset"] = snapshot.offset
    body["code"] = _snapshot_code(snapshot, key)
    return orjson.dumps(body, option=orjson.OPT_SORT_KEYS)


def decode_snapshot(data: bytes, keys: Collection[bytes]) -> Snapshot | None:
    """Returns the snapshot, or None if these bytes are not one.

    Args:
        data: A record of the log.
        keys: Keys of which one must have made its code; none accepts any
            snapshot, for a reader that only looks.
    """
    try:
        body = orjson.loads(data)
        if body["kind"] != _SNAPSHOT or type(body["offset"]) is not int:
            return None
        record = _parse_record(body)
        code = str(body["code"])
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
    if record is None:
        return None
    snapshot = Snapshot(record, body["offset"])
    if keys and not any(
        hmac.compare_digest(_snapshot_code(snapshot, key), code) for key in keys
    ):
        return None
    return snapshot


def _snapshot_code(snapshot: Snapshot, key: bytes) -> str:
    """Returns the code that proves who says where a record was accepted.

    Guards against a replay that claims an early offset for a record that
    lost its race: whoever can write to the log could otherwise turn readers
    whose history is truncated to it.
    """
    text = f"{snapshot.record.digest} {snapshot.offset}"
    return hashlib.blake2b(
        _DOMAIN + text.encode(), key=key[:_MAX_KEY], digest_size=_DIGEST_BYTES
    ).hexdigest()


def _record_body(record: BundleRecord) -> dict[str, Any]:
    return {
        "kind": _BUNDLE,
        "version": record.version,
        "parent": record.parent,
        "manifest": record.manifest,
        "sections": {
            key: value.decode() for key, value in record.sections.items()
        },
        "signatures": [
            {"key": s.key, "value": s.value} for s in record.signatures
        ],
    }


def decode_record(data: bytes) -> BundleRecord | None:
    """Returns the record, or None if these bytes are not one.

    Sections whose bytes do not have the hash they are named by make the
    record invalid: they are not covered by the signature otherwise.
    """
    try:
        body = orjson.loads(data)
        return _parse_record(body) if body["kind"] == _BUNDLE else None
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def _parse_record(body: dict[str, Any]) -> BundleRecord | None:
    if type(body["version"]) is not int or body["version"] < 1:
        return None
    sections = {k: v.encode() for k, v in body["sections"].items()}
    if any(section_hash(v) != k for k, v in sections.items()):
        return None
    return BundleRecord(
        body["version"],
        str(body["parent"]),
        {str(k): str(v) for k, v in body["manifest"].items()},
        sections,
        tuple(
            Signature(str(s["key"]), str(s["value"]))
            for s in body["signatures"]
        ),
    )
