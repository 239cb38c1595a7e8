"""Decisions whether streams of one service are admitted, wait or are refused.

A stream is admitted if a path has room for it up to the use that its rank may
fill engines to. Otherwise it waits as long as it can still be on time, or is
refused with a retry delay.
"""

import functools
import random
from collections.abc import Callable, Iterator, Mapping
from typing import TypeVar

from caroblug.core.admission._account_shares import AccountShares
from caroblug.core.admission._queue import AdmissionQueue, OrderKey
from caroblug.core.admission._refused_needs import RefusedNeeds
from caroblug.core.admission._release_rate import ReleaseRate
from caroblug.core.admission._reservations import Reservations
from caroblug.core.admission._return_schedule import ReturnSchedule
from caroblug.core.admission._types import (
    NO_ROOM_REASON,
    Refuse,
    StreamRequest,
    Wait,
)
from caroblug.core.admission._windowed_tokens import WindowedTokens
from caroblug.core.placement import RoomNeed

_Found = TypeVar("_Found")

_BEGUN_MAX_USE = 1.0
"""Use up to which a stream whose response has begun may fill an engine. A cut
response costs more than a preemption."""

_LATE_SHARE = 0.25
"""Share of the tokens admitted of a rank that late streams get ahead of those
that can be on time. Without this bound, callers that retry would take all room
in an overload, and each newcomer would have to retry as well."""

_ADMITTED_WINDOW_MS = 2000

_MAX_ATTEMPTS = 2
"""Searches for room without result in one pass over the queue. A search over
fifty engines takes a third of a ms, 20 times a second."""


class Admission:
    """Admission control for one service at one gateway.

    Args:
        reservations: Memory reserved for more urgent ranks.
        releases: Rate at which memory becomes free.
        queue: Streams that wait.
        returns: Retry delays.
        shares: Shares of the client accounts.
    """

    def __init__(
        self,
        reservations: Reservations,
        releases: ReleaseRate,
        queue: AdmissionQueue,
        returns: ReturnSchedule,
        shares: AccountShares,
    ) -> None:
        self._reservations = reservations
        self._releases = releases
        self._queue = queue
        self._returns = returns
        self._shares = shares
        self._refused = RefusedNeeds()
        self._admitted = WindowedTokens(_ADMITTED_WINDOW_MS)

    @property
    def waiting(self) -> int:
        """Number of streams that wait."""
        return len(self._queue)

    @property
    def shares(self) -> AccountShares:
        """Shares of the client accounts."""
        return self._shares

    def set_fleet(
        self, ranked: bool, capacity: float, gateways: int = 0
    ) -> None:
        """Sets what is known about the service.

        Args:
            ranked: Whether streams of the service differ in rank.
            capacity: This gateway's equal part of the memory of the service's
                engines, in tokens of whole paths; 0 if it is unknown.
            gateways: Number of gateways, this one included; 0 if unknown.
        """
        self._reservations.ranked = ranked
        self._reservations.capacity = capacity
        self._releases.capacity = capacity
        self._queue.capacity = capacity
        self._shares.gateways = gateways

    # Events.

    def on_arrival(
        self, rank: int, tokens: int, now_ms: int, account: str = ""
    ) -> None:
        """Counts a stream that has arrived, whether it is admitted or not."""
        self._reservations.on_arrival(rank, tokens, now_ms)
        self._shares.on_arrival(rank, account, tokens, now_ms)

    def on_admitted(self, request: StreamRequest, now_ms: int) -> None:
        """Counts a stream that is going to run."""
        self._queue.remove(request)
        key = (request.rank, request.late)
        self._admitted.add(key, request.tokens, now_ms)
        self._shares.on_admitted(request.rank, request.account, request.tokens)

    def on_ended(self, request: StreamRequest, ran: bool, now_ms: int) -> None:
        """Records that an admitted stream has ended.

        Args:
            request: The stream.
            ran: Whether it has run, so that its memory is released.
            now_ms: Current time.
        """
        self._shares.on_ended(request.rank, request.account, request.tokens)
        if ran:
            self.on_released(request.tokens, now_ms)

    def on_released(self, tokens: int, now_ms: int) -> None:
        """Counts tokens that an ended stream has released."""
        self._releases.on_released(tokens, now_ms)
        self._refused.clear()

    def on_left(self, request: StreamRequest) -> None:
        """Removes a waiting stream whose caller has left."""
        self._queue.remove(request)

    # Decisions.

    def max_use(self, rank: int, now_ms: int, account: str = "") -> float:
        """Returns the use up to which a rank may fill an engine.

        Args:
            rank: The rank.
            now_ms: Current time.
            account: Client account; one above its share keeps room free for
                the others of its rank.
        """
        lighter_rate = 0.0
        if self._shares.is_above(rank, account, now_ms):
            lighter_rate = self._shares.lighter_rate(rank, now_ms)
        return self._reservations.max_use(rank, now_ms, lighter_rate)

    def reserved(self, rank: int, now_ms: int) -> float:
        """Returns the share of memory reserved for the arrivals of a rank."""
        return self._reservations.reserved(rank, now_ms)

    def need(self, request: StreamRequest, now_ms: int) -> RoomNeed:
        """Returns the room that a path must have for a stream.

        A stream must find the room that a more urgent one lacked when it was
        refused. Otherwise a small, less urgent stream could be admitted into a
        gap that was too small for a large, urgent one.
        """
        if request.begun:
            return RoomNeed(request.tokens, _BEGUN_MAX_USE)
        lacked = self._refused.max_tokens(request.rank, now_ms)
        max_use = self.max_use(request.rank, now_ms, request.account)
        return RoomNeed(max(request.tokens, lacked), max_use)

    def is_next(self, request: StreamRequest, now_ms: int) -> bool:
        """Returns whether no waiting stream is ahead of one that arrived."""
        key = self._order_key(now_ms)
        own = key(request)
        return all(own < key(other) for other in self._queue)

    def decide(self, request: StreamRequest, now_ms: int) -> Wait | Refuse:
        """Returns whether a stream that found no room waits or is refused.

        Args:
            request: The stream. It is added to the queue if it waits.
            now_ms: Current time.
        """
        self._shares.on_short(now_ms)
        until_ms = request.wait_until_ms(now_ms)
        expected_ms = self.expected_wait_ms(request, now_ms)
        # A late stream has nothing to gain from an early refusal: its caller
        # might not retry again.
        can_be_served = request.late or now_ms + expected_ms <= until_ms
        if until_ms <= now_ms or not can_be_served:
            return self._refuse(request, "in time", now_ms)
        displaced = self._queue.make_place(request, self._order_key(now_ms))
        if displaced is None:
            return self._refuse(request, "in a full queue", now_ms)
        refused = []
        for other in displaced:
            self._queue.remove(other)
            refusal = self._refuse(other, "beside more urgent ones", now_ms)
            refused.append((other, refusal))
        self._queue.add(request, until_ms)
        return Wait(until_ms, expected_ms, tuple(refused))

    def refuse_overdue(self, now_ms: int) -> list[tuple[StreamRequest, Refuse]]:
        """Removes streams that have waited too long and refuses them."""
        refused = []
        for request in self._queue.overdue(now_ms):
            self._queue.remove(request)
            refusal = self._refuse(request, "after a wait", now_ms)
            refused.append((request, refusal))
        return refused

    def serve_waiting(
        self,
        find_room: Callable[[StreamRequest, RoomNeed], _Found | None],
        now_ms: int,
    ) -> Iterator[tuple[StreamRequest, _Found]]:
        """Yields the waiting streams that have room now, in their order.

        A stream passes one ahead of it that found no room only if both are of
        one class and the one ahead isn't late, or if it finds room for the one
        ahead as well.

        Args:
            find_room: Searches for a path; returns None if none has room.
            now_ms: Current time.

        Yields:
            A stream, which has left the queue, and its path. The stream's load
            must be counted before the next one is requested.
        """
        failed: list[RoomNeed] = []
        passed: list[StreamRequest] = []
        key = self._order_key(now_ms)
        for request in self._queue.ordered(key):
            if request not in self._queue:
                continue
            first = [
                other
                for other in passed
                if other.late or key(other)[0] < key(request)[0]
            ]
            need = _include(self.need(request, now_ms), first)
            if any(_covers(known, need) for known in failed):
                passed.append(request)
                continue
            found = find_room(request, need)
            if found is not None:
                self.on_admitted(request, now_ms)
                yield request, found
            elif not request.constrained:
                failed.append(need)
                passed.append(request)
                if len(failed) >= _MAX_ATTEMPTS:
                    return

    def expected_wait_ms(self, request: StreamRequest, now_ms: int) -> float:
        """Returns how long the queue ahead of a stream takes to get room."""
        key = self._order_key(now_ms)
        own_class, own_order = key(request)
        ahead = 0
        late_waits = False
        for other in self._queue:
            other_class, other_order = key(other)
            if other_class < own_class:
                ahead += other.tokens
            elif other_class == own_class:
                late_waits = late_waits or other.late
                if other.late == request.late and other_order <= own_order:
                    ahead += other.tokens
        if not ahead:
            return 0.0
        rate = self._rate(request, late_waits, now_ms)
        return ahead / rate if rate > 0 else float("inf")

    def _rate(
        self, request: StreamRequest, late_waits: bool, now_ms: int
    ) -> float:
        """Returns the tokens per ms that become free for streams like one.

        Args:
            request: The stream.
            late_waits: Whether late streams of its rank wait.
            now_ms: Current time.
        """
        if request.begun:
            return self._releases.tokens_per_ms(now_ms)
        if request.late:
            return self._late_rate(request, now_ms)
        rate = self._net_rate(request, now_ms)
        return rate * (1 - _LATE_SHARE) if late_waits else rate

    def _net_rate(self, request: StreamRequest, now_ms: int) -> float:
        """Returns the tokens per ms that streams ahead leave to one."""
        rank = request.rank
        rate = self._releases.tokens_per_ms(now_ms)
        rate -= self._reservations.more_urgent_rate(rank, now_ms)
        if self._shares.is_above(rank, request.account, now_ms):
            rate -= self._shares.lighter_rate(rank, now_ms)
        return max(0.0, rate)

    def _late_rate(self, request: StreamRequest, now_ms: int) -> float:
        """Returns the tokens per ms that late streams like one can get."""
        rate = self._net_rate(request, now_ms)
        arrivals = self._reservations.arrival_rate(request.rank, now_ms)
        return max(rate * _LATE_SHARE, rate - arrivals)

    def _order_key(self, now_ms: int) -> OrderKey:
        """Returns the key by which streams are ordered.

        The classes are begun streams, ranks, and accounts above their share.
        Within a class, the order is by remaining time. Callers that retry have
        less time left and are therefore ahead of newcomers, until late streams
        have had their share.
        """
        late_first = self._late_first(now_ms)

        def key(request: StreamRequest) -> tuple[tuple, tuple]:
            rank = request.rank
            yields = self._shares.is_above(rank, request.account, now_ms)
            group = request.late != late_first(rank)
            return (
                (not request.begun, rank, yields),
                (group, request.end_ms),
            )

        return key

    def _late_first(self, now_ms: int) -> Callable[[int], bool]:
        """Returns which ranks serve their late streams first.

        Late streams are first until they have had their share of the tokens
        admitted recently.
        """

        @functools.cache
        def is_first(rank: int) -> bool:
            late = self._admitted.sum((rank, True), now_ms)
            others = self._admitted.sum((rank, False), now_ms)
            return late <= (late + others) * _LATE_SHARE

        return is_first

    def _refuse(self, request: StreamRequest, when: str, now_ms: int) -> Refuse:
        if not request.constrained:
            self._refused.add(request, now_ms)
        ahead = sum(
            other.tokens for other in self._queue if other.rank <= request.rank
        )
        delay_ms = self._returns.delay_ms(
            request.tokens,
            ahead,
            self._late_rate(request, now_ms),
            request.end_ms - now_ms,
            now_ms,
        )
        return Refuse(f"{NO_ROOM_REASON} {when}", delay_ms)


def make_admission(
    rng: random.Random, weights: Mapping[str, float] | None = None
) -> Admission:
    """Returns the admission control of one service.

    Args:
        rng: Random number generator for retry delays.
        weights: Weight of client accounts relative to others; 1 if missing.
    """
    return Admission(
        Reservations(),
        ReleaseRate(),
        AdmissionQueue(),
        ReturnSchedule(rng),
        AccountShares(weights or {}),
    )


def _include(need: RoomNeed, others: list[StreamRequest]) -> RoomNeed:
    """Returns a need that includes the tokens of each of some streams."""
    tokens = [other.tokens for other in others]
    return RoomNeed(max([need.tokens, *tokens]), need.max_use)


def _covers(failed: RoomNeed, need: RoomNeed) -> bool:
    """Returns whether a search for a need fails because another one failed."""
    return need.tokens >= failed.tokens and need.max_use <= failed.max_use
