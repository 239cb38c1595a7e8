"""Keys of prompts, which name the parts that a prompt shares with others."""

import hashlib
from collections.abc import Iterable

_MAX_PARTS = 16
"""Parts of one prompt that are looked at."""

_KEY_PREFIX = "part/"

Parts = frozenset[str]
"""Parts of a service, each as a key of its own."""


def make_prompt_key(service: str, parts: tuple[str, ...]) -> str:
    """Returns the key of the parts of a prompt, which may have none."""
    digests = {
        hashlib.blake2b(part.encode(), digest_size=6).hexdigest()
        for part in parts[:_MAX_PARTS]
    }
    return f"{_KEY_PREFIX}{service}/{','.join(sorted(digests))}"


def is_prompt_key(key: str) -> bool:
    """Returns whether a suspicion is against parts of prompts."""
    return key.startswith(_KEY_PREFIX)


def parts_of(key: str) -> Parts:
    """Returns the parts that a key names, each as a key of its own."""
    service, _, digests = key.rpartition("/")
    if not digests:
        return frozenset()
    return frozenset(f"{service}/{digest}" for digest in digests.split(","))


def key_of(parts: Iterable[str]) -> str:
    """Returns the key of some parts of a service."""
    ordered = sorted(parts)
    service = ordered[0].rpartition("/")[0]
    return f"{service}/{','.join(p.rpartition('/')[2] for p in ordered)}"
