"""Adverts, fetches and sections between two instances."""

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
    """Answers peers that fetch from this instance's head.

    It remembers which sections its last heads had, so that a peer that holds
    one of them is sent only what has changed since.
    """

    def __init__(self) -> None:
        self._head: Head | None = None
        self._bodies: dict[str, bytes] = {}
        self._record = b""
        self._hashes_by_digest: collections.OrderedDict[str, frozenset[str]] = (
            collections.OrderedDict()
        )

    def on_head(self, head: Head) -> None:
        """Takes the head that is now in force."""
        self._head = head
        self._bodies = head.bodies()
        self._record = encode_record(head.record)
        self._hashes_by_digest[head.digest] = frozenset(self._bodies)
        while len(self._hashes_by_digest) > _MAX_REMEMBERED_HEADS:
            self._hashes_by_digest.popitem(last=False)

    def answer(self, fetch: wire.BundleFetch) -> wire.BundleSections:
        """Returns the head and what the peer lacks, a megabyte at most.

        A peer that does not get all asks for the rest by content hash.
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
    """A head on its way from a peer.

    Attributes:
        peer: The peer.
        held: Content hashes that this instance has already.
        record: The record, once it is there.
        offset: Where the peer says that it was accepted.
        sections: What has come of its sections, by content hash.
    """

    peer: str
    held: frozenset[str]
    record: BundleRecord | None = None
    offset: int = 0
    sections: dict[str, bytes] = attrs.field(factory=dict)

    def add_part(self, message: wire.BundleSections) -> bool:
        """Takes a part; returns whether it brought anything."""
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
        """Returns the content hashes still to be asked for."""
        if self.record is None:
            return []
        requested = set(self.record.manifest.values())
        return sorted(requested - self.held - self.sections.keys())


def select_valid_sections(sections: dict[str, bytes]) -> dict[str, bytes]:
    """Returns those sections that have the hash they are named by."""
    return {k: v for k, v in sections.items() if section_hash(v) == k}


def advert_to_wire(advert: Advert) -> wire.BundleAdvert:
    """Returns an advert as it is sent."""
    return wire.BundleAdvert(
        advert.version, advert.digest, advert.offset, advert.log_age_ms
    )


def advert_from_wire(advert: wire.BundleAdvert) -> Advert:
    """Returns an advert that was received."""
    return Advert(
        advert.version or 0,
        advert.digest or "",
        advert.offset or 0,
        advert.log_age_ms or 0,
    )
