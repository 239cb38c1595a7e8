"""Deterministic arithmetic of the stand-in models.

A layer's output for a position is a hash over the layer, the position, its
input and its own output for the previous position. If a layer is skipped,
run twice or fed with the state of another stream, every later token differs.
"""

import hashlib
import struct

STATE_BYTES = 16
_LAYER_HEADER = struct.Struct(">II")
_SAMPLE_HEADER = struct.Struct(">IQ")
_EMPTY_CACHE = bytes(STATE_BYTES)


def embed(token: int) -> bytes:
    """Returns the input of layer 0 for a token."""
    return hashlib.blake2b(
        b"embed" + token.to_bytes(4, "big"), digest_size=STATE_BYTES
    ).digest()


def run_layer(
    layer: int, position: int, state: bytes, cache: bytes = _EMPTY_CACHE
) -> bytes:
    """Returns a layer's output, which is also its new cache.

    Args:
        layer: Number of the layer.
        position: Position in the stream.
        state: Input of the layer.
        cache: Output of the layer for the previous position.
    """
    return hashlib.blake2b(
        _LAYER_HEADER.pack(layer, position) + state + cache,
        digest_size=STATE_BYTES,
    ).digest()


def sample(state: bytes, position: int, seed: int, vocabulary: int) -> int:
    """Returns the token that follows a position.

    Args:
        state: Output of the last layer.
        position: Position in the stream.
        seed: Seed of the sampling.
        vocabulary: Size of the vocabulary.
    """
    digest = hashlib.blake2b(
        _SAMPLE_HEADER.pack(position, seed) + state, digest_size=8
    ).digest()
    return int.from_bytes(digest, "big") % vocabulary


def expected_tokens(
    prompt: list[int], count: int, layers: int, vocabulary: int, seed: int
) -> list[int]:
    """Returns the tokens that a correct completion contains.

    Args:
        prompt: Tokens of the prompt.
        count: Number of tokens to generate.
        layers: Number of layers of the model.
        vocabulary: Size of the vocabulary.
        seed: Seed of the sampling.
    """
    caches = [_EMPTY_CACHE] * layers
    tokens = list(prompt)
    generated: list[int] = []
    position = 0
    while len(generated) < count:
        state = embed(tokens[position])
        for layer in range(layers):
            state = run_layer(layer, position, state, caches[layer])
            caches[layer] = state
        if position >= len(prompt) - 1:
            token = sample(state, position, seed, vocabulary)
            generated.append(token)
            tokens.append(token)
        position += 1
    return generated
