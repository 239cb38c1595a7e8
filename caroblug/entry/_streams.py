"""Streams of an entry: attempts, token delivery and recovery."""

import enum
import secrets
from collections.abc import Callable

import attrs
from gevent import queue

from caroblug.core.limits import RetryBudget
from caroblug.core.recovery import EntryStream, StageFailure
from caroblug.core.routing import Chain
from caroblug.entry._chain_picker import ChainPicker
from caroblug.entry._directory import SideDirectory
from caroblug.entry._quarantine import QuarantineClient
from caroblug.entry._stream_request import StreamRequest
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import PeerAddress, PeerNetwork
from caroblug.utils import (
    Clock,
    ExecutionStatus,
    Metrics,
    RefusalType,
    Refused,
    log_state,
)

_STREAM_NAME_BYTES = 8
_RETRY_AFTER_MS = 1000
_ENGINE_WAIT_MS = 5000
"""Time for which a running stream waits for an engine. One that crashed is back
after some seconds, and its caller would otherwise lose what has been run."""

_UNREAD_LIMIT_REACHED = Refused(
    RefusalType.LIMIT_REACHED,
    "the caller does not read its answer",
    ExecutionStatus.YES,
    _RETRY_AFTER_MS,
)


class RunningStream:
    """A stream and the output queue that its response reads.

    The queue carries lists of tokens in order, then None when the stream is
    complete or a `Refused` when it is aborted.

    Attributes:
        wire_name: Name of the stream at the stages. An attempt with a full
            prefill uses another name, so that no stage responds from state
            that it retains.
        excluded: Instances that have failed, each with its last start in the
            directory at that time.
    """

    def __init__(self, name: str, request: StreamRequest, end_ms: int) -> None:
        self.name = name
        self.wire_name = name
        self.request = request
        self.end_ms = end_ms
        length = len(request.prompt) + request.max_tokens
        self.tokens = EntryStream(request.prompt, length)
        self.chain: Chain | None = None
        self.excluded: dict[str, int] = {}
        self.failures = 0
        self.output: queue.Queue = queue.Queue()
        self.on_end: Callable[[], None] = _do_nothing

    def renew_wire_name(self) -> None:
        """Replaces the name at the stages by one that is not in use."""
        self.wire_name = f"{self.name}-{self.tokens.attempt}"


def _do_nothing() -> None:
    """Does nothing."""


class RecoveryStrategy(enum.StrEnum):
    """Strategy to try first when a stage is lost."""

    REPLACE_STAGE = "replace_stage"
    FULL_PREFILL = "full_prefill"


@attrs.frozen
class _EngineWait:
    """A running stream's wait for an engine.

    Attributes:
        end_ms: When the stream is aborted.
        fresh: Whether it restarts with a full prefill.
    """

    end_ms: int
    fresh: bool


@attrs.frozen
class RecoveryPolicy:
    """Policy for the recovery of streams.

    Attributes:
        attempts: Number of failures at which a request is aborted.
        strategy: Strategy to try first. If no engine can replace a lost
            stage, the stream moves to another chain.
        budget: Retry budget that each recovery draws on.
    """

    attempts: int
    strategy: RecoveryStrategy
    budget: RetryBudget


class EntryStreams:
    """Opens, recovers and ends the streams of this entry.

    Args:
        own_ref: Reference by which side processes reach this entry.
        network: Sends messages to side processes.
        directory: The known engines.
        picker: Selects chains.
        clock: Source of time.
        metrics: Where attempts are counted.
        policy: Policy for recovery.
        quarantine: Requests that crash engines.
    """

    def __init__(
        self,
        own_ref: wire.StageRef,
        network: PeerNetwork,
        directory: SideDirectory,
        picker: ChainPicker,
        clock: Clock,
        metrics: Metrics,
        policy: RecoveryPolicy,
        quarantine: QuarantineClient,
    ) -> None:
        self._own_ref = own_ref
        self._network = network
        self._directory = directory
        self._picker = picker
        self._clock = clock
        self._metrics = metrics
        self._policy = policy
        self._quarantine = quarantine
        self._streams: dict[str, RunningStream] = {}
        self._waits: dict[RunningStream, _EngineWait] = {}

    def __len__(self) -> int:
        return len(self._streams)

    def start(self, request: StreamRequest) -> RunningStream | Refused:
        """Opens a stream at a chain of engines, or refuses the request.

        Args:
            request: The admitted request.

        Returns:
            The stream, or a refusal if the request is quarantined, no chain
            is available or the deadline can't be met.
        """
        name = secrets.token_hex(_STREAM_NAME_BYTES)
        end_ms = self._clock.now_ms() + request.deadline_ms
        stream = RunningStream(name, request, end_ms)
        chain = self._select_chain(request)
        if isinstance(chain, Refused):
            return chain
        self._streams[name] = stream
        self._open(stream, chain)
        return stream

    def _select_chain(self, request: StreamRequest) -> Chain | Refused:
        quarantined = self._quarantine.refusal(
            request.fingerprint, ExecutionStatus.NO
        )
        if quarantined is not None:
            return quarantined
        chain = self._picker.pick(request, ())
        if chain is None:
            return _no_chain(ExecutionStatus.NO)
        return self._picker.refuse_unmeetable_deadline(chain, request) or chain

    def end(self, stream: RunningStream) -> None:
        """Ends a stream at every stage; idempotent."""
        if self._streams.pop(stream.wire_name, None) is None:
            return
        self._waits.pop(stream, None)
        stream.on_end()
        self._switch_chain(stream, None)
        if stream.tokens.complete:
            self._policy.budget.on_success(stream.request.client_account)

    def on_token(self, token: wire.Token) -> None:
        """Delivers a token from a last stage, or re-sent by a first stage.

        Aborts the stream if its caller leaves too many tokens unread.
        """
        stream = self._streams.get(token.stream)
        if stream is None or not stream.tokens.is_current(token.attempt):
            return
        released = stream.tokens.on_token(token.position, token.token)
        if released:
            stream.output.put(released)
            length = token.position + 1
            self._quarantine.on_progress(stream.request.fingerprint, length)
        if stream.tokens.complete:
            stream.output.put(None)
            self.end(stream)
        elif stream.output.qsize() > stream.request.unread_tokens:
            self._abort(stream, _UNREAD_LIMIT_REACHED)

    def on_refusal(self, refusal: wire.StageRefusal) -> None:
        """Recovers a stream that a stage refused, or moves it elsewhere.

        A refusal of an earlier attempt is ignored. A lost journal does not
        mean that the stage is faulty: the stream restarts with a full
        prefill and may use the stage again.
        """
        stream = self._streams.get(refusal.stream)
        if stream is None or not stream.tokens.is_current(refusal.attempt):
            return
        self._metrics.count("stage_refusals", reason=refusal.reason)
        match refusal.reason:
            case StageFailure.HANDED_ON:
                self._hand_over(stream, refusal.instance)
            case StageFailure.JOURNAL_LOST:
                self._recover(stream, fresh=True)
            case StageFailure.PEER_UNREACHABLE:
                self._picker.on_broken_link(
                    refusal.instance, refusal.unreachable
                )
                self._exclude(stream, refusal.unreachable)
                self._recover(stream)
            case _:
                self._exclude(stream, refusal.instance)
                self._recover(stream)

    def on_peer_lost(self, instance: str) -> None:
        """Recovers every stream that has a stage at a lost instance."""
        self._picker.on_peer_lost(instance)
        for stream in list(self._streams.values()):
            if instance in stream.chain.instances:
                self._exclude(stream, instance)
                self._recover(stream)

    def on_engine_started(self) -> None:
        """Continues the streams that wait for an engine, where they can."""
        for stream, wait in list(self._waits.items()):
            chain = self._find_chain(stream, fresh=wait.fresh)
            if chain is not None:
                self._continue(stream, chain, fresh=wait.fresh)

    def abort_overdue(self) -> None:
        """Aborts the streams that have waited too long for an engine."""
        now_ms = self._clock.now_ms()
        for stream, wait in list(self._waits.items()):
            if now_ms >= wait.end_ms:
                self._abort(stream, _no_chain(ExecutionStatus.UNKNOWN))

    def _exclude(self, stream: RunningStream, instance: str) -> None:
        """Excludes an instance that has failed from a stream's next chains."""
        stream.excluded[instance] = self._directory.last_start(instance)

    def _hand_over(self, stream: RunningStream, instance: str) -> None:
        """Moves a stream from a draining stage to another engine.

        If no engine can replace the stage, the stream continues there: a
        draining stage waits for its streams as long as its drain time allows.
        """
        excluded = {*stream.excluded, instance}
        chain = self._picker.replace_stages(
            stream.chain, stream.request.model, excluded
        )
        if chain is None:
            self._metrics.count("hand_ons_without_chain")
            return
        self._exclude(stream, instance)
        self._metrics.count("streams_handed_on")
        self._open(stream, chain)

    def _recover(self, stream: RunningStream, *, fresh: bool = False) -> None:
        if stream in self._waits:
            return
        refused = self._check_recovery(stream)
        if refused is not None:
            self._abort(stream, refused)
            return
        fresh = fresh or self._policy.strategy is RecoveryStrategy.FULL_PREFILL
        chain = self._find_chain(stream, fresh=fresh)
        if chain is None:
            self._metrics.count("streams_waiting_for_engines")
            end_ms = self._clock.now_ms() + _ENGINE_WAIT_MS
            self._waits[stream] = _EngineWait(end_ms, fresh)
            return
        self._continue(stream, chain, fresh=fresh)

    def _find_chain(
        self, stream: RunningStream, *, fresh: bool
    ) -> Chain | None:
        """Returns a chain to continue a stream at, or None if there is none.

        Engines that have failed are used again only if they have restarted
        since, and no other one is available.
        """
        request = stream.request
        chain = None
        if not fresh:
            chain = self._picker.replace_stages(
                stream.chain, request.model, stream.excluded
            )
        if chain is None:
            chain = self._picker.pick(request, stream.excluded)
        if chain is None:
            last_start = self._directory.last_start
            failed = [
                instance
                for instance, start in stream.excluded.items()
                if last_start(instance) <= start
            ]
            chain = self._picker.pick(request, failed)
        return chain

    def _continue(
        self, stream: RunningStream, chain: Chain, *, fresh: bool
    ) -> None:
        self._metrics.count("streams_recovered")
        self._open(stream, chain, fresh=fresh)

    def _check_recovery(self, stream: RunningStream) -> Refused | None:
        """Counts a failure and returns a refusal if no retry is allowed.

        The caller is refused at once, with a time after which to retry.
        """
        quarantined = self._quarantine.refusal(
            stream.request.fingerprint, ExecutionStatus.UNKNOWN
        )
        if quarantined is not None:
            return quarantined
        stream.failures += 1
        if stream.failures >= self._policy.attempts:
            return Refused(
                RefusalType.BACKEND_FAILED,
                f"{stream.failures} attempts failed",
                ExecutionStatus.UNKNOWN,
                _RETRY_AFTER_MS,
            )
        wait_ms = self._policy.budget.take(
            stream.request.client_account, self._clock.now_ms()
        )
        if wait_ms:
            self._metrics.count("retry_budget_refusals")
            return Refused(
                RefusalType.OVERLOADED,
                "the retry budget is used up",
                ExecutionStatus.UNKNOWN,
                max(wait_ms, _RETRY_AFTER_MS),
            )
        return None

    def _open(
        self, stream: RunningStream, chain: Chain, *, fresh: bool = False
    ) -> None:
        """Opens the next attempt of a stream.

        Args:
            stream: The stream.
            chain: The chain to open it at.
            fresh: Whether to restart with a full prefill, without the state
                that stages retain.
        """
        self._waits.pop(stream, None)
        if fresh:
            del self._streams[stream.wire_name]
            self._switch_chain(stream, None)
            stream.renew_wire_name()
            self._streams[stream.wire_name] = stream
        self._switch_chain(stream, chain)
        attempt = stream.tokens.begin_attempt()
        if attempt > 1:
            log_state(
                "stream.attempt",
                stream=stream.name,
                attempt=attempt,
                fresh=fresh,
                excluded=sorted(stream.excluded),
            )
        message = self._make_open(stream, attempt)
        self._network.send(_address(chain, 0), message)

    def _make_open(
        self, stream: RunningStream, attempt: int
    ) -> wire.OpenStream:
        request = stream.request
        tokens = stream.tokens.tokens
        return wire.OpenStream(
            stream=stream.wire_name,
            attempt=attempt,
            client_account=request.client_account,
            model=request.model,
            chain=[
                wire.StageRef(
                    s.instance, s.host, s.port, s.first_layer, s.end_layer
                )
                for s in stream.chain.stages
            ],
            stage=0,
            tokens=tokens,
            prompt_length=len(request.prompt),
            known_length=len(tokens),
            max_length=stream.tokens.max_length,
            deadline_ms=max(1, stream.end_ms - self._clock.now_ms()),
            seed=request.seed,
            entry=self._own_ref,
            weight=request.weight,
            account_weight=request.account_weight,
            fingerprint=request.fingerprint,
            alone_until=self._quarantine.isolate_until(request.fingerprint),
        )

    def _switch_chain(self, stream: RunningStream, chain: Chain | None) -> None:
        """Switches a stream to a chain and cancels it at stages not in it.

        A cancel must not end a stage that remains in use. A replaced stage
        therefore gets a cancel with the attempt that it knows, marked as not
        to be forwarded. A cancel of the whole stream is also forwarded from
        stage to stage. On each connection it then follows the open message
        and can't overtake it.

        Args:
            stream: The stream.
            chain: The new chain; None to end the stream.
        """
        previous, stream.chain = stream.chain, chain
        if chain is not None:
            self._count_streams(chain, 1)
        if previous is None:
            return
        self._count_streams(previous, -1)
        remaining = chain.instances if chain is not None else ()
        message = wire.Cancel(
            stream.wire_name, stream.tokens.attempt, chain is not None
        )
        for index, stage in enumerate(previous.stages):
            if stage.instance in remaining:
                continue
            if self._network.is_connected(stage.instance):
                self._network.send(_address(previous, index), message)

    def _count_streams(self, chain: Chain, change: int) -> None:
        self._directory.add_streams(chain.instances, change)
        for instance in chain.instances:
            self._network.add_in_flight(instance, change)

    def _abort(self, stream: RunningStream, refused: Refused) -> None:
        self._metrics.count("streams_given_up", reason=refused.type)
        stream.output.put(refused)
        self.end(stream)


def _address(chain: Chain, index: int) -> PeerAddress:
    stage = chain.stages[index]
    return PeerAddress(stage.instance, stage.host, stage.port)


def _no_chain(ran: ExecutionStatus) -> Refused:
    return Refused(
        RefusalType.NO_CAPACITY,
        "no chain of engines covers every layer",
        ran,
        _RETRY_AFTER_MS,
    )
