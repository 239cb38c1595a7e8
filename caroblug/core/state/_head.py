"""The bundle in force, built from a record and its sections."""

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
        version: Its version, from 1.
        digest: Its identity.
        bundle: What operators decided.
        sections: Its section bytes, by name.
        offset: Where in the log its record was accepted.
        record: Its record, without sections.
        shards: Structured client accounts, by content hash of their section.
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
    """Structures a record's bundle.

    Account sections that the previous head had too are taken over as they
    are: at 18,000 accounts a change then costs one section, not all.

    Args:
        record: The record.
        offset: Where it was accepted.
        sections: All of its section bytes, by name.
        previous: The head before it.

    Returns:
        The head, or the first mistake in the bundle.
    """
    table: dict[str, Any] = {}
    shards: dict[str, dict[str, ClientAccount]] = {}
    known = previous.shards if previous else {}
    for name in sorted(sections):
        if not name.startswith(f"{ACCOUNTS}/"):
            table[name] = orjson.loads(sections[name])
            continue
        key = record.manifest[name]
        shard = known.get(key)
        if shard is None:
            shard = _structure_shard(sections[name])
        if isinstance(shard, str):
            return shard
        shards[key] = shard
    bundle = structure_table(table, Bundle, _FILE)
    if isinstance(bundle, SettingsRejected):
        return str(bundle.problems[0])
    bundle = attrs.evolve(bundle, client_accounts=_merge(shards))
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


def _structure_shard(section: bytes) -> dict[str, ClientAccount] | str:
    table = {ACCOUNTS: orjson.loads(section)}
    bundle = structure_table(table, Bundle, _FILE)
    if isinstance(bundle, SettingsRejected):
        return str(bundle.problems[0])
    return bundle.client_accounts


def _merge(
    shards: Mapping[str, dict[str, ClientAccount]],
) -> dict[str, ClientAccount]:
    accounts: dict[str, ClientAccount] = {}
    for shard in shards.values():
        accounts.update(shard)
    return accounts
