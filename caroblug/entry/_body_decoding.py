"""Decoding of request bodies, which take more memory than their text."""

import gevent
from gevent import lock

from caroblug.caller_resources import CallerResources
from caroblug.entry._requests import Completion, parse_completion
from caroblug.utils import Clock, RefusalType, Refused

_SMALL_BODY_BYTES = 65_536
"""Size up to which a body is decoded at once."""

_TEXT_COPIES = 2
"""Copies of the text: as JSON, and as the strings in it."""

_OBJECT_BYTES = {b"{": 64, b"[": 64, b":": 128, b",": 32}
"""Upper bounds of the memory of a decoded dict, list, entry of a dict and item
of a list, by the character that each of them has."""

_ROOM_WAIT_MS = 1000
_RETRY_AFTER_MS = 1000
_MS_PER_S = 1000
_NO_ROOM = Refused(
    RefusalType.OVERLOADED,
    "no memory to decode the body",
    retry_after_ms=_RETRY_AFTER_MS,
)


class BodyDecoder:
    """Decodes large bodies one at a time, in half of the process's turns.

    Args:
        resources: Accounts for the memory.
        clock: Source of time.
    """

    def __init__(self, resources: CallerResources, clock: Clock) -> None:
        self._resources = resources
        self._clock = clock
        self._turn = lock.BoundedSemaphore(1)

    def decode(self, body: bytes) -> Completion | Refused:
        """Returns the completion in a body, or a refusal."""
        if len(body) <= _SMALL_BODY_BYTES:
            return parse_completion(body)
        size_bytes = estimate_decoded_bytes(body)
        with self._turn:
            end_ms = self._clock.now_ms() + _ROOM_WAIT_MS
            if not self._resources.take_room(size_bytes, end_ms):
                return _NO_ROOM
            began_ms = self._clock.now_ms()
            try:
                return parse_completion(body)
            finally:
                self._resources.give_room(size_bytes)
                took_ms = self._clock.now_ms() - began_ms
                gevent.sleep(took_ms / _MS_PER_S)


def estimate_decoded_bytes(body: bytes) -> int:
    """Returns an upper bound of the memory of a decoded body."""
    return _TEXT_COPIES * len(body) + sum(
        cost * body.count(character)
        for character, cost in _OBJECT_BYTES.items()
    )
