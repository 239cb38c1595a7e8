"""Repeats of requests, out of one bound that all gateways share.

A gateway's own part is small where gateways are many, while the loss of an
engine falls on few of them: their streams would be cut with nearly the whole
bound unused. So a gateway whose part is spent borrows from those that told
last that they have most left.
"""

import gevent

from caroblug.gateway._context import Context
from caroblug.gateway._interfaces import Unavailable
from caroblug.gateway._peers import Peers

LEND_PATH = "/lend"

_WANTED = 8
"""Repeats asked for at a time: the streams of one gateway over one engine."""

_MOST_LENDERS = 3
"""Gateways asked before a repeat is denied; the caller waits meanwhile."""

_ASK_AGAIN_MS = 100
"""Pause after a round in which nobody lent anything."""


class SharedRetryBudget:
    """Allows requests to be sent once more.

    Args:
        context: What the gateway's parts share.
        peers: Other gateways.
    """

    def __init__(self, context: Context, peers: Peers) -> None:
        self._context = context
        self._peers = peers
        self._loans: dict[str, gevent.Greenlet] = {}
        self._ask_again_ms: dict[str, int] = {}

    def take(self, service: str) -> bool:
        """Takes one repeat; returns whether it is allowed.

        Waits for other gateways if the own part is spent.
        """
        while not self._take(service):
            if not self._wait_for_loan(service):
                self._context.telemetry.count("repeats_denied", service=service)
                return False
        return True

    def handle_loan_request(self, message: dict) -> dict:
        """Answers another gateway that asks for repeats."""
        context = self._context
        lent = context.retry_budget.lend(
            str(message["service"]),
            int(message["wanted"]),
            context.fleet.loads.gateways,
            context.clock.now_ms(),
        )
        context.telemetry.count("repeats_lent", lent)
        return {"lent": lent}

    def _take(self, service: str) -> bool:
        context = self._context
        return context.retry_budget.take(
            service, context.fleet.loads.gateways, context.clock.now_ms()
        )

    def _wait_for_loan(self, service: str) -> bool:
        """Waits for a loan, one for all streams that wait at this moment.

        Returns:
            Whether something was lent.
        """
        loan = self._loans.get(service)
        if loan is None or loan.dead:
            loan = self._loans[service] = gevent.spawn(self._borrow, service)
        loan.join()
        return bool(loan.value)

    def _borrow(self, service: str) -> bool:
        """Asks other gateways; returns whether one of them lent something."""
        context = self._context
        asked_ms = context.clock.now_ms()
        if asked_ms < self._ask_again_ms.get(service, 0):
            return False
        message = {"service": service, "wanted": _WANTED}
        for name in self._peers.lenders(service)[:_MOST_LENDERS]:
            asked_ms = context.clock.now_ms()
            answer = self._peers.call(name, LEND_PATH, message)
            if isinstance(answer, Unavailable):
                continue
            lent = int(answer["lent"])
            self._peers.on_lent(name, service, lent)
            if lent > 0:
                context.retry_budget.borrow(service, lent, asked_ms)
                context.telemetry.count("repeats_borrowed", lent)
                return True
        now_ms = context.clock.now_ms()
        self._ask_again_ms[service] = now_ms + _ASK_AGAIN_MS
        return False
