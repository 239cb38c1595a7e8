"""Signed bundle records and snapshots on the log, and their encoding."""

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

_SIGNING_CONTEXT = b"caroblug bundle 1\n"
_DIGEST_BYTES = 20
_MAX_KEY_BYTES = 64
_BUNDLE_KIND = "bundle"
_SNAPSHOT_KIND = "snapshot"


@attrs.frozen
class Signature:
    """The signature of one operator.

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
        version: Version of the bundle: the parent's version plus one.
        parent: Digest of the parent record; empty for the first record.
        manifest: Content hash by section name.
        sections: Section bytes by content hash; contains at least the
            sections that changed.
        signatures: Signatures of operators over `signed_bytes`.
    """

    version: int
    parent: str
    manifest: dict[str, str]
    sections: dict[str, bytes]
    signatures: tuple[Signature, ...] = ()

    @property
    def digest(self) -> str:
        """Hash of the version, parent and manifest; identifies the record."""
        return hashlib.blake2b(
            self.signed_bytes, digest_size=_DIGEST_BYTES
        ).hexdigest()

    @property
    def signed_bytes(self) -> bytes:
        """Bytes that operators sign."""
        body = {
            "version": self.version,
            "parent": self.parent,
            "manifest": self.manifest,
        }
        return _SIGNING_CONTEXT + orjson.dumps(
            body, option=orjson.OPT_SORT_KEYS
        )


@attrs.frozen
class Snapshot:
    """A copy of the head, appended before the head's own record expires.

    Attributes:
        record: Record of the head with all of its sections.
        offset: Log offset at which the record was accepted.
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
        sections: Section bytes of the whole bundle, by name.
        version: Version of the record.
        parent: Digest of the parent record.
        known: Content hashes of sections that readers already hold; these
            sections are left out.
    """
    manifest = {key: section_hash(body) for key, body in sections.items()}
    changed = {
        manifest[key]: body
        for key, body in sections.items()
        if manifest[key] not in known
    }
    return BundleRecord(version, parent, manifest, changed)


def sign_record(record: BundleRecord, private_key: bytes) -> BundleRecord:
    """Returns the record with the signature of a private key added."""
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
    """Returns the operators' keys whose signatures are valid."""
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
    body = _encode_body(record)
    return orjson.dumps(body, option=orjson.OPT_SORT_KEYS)


def encode_snapshot(snapshot: Snapshot, key: bytes) -> bytes:
    """Returns the snapshot as deterministic JSON.

    Args:
        snapshot: The snapshot.
        key: Secret key that only instances of the system hold.
    """
    body = _encode_body(snapshot.record)
    body["kind"] = _SNAPSHOT_KIND
    body["offset"] = snapshot.offset
    body["code"] = _authentication_code(snapshot, key)
    return orjson.dumps(body, option=orjson.OPT_SORT_KEYS)


def decode_snapshot(data: bytes, keys: Collection[bytes]) -> Snapshot | None:
    """Returns the snapshot, or None if the data does not encode one.

    Args:
        data: Bytes of a log record.
        keys: Keys of which one must match the authentication code. If there
            are none, any snapshot is accepted, for read-only tools.
    """
    try:
        body = orjson.loads(data)
        if body["kind"] != _SNAPSHOT_KIND or type(body["offset"]) is not int:
            return None
        record = _parse_record(body)
        code = str(body["code"])
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
    if record is None:
        return None
    snapshot = Snapshot(record, body["offset"])
    if keys and not any(
        hmac.compare_digest(_authentication_code(snapshot, key), code)
        for key in keys
    ):
        return None
    return snapshot


def _authentication_code(snapshot: Snapshot, key: bytes) -> str:
    """Returns the authentication code of a record and its offset.

    Without the code, anyone who can write to the log could claim an early
    offset for a record that lost its race. Readers with a truncated history
    would then take that record as the head.
    """
    text = f"{snapshot.record.digest} {snapshot.offset}"
    return hashlib.blake2b(
        _SIGNING_CONTEXT + text.encode(),
        key=key[:_MAX_KEY_BYTES],
        digest_size=_DIGEST_BYTES,
    ).hexdigest()


def _encode_body(record: BundleRecord) -> dict[str, Any]:
    return {
        "kind": _BUNDLE_KIND,
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
    """Returns the record, or None if the data does not encode a valid one.

    A record is invalid if a section does not match its content hash, because
    the signatures cover the sections only through their hashes.
    """
    try:
        body = orjson.loads(data)
        return _parse_record(body) if body["kind"] == _BUNDLE_KIND else None
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
