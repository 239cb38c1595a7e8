"""Retry budget that all gateways share.

Each gateway owns an equal part of the budget. With many gateways that part is
small, while the loss of an engine affects few of them, whose streams would be
cut with nearly the whole budget unused. A gateway that has spent its part
therefore borrows from the gateways that last reported the most retries left.
"""

import gevent

from caroblug.gateway._context import Context
from caroblug.gateway._interfaces import Unavailable
from caroblug.gateway._peers import Peers

LEND_PATH = "/lend"

_LOAN_SIZE = 8
"""Retries requested at a time, about the number of streams that one gateway
has on one engine."""

_MAX_LENDERS = 3
"""Gateways called before a retry is denied; the caller waits meanwhile."""

_BORROW_BACKOFF_MS = 100
"""Pause after a round in which no gateway lent any retries."""


class SharedRetryBudget:
    """Retry budget of one gateway, extended by loans from other gateways.

    Args:
        context: State shared by the gateway's components.
        peers: Other gateways.
    """

    def __init__(self, context: Context, peers: Peers) -> None:
        self._context = context
        self._peers = peers
        self._loans: dict[str, gevent.Greenlet] = {}
        self._next_borrow_ms: dict[str, int] = {}

    def take(self, service: str) -> bool:
        """Takes one retry from the budget.

        Waits for loans from other gateways if the own part is spent.

        Args:
            service: Name of the service that the request goes to.

        Returns:
            Whether the retry is allowed.
        """
        while not self._take_own(service):
            if not self._wait_for_loan(service):
                self._context.telemetry.count("repeats_denied", service=service)
                return False
        return True

    def handle_loan_request(self, message: dict) -> dict:
        """Lends retries to another gateway.

        Args:
            message: The request, with `service` and the number `wanted`.

        Returns:
            The response, with the number `lent`.
        """
        context = self._context
        lent = context.retry_budget.lend(
            str(message["service"]),
            int(message["wanted"]),
            context.fleet.loads.gateways,
            context.clock.now_ms(),
        )
        context.telemetry.count("repeats_lent", lent)
        return {"lent": lent}

    def _take_own(self, service: str) -> bool:
        context = self._context
        return context.retry_budget.take(
            service, context.fleet.loads.gateways, context.clock.now_ms()
        )

    def _wait_for_loan(self, service: str) -> bool:
        """Waits for a loan that all streams waiting now share.

        Returns:
            Whether any retries were lent.
        """
        loan = self._loans.get(service)
        if loan is None or loan.dead:
            loan = self._loans[service] = gevent.spawn(self._borrow, service)
        loan.join()
        return bool(loan.value)

    def _borrow(self, service: str) -> bool:
        """Calls other gateways for a loan; returns whether one was given."""
        context = self._context
        requested_ms = context.clock.now_ms()
        if requested_ms < self._next_borrow_ms.get(service, 0):
            return False
        message = {"service": service, "wanted": _LOAN_SIZE}
        for name in self._peers.lenders(service)[:_MAX_LENDERS]:
            requested_ms = context.clock.now_ms()
            response = self._peers.call(name, LEND_PATH, message)
            if isinstance(response, Unavailable):
                continue
            lent = int(response["lent"])
            self._peers.on_lent(name, service, lent)
            if lent > 0:
                context.retry_budget.borrow(service, lent, requested_ms)
                context.telemetry.count("repeats_borrowed", lent)
                return True
        now_ms = context.clock.now_ms()
        self._next_borrow_ms[service] = now_ms + _BORROW_BACKOFF_MS
        return False
