"""Admission control for completions.

A request is checked, in this order, against the quarantine, the load of the
engines, the entry's own limit and the limits of its client account. Then it
waits until no identical request runs that could still crash an engine.
"""

import attrs

from caroblug.core.limits import (
    AccountRule,
    ConcurrencyLimiter,
    RetryAfter,
    Ticket,
)
from caroblug.core.state import Bundle, ClientAccount, Sharing
from caroblug.entry._quarantine import QuarantineClient
from caroblug.entry._shares import ShareClient
from caroblug.entry._streams import StreamRequest
from caroblug.entry._wait_estimator import WaitEstimator
from caroblug.utils import ExecutionStatus, RefusalType, Refused

_RETRY_AFTER_MS = 1000
_TOKENS_RETRY_AFTER_MS = 10_000
_UNBOUNDED_STREAMS = 1_000_000
_HEADROOM_FACTOR = 1.5


class Permit:
    """Resources that an admitted request holds until it ends.

    Args:
        admission: Admission control that granted the permit.
        request: The admitted request.
        sharing: The weights of prompt and generated tokens.
        ticket: Position of the request in the run gate, which admits
            identical requests one at a time.
    """

    def __init__(
        self,
        admission: "StreamAdmission",
        request: StreamRequest,
        sharing: Sharing,
        ticket: Ticket,
    ) -> None:
        self.request = request
        self.sharing = sharing
        self.ticket = ticket
        self._admission = admission
        self._proved = False
        self._closed = False

    def on_tokens(self) -> None:
        """Opens the run gate for identical requests on the first tokens.

        The first token shows that every stage has run the whole prompt.
        """
        if not self._proved:
            self._proved = True
            self._admission.leave_run_gate(self, proved=True)

    def close(self, generated: int) -> None:
        """Releases all resources; closing twice has no effect.

        Args:
            generated: Number of tokens generated for the request.
        """
        if self._closed:
            return
        self._closed = True
        if not self._proved:
            self._admission.leave_run_gate(self, proved=False)
        self._admission.release_permit(self, generated)


class StreamAdmission:
    """Refuses requests that can't be served well, before they cost work.

    Args:
        stream_slots: Limits the streams open at this entry.
        shares: Limits the streams and tokens of each client account.
        quarantine: Refuses or delays requests that may crash engines.
        wait_estimator: Estimates the wait from the engines' load reports.
        retry_after: Spreads the retries of refused callers over time.
    """

    def __init__(
        self,
        stream_slots: ConcurrencyLimiter,
        shares: ShareClient,
        quarantine: QuarantineClient,
        wait_estimator: WaitEstimator,
        retry_after: RetryAfter,
    ) -> None:
        self._stream_slots = stream_slots
        self._shares = shares
        self._quarantine = quarantine
        self._wait_estimator = wait_estimator
        self._retry_after = retry_after

    def admit(self, request: StreamRequest, bundle: Bundle) -> Permit | Refused:
        """Admits a request, or refuses it before anything has run.

        Args:
            request: The request.
            bundle: The bundle in force.

        Returns:
            A permit to be closed when the request ends, or a refusal.
        """
        quarantined = self._quarantine.refusal(
            request.fingerprint, ExecutionStatus.NO
        )
        if quarantined is not None:
            return quarantined
        overloaded = self._check_load(request, bundle)
        if overloaded is not None:
            return overloaded
        account = bundle.client_accounts[request.client_account]
        refused = self._reserve(request, account, bundle.sharing)
        if refused is not None:
            return refused
        return self._enter_run_gate(request, account, bundle.sharing)

    def on_open(self, instances: tuple[str, ...]) -> None:
        """Counts a stream that was opened at the given engines."""
        self._wait_estimator.on_open(instances)

    def leave_run_gate(self, permit: Permit, *, proved: bool) -> None:
        """Removes a request from the run gate.

        Args:
            permit: The request's permit.
            proved: Whether the request has run its whole prompt, so that
                identical requests may run.
        """
        request = permit.request
        self._quarantine.leave(
            request.fingerprint,
            request.client_account,
            permit.ticket,
            proved=proved,
        )

    def release_permit(self, permit: Permit, generated: int) -> None:
        """Releases the stream slot and refunds the unused tokens."""
        request = permit.request
        unused = request.max_tokens - generated
        self._shares.release_stream(
            request.client_account, permit.sharing.generated_weight * unused
        )
        self._stream_slots.release()

    def _check_load(
        self, request: StreamRequest, bundle: Bundle
    ) -> Refused | None:
        """Refuses a stream whose tokens would come too slowly.

        Prevents congestion collapse: streams that are too slow to be useful
        take capacity from streams that could finish, so goodput falls as
        the offered load rises.

        Two bounds apply. The wait that this account's number of streams
        leads to may reach `queue_ms`. The wait with all streams counted may
        reach `_HEADROOM_FACTOR` times as much. An account with many streams
        meets the first bound, which leaves headroom for accounts with few.
        """
        account_streams = self._shares.total_streams(request.client_account)
        wait_ms = self._wait_estimator.wait_ms(
            request.model, request.layers, account_streams
        )
        late = wait_ms * request.max_tokens > request.deadline_ms
        max_wait_ms = bundle.limits.queue_ms
        uncapped_wait_ms = self._wait_estimator.wait_ms(
            request.model, request.layers, _UNBOUNDED_STREAMS
        )
        overloaded = (
            wait_ms > max_wait_ms
            or uncapped_wait_ms > _HEADROOM_FACTOR * max_wait_ms
        )
        if not overloaded and not late:
            return None
        return self._refuse(
            RefusalType.OVERLOADED,
            "the engines have no capacity for another stream",
        )

    def _reserve(
        self, request: StreamRequest, account: ClientAccount, sharing: Sharing
    ) -> Refused | None:
        name = request.client_account
        if not self._stream_slots.take():
            return self._refuse(
                RefusalType.OVERLOADED, "this instance has no free stream slots"
            )
        rule = make_account_rule(account)
        if not self._shares.acquire_stream(name, rule):
            self._stream_slots.release()
            return self._refuse(
                RefusalType.LIMIT_REACHED,
                f"the account already has {account.streams} open streams",
            )
        cost = (
            sharing.prompt_weight * len(request.prompt)
            + sharing.generated_weight * request.max_tokens
        )
        if not self._shares.spend_tokens(name, rule, cost):
            self._shares.release_stream(name, 0.0)
            self._stream_slots.release()
            return self._refuse(
                RefusalType.LIMIT_REACHED,
                "the account has used its tokens for this minute",
                _TOKENS_RETRY_AFTER_MS,
            )
        return None

    def _enter_run_gate(
        self, request: StreamRequest, account: ClientAccount, sharing: Sharing
    ) -> Permit | Refused:
        name = request.client_account
        ticket = self._quarantine.enter(
            request.fingerprint, name, request.deadline_ms
        )
        weight = self._shares.stream_weight(name, account.weight)
        weighted = attrs.evolve(
            request, weight=weight, account_weight=account.weight
        )
        if isinstance(ticket, Refused):
            unused = Permit(self, weighted, sharing, Ticket("", 0))
            unused.close(generated=0)
            return ticket
        return Permit(self, weighted, sharing, ticket)

    def _refuse(
        self, kind: RefusalType, message: str, mean_ms: int = _RETRY_AFTER_MS
    ) -> Refused:
        return Refused(
            kind, message, retry_after_ms=self._retry_after.ms(mean_ms)
        )


def make_account_rule(account: ClientAccount) -> AccountRule:
    """Returns an account's limits from its entry in the bundle."""
    return AccountRule(account.streams, account.tokens_per_minute)
