"""Request rates that backend servers ask all gateways together to keep.

A server in need names a limit in its responses. Gateways tell each other the
limits that they know, and one gateway becomes the owner of each limit: only it
may send to the server, and it grants single permits to gateways that have no
other server for a request. The sum over all gateways is therefore bounded by
one token bucket, whatever their number.

A gateway that wants to use a limited server claims the limit if no owner is
known. Of several claims the one of the first gateway by name holds. An owner
sends nothing until its claim has had the time to reach all others, and stops
renewing the claim when it has no requests for the server any more.

References:
    van Renesse, Minsky and Hayden, "A Gossip-Style Failure Detection Service",
    1998: claims are renewed by a growing number, which is passed on.
"""

import attrs

_MS_PER_S = 1000.0

_USED_FRACTION = 0.9
"""Part of a limit that is used. The rest covers permits that are used later
than they were granted."""

_BURST_S = 0.5
"""Time whose requests an owner that sent nothing may send at once, in s."""

_MIN_RATE_PER_S = 0.2
"""Least rate of requests to a limited server. Without responses nobody would
learn that a limit of zero has ended."""

_CLAIM_TIMEOUT_MS = 3000
"""Time since a claim was last renewed after which its owner counts as gone."""

_SETTLING_MS = 2500
"""Time for which a new owner sends nothing. A claim reaches 300 gateways in
four rounds of the peer exchange."""

_REMOTE_CLAIM_MS = 5000
"""Time without an owner after which a gateway of another data centre claims a
limit too."""

_DEMAND_TIMEOUT_MS = 2500
"""Time without demand after which an owner no longer renews its claim."""

_PROBE_INTERVAL_MS = 2000
"""Time without a response after which the owner prefers a limited server for
one request, to learn whether the limit has ended."""

_PERMIT_MS = 1000
"""Time for which a permit can be used, from when it was requested."""

_DENIED_MS = 500
"""Pause after a denial by a gateway that does not own the limit."""

_ENDED_RETENTION_MS = 10000
"""Time for which the end of a limit is reported to other gateways."""

_MAX_REPORTS = 48
"""Limits reported in one message."""

_QUICK_LIMITS = 3 * _MAX_REPORTS
"""Number of limits up to which a claim spreads in the times above. With more of
them each message carries a small part, and the times grow accordingly."""


@attrs.frozen
class LimitOwner:
    """The gateway that decides which requests a limited server gets.

    Attributes:
        name: Name of the gateway.
        address: Host and port that other gateways connect to.
    """

    name: str
    address: tuple[str, int]


@attrs.frozen
class LimitReport:
    """What one gateway tells another about a server's limit.

    Attributes:
        rate_per_s: The limit; None if it has ended.
        sequence: Number of changes of the limit so far. The report with the
            higher number is newer.
        owner: Owner of the limit; None if none is known.
        renewed: Owner's time of its last renewal; it only grows.
    """

    rate_per_s: float | None
    sequence: int
    owner: LimitOwner | None = None
    renewed: int = 0


@attrs.define
class _TokenBucket:
    """Requests that an owner may let a server have.

    Attributes:
        rate_per_s: Rate at which requests are added.
        tokens: Number of requests at `filled_ms`.
        filled_ms: When the number was computed; later than the current time
            while the claim settles.
    """

    rate_per_s: float
    tokens: float
    filled_ms: int

    def fill(self, now_ms: int) -> float:
        """Adds what has accrued since and returns the number of tokens."""
        since_ms = now_ms - self.filled_ms
        if since_ms > 0:
            capacity = max(1.0, self.rate_per_s * _BURST_S)
            accrued = self.rate_per_s * since_ms / _MS_PER_S
            self.tokens = min(capacity, self.tokens + accrued)
            self.filled_ms = now_ms
        return self.tokens

    def wait_ms(self, now_ms: int) -> int:
        """Returns the time until a token is available, 0 if one is."""
        missing = 1.0 - self.fill(now_ms)
        settling_ms = max(0, self.filled_ms - now_ms)
        if missing <= 0:
            return settling_ms
        return settling_ms + int(missing / self.rate_per_s * _MS_PER_S) + 1


@attrs.define
class _ServerLimit:
    """What a gateway knows of one server's limit.

    Attributes:
        rate_per_s: The limit; None if it has ended.
        sequence: Number of changes of the limit so far.
        named_ms: When a response last named it here, or a report first did.
        heard_ms: When this gateway last got a response from the server.
        changed_ms: When it last changed.
        owner: Owner of the limit, unless `owner_seen_ms` is too old.
        owner_seen_ms: When the owner's last renewal became known.
        renewals: Last known renewal of each gateway that claimed the limit.
        demand_ms: When this gateway last had a request for the server.
        bucket: Requests that this gateway may still grant as the owner.
        permits: When each permit from another owner expires.
        next_request_ms: When a permit may be requested again.
    """

    rate_per_s: float | None
    sequence: int
    named_ms: int
    heard_ms: int
    changed_ms: int
    owner: LimitOwner | None = None
    owner_seen_ms: int = 0
    renewals: dict[str, int] = attrs.field(factory=dict)
    demand_ms: int = 0
    bucket: _TokenBucket | None = None
    permits: list[int] = attrs.field(factory=list)
    next_request_ms: int = 0


class ServerLimits:
    """The limits that servers have named, as one gateway knows them.

    Args:
        instance: This gateway, as an owner of limits.
    """

    def __init__(self, instance: LimitOwner) -> None:
        self._instance = instance
        self._limits: dict[str, _ServerLimit] = {}
        self._next_report = 0

    # What servers say.

    def on_response(
        self, server: str, rate_per_s: float | None, sent_ms: int, now_ms: int
    ) -> bool:
        """Records the limit that a response names, or that it names none.

        Args:
            server: Name of the server.
            rate_per_s: The limit; None if the response names none.
            sent_ms: When the request was sent. A response without a limit
                counts only if its request was sent after a limit was last
                named, as responses may overtake each other.
            now_ms: Current time.

        Returns:
            Whether the limit has changed.
        """
        limit = self._limits.get(server)
        if limit is None:
            if rate_per_s is None:
                return False
            limit = _ServerLimit(None, 0, now_ms, now_ms, now_ms)
            self._limits[server] = limit
        if rate_per_s is None and sent_ms <= limit.named_ms:
            return False
        limit.heard_ms = now_ms
        if rate_per_s is not None:
            limit.named_ms = now_ms
        if rate_per_s == limit.rate_per_s:
            return False
        self._set_rate(limit, rate_per_s, limit.sequence + 1, now_ms)
        return True

    def retain(self, servers: set[str]) -> None:
        """Forgets the limits of all other servers."""
        for server in set(self._limits) - servers:
            del self._limits[server]

    # Requests.

    def is_limited(self, server: str) -> bool:
        """Returns whether a server names a limit."""
        limit = self._limits.get(server)
        return limit is not None and limit.rate_per_s is not None

    def limited(self) -> list[str]:
        """Returns the names of all servers that name a limit."""
        return [
            server
            for server, limit in self._limits.items()
            if limit.rate_per_s is not None
        ]

    def is_available(self, server: str, now_ms: int) -> bool:
        """Returns whether a request may be sent to a server now."""
        limit = self._limits.get(server)
        if limit is None or limit.rate_per_s is None:
            return True
        if any(expiry_ms > now_ms for expiry_ms in limit.permits):
            return True
        return self._owns(limit, now_ms) and not limit.bucket.wait_ms(now_ms)

    def take(self, server: str, now_ms: int) -> bool:
        """Counts a request that is about to be sent to a server.

        Returns:
            Whether it may be sent.
        """
        if not self.is_available(server, now_ms):
            return False
        limit = self._limits.get(server)
        if limit is None or limit.rate_per_s is None:
            return True
        limit.permits = [t for t in limit.permits if t > now_ms]
        if limit.permits:
            limit.permits.pop()
        else:
            limit.bucket.tokens -= 1
        return True

    def on_demand(self, server: str, local: bool, now_ms: int) -> None:
        """Records that requests for a server exist, and claims its limit.

        Args:
            server: Name of the server.
            local: Whether the server runs in this gateway's data centre.
            now_ms: Current time.
        """
        limit = self._limits.get(server)
        if limit is None or limit.rate_per_s is None:
            return
        limit.demand_ms = now_ms
        if self._owns(limit, now_ms):
            limit.owner_seen_ms = now_ms
        if self._has_owner(limit, now_ms):
            return
        unowned_ms = now_ms - max(limit.owner_seen_ms, limit.changed_ms)
        if local or unowned_ms > _REMOTE_CLAIM_MS:
            self._claim(limit, now_ms)

    def needs_probe(self, server: str, now_ms: int) -> bool:
        """Returns whether the next request should go to a limited server.

        Only requests show whether a limit has ended.
        """
        limit = self._limits.get(server)
        return (
            limit is not None
            and limit.rate_per_s is not None
            and now_ms - limit.heard_ms > _PROBE_INTERVAL_MS
            and self._owns(limit, now_ms)
            and not limit.bucket.wait_ms(now_ms)
        )

    # Permits.

    def lender(self, server: str, now_ms: int) -> LimitOwner | None:
        """Returns the gateway to request a permit from.

        Returns:
            The owner of the limit; None if there is none, if it is this
            gateway, or if it has denied a permit a short time ago.
        """
        limit = self._limits.get(server)
        if limit is None or now_ms < limit.next_request_ms:
            return None
        if not self._has_owner(limit, now_ms) or self._owns(limit, now_ms):
            return None
        return limit.owner

    def grant(self, server: str, now_ms: int) -> int:
        """Grants a permit to another gateway if there is one left.

        Returns:
            0 if the permit is granted, else the time until one may be, in ms.
        """
        limit = self._limits.get(server)
        if limit is None or not self._owns(limit, now_ms):
            return _DENIED_MS
        limit.demand_ms = now_ms
        wait_ms = limit.bucket.wait_ms(now_ms)
        if not wait_ms:
            limit.bucket.tokens -= 1
        return wait_ms

    def on_granted(self, server: str, requested_ms: int) -> None:
        """Records a permit that the owner of a limit has granted."""
        limit = self._limits.get(server)
        if limit is not None:
            limit.permits.append(requested_ms + _PERMIT_MS)

    def on_denied(self, server: str, wait_ms: int, now_ms: int) -> None:
        """Records that the owner of a limit has granted no permit."""
        limit = self._limits.get(server)
        if limit is not None:
            limit.next_request_ms = now_ms + wait_ms

    # Exchange with other gateways.

    def reports(self, now_ms: int) -> dict[str, LimitReport]:
        """Returns what to tell another gateway, by server.

        If there are too many limits for one message, the next one continues
        with the others.
        """
        self._remove_ended(now_ms)
        servers = sorted(self._limits)
        if len(servers) > _MAX_REPORTS:
            start = self._next_report % len(servers)
            self._next_report = start + _MAX_REPORTS
            servers = (servers[start:] + servers[:start])[:_MAX_REPORTS]
        return {
            server: self._report(self._limits[server], now_ms)
            for server in servers
        }

    def merge(self, server: str, report: LimitReport, now_ms: int) -> bool:
        """Applies another gateway's report.

        Returns:
            Whether the limit has changed.
        """
        limit = self._limits.get(server)
        if limit is None:
            if report.rate_per_s is None:
                return False
            limit = _ServerLimit(None, 0, now_ms, now_ms, now_ms)
            self._limits[server] = limit
        changed = report.sequence > limit.sequence
        if changed:
            limit.named_ms = now_ms
            self._set_rate(limit, report.rate_per_s, report.sequence, now_ms)
        if report.owner is not None and limit.rate_per_s is not None:
            self._merge_owner(limit, report.owner, report.renewed, now_ms)
        return changed

    def _set_rate(
        self,
        limit: _ServerLimit,
        rate_per_s: float | None,
        sequence: int,
        now_ms: int,
    ) -> None:
        limit.rate_per_s = rate_per_s
        limit.sequence = sequence
        limit.changed_ms = now_ms
        if rate_per_s is None:
            limit.owner = None
            limit.bucket = None
            limit.permits.clear()
        elif limit.bucket is not None:
            limit.bucket.fill(now_ms)
            limit.bucket.rate_per_s = _usable_rate(rate_per_s)

    def _merge_owner(
        self, limit: _ServerLimit, owner: LimitOwner, renewed: int, now_ms: int
    ) -> None:
        if renewed <= limit.renewals.get(owner.name, -1):
            return
        limit.renewals[owner.name] = renewed
        if self._has_owner(limit, now_ms) and limit.owner.name < owner.name:
            return
        if owner.name == self._instance.name:
            # An earlier process of this gateway has made that claim.
            return
        limit.owner = owner
        limit.owner_seen_ms = now_ms
        limit.bucket = None

    def _claim(self, limit: _ServerLimit, now_ms: int) -> None:
        limit.owner = self._instance
        limit.owner_seen_ms = now_ms
        settled_ms = now_ms + int(_SETTLING_MS * self._delay_factor())
        limit.bucket = _TokenBucket(
            _usable_rate(limit.rate_per_s), 0.0, settled_ms
        )

    def _report(self, limit: _ServerLimit, now_ms: int) -> LimitReport:
        if not self._has_owner(limit, now_ms):
            return LimitReport(limit.rate_per_s, limit.sequence)
        if (
            self._owns(limit, now_ms)
            and now_ms - limit.demand_ms < _DEMAND_TIMEOUT_MS
        ):
            limit.renewals[limit.owner.name] = now_ms
        return LimitReport(
            limit.rate_per_s,
            limit.sequence,
            limit.owner,
            limit.renewals.get(limit.owner.name, 0),
        )

    def _has_owner(self, limit: _ServerLimit, now_ms: int) -> bool:
        timeout_ms = _CLAIM_TIMEOUT_MS * self._delay_factor()
        return (
            limit.owner is not None
            and now_ms - limit.owner_seen_ms < timeout_ms
        )

    def _delay_factor(self) -> float:
        """Returns how much longer claims spread because of many limits."""
        return max(1.0, len(self._limits) / _QUICK_LIMITS)

    def _owns(self, limit: _ServerLimit, now_ms: int) -> bool:
        return limit.bucket is not None and self._has_owner(limit, now_ms)

    def _remove_ended(self, now_ms: int) -> None:
        for server, limit in list(self._limits.items()):
            ended = limit.rate_per_s is None
            if ended and now_ms - limit.changed_ms > _ENDED_RETENTION_MS:
                del self._limits[server]


def _usable_rate(rate_per_s: float) -> float:
    """Returns the rate at which an owner lets a server have requests."""
    return max(_MIN_RATE_PER_S, rate_per_s * _USED_FRACTION)
