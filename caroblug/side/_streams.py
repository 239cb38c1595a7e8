"""The streams at a side process: handling of messages, dispatch of effects."""

from collections.abc import Callable, Mapping, Sequence

from caroblug.core import recovery
from caroblug.core.recovery import StageFailure, StageStream
from caroblug.core.state import Sharing
from caroblug.gen.wire import ttypes as wire
from caroblug.side._batch_scheduler import BatchScheduler
from caroblug.side._open_stage import (
    OpenStage,
    address_of,
    has_same_layers,
    make_next_open,
)
from caroblug.transport import (
    EngineItem,
    EngineResult,
    PeerNetwork,
)
from caroblug.utils import Clock, Metrics

_RETRY_AFTER_MS = 200
_EXPIRY_SLACK_MS = 5000
_MIN_COST = 0.001


class StageStreams:
    """The streams that are open at this side process.

    Args:
        instance: Name of this instance.
        network: Network that sends messages.
        scheduler: Scheduler that runs items on the engine.
        clock: Source of time.
        metrics: Registry that counts streams.
        journal_positions: Maximum number of outputs retained per stream.
        sharing: Returns the weights of prompt and generated tokens.
    """

    def __init__(
        self,
        instance: str,
        network: PeerNetwork,
        scheduler: BatchScheduler,
        clock: Clock,
        metrics: Metrics,
        journal_positions: int,
        sharing: Callable[[], Sharing],
    ) -> None:
        self._instance = instance
        self._network = network
        self._scheduler = scheduler
        self._clock = clock
        self._metrics = metrics
        self._journal_positions = journal_positions
        self._sharing = sharing
        self._streams: dict[str, OpenStage] = {}
        self._stream_by_session: dict[str, str] = {}
        self._reserved_positions = 0

    def __len__(self) -> int:
        return len(self._streams)

    @property
    def reserved_positions(self) -> int:
        """Number of positions of all open streams at their full length.

        A limit on this number bounds the memory of queues and journals when
        this stage is slow, because no stream exceeds its `max_length`.
        """
        return self._reserved_positions

    def on_open(self, open_message: wire.OpenStream, refusal: str = "") -> None:
        """Opens a stream or a newer attempt of it.

        Args:
            open_message: The message.
            refusal: `StageFailure` with which a stream that is not open here
                is refused; empty to accept it.
        """
        open_stage = self._streams.get(open_message.stream)
        if open_stage is not None and not has_same_layers(
            open_stage, open_message
        ):
            self._remove(open_message.stream)
            open_stage = None
        if open_stage is None:
            if refusal:
                self._send_refusal(
                    open_message, refusal, "takes no new streams"
                )
                return
            open_stage = self._add_stage(open_message)
        if open_message.attempt <= open_stage.stream.attempt:
            return
        open_stage.open_message = open_message
        open_stage.expires_ms = self._compute_expiry_ms(open_message)
        self._set_in_flight_peer(open_stage, open_stage.downstream_instance)
        effects = open_stage.stream.open(
            open_message.attempt,
            open_message.tokens or [],
            open_message.known_length,
            open_message.prompt_length,
            open_message.max_length,
            open_message.sends_from or 0,
        )
        self._apply(open_message.stream, open_stage, effects)

    def on_step(self, step: wire.Step) -> None:
        """Handles hidden states from the previous stage."""
        open_stage = self._streams.get(step.stream)
        if open_stage is not None:
            effects = open_stage.stream.on_states(
                step.attempt, step.position, step.states
            )
            self._apply(step.stream, open_stage, effects)

    def on_token(self, token: wire.Token) -> None:
        """Handles a token from the last stage."""
        open_stage = self._streams.get(token.stream)
        if open_stage is not None:
            effects = open_stage.stream.on_token(
                token.attempt, token.position, token.token
            )
            self._apply(token.stream, open_stage, effects)

    def on_need(self, need: wire.Need) -> None:
        """Handles a request of the next stage to send states again."""
        open_stage = self._streams.get(need.stream)
        if open_stage is not None:
            effects = open_stage.stream.on_need(need.attempt, need.position)
            self._apply(need.stream, open_stage, effects)

    def on_cancel(self, cancel: wire.Cancel) -> None:
        """Ends a stream, unless the cancel is for an older attempt.

        The cancel is also forwarded along the chain. A cancel that a stage
        receives from the entry may overtake the open message, but the
        forwarded one follows it on the same connection.
        """
        open_stage = self._streams.get(cancel.stream)
        if open_stage is None or cancel.attempt < open_stage.stream.attempt:
            return
        self._remove(cancel.stream)
        if not open_stage.stream.is_last and not cancel.only_here:
            self._network.send(open_stage.next, cancel)

    def on_results(self, results: Sequence[EngineResult]) -> None:
        """Handles results of the engine."""
        for result in results:
            name = self._stream_by_session.get(result.session)
            if name is not None:
                self._handle_result(name, self._streams[name], result)

    def open_messages_of(
        self, sessions: Mapping[str, int]
    ) -> list[tuple[wire.OpenStream, int]]:
        """Returns the open messages of sessions, with their positions.

        Sessions of streams that are no longer open are omitted.
        """
        return [
            (self._streams[name].open_message, position)
            for session, position in sessions.items()
            if (name := self._stream_by_session.get(session)) is not None
        ]

    def on_engine_lost(self, message: str) -> None:
        """Fails every stream, because the caches of the engine are lost."""
        for name, open_stage in list(self._streams.items()):
            self._fail_stream(name, open_stage, message)

    def on_peer_lost(self, instance: str) -> None:
        """Handles the loss of a peer that is an entry or a next stage.

        If the connection between two side processes fails, the entry may still
        reach both. Only this end detects the failure, so it reports the
        unreachable stage to the entry. Otherwise the stream would stall.

        A stream whose entry is lost has no caller any more and is removed,
        here and at the following stages. A process that resumes after a freeze
        may have opened an old attempt there before it detects that its entry
        has abandoned it.
        """
        for name, open_stage in list(self._streams.items()):
            if open_stage.entry.instance == instance:
                self._metrics.count("streams_orphaned")
                self.on_cancel(wire.Cancel(name, open_stage.stream.attempt))
            elif open_stage.in_flight_peer == instance:
                self._send_refusal(
                    open_stage.open_message,
                    StageFailure.PEER_UNREACHABLE,
                    f"{instance} does not answer",
                    unreachable=instance,
                )

    def request_reroute(self) -> None:
        """Requests the entries to run every stream on another instance.

        The streams continue here until their entry ends them.
        """
        for open_stage in self._streams.values():
            self._send_refusal(
                open_stage.open_message,
                StageFailure.HANDED_ON,
                "leaving",
            )

    def drop_expired(self) -> None:
        """Removes streams whose deadline passed some time ago.

        A stream whose entry has failed is never cancelled and would stay open.
        """
        now_ms = self._clock.now_ms()
        for name, open_stage in list(self._streams.items()):
            if now_ms > open_stage.expires_ms:
                self._metrics.count("streams_expired")
                self._remove(name)

    def _handle_result(
        self, name: str, open_stage: OpenStage, result: EngineResult
    ) -> None:
        if result.error:
            self._fail_stream(name, open_stage, result.error)
            return
        if open_stage.stream.is_last:
            effects = open_stage.stream.on_sampled(
                result.position, result.length, result.token
            )
        else:
            effects = open_stage.stream.on_states_run(
                result.position, list(result.states)
            )
        self._apply(name, open_stage, effects)

    def _add_stage(self, open_message: wire.OpenStream) -> OpenStage:
        stream = StageStream(
            is_first=open_message.stage == 0,
            is_last=open_message.stage == len(open_message.chain) - 1,
            journal_positions=self._journal_positions,
        )
        session = f"{open_message.stream}.{open_message.attempt}"
        open_stage = OpenStage(
            stream, open_message, self._compute_expiry_ms(open_message), session
        )
        self._streams[open_message.stream] = open_stage
        self._stream_by_session[session] = open_message.stream
        self._reserved_positions += open_message.max_length
        self._metrics.count("streams_opened")
        self._metrics.gauge("streams", len(self._streams))
        return open_stage

    def _compute_expiry_ms(self, open_message: wire.OpenStream) -> int:
        return (
            self._clock.now_ms() + open_message.deadline_ms + _EXPIRY_SLACK_MS
        )

    def _remove(self, name: str) -> None:
        open_stage = self._streams.pop(name)
        self._set_in_flight_peer(open_stage, "")
        self._reserved_positions -= open_stage.open_message.max_length
        del self._stream_by_session[open_stage.session]
        self._metrics.gauge("streams", len(self._streams))
        self._scheduler.end(open_stage.session)

    def _set_in_flight_peer(self, open_stage: OpenStage, instance: str) -> None:
        if open_stage.in_flight_peer == instance:
            return
        if open_stage.in_flight_peer:
            self._network.add_in_flight(open_stage.in_flight_peer, -1)
        if instance:
            self._network.add_in_flight(instance)
        open_stage.in_flight_peer = instance

    def _fail_stream(
        self, name: str, open_stage: OpenStage, message: str
    ) -> None:
        self._send_refusal(
            open_stage.open_message, StageFailure.ENGINE_FAILED, message
        )
        self._remove(name)

    def _send_refusal(
        self,
        open_message: wire.OpenStream,
        reason: str,
        message: str,
        unreachable: str = "",
    ) -> None:
        self._metrics.count("streams_refused", reason=reason)
        refusal = wire.StageRefusal(
            open_message.stream,
            open_message.attempt,
            self._instance,
            reason,
            message,
            _RETRY_AFTER_MS,
            unreachable,
        )
        self._network.send(address_of(open_message.entry), refusal)

    def _apply(
        self,
        name: str,
        open_stage: OpenStage,
        effects: Sequence[recovery.Effect],
    ) -> None:
        for effect in effects:
            self._apply_one(name, open_stage, effect)

    def _apply_one(
        self, name: str, open_stage: OpenStage, effect: recovery.Effect
    ) -> None:
        attempt = open_stage.stream.attempt
        match effect:
            case recovery.RunUnit():
                self._submit_unit(open_stage, effect)
            case recovery.SendStates(position, states):
                step = wire.Step(name, attempt, position, list(states))
                self._network.send(open_stage.next, step)
            case recovery.SendToken(position, token, to_first_stage):
                message = wire.Token(name, attempt, position, token)
                self._network.send(open_stage.entry, message)
                if to_first_stage:
                    self._send_to_first_stage(open_stage, message)
            case recovery.ForwardOpen():
                message = make_next_open(open_stage.open_message, effect)
                self._network.send(open_stage.next, message)
            case recovery.SendNeed(position):
                need = wire.Need(name, attempt, position)
                self._network.send(open_stage.previous, need)
            case recovery.FailStream(reason, message):
                self._send_refusal(open_stage.open_message, reason, message)

    def _send_to_first_stage(
        self, open_stage: OpenStage, message: wire.Token
    ) -> None:
        if open_stage.stream.is_first:
            self.on_token(message)
        else:
            self._network.send(open_stage.first, message)

    def _submit_unit(
        self, open_stage: OpenStage, effect: recovery.RunUnit
    ) -> None:
        item = EngineItem(
            open_stage.session,
            open_stage.stage_ref.first_layer,
            open_stage.stage_ref.end_layer,
            effect.position,
            effect.inputs,
            open_stage.open_message.seed,
        )
        open_message = open_stage.open_message
        self._scheduler.submit(
            open_message.client_account,
            item,
            self._compute_cost(open_message, effect),
            open_message.weight,
            open_stage.expires_ms - _EXPIRY_SLACK_MS,
            max_weight=open_message.account_weight or open_message.weight,
            isolated=effect.position < (open_message.alone_until or 0),
        )

    def _compute_cost(
        self, open_message: wire.OpenStream, effect: recovery.RunUnit
    ) -> float:
        """Returns the cost of a unit in weighted tokens."""
        sharing = self._sharing()
        positions = len(effect.inputs)
        prompt = open_message.prompt_length - effect.position
        prompt = min(max(prompt, 0), positions)
        cost = sharing.prompt_weight * prompt
        cost += sharing.generated_weight * (positions - prompt)
        return max(cost, _MIN_COST)
