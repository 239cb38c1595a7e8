"""An index of the engines' prefix caches, built from unreliable events.

Events may be lost, late or duplicated.

References:
    Qin et al., "Mooncake: A KVCache-centric Disaggregated Architecture for
    LLM Serving", 2024: prefix hashes chained block by block.
"""

import collections
from collections.abc import Iterable, Sequence

import attrs
import xxhash

BLOCK_TOKENS = 16
_DEFAULT_MAX_BLOCKS = 4096
_TOKEN_BYTES = 4


@attrs.frozen
class CacheEvent:
    """A change of an engine's prefix cache.

    Attributes:
        instance: Name of the engine's side process.
        sequence: Sequence number of the event at this instance, from 1.
        stored: Hashes of blocks now cached.
        removed: Hashes of blocks no longer cached.
    """

    instance: str
    sequence: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


@attrs.define
class _Cache:
    """The known blocks of one instance, oldest first."""

    sequence: int = 0
    blocks: collections.OrderedDict[int, None] = attrs.field(
        factory=collections.OrderedDict
    )


def prefix_hashes(prompt: Sequence[int]) -> list[int]:
    """Returns a hash for each whole block of a prompt.

    A block's hash covers all blocks before it too.
    """
    hashes = []
    state = xxhash.xxh3_64()
    for end in range(BLOCK_TOKENS, len(prompt) + 1, BLOCK_TOKENS):
        for token in prompt[end - BLOCK_TOKENS : end]:
            state.update(token.to_bytes(_TOKEN_BYTES, "big"))
        hashes.append(state.intdigest())
    return hashes


class PrefixIndex:
    """Estimates which prefixes each engine has cached.

    Args:
        max_blocks: Number of blocks retained for each instance; the least
            recently stored ones are dropped first.
    """

    def __init__(self, max_blocks: int = _DEFAULT_MAX_BLOCKS) -> None:
        self.max_blocks = max_blocks
        self._caches: dict[str, _Cache] = {}

    def on_event(self, event: CacheEvent) -> None:
        """Applies an event.

        After a gap in the sequence numbers, the lost events may have removed
        any block, so all blocks of the instance are dropped. An event that is
        late or duplicated is ignored.
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
        """Removes all blocks of an instance that no longer exists."""
        self._caches.pop(instance, None)

    def cached_positions(self, instance: str, hashes: Iterable[int]) -> int:
        """Returns the number of leading prompt positions that are cached.

        Args:
            instance: Name of the engine's side process.
            hashes: Block hashes of the prompt, as `prefix_hashes` returns
                them.
        """
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
        while len(cache.blocks) > self.max_blocks:
            cache.blocks.popitem(last=False)
