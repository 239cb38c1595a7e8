"""The bundle in force (the head), built from a record and its sections."""

from collections.abc import Mapping
from typing import Any

import attrs
import orjson

from caroblug.core.state._bundle import Bundle, ClientAccount
from caroblug.core.state._records import BundleRecord
from caroblug.core.state._sections import ACCOUNTS
from caroblug.utils import SettingsRejected, structure_table

_FILE = "bundle"


@attrs.frozen
class Head:
    """The bundle in force.

    Attributes:
        version: Version of the bundle, from 1.
        digest: Digest that identifies the bundle.
        bundle: The bundle itself.
        sections: Section bytes by name.
        offset: Log offset at which the record was accepted.
        record: The record of the bundle, without its sections.
        shards: Parsed client accounts, by content hash of their section.
    """

    version: int
    digest: str
    bundle: Bundle
    sections: dict[str, bytes]
    offset: int = 0
    record: BundleRecord | None = None
    shards: dict[str, dict[str, ClientAccount]] = attrs.field(
        factory=dict, repr=False
    )

    def bodies(self) -> dict[str, bytes]:
        """Returns the section bytes by content hash."""
        if self.record is None:
            return {}
        manifest = self.record.manifest
        return {manifest[name]: body for name, body in self.sections.items()}


def build_head(
    record: BundleRecord,
    offset: int,
    sections: dict[str, bytes],
    previous: Head | None,
) -> Head | str:
    """Builds the head from a record and its sections.

    Account sections that the previous head contains too are reused without
    parsing. With 18,000 accounts, a change then costs one section instead of
    all of them.

    Args:
        record: The record.
        offset: Log offset at which the record was accepted.
        sections: Bytes of all sections, by name.
        previous: The previous head, if any.

    Returns:
        The head, or the first problem of the bundle as text.
    """
    table: dict[str, Any] = {}
    shards: dict[str, dict[str, ClientAccount]] = {}
    reusable = previous.shards if previous else {}
    for name in sorted(sections):
        if not name.startswith(f"{ACCOUNTS}/"):
            table[name] = orjson.loads(sections[name])
            continue
        key = record.manifest[name]
        shard = reusable.get(key)
        if shard is None:
            shard = _parse_shard(sections[name])
        if isinstance(shard, str):
            return shard
        shards[key] = shard
    bundle = structure_table(table, Bundle, _FILE)
    if isinstance(bundle, SettingsRejected):
        return str(bundle.problems[0])
    bundle = attrs.evolve(bundle, client_accounts=_merge_shards(shards))
    bare = attrs.evolve(record, sections={})
    return Head(
        record.version,
        record.digest,
        bundle,
        sections,
        offset,
        bare,
        shards,
    )


def _parse_shard(section: bytes) -> dict[str, ClientAccount] | str:
    table = {ACCOUNTS: orjson.loads(section)}
    bundle = structure_table(table, Bundle, _FILE)
    if isinstance(bundle, SettingsRejected):
        return str(bundle.problems[0])
    return bundle.client_accounts


def _merge_shards(
    shards: Mapping[str, dict[str, ClientAccount]],
) -> dict[str, ClientAccount]:
    accounts: dict[str, ClientAccount] = {}
    for shard in shards.values():
        accounts.update(shard)
    return accounts
