"""Transfers bundle sections between two instances."""

import collections

import attrs

from caroblug.core.state import (
    Advert,
    BundleRecord,
    Head,
    decode_record,
    encode_record,
    section_hash,
)
from caroblug.gen.wire import ttypes as wire

_MAX_REMEMBERED_HEADS = 32
_MAX_REPLY_BYTES = 1024 * 1024


class SectionServer:
    """Serves the sections of this instance's head to peers.

    Remembers which sections its last 32 heads had, so that a peer that has one
    of them receives only the sections that changed since.
    """

    def __init__(self) -> None:
        self._head: Head | None = None
        self._bodies: dict[str, bytes] = {}
        self._record = b""
        self._hashes_by_digest: collections.OrderedDict[str, frozenset[str]] = (
            collections.OrderedDict()
        )

    def on_head(self, head: Head) -> None:
        """Sets the head to serve."""
        self._head = head
        self._bodies = head.bodies()
        self._record = encode_record(head.record)
        self._hashes_by_digest[head.digest] = frozenset(self._bodies)
        while len(self._hashes_by_digest) > _MAX_REMEMBERED_HEADS:
            self._hashes_by_digest.popitem(last=False)

    def answer(self, fetch: wire.BundleFetch) -> wire.BundleSections:
        """Returns the reply to a peer's fetch.

        A fetch of content hashes gets these sections. Any other fetch gets the
        head's record and the sections that are not in the peer's base, if that
        base is remembered. A reply is limited to 1 MiB of sections, but a
        single larger section is sent whole. The peer fetches the rest by
        content hash.
        """
        head = self._head
        if head is None:
            return wire.BundleSections(fetch.digest, 0, b"", {})
        if fetch.hashes:
            requested = fetch.hashes
            record = b""
        else:
            base = self._hashes_by_digest.get(fetch.base or "")
            requested = () if base is None else self._bodies.keys() - base
            record = self._record
        sections: dict[str, bytes] = {}
        size = 0
        for key in requested:
            body = self._bodies.get(key)
            if body is None:
                continue
            size += len(body)
            if size > _MAX_REPLY_BYTES and sections:
                break
            sections[key] = body
        return wire.BundleSections(head.digest, head.offset, record, sections)


@attrs.define
class IncomingHead:
    """A head that is being fetched from a peer.

    Attributes:
        peer: Name of the peer.
        held: Content hashes of the sections that this instance already has.
        record: The record; None until it is received.
        offset: Log offset at which it was accepted, according to the peer.
        sections: The sections received so far, by content hash.
    """

    peer: str
    held: frozenset[str]
    record: BundleRecord | None = None
    offset: int = 0
    sections: dict[str, bytes] = attrs.field(factory=dict)

    def add_part(self, message: wire.BundleSections) -> bool:
        """Adds a received message.

        Returns:
            Whether it contained a record or a valid section of this head.
        """
        if message.record:
            record = decode_record(message.record)
            if record is None:
                return False
            self.record = record
            self.offset = message.offset or 0
        if self.record is None or message.digest != self.record.digest:
            return False
        valid_sections = select_valid_sections(message.sections or {})
        self.sections.update(valid_sections)
        return bool(valid_sections) or bool(message.record)

    def missing_hashes(self) -> list[str]:
        """Returns the content hashes of the sections still to be fetched."""
        if self.record is None:
            return []
        required = set(self.record.manifest.values())
        return sorted(required - self.held - self.sections.keys())


def select_valid_sections(sections: dict[str, bytes]) -> dict[str, bytes]:
    """Returns the sections whose content matches the hash in their key."""
    return {k: v for k, v in sections.items() if section_hash(v) == k}


def advert_to_wire(advert: Advert) -> wire.BundleAdvert:
    """Converts an advert to its wire format."""
    return wire.BundleAdvert(
        advert.version, advert.digest, advert.offset, advert.log_age_ms
    )


def advert_from_wire(advert: wire.BundleAdvert) -> Advert:
    """Converts a received advert from its wire format."""
    return Advert(
        advert.version or 0,
        advert.digest or "",
        advert.offset or 0,
        advert.log_age_ms or 0,
    )
