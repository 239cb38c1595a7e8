"""Tests of the memory that a request body decodes to."""

import json
import tracemalloc

import orjson
import pytest

from caroblug.caller_resources import CallerResources
from caroblug.core.limits import ResourceBounds
from caroblug.entry._body_decoding import BodyDecoder, estimate_decoded_bytes
from caroblug.utils import ManualClock, MonotonicClock, Refused

BODIES = {
    "dicts": [{}] * 50_000,
    "lists": [[]] * 50_000,
    "numbers": [0.5] * 100_000,
    "entries": {f"{n:x}": n for n in range(50_000)},
    "nested": [{"a": [1]}] * 30_000,
    "text": "a star, and another: " * 20_000,
}


@pytest.mark.parametrize("kind", BODIES)
def test_estimate_is_an_upper_bound(kind):
    # Guards against bodies that decode to more than was reserved for them.
    body = json.dumps(BODIES[kind], separators=(",", ":")).encode()
    tracemalloc.start()
    decoded = orjson.loads(body)
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()

    assert decoded
    assert taken <= estimate_decoded_bytes(body)


def make_decoder(memory_bytes):
    clock = MonotonicClock()
    resources = CallerResources(
        clock, lambda: ResourceBounds(memory_bytes, 100)
    )
    return BodyDecoder(resources, clock), resources


def test_body_that_decodes_to_too_much_is_refused(monkeypatch):
    # Guards against a body of legal size that takes all memory.
    decoder, resources = make_decoder(1 << 20)
    decoder._clock = resources._clock = _HurryingClock()
    body = json.dumps({"model": "m", "prompt": [{}] * 50_000}).encode()

    refused = decoder.decode(body)

    assert isinstance(refused, Refused)
    assert refused.retry_after_ms
    assert resources.held.held_bytes == 0


def test_large_text_is_decoded_and_its_memory_given_back():
    decoder, resources = make_decoder(1 << 24)
    body = json.dumps({"model": "m", "prompt": "a star " * 20_000}).encode()

    assert decoder.decode(body).model == "m"
    assert resources.held.held_bytes == 0


class _HurryingClock(ManualClock):
    """A clock that advances with each look at it."""

    def __init__(self) -> None:
        super().__init__(0)

    def now_ms(self) -> int:
        self.advance(500)
        return super().now_ms()
