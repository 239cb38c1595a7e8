"""Division of a bundle into sections, so that only changed ones are sent.

With 18,000 client accounts, a bundle has a few megabytes and changes 470
times a day. One change affects one or two sections of some tens of kilobytes.
"""

import hashlib
from typing import Any

import orjson
import xxhash

ACCOUNT_SHARDS = 256
ACCOUNTS = "client_accounts"
_DIGEST_BYTES = 20


def _encode_canonical(value: Any) -> bytes:
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def section_hash(section: bytes) -> str:
    """Returns the content hash of a section in hexadecimal."""
    return hashlib.blake2b(section, digest_size=_DIGEST_BYTES).hexdigest()


def split_sections(table: dict[str, Any]) -> dict[str, bytes]:
    """Divides a parsed bundle into named sections with deterministic bytes.

    Args:
        table: The parsed TOML of a whole bundle.

    Returns:
        Canonical JSON by section name. Each top-level table is one section,
        except the client accounts, which are spread over `ACCOUNT_SHARDS`
        sections by a hash of their name.
    """
    sections = {}
    for key, value in table.items():
        if key != ACCOUNTS:
            sections[key] = _encode_canonical(value)
    shards: dict[str, dict[str, Any]] = {}
    for account, rule in table.get(ACCOUNTS, {}).items():
        shard = xxhash.xxh32_intdigest(account.encode()) % ACCOUNT_SHARDS
        shards.setdefault(f"{ACCOUNTS}/{shard:03d}", {})[account] = rule
    for key, value in shards.items():
        sections[key] = _encode_canonical(value)
    return sections


def join_sections(sections: dict[str, bytes]) -> dict[str, Any]:
    """Returns the parsed bundle that consists of the sections."""
    table: dict[str, Any] = {}
    for key in sorted(sections):
        value = orjson.loads(sections[key])
        if key.startswith(f"{ACCOUNTS}/"):
            table.setdefault(ACCOUNTS, {}).update(value)
        else:
            table[key] = value
    return table
