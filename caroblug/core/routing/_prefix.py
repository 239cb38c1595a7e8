"""Which engines cache which prompt prefixes, from late and gappy events.

References:
    Qin et al., "Mooncake: A KVCache-centric Disaggregated Architecture for
    LLM Serving", 2024: prefix hashes chained block by block.
"""

import collections
from collections.abc import Iterable, Sequence

import attrs
import xxhash

BLOCK_TOKENS = 16
_DEFAULT_BLOCKS = 4096
_TOKEN_BYTES = 4


@attrs.frozen
class CacheEvent:
    """What an engine has put into its prefix cache or dropped from it.

    Attributes:
        instance: The engine's side process.
        sequence: Number of the event at this instance, from 1.
        stored: Hashes of blocks now cached.
        removed: Hashes of blocks no longer cached.
    """

    instance: str
    sequence: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


@attrs.define
class _Cache:
    sequence: int = 0
    blocks: collections.OrderedDict[int, None] = attrs.field(
        factory=collections.OrderedDict
    )


def prefix_hashes(prompt: Sequence[int]) -> list[int]:
    """Returns a hash for each whole block, chained over those before it."""
    hashes = []
    state = xxhash.xxh3_64()
    for end in range(BLOCK_TOKENS, len(prompt) + 1, BLOCK_TOKENS):
        for token in prompt[end - BLOCK_TOKENS : end]:
            state.update(token.to_bytes(_TOKEN_BYTES, "big"))
        hashes.append(state.intdigest())
    return hashes


class PrefixIndex:
    """What one entry believes of the engines' prefix caches.

    Args:
        blocks: Blocks remembered for each instance, newest first.
    """

    def __init__(self, blocks: int = _DEFAULT_BLOCKS) -> None:
        self.blocks = blocks
        self._caches: dict[str, _Cache] = {}

    def on_event(self, event: CacheEvent) -> None:
        """Takes an event.

        Guards against lost events: after a gap a block may have been dropped
        unheard, so everything known of the instance is forgotten; an event
        that comes late or twice is passed over.
        """
        cache = self._caches.setdefault(event.instance, _Cache())
        if event.sequence <= cache.sequence:
            return
        if event.sequence != cache.sequence + 1:
            cache.blocks.clear()
        cache.sequence = event.sequence
        self._store(cache, event.stored)
        for block in event.removed:
            cache.blocks.pop(block, None)

    def remove_instance(self, instance: str) -> None:
        """Drops what is known of an instance that is gone."""
        self._caches.pop(instance, None)

    def cached_positions(self, instance: str, hashes: Iterable[int]) -> int:
        """Returns how many leading positions an instance has cached."""
        cache = self._caches.get(instance)
        if cache is None:
            return 0
        positions = 0
        for block in hashes:
            if block not in cache.blocks:
                break
            positions += BLOCK_TOKENS
        return positions

    def _store(self, cache: _Cache, stored: Iterable[int]) -> None:
        for block in stored:
            cache.blocks[block] = None
            cache.blocks.move_to_end(block)
        while len(cache.blocks) > self.blocks:
            cache.blocks.popitem(last=False)
