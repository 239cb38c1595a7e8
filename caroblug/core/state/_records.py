"""Bundle records: what an operator appends to the log."""

import hashlib
from collections.abc import Collection

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
    body = {
        "kind": "bundle",
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
    return orjson.dumps(body, option=orjson.OPT_SORT_KEYS)


def decode_record(data: bytes) -> BundleRecord | None:
    """Returns the record, or None if these bytes are not one.

    Sections whose bytes do not have the hash they are named by make the
    record invalid: they are not covered by the signature otherwise.
    """
    try:
        body = orjson.loads(data)
        if body["kind"] != "bundle" or body["version"] < 1:
            return None
        sections = {k: v.encode() for k, v in body["sections"].items()}
        if any(section_hash(v) != k for k, v in sections.items()):
            return None
        return BundleRecord(
            int(body["version"]),
            str(body["parent"]),
            {str(k): str(v) for k, v in body["manifest"].items()},
            sections,
            tuple(
                Signature(str(s["key"]), str(s["value"]))
                for s in body["signatures"]
            ),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
