"""Retry budget that all gateways share.

Each gateway owns an equal part of the budget. With many gateways that part is
small, while the loss of an engine affects few of them, whose streams would be
cut with nearly the whole budget unused. A gateway that has spent its part
therefore borrows from the gateways that last reported the most retries left.

A loan is requested for a class of retries, and the lender keeps the reserves
that this class must leave.
"""

import attrs
import gevent

from caroblug.core.limits import RetryClass
from caroblug.gateway._context import Context
from caroblug.gateway._interfaces import Unavailable
from caroblug.gateway._peer_calls import read_count
from caroblug.gateway._peers import Peers

LEND_PATH = "/lend"

_LOAN_SIZE = 8
"""Retries requested at a time, about the number of streams that one gateway
has on one engine."""

_MAX_LENDERS = 3
"""Gateways called before a retry is denied; the caller waits meanwhile."""

_BORROW_BACKOFF_MS = 100
"""Pause after a round in which no gateway lent any retries."""

_RESERVED_BORROW_BACKOFF_MS = 500
"""The same pause for a class that must leave a reserve. The reported counts
include that reserve, so that each round would call the same gateways in vain
until new counts arrive, which takes half a second."""


@attrs.frozen
class _LoanKey:
    """Retries that one loan is for."""

    service: str
    retry_class: RetryClass


class SharedRetryBudget:
    """Retry budget of one gateway, extended by loans from other gateways.

    Args:
        context: State shared by the gateway's components.
        peers: Other gateways.
    """

    def __init__(self, context: Context, peers: Peers) -> None:
        self._context = context
        self._peers = peers
        self._loans: dict[_LoanKey, gevent.Greenlet] = {}
        self._next_borrow_ms: dict[_LoanKey, int] = {}

    def take(
        self, service: str, retry_class: RetryClass = RetryClass.OTHER
    ) -> bool:
        """Takes one retry from the budget.

        Waits for loans from other gateways if the own part is spent.

        Args:
            service: Name of the service that the request goes to.
            retry_class: What the retry is for.

        Returns:
            Whether the retry is allowed.
        """
        key = _LoanKey(service, retry_class)
        while not self._take_own(key):
            if not self._wait_for_loan(key):
                self._on_denied(key)
                return False
        return True

    def handle_loan_request(self, message: dict) -> dict:
        """Lends retries to another gateway.

        Args:
            message: The request, with `service`, the number `wanted` and the
                `class` that they are for.

        Returns:
            The response, with the number `lent`.
        """
        context = self._context
        # Gateways of the previous version send no class.
        retry_class = RetryClass(int(message.get("class", RetryClass.OTHER)))
        known = context.configuration
        if known is None or message["service"] not in known.services:
            return {"lent": 0}
        lent = context.retry_budget.lend(
            str(message["service"]),
            int(message["wanted"]),
            context.fleet.loads.gateways,
            context.clock.now_ms(),
            retry_class,
        )
        context.telemetry.count(
            "repeats_lent", lent, retry_class=retry_class.label
        )
        return {"lent": lent}

    def _take_own(self, key: _LoanKey) -> bool:
        context = self._context
        return context.retry_budget.take(
            key.service,
            context.fleet.loads.gateways,
            context.clock.now_ms(),
            key.retry_class,
        )

    def _on_denied(self, key: _LoanKey) -> None:
        context = self._context
        gateways = context.fleet.loads.gateways
        now_ms = context.clock.now_ms()
        remaining = context.retry_budget.remaining(
            key.service, gateways, now_ms
        )
        available = context.retry_budget.available(
            key.service, gateways, now_ms, key.retry_class
        )
        context.telemetry.count(
            "repeats_denied",
            service=key.service,
            retry_class=key.retry_class.label,
        )
        context.log.write(
            "retry.denied",
            service=key.service,
            retry_class=key.retry_class.label,
            remaining=round(remaining, 1),
            available=round(available, 1),
            gateways=gateways,
            lenders=len(self._peers.lenders(key.service)),
        )

    def _wait_for_loan(self, key: _LoanKey) -> bool:
        """Waits for a loan that all streams of the class waiting now share.

        Returns:
            Whether any retries were lent.
        """
        loan = self._loans.get(key)
        if loan is None or loan.dead:
            loan = self._loans[key] = gevent.spawn(self._borrow, key)
        loan.join()
        return bool(loan.value)

    def _borrow(self, key: _LoanKey) -> bool:
        """Calls other gateways for a loan; returns whether one was given."""
        context = self._context
        service = key.service
        requested_ms = context.clock.now_ms()
        if requested_ms < self._next_borrow_ms.get(key, 0):
            return False
        leaves_reserve = context.retry_budget.leaves_reserve(
            service, key.retry_class
        )
        message = {
            "service": service,
            "wanted": _LOAN_SIZE,
            "class": int(key.retry_class),
        }
        for name in self._peers.lenders(service)[:_MAX_LENDERS]:
            requested_ms = context.clock.now_ms()
            response = self._peers.call(name, LEND_PATH, message)
            if isinstance(response, Unavailable):
                continue
            lent = read_count(response, "lent")
            if isinstance(lent, Unavailable):
                continue
            lent = min(lent, _LOAN_SIZE)
            if lent > 0 or not leaves_reserve:
                # A lender that only keeps its reserve can still lend to the
                # classes that the reserve is for.
                self._peers.on_lent(name, service, lent)
            if lent > 0:
                context.retry_budget.borrow(
                    service, lent, requested_ms, key.retry_class
                )
                context.telemetry.count(
                    "repeats_borrowed", lent, retry_class=key.retry_class.label
                )
                return True
        now_ms = context.clock.now_ms()
        self._next_borrow_ms[key] = now_ms + (
            _RESERVED_BORROW_BACKOFF_MS
            if leaves_reserve
            else _BORROW_BACKOFF_MS
        )
        return False
