"""When a holder of the lease on placing layers was last heard of."""

import attrs

HOLDER_TIMEOUT_MS = 2500
"""Time without word of a holder of the lease after which a deputy places
layers; word of one passes through fifty gateways in two or three exchanges."""

UNKNOWN_AGE_MS = 1_000_000
"""Age that is told where no holder was ever heard of."""

_ON_ITS_WAY_MS = 300
"""Word of a holder that others still pass on after it has left: what they tell
counts from when they heard it, and an exchange takes up to this."""


@attrs.define
class LeaseHolderTracker:
    """What a gateway has heard of holders, its own lease aside.

    Attributes:
        began_ms: When the gateway began to listen.
    """

    began_ms: int
    _seen_ms: int | None = attrs.field(default=None, init=False)
    _left_ms: int | None = attrs.field(default=None, init=False)

    def on_heard(self, heard_ms: int) -> None:
        """Notes that somebody heard of a holder at a moment.

        Guards against word of a holder that has left since: gateways that
        don't know it yet would pass it on, and for seconds nobody would place
        layers while engines leave and crash.
        """
        left_ms = self._left_ms
        if left_ms is not None and heard_ms <= left_ms + _ON_ITS_WAY_MS:
            return
        self._left_ms = None
        self._seen_ms = max(heard_ms, self._seen_ms or heard_ms)

    def on_left(self, now_ms: int) -> None:
        """Notes that the holder gives no more orders."""
        self._left_ms = now_ms
        self._seen_ms = None

    def age_ms(self, now_ms: int) -> int:
        """Returns how long ago a holder was heard of, to be told to others.

        A gateway that has just started has heard of none. Telling its own age
        instead would keep every other one waiting for a holder again.
        """
        if self._seen_ms is None:
            return UNKNOWN_AGE_MS
        return now_ms - self._seen_ms

    def is_missing(self, now_ms: int) -> bool:
        """Returns whether a deputy has to place layers."""
        if self._left_ms is not None:
            return True
        since_ms = max(self.began_ms, self._seen_ms or self.began_ms)
        return now_ms - since_ms >= HOLDER_TIMEOUT_MS
