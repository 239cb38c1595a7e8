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

_KNOWN_HEADS = 32
_REPLY_BYTES = 1024 * 1024


class SectionServer:
    """Answers peers that fetch from this instance's head.

    It remembers which sections its last heads had, so that a peer that holds
    one of them is sent only what has changed since.
    """

    def __init__(self) -> None:
        self._head: Head | None = None
        self._bodies: dict[str, bytes] = {}
        self._record = b""
        self._known: collections.OrderedDict[str, frozenset[str]] = (
            collections.OrderedDict()
        )

    def on_head(self, head: Head) -> None:
        """Takes the head that is now in force."""
        self._head = head
        self._bodies = head.bodies()
        self._record = encode_record(head.record)
        self._known[head.digest] = frozenset(self._bodies)
        while len(self._known) > _KNOWN_HEADS:
            self._known.popitem(last=False)

    def answer(self, fetch: wire.BundleFetch) -> wire.BundleSections:
        """Returns the head and what the peer lacks, a megabyte at most.

        A peer that does not get all asks for the rest by content hash.
        """
        head = self._head
        if head is None:
            return wire.BundleSections(fetch.digest, 0, b"", {})
        if fetch.hashes:
            wanted = fetch.hashes
            record = b""
        else:
            base = self._known.get(fetch.base or "")
            wanted = () if base is None else self._bodies.keys() - base
            record = self._record
        sections: dict[str, bytes] = {}
        size = 0
        for key in wanted:
            body = self._bodies.get(key)
            if body is None:
                continue
            size += len(body)
            if size > _REPLY_BYTES and sections:
                break
            sections[key] = body
        return wire.BundleSections(head.digest, head.offset, record, sections)


@attrs.define
class Incoming:
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

    def take(self, message: wire.BundleSections) -> bool:
        """Takes a part; returns whether it brought anything."""
        if message.record:
            record = decode_record(message.record)
            if record is None:
                return False
            self.record = record
            self.offset = message.offset or 0
        if self.record is None or message.digest != self.record.digest:
            return False
        checked = checked_sections(message.sections or {})
        self.sections.update(checked)
        return bool(checked) or bool(message.record)

    def lacking(self) -> list[str]:
        """Returns the content hashes still to be asked for."""
        if self.record is None:
            return []
        wanted = set(self.record.manifest.values())
        return sorted(wanted - self.held - self.sections.keys())


def checked_sections(sections: dict[str, bytes]) -> dict[str, bytes]:
    """Returns those sections that have the hash they are named by."""
    return {k: v for k, v in sections.items() if section_hash(v) == k}


def to_wire(advert: Advert) -> wire.BundleAdvert:
    """Returns an advert as it is sent."""
    return wire.BundleAdvert(
        advert.version, advert.digest, advert.offset, advert.log_age_ms
    )


def from_wire(advert: wire.BundleAdvert) -> Advert:
    """Returns an advert that was received."""
    return Advert(
        advert.version or 0,
        advert.digest or "",
        advert.offset or 0,
        advert.log_age_ms or 0,
    )
