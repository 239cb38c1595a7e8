"""Tracking of when the holder of the placement lease was last seen.

A gateway sees the lease holder in a direct exchange or learns from a peer's
report how long ago the holder was seen.
"""

import attrs

HOLDER_TIMEOUT_MS = 2500
"""Time without a sign of a lease holder after which the standby gateway places
layers. A report of the holder reaches fifty gateways in two or three rounds of
the peer exchange."""

UNKNOWN_AGE_MS = 1_000_000
"""Age reported for something that was never seen."""

_REPORT_DELAY_MS = 300
"""Tolerance for reports of a holder that has left. A sighting is dated by the
arrival of the message, and an exchange takes up to this long, so peers may
report sightings that seem to be later than the holder's departure."""


@attrs.define
class LeaseHolderTracker:
    """Records when a gateway last saw another gateway hold the lease.

    The gateway's own lease is not considered.

    Attributes:
        started_ms: When the gateway began to receive reports.
    """

    started_ms: int
    _seen_ms: int | None = attrs.field(default=None, init=False)
    _left_ms: int | None = attrs.field(default=None, init=False)

    def on_holder_seen(self, seen_ms: int) -> None:
        """Records that this gateway or a peer saw a lease holder.

        Guards against late reports of a holder that has left. Gateways that
        don't know yet that it has left would keep forwarding them, and for
        seconds no gateway would place layers while engines leave and crash.

        Args:
            seen_ms: When the holder was seen.
        """
        left_ms = self._left_ms
        if left_ms is not None and seen_ms <= left_ms + _REPORT_DELAY_MS:
            return
        self._left_ms = None
        self._seen_ms = max(seen_ms, self._seen_ms or seen_ms)

    def on_holder_left(self, now_ms: int) -> None:
        """Records that the holder has stopped giving orders."""
        self._left_ms = now_ms
        self._seen_ms = None

    def age_ms(self, now_ms: int) -> int:
        """Returns the time since a holder was seen, for reports to peers.

        A gateway that has just started has seen no holder. If it reported its
        own uptime instead, all other gateways would restart their holder
        timeout.
        """
        if self._seen_ms is None:
            return UNKNOWN_AGE_MS
        return now_ms - self._seen_ms

    def is_missing(self, now_ms: int) -> bool:
        """Returns whether the standby gateway has to place layers."""
        if self._left_ms is not None:
            return True
        since_ms = max(self.started_ms, self._seen_ms or self.started_ms)
        return now_ms - since_ms >= HOLDER_TIMEOUT_MS
